#include <LibGateway/Attempt.h>

#include <LibGateway/HealthCheck.h>
#include <LibGateway/TargetReports.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Taken off the time that is left for the target, so that its last answer is back in time. Above a round trip between data centres.
constexpr std::chrono::milliseconds WAY_BACK{10};
/// Not worth a send: no target answers in less.
constexpr std::chrono::milliseconds SHORTEST_USEFUL_TIME{20};
/// Part of the objective, as its divisor, for which a suspect request waits for its trial.
constexpr int TRIAL_PATIENCE_DIVISOR = 4;
constexpr std::uint32_t LONGEST_ANSWER_HEAD = 64U * 1024;
constexpr std::size_t READ_BYTES = 16UL * 1024;

} // namespace

Attempt::Attempt(std::shared_ptr<RequestContext> requestContext, std::function<void()> endedCallback)
    : answer(requestContext->state.bodies)
    , context(std::move(requestContext))
    , onEnded(std::move(endedCallback))
    , book(this->context->book)
{
}

void Attempt::start()
{
    spawn(this->context->state, "attempt", runKept(this->shared_from_this()));
}

void Attempt::cancel(bool wasOvertaken)
{
    if (this->end != AttemptEnd::Pending) {
        return;
    }
    this->isCancelled = true;
    this->isOvertaken = wasOvertaken;
    if (this->connection) {
        this->connection->stream.close();
    }
}

Asio::awaitable<void> Attempt::runKept(std::shared_ptr<Attempt> self)
{
    co_await self->run();
}

Asio::awaitable<void> Attempt::run()
{
    auto wish = this->wish();
    const auto split = this->drawVersion(wish);
    auto found = co_await findTarget(this->context->state, wish);
    const bool mayFallBack = split && !wish.input.isVersionExcluded && split->fallback == VersionFallback::ToOld;
    if (found.obstacle != Obstacle::None && mayFallBack) {
        wish.input.isVersionExcluded = true;
        wish.input.sampled.clear();
        found = co_await findTarget(this->context->state, wish);
    }
    if (found.obstacle != Obstacle::None) {
        this->context->note(found.obstacle == Obstacle::Full ? "all_full" : "no_target",
                            {{"service", this->book->name.value}, {"probes", found.probes}, {"expected_us", found.expectedTime.count()}});
        this->comeBack = found.untilRequestsWanted;
        this->end = found.obstacle == Obstacle::Full ? AttemptEnd::Full : AttemptEnd::NoTarget;
    } else if (this->isCancelled || this->context->isCallerGone || this->context->remaining() < SHORTEST_USEFUL_TIME) {
        this->context->state.pool.returnIdle(std::move(found.connection), Core::Clock::now());
        this->end = AttemptEnd::NotSent;
    } else {
        co_await this->sendGuarded(std::move(found));
    }
    this->connection.reset();
    this->onEnded();
}

TargetWish Attempt::wish() const
{
    auto &state = this->context->state;
    const auto &route = *this->context->route;
    TargetWish wish{.book = this->book,
                    .route = &route,
                    .input = {.ownDataCentre = state.settings.instance.dataCentre,
                              .dataCentresOut = state.dataCentresOut,
                              .excluded = this->context->tried,
                              .version = {},
                              .isVersionExcluded = false,
                              .sampled = {},
                              .isTrialAllowed = route.kind != Configuration::RouteKind::Once,
                              .distance = state.distance,
                              .transferCostPerKibibyte = state.crossingPerKibibyte},
                    .remaining = this->context->remaining(),
                    .objectiveLeft = route.objective - this->context->waitedBefore - this->context->elapsed()};
    return wish;
}

