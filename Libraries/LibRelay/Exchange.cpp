#include <LibNetwork/StatusCode.h>
#include <LibRejection/Refusal.h>
#include <LibRelay/Exchange.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;
using Rejection::RequestProgress;

constexpr std::chrono::milliseconds CONNECT_TIMEOUT{500};
/// Time without a byte after which the transfer of a body is aborted.
constexpr std::chrono::seconds BODY_IDLE_TIMEOUT{30};
constexpr std::size_t CHUNK_BYTES = 64UL * 1024;
constexpr std::uint32_t MAXIMUM_RESPONSE_HEAD_BYTES = 64U * 1024;

bool isNotRunRefusal(const Http::response_header<> &head)
{
    return head.result() == Http::status::service_unavailable && head[std::string(Rejection::REQUEST_NOT_RUN_FIELD)] == "?1";
}

std::optional<std::chrono::milliseconds> retryAfterOf(const Http::response_header<> &head)
{
    const auto text = head[Http::field::retry_after];
    unsigned seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/// Beast reports a full or an empty body buffer as an error, which only asks for the next buffer.
void clearNeedBuffer(boost::system::error_code &error)
{
    if (error == Http::error::need_buffer) {
        error = {};
    }
}

} // namespace

Exchange::Exchange(RelayState &relayState,
                   std::shared_ptr<ServiceState> serviceState,
                   CallerConnection callerConnection,
                   std::shared_ptr<const ForwardedRequest> forwarded,
                   const Core::TargetId &target)
    : relay(relayState)
    , service(std::move(serviceState))
    , caller(callerConnection)
    , request(std::move(forwarded))
    , head(this->request->head)
    , targetId(target)
{
    // Counted from here on, so that a choice made before open() runs sees this request.
    this->record.emplace(this->relay, *this->service, this->targetId, Core::Clock::now());
}

Asio::awaitable<bool> Exchange::open()
{
    const auto startedAt = Core::Clock::now();
    bool hasHead = co_await this->connect();
    if (hasHead) {
        hasHead = co_await this->send();
    }
    if (hasHead) {
        hasHead = co_await this->receiveHead();
    }
    this->result.timeToHead = Core::Clock::now() - startedAt;
    if (!hasHead) {
        this->record.reset();
    }
    co_return hasHead;
}

void Exchange::cancel()
{
    this->isCancelled = true;
    if (this->connection) {
        this->connection->stream.cancel();
    }
}

Asio::awaitable<bool> Exchange::connect()
{
    this->connection = this->relay.pool.takeIdle(this->targetId);
    if (this->connection) {
        co_return true;
    }
    const auto now = Core::Clock::now();
    bool isConnected = false;
    bool isRefused = false;
    try {
        this->connection = co_await this->relay.pool.connect(this->targetId, std::min(this->request->deadline, now + CONNECT_TIMEOUT));
        isConnected = true;
    } catch (const boost::system::system_error &error) {
        this->result.failure = Reason::TargetConnectFailed;
        isRefused = error.code() == Asio::error::connection_refused;
    }
    if (isRefused && this->relay.guard != nullptr) {
        this->relay.guard->recordTargetExit(this->targetId);
    }
    if (!isConnected) {
        this->record->connectionLost(Core::Clock::now());
    }
    co_return isConnected && !this->isCancelled;
}

