#include <LibGateway/CallerConnection.h>

#include <LibGateway/CallerFrontend.h>
#include <LibNetwork/SocketState.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Callers::Pressure;
using Callers::RequestId;
using Callers::RequestStage;

/// Memory of one connection beyond which it is read no further and starts nothing more. Eight requests or responses of usual length fit.
constexpr std::uint64_t CONNECTION_BYTES = 256UL * 1024;
/// Time after which a caller that acknowledges no byte of a response is disconnected. A retransmission to a live caller takes less.
constexpr std::chrono::seconds WRITE_STALL_TIMEOUT{15};
/// Time for which bytes behind the last response are discarded. Closing with unread bytes would reset the connection, and the caller could
/// lose the response (RFC 9112, section 9.6).
constexpr std::chrono::seconds LINGER_TIME{1};

bool wasSent(const RequestContext &context)
{
    return !context.triedTargets.empty() || !context.triedPeers.empty();
}

} // namespace

CallerConnection::CallerConnection(Asio::ip::tcp::socket callerSocket, CallerFrontend &callerFrontend, GatewayState &gatewayState)
    : socket(std::move(callerSocket))
    , frontend(callerFrontend)
    , state(gatewayState)
    , buffer(Network::unreadLimit(callerLimits(gatewayState).headerBytes))
    , changed(this->socket.get_executor())
    , phaseSince(Core::Clock::now())
    , lastProgress(this->phaseSince)
    , lastTaken(this->phaseSince)
    , readingHold(gatewayState.bodyBudget)
{
}

Asio::awaitable<void> CallerConnection::serveKeepingAlive(std::shared_ptr<CallerConnection> self)
{
    const Core::Presence connection(self->state.callerConnections);
    co_await self->serve();
}

Asio::awaitable<void> CallerConnection::serve()
{
    boost::system::error_code error;
    this->socket.set_option(Asio::ip::tcp::no_delay(true), error);
    bool isUsable = true;
    while (isUsable) {
        isUsable = co_await this->waitForRequest();
        if (isUsable) {
            isUsable = co_await this->readRequest();
        }
    }
    this->isReadingOver = true;
    co_await this->waitUntilAnswered();
    if (!this->isCallerGone) {
        co_await this->linger();
    }
}

Callers::PipelineBounds CallerConnection::bounds() const
{
    return {.requests = this->state.settings.callers.readAhead, .bytes = CONNECTION_BYTES};
}

bool CallerConnection::mayRead() const
{
    const bool isFirst = this->pipeline.requests.empty();
    const auto &budget = this->state.bodyBudget;
    return Callers::mayRead(this->pipeline, this->bounds())
        && (isFirst || Callers::pressureOf(budget.held, budget.limit) == Pressure::None);
}

void CallerConnection::enter(ReadPhase next)
{
    this->phase = next;
    this->hasWatched = false;
    this->phaseSince = Core::Clock::now();
}

void CallerConnection::watchForEnd()
{
    if (std::exchange(this->isWatching, true)) {
        return;
    }
    this->socket.async_wait(Asio::socket_base::wait_read, [weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->isWatching = false;
        // Readable bytes hide the end from now on; the periodic check finds it.
        if (!error && self->phase == ReadPhase::Paused && !self->isCallerGone && Network::isClosedByPeer(self->socket)) {
            self->recordCallerGone();
        }
    });
}