Asio::awaitable<void> Attempt::sendGuarded(FoundTarget found)
{
    auto &state = this->context->state;
    this->name = found.name;
    this->version = found.version;
    this->isCold = found.isCold;
    this->connection = std::move(found.connection);
    this->address = this->connection->target();
    bool isTrial = false;
    if (state.guard != nullptr && !state.guard->isUnsuspected(this->context->fingerprint)) {
        // A suspect that cannot be tried soon is refused and not held back.
        const Core::Duration patience = this->context->route->objective / TRIAL_PATIENCE_DIVISOR;
        const auto deadline = Core::Clock::now() + std::min(this->context->remaining(), patience);
        const auto permission = co_await state.guard->awaitPermission(this->context->fingerprint, this->address, deadline);
        isTrial = permission.verdict == Relay::RequestGuard::Verdict::SendAsTrial;
        if (permission.verdict == Relay::RequestGuard::Verdict::Refuse) {
            this->context->note("quarantined", {{"retry_after_ms", permission.retryAfter.count()}});
            this->comeBack = permission.retryAfter;
            this->end = AttemptEnd::Quarantined;
            co_return;
        }
        if (!this->isStillWanted()) {
            this->context->note("target_withdrawn", {{"target", this->name}});
            if (isTrial) {
                state.guard->endTrial(this->context->fingerprint);
            }
            this->end = AttemptEnd::NoTarget;
            co_return;
        }
    }
    this->context->tried.push_back(this->name);
    this->context->note("send",
                        {{"target", this->name},
                         {"version", this->version.value},
                         {"probes", found.probes},
                         {"expected_us", found.expectedTime.count()},
                         {"cold", found.isCold},
                         {"trial", isTrial}});
    co_await this->exchange();
    if (state.guard != nullptr) {
        co_await this->tellGuard(isTrial);
    }
}

Asio::awaitable<void> Attempt::tellGuard(bool isTrial)
{
    auto &guard = *this->context->state.guard;
    if (this->isConnectionLost && !this->isCancelled) {
        // The end is told after the peers know: the flow would send again at once.
        const auto known = std::exchange(this->end, AttemptEnd::Pending);
        co_await guard.recordConnectionLoss(this->context->fingerprint, this->address, isTrial);
        this->end = known;
    } else if (this->end == AttemptEnd::Answered) {
        guard.recordCompletion(this->context->fingerprint, this->sentAt);
    }
    if (isTrial) {
        guard.endTrial(this->context->fingerprint);
    }
}

std::optional<VersionSplit> Attempt::drawVersion(TargetWish &wish) const
{
    auto &state = this->context->state;
    auto split = state.splitOf ? state.splitOf(this->book->name, this->context->route->name) : std::nullopt;
    if (!split) {
        return std::nullopt;
    }
    // A second send is for the caller's sake, not for the evidence: as long as there are two versions it goes to the proven one.
    const bool isRepeat = !this->context->tried.empty() && split->newShare < 1;
    wish.input.version = split->newVersion;
    wish.input.isVersionExcluded = isRepeat || state.random.unit() >= split->newShare;
    if (!wish.input.isVersionExcluded) {
        wish.input.sampled = split->sampled;
    }
    return split;
}

Fleet::TargetState *Attempt::target()
{
    auto *belief = Fleet::findTarget(*this->book, this->name);
    return belief != nullptr && belief->record.startedAtMilliseconds == this->targetStartedAt ? belief : nullptr;
}

bool Attempt::isStillWanted() const
{
    const auto *belief = Fleet::findTarget(*this->book, this->name);
    return belief != nullptr && !belief->isLeaving && !belief->record.isLeaving && belief->quietUntil <= Core::Clock::now();
}

bool Attempt::isForeign(const TargetStatement &statement) const
{
    if (statement.attemptId.empty()) {
        // A second copy of an answer on the health path names nothing.
        return this->book->echoesAttemptIds && !this->context->attemptId.empty();
    }
    return statement.attemptId != this->context->attemptId;
}

Asio::awaitable<void> Attempt::exchange()
{
    auto &state = this->context->state;
    this->sentAt = Core::Clock::now();
    if (auto *belief = Fleet::findTarget(*this->book, this->name)) {
        this->targetStartedAt = belief->record.startedAtMilliseconds;
        this->isFar = belief->record.dataCentre != state.settings.instance.dataCentre;
        ++belief->ownInFlight;
        Fleet::recordSent(*belief, this->sentAt);
    }
    ++state.counters.sends;
    state.counters.farSends += this->isFar ? 1 : 0;
    // From the first byte on nobody can tell whether the target got enough to run the request.
    this->isSent = true;
    this->end = AttemptEnd::Pending;
    bool isWhole = co_await this->send();
    if (isWhole) {
        isWhole = co_await this->receive();
    }
    if (auto *belief = this->target(); belief != nullptr && belief->ownInFlight > 0) {
        --belief->ownInFlight;
    }
    if (!isWhole) {
        this->end = AttemptEnd::Unknown;
        if (!this->isCancelled || this->isOvertaken) {
            this->learn(this->isOvertaken ? Fleet::SendOutcome::Overtaken : Fleet::SendOutcome::Lost);
        }
    }
    this->noteEnd();
}