Asio::awaitable<bool> Exchange::send()
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->request->deadline - Core::Clock::now());
    this->head.set(std::string(DEADLINE_FIELD), std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    const auto &body = this->request->body;
    // The serializer only reads the bytes; its interface is shared with parsers, which write them.
    this->head.body().data = this->request->isStreamed || body.empty() ? nullptr : const_cast<char *>(body.data());
    this->head.body().size = this->request->isStreamed ? 0 : body.size();
    this->head.body().more = this->request->isStreamed;
    Http::request_serializer<Http::buffer_body> serializer{this->head};

    // From here on it is unknown whether the target received enough to run the request.
    this->result.progress = RequestProgress::SentOutcomeUnknown;
    auto &stream = this->connection->stream;
    stream.expires_at(this->request->deadline);
    if (this->request->isStreamed) {
        co_return co_await this->sendStreamedBody(serializer);
    }
    boost::system::error_code error;
    co_await Http::async_write(stream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
    clearNeedBuffer(error);
    if (error) {
        this->fail(error);
    }
    co_return !error;
}

Asio::awaitable<bool> Exchange::sendStreamedBody(Http::request_serializer<Http::buffer_body> &serializer)
{
    auto &body = this->head.body();
    auto &callerBody = this->caller.parser.get().body();
    std::vector<char> chunk(CHUNK_BYTES);
    this->caller.buffer.reserve(CHUNK_BYTES);
    boost::system::error_code error;
    do {
        callerBody.data = chunk.data();
        callerBody.size = chunk.size();
        if (!this->caller.parser.is_done()) {
            this->caller.stream.expires_after(BODY_IDLE_TIMEOUT);
            co_await Http::async_read_some(
                this->caller.stream, this->caller.buffer, this->caller.parser, Asio::redirect_error(Asio::use_awaitable, error));
            clearNeedBuffer(error);
        }
        if (error) {
            this->result.isCallerGone = true;
            this->result.isCallerUsable = false;
            co_return false;
        }
        const auto length = chunk.size() - callerBody.size;
        if (length == 0 && !this->caller.parser.is_done()) {
            // Only the header of a chunk arrived. Writing an empty chunk would end the message.
            continue;
        }
        body.data = chunk.data();
        body.size = length;
        body.more = !this->caller.parser.is_done();
        this->connection->stream.expires_after(BODY_IDLE_TIMEOUT);
        co_await Http::async_write(this->connection->stream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
        clearNeedBuffer(error);
        if (error) {
            this->result.isCallerUsable = false;
            this->fail(error);
            co_return false;
        }
    } while (!serializer.is_done());
    // After a long upload the target still gets the full time that the route allows.
    this->connection->stream.expires_after(this->request->timeAllowed);
    co_return true;
}

Asio::awaitable<bool> Exchange::receiveHead()
{
    boost::system::error_code error;
    std::size_t answers = 0;
    do {
        if (answers++ > Network::MAXIMUM_INTERIM_RESPONSES) {
            error = Http::error::header_limit;
            break;
        }
        this->parser.emplace();
        this->parser->header_limit(MAXIMUM_RESPONSE_HEAD_BYTES);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->head.method() == Http::verb::head);
        co_await Http::async_read_header(
            this->connection->stream, this->connection->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
        error = Network::checkResponseHead(error, this->parser->get().base());
    } while (!error && Network::isInterimStatusCode(this->parser->get().result_int()));
    if (error) {
        this->fail(error);
        co_return false;
    }
    if (!this->isResponseToRequest()) {
        this->fail(Http::error::unexpected_body);
        co_return false;
    }
    this->recordHead();
    co_return true;
}

bool Exchange::isResponseToRequest()
{
    const auto named = this->parser->get()[std::string(REQUEST_ID_FIELD)];
    this->hasMatchingRequestId = named == this->request->requestId;
    if (this->hasMatchingRequestId || (named.empty() && !this->connection->isReused)) {
        return true;
    }
    // A late second response to an earlier request. Later bytes on the connection can not be attributed to a request either.
    this->relay.pool.disableReuse(this->targetId);
    return false;
}

void Exchange::recordHead()
{
    const auto &answerHead = this->parser->get();
    this->result.status = answerHead.result_int();
    Routing::Outcome outcome;
    outcome.report = Routing::parseLoadReport(answerHead[std::string(LOAD_REPORT_FIELD)]);
    this->result.progress = isNotRunRefusal(answerHead) ? RequestProgress::RefusedByTargetNotRun : RequestProgress::Answered;
    if (this->result.progress == RequestProgress::RefusedByTargetNotRun) {
        outcome.kind = Routing::OutcomeKind::Shed;
        this->result.failure = Reason::RefusedByTarget;
        this->result.retryAfter = retryAfterOf(answerHead);
    } else if (answerHead.result_int() >= 500) {
        outcome.kind = Routing::OutcomeKind::Failure;
    }
    this->record->answered(outcome, Core::Clock::now());
}

Asio::awaitable<void> Exchange::discardResponse()
{
    this->connection->stream.expires_after(CONNECT_TIMEOUT);
    std::vector<char> chunk(CHUNK_BYTES);
    std::size_t length = 0;
    std::size_t total = 0;
    bool isWhole = true;
    while (isWhole && !this->parser->is_done() && total < CHUNK_BYTES) {
        isWhole = co_await this->readSome(chunk, length);
        total += length;
    }
    this->finish();
}

Asio::awaitable<bool> Exchange::readSome(std::vector<char> &chunk, std::size_t &length)
{
    auto &body = this->parser->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    this->connection->stream.expires_after(BODY_IDLE_TIMEOUT);
    boost::system::error_code error;
    co_await Http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
    clearNeedBuffer(error);
    length = chunk.size() - body.size;
    co_return !error;
}

void Exchange::growReadBuffer()
{
    // A read fetches no more than the buffer has room for, which is little after a short head.
    this->connection->buffer.reserve(CHUNK_BYTES);
}

bool Exchange::hasBufferedBytes() const
{
    return this->connection->buffer.size() > 0;
}

void Exchange::finish()
{
    const bool isWhole = this->parser->is_done() && this->parser->keep_alive();
    const bool hasExtraBytes = this->connection->buffer.size() > 0;
    if (isWhole && hasExtraBytes) {
        this->relay.pool.disableReuse(this->targetId);
    }
    // Only a response with the request's id can be told apart from a second response to the previous request.
    if (isWhole && !hasExtraBytes && this->hasMatchingRequestId) {
        this->relay.pool.returnIdle(std::move(this->connection), Core::Clock::now());
    }
    this->connection.reset();
    this->record.reset();
}

Exchange::ResponseParser &Exchange::answer()
{
    return *this->parser;
}

const Core::TargetId &Exchange::target() const
{
    return this->targetId;
}

void Exchange::fail(const boost::system::error_code &error)
{
    this->connection.reset();
    if (this->isCancelled) {
        return;
    }
    const auto now = Core::Clock::now();
    if (error == boost::beast::error::timeout) {
        this->result.failure = Reason::DeadlinePassedAfterSending;
        this->record->answered({.kind = Routing::OutcomeKind::Failure, .report = {}}, now);
        return;
    }
    if (isProtocolError(error)) {
        this->result.failure = Reason::BadGatewayAnswer;
        this->record->answered({.kind = Routing::OutcomeKind::Failure, .report = {}}, now);
        return;
    }
    this->result.failure = Reason::TargetConnectionLost;
    this->result.isTargetConnectionLost = true;
    this->record->connectionLost(now);
}

} // namespace Briarbend::Relay