Asio::awaitable<void> CallerConnection::waitForChange()
{
    if (!this->hasWatched && !this->isCallerGone) {
        this->hasWatched = true;
        this->watchForEnd();
    }
    boost::system::error_code ignored;
    this->changed.expires_at(Core::TimePoint::max());
    co_await this->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> CallerConnection::waitUntilAnswered()
{
    this->enter(ReadPhase::Paused);
    while (!this->pipeline.requests.empty()) {
        co_await this->waitForChange();
    }
}

Asio::awaitable<void> CallerConnection::run(std::shared_ptr<CallerConnection> self, RequestId id, std::shared_ptr<Exchange> exchange)
{
    std::exception_ptr problem;
    try {
        exchange->result = co_await self->frontend.answer(exchange->request);
    } catch (...) {
        // The connection ends: there is no response to this request.
        exchange->result.isCallerGone = true;
        problem = std::current_exception();
    }
    self->finish(id, *exchange);
    exchange->request = {};
    if (problem) {
        std::rethrow_exception(problem);
    }
}

void CallerConnection::finish(RequestId id, const Exchange &exchange)
{
    if (auto *request = Callers::find(this->pipeline, id)) {
        request->stage = RequestStage::Ready;
        request->bytes = exchange.result.response.body().size();
    }
    this->advance();
}

void CallerConnection::advance()
{
    if (this->state.isStopping) {
        this->drain();
    }
    // A request may end before the call that starts it returns.
    while (const auto next = Callers::nextToStart(this->pipeline, this->bounds())) {
        Callers::find(this->pipeline, *next)->stage = RequestStage::Running;
        spawn(this->state, "request", run(this->shared_from_this(), *next, this->exchanges.at(*next)));
    }
    if (Callers::isNextReady(this->pipeline) && !this->isWriting) {
        this->isWriting = true;
        spawn(this->state, "responses", writeResponses(this->shared_from_this()));
    }
    this->changed.cancel();
}

Asio::awaitable<void> CallerConnection::writeResponses(std::shared_ptr<CallerConnection> self)
{
    while (Callers::isNextReady(self->pipeline)) {
        const auto exchange = self->exchanges.at(self->pipeline.requests.front().id);
        exchange->result.response.keep_alive(!self->pipeline.requests.front().closesConnection);
        bool isWritten = !exchange->result.isCallerGone;
        if (isWritten) {
            isWritten = co_await self->writeResponse(exchange->result.response);
        }
        if (!isWritten) {
            self->close();
            break;
        }
        // A stop or a time-out may have made it the last response meanwhile.
        const bool closes = self->pipeline.requests.front().closesConnection;
        self->exchanges.erase(self->pipeline.requests.front().id);
        Callers::removeFirst(self->pipeline);
        self->phaseSince = std::max(self->phaseSince, self->lastTaken);
        if (closes) {
            self->isReadingOver = true;
            self->abandonAll();
            self->enter(ReadPhase::Lingering);
            boost::system::error_code ignored;
            self->socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
            break;
        }
        self->advance();
    }
    self->isWriting = false;
    self->advance();
}

Asio::awaitable<bool> CallerConnection::writeResponse(Network::Response &response)
{
    Http::response_serializer<Http::string_body> serializer(response);
    boost::system::error_code error;
    this->lastTaken = Core::Clock::now();
    while (!error && !serializer.is_done()) {
        const auto length = co_await Http::async_write_some(this->socket, serializer, Asio::redirect_error(Asio::use_awaitable, error));
        this->writtenBytes += length;
        this->lastTaken = Core::Clock::now();
    }
    co_return !error && !this->isCut;
}

void CallerConnection::abandon(const std::vector<RequestId> &ids)
{
    std::ranges::for_each(ids, [this](RequestId id) {
        const auto exchange = std::move(this->exchanges.at(id));
        this->exchanges.erase(id);
        if (const auto context = exchange->request.context) {
            context->isCallerGone = true;
        }
        if (const auto flow = exchange->request.flow) {
            flow->callerGone();
        }
    });
}

void CallerConnection::abandonAll()
{
    this->isReadingOver = true;
    std::vector<RequestId> ids;
    std::ranges::transform(this->pipeline.requests, std::back_inserter(ids), &Callers::PipelinedRequest::id);
    this->pipeline.requests.clear();
    this->abandon(ids);
    this->changed.cancel();
}

void CallerConnection::recordCallerGone()
{
    this->isReadingOver = true;
    this->isCallerGone = true;
    this->abandon(Callers::removeWaiting(this->pipeline));
    std::ranges::for_each(this->exchanges, [](const auto &entry) {
        const auto &request = entry.second->request;
        if (request.context) {
            request.context->isCallerGone = true;
        }
        if (request.flow) {
            request.flow->callerGone();
        }
    });
    this->changed.cancel();
}

void CallerConnection::drain()
{
    if (this->pipeline.requests.empty() || this->pipeline.isDraining) {
        return;
    }
    std::ranges::for_each(this->pipeline.requests, [this](Callers::PipelinedRequest &request) {
        const auto &context = this->exchanges.at(request.id)->request.context;
        request.wasSent = context && wasSent(*context);
    });
    this->isReadingOver = true;
    this->abandon(Callers::removeUnsent(this->pipeline));
}

void CallerConnection::endReading()
{
    this->isReadingOver = true;
    boost::system::error_code ignored;
    if (this->pipeline.requests.empty() || this->phase == ReadPhase::Lingering) {
        this->socket.close(ignored);
        return;
    }
    // The pending read ends, while responses to the earlier requests are still written.
    Callers::closeAfterLast(this->pipeline);
    this->socket.shutdown(Asio::ip::tcp::socket::shutdown_receive, ignored);
}

std::optional<Core::Duration> CallerConnection::phaseTimeout() const
{
    const auto limits = callerLimits(this->state);
    switch (this->phase) {
    case ReadPhase::Idle:
        return this->pipeline.requests.empty() ? std::optional<Core::Duration>(limits.idleTimeout) : std::nullopt;
    case ReadPhase::Header:
        return limits.headerTimeout;
    case ReadPhase::Body:
        return limits.idleTimeout;
    case ReadPhase::Lingering:
        return LINGER_TIME;
    case ReadPhase::Paused:
        return std::nullopt;
    }
    return std::nullopt;
}

void CallerConnection::noteAcknowledged(Core::TimePoint now)
{
    const auto unacknowledged = std::min(this->writtenBytes, Network::unacknowledgedBytes(this->socket));
    const auto acknowledged = this->writtenBytes - unacknowledged;
    if (acknowledged > this->acknowledgedBytes) {
        this->acknowledgedBytes = acknowledged;
        this->lastTaken = now;
    }
}

void CallerConnection::check(Core::TimePoint now)
{
    if (!this->socket.is_open()) {
        return;
    }
    if (this->isWriting) {
        this->noteAcknowledged(now);
    }
    if (this->isWriting && now - this->lastTaken >= WRITE_STALL_TIMEOUT) {
        this->cut("no_progress", now);
        return;
    }
    const bool isUnanswered = !this->pipeline.requests.empty();
    if (isUnanswered && !this->isCallerGone && this->phase == ReadPhase::Paused && Network::isClosedByPeer(this->socket)) {
        this->recordCallerGone();
    }
    const auto timeout = this->phaseTimeout();
    if (timeout && now - this->phaseSince >= *timeout) {
        this->endReading();
    }
    if (isUnanswered || this->phase == ReadPhase::Paused) {
        this->advance();
    }
}

void CallerConnection::cut(std::string_view reason, Core::TimePoint now)
{
    if (this->canDropHalfReadRequest()) {
        // The earlier requests may have been sent to a target, and their responses are still wanted.
        this->freeReadingMemory();
        this->endReading();
        return;
    }
    ++this->state.counters.callersCut;
    this->state.log.write(
        Log::Importance::Notable,
        "caller_cut",
        {{"reason", reason},
         {"held_bytes", this->progress().heldBytes},
         {"stalled_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - this->progress().lastProgress).count()}});
    this->close();
}

void CallerConnection::close()
{
    this->isCut = true;
    this->isCallerGone = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    // The response that is being written keeps its bytes until the write ends, which is at once.
    std::ranges::for_each(this->exchanges, [](const auto &entry) {
        entry.second->result.hold.reset();
    });
    this->freeReadingMemory();
    this->abandonAll();
}

void CallerConnection::freeReadingMemory()
{
    this->readingHold = Core::ByteHold(this->state.bodyBudget);
    this->readingBytes = 0;
}

bool CallerConnection::canDropHalfReadRequest() const
{
    return this->phase == ReadPhase::Body && !this->isReadingOver && !this->isWriting && !this->pipeline.requests.empty();
}

Callers::ConnectionProgress CallerConnection::progress() const
{
    const auto answerBytes = this->canDropHalfReadRequest() ? 0 : Callers::bytesFreedByClosing(this->pipeline);
    return {.heldBytes = answerBytes + this->readingBytes,
            .lastProgress = this->isWriting ? this->lastTaken : this->lastProgress,
            .isWaitingForCaller = !this->isCut && (this->isWriting || (this->phase == ReadPhase::Body && !this->isReadingOver))};
}

} // namespace Briarbend::Gateway