Asio::awaitable<bool> Attempt::send()
{
    auto &state = this->context->state;
    using Body = Http::span_body<const char>;
    Http::request<Body> request{Http::request_header<>(this->context->head)};
    const auto left = std::max(std::chrono::milliseconds{1},
                               std::chrono::duration_cast<std::chrono::milliseconds>(this->context->remaining()) - WAY_BACK);
    state.dialect.addressTarget(request, left, this->name);
    request.body() = Body::value_type(this->context->body.data(), this->context->body.size());
    this->connection->stream.expires_after(std::max(Core::Duration{0}, this->context->remaining()));
    boost::system::error_code error;
    co_await Http::async_write(this->connection->stream, request, Asio::redirect_error(Asio::use_awaitable, error));
    if (error) {
        this->failure = "write: " + error.message();
        this->isConnectionLost = error != boost::beast::error::timeout;
    }
    co_return !error;
}

Asio::awaitable<bool> Attempt::receive()
{
    auto &state = this->context->state;
    for (std::size_t foreign = 0; foreign <= MOST_FOREIGN_ANSWERS; ++foreign) {
        Http::response_parser<Http::buffer_body> parser;
        parser.header_limit(LONGEST_ANSWER_HEAD);
        parser.body_limit(state.settings.memory.longestAnswer);
        parser.skip(this->context->head.method() == Http::verb::head);
        boost::system::error_code error;
        co_await Http::async_read_header(
            this->connection->stream, this->connection->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            this->failure = "read: " + error.message();
            this->isConnectionLost = error != boost::beast::error::timeout && !Relay::isProtocolError(error);
            co_return false;
        }
        const auto statement = state.dialect.readTarget(parser.get().base());
        const bool isOfOther = this->isForeign(statement);
        const bool isInterim = parser.get().result_int() / 100 == 1;
        learnReport(state, *this->book, this->name, this->targetStartedAt, statement);
        if (!co_await this->receiveBody(parser, !isOfOther && !isInterim)) {
            co_return false;
        }
        if (isOfOther || isInterim) {
            state.counters.foreignAnswers += isOfOther ? 1 : 0;
            continue;
        }
        this->book->echoesAttemptIds = this->book->echoesAttemptIds || !statement.attemptId.empty();
        this->answer.head = parser.get().base();
        this->judge(statement);
        if (parser.keep_alive() && this->end != AttemptEnd::Unknown && foreign == 0 && !statement.isLeaving) {
            keepConnection(state, std::move(this->connection), this->answer.head);
        }
        co_return this->end != AttemptEnd::Unknown;
    }
    this->failure = "only answers to other requests";
    co_return false;
}

Asio::awaitable<bool> Attempt::receiveBody(Http::response_parser<Http::buffer_body> &parser, bool isKept)
{
    std::vector<char> chunk(parser.is_done() ? 0 : READ_BYTES);
    if (isKept && parser.content_length()) {
        this->answer.body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*parser.content_length(), READ_BYTES * 64)));
    }
    while (!parser.is_done()) {
        auto &body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        boost::system::error_code error;
        co_await Http::async_read_some(
            this->connection->stream, this->connection->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error && error != Http::error::need_buffer) {
            this->failure = "body: " + error.message();
            co_return false;
        }
        this->context->state.counters.farAnswerBytes += this->isFar ? chunk.size() - body.size : 0;
        if (isKept && !this->answer.held.growTo(this->answer.body.size() + chunk.size() - body.size)) {
            this->failure = "body: no memory left for bodies";
            co_return false;
        }
        if (isKept) {
            this->answer.body.append(chunk.data(), chunk.size() - body.size);
        }
    }
    co_return true;
}

} // namespace Briarbend::Gateway
