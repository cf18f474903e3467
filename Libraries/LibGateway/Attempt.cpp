#include <LibGateway/Attempt.h>

#include <LibGateway/AdmissionControl.h>
#include <LibGateway/HealthCheck.h>
#include <LibGateway/TargetContact.h>
#include <LibGateway/TargetReports.h>
#include <LibNetwork/StatusCode.h>
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

/// Subtracted from the time that the target is given, so that its response arrives in time. Exceeds a round trip between data centres.
constexpr std::chrono::milliseconds RETURN_TIME_RESERVE{10};
/// With less time left nothing is sent: no target answers faster.
constexpr std::chrono::milliseconds MINIMUM_TIME_TO_SEND{20};
/// Divisor of the objective that gives the longest time for which a suspect request waits for its trial.
constexpr int TRIAL_WAIT_DIVISOR = 4;
/// Another search follows where the target that was found was withdrawn, or the choice was outdated, before the send.
constexpr std::size_t MAXIMUM_SEARCHES = 3;
/// A target that was asked longer ago may have left meanwhile. Only a busy process takes so long: the answer comes within
/// HEALTH_CHECK_TIMEOUT.
constexpr std::chrono::milliseconds MAXIMUM_CHOICE_AGE{1000};
constexpr std::uint32_t MAXIMUM_RESPONSE_HEADER_BYTES = 64U * 1024;
constexpr std::size_t READ_BUFFER_BYTES = 16UL * 1024;

} // namespace

Attempt::Attempt(std::shared_ptr<RequestContext> requestContext, std::function<void()> endedCallback)
    : response(requestContext->state.bodyBudget)
    , context(std::move(requestContext))
    , onEnded(std::move(endedCallback))
    , service(this->context->service)
{
}

void Attempt::start()
{
    spawn(this->context->state, "attempt", runKeepingAlive(this->shared_from_this()));
}

void Attempt::cancel(bool wasOvertaken)
{
    if (this->result != AttemptResult::Pending) {
        return;
    }
    this->isCancelled = true;
    this->isOvertaken = wasOvertaken;
    if (this->connection) {
        this->connection->stream.close();
    }
}

Asio::awaitable<void> Attempt::runKeepingAlive(std::shared_ptr<Attempt> self)
{
    co_await self->run();
}

Asio::awaitable<void> Attempt::run()
{
    for (std::size_t searches = 0; this->result == AttemptResult::Pending && searches < MAXIMUM_SEARCHES; ++searches) {
        co_await this->searchAndSend();
    }
    if (this->result == AttemptResult::Pending) {
        this->result = AttemptResult::NoTarget;
    }
    this->connection.reset();
    this->onEnded();
}

Asio::awaitable<void> Attempt::searchAndSend()
{
    if (Fleet::isCutOff(this->context->state.connectivity) && this->context->state.findPeer) {
        co_await this->forward();
        co_return;
    }
    auto query = this->query();
    const auto split = this->drawVersion(query);
    auto found = co_await findTarget(this->context->state, query);
    const bool mayFallBack = split && !query.input.isVersionExcluded && split->fallback == VersionFallback::OtherVersions;
    if (found.searchFailure != SearchFailure::None && mayFallBack) {
        query.input.isVersionExcluded = true;
        query.input.sampled.clear();
        found = co_await findTarget(this->context->state, query);
    }
    this->isTargetBusy = !query.input.sampled.empty();
    if (found.searchFailure != SearchFailure::None) {
        this->context->recordDecision(
            found.searchFailure == SearchFailure::Full ? "all_full" : "no_target",
            {{"service", this->service->name.value}, {"probes", found.probes}, {"expected_us", found.expectedTime.count()}});
        this->retryAfter = found.untilRequestsAccepted;
        if (found.searchFailure == SearchFailure::NoTarget && this->isForwardingUseful()) {
            co_await this->forward();
            co_return;
        }
        this->result = found.searchFailure == SearchFailure::Full ? AttemptResult::Full : AttemptResult::NoTarget;
    } else if (this->isAbandoned()) {
        this->context->state.pool.returnIdle(std::move(found.connection), Core::Clock::now());
        this->result = AttemptResult::NotSent;
    } else {
        co_await this->sendIfPermitted(std::move(found));
    }
}

bool Attempt::isAbandoned() const
{
    return this->isCancelled || this->context->isCallerGone || this->context->remaining() < MINIMUM_TIME_TO_SEND;
}

TargetQuery Attempt::query() const
{
    auto &state = this->context->state;
    const auto &route = *this->context->route;
    TargetQuery query{.service = this->service,
                      .route = &route,
                      .input = {.ownDataCentre = state.settings.instance.dataCentre,
                                .dataCentresOut = state.dataCentresOut,
                                .excluded = this->context->triedTargets,
                                .version = {},
                                .isVersionExcluded = false,
                                .sampled = {},
                                .isTrialAllowed = route.kind != Configuration::RouteKind::Once,
                                .distance = state.distance,
                                .transferCostPerKibibyte = state.crossDataCentreCostPerKibibyte},
                      .slot = {.remaining = this->context->remaining(), .objectiveLeft = this->context->objectiveLeft()}};
    planSearch(*this->context, query);
    return query;
}

Asio::awaitable<void> Attempt::sendIfPermitted(FoundTarget found)
{
    auto &state = this->context->state;
    if (this->context->waitingId != 0) {
        leaveQueue(*this->context);
        // Where one request found a slot, the next of the queue may find another.
        recordSlotFreed(state, *this->service);
    }
    this->name = found.name;
    this->version = found.version;
    this->isCold = found.isCold;
    this->connection = std::move(found.connection);
    this->address = this->connection->target();
    bool isTrial = false;
    if (state.guard != nullptr && !state.guard->isUnsuspected(this->context->fingerprint)) {
        // A suspect request that cannot get its trial soon is refused rather than delayed.
        const Core::Duration patience = this->context->route->objective / TRIAL_WAIT_DIVISOR;
        const auto deadline = Core::Clock::now() + std::min(this->context->remaining(), patience);
        const auto permission = co_await state.guard->awaitPermission(this->context->fingerprint, this->address, deadline);
        isTrial = permission.verdict == Relay::RequestGuard::Verdict::SendAsTrial;
        if (permission.verdict == Relay::RequestGuard::Verdict::Refuse) {
            this->context->recordDecision("quarantined", {{"retry_after_ms", permission.retryAfter.count()}});
            this->retryAfter = permission.retryAfter;
            this->result = AttemptResult::Quarantined;
            co_return;
        }
    }
    const auto choiceAge = std::chrono::duration_cast<std::chrono::milliseconds>(Network::bootNow() - found.askedAtBoot);
    if (this->context->isCallerGone || choiceAge > MAXIMUM_CHOICE_AGE || !this->isStillAvailable() || !this->takeSendPermit()) {
        this->context->recordDecision("target_withdrawn", {{"target", this->name}, {"choice_age_ms", choiceAge.count()}});
        if (isTrial) {
            state.guard->endTrial(this->context->fingerprint);
        }
        co_return;
    }
    this->context->triedTargets.push_back(this->name);
    this->context->recordDecision("send",
                                  {{"target", this->name},
                                   {"version", this->version.value},
                                   {"probes", found.probes},
                                   {"expected_us", found.expectedTime.count()},
                                   {"choice_age_ms", choiceAge.count()},
                                   {"cold", found.isCold},
                                   {"trial", isTrial}});
    co_await this->sendAndReceive();
    if (state.guard != nullptr) {
        co_await this->reportToGuard(isTrial);
    }
}

Asio::awaitable<void> Attempt::reportToGuard(bool isTrial)
{
    auto &guard = *this->context->state.guard;
    const bool isOwnFault
        = Fleet::mayBeCutOff(this->context->state.connectivity) || Fleet::explainsLoss(this->context->state.connectivity, this->sentAt);
    if (this->isConnectionLost && !this->isCancelled && !isOwnFault) {
        // The result is published only after the peers know: the flow would send again at once.
        const auto known = std::exchange(this->result, AttemptResult::Pending);
        co_await guard.recordConnectionLoss(this->context->fingerprint, this->address, isTrial);
        // Few other requests may come that would show whether the target is alive.
        verifyTarget(this->context->state, this->service, this->name);
        this->result = known;
    } else if (this->result == AttemptResult::Answered) {
        guard.recordCompletion(this->context->fingerprint, this->sentAt);
    }
    if (isTrial) {
        guard.endTrial(this->context->fingerprint);
    }
}

std::optional<VersionSplit> Attempt::drawVersion(TargetQuery &query) const
{
    auto &state = this->context->state;
    auto split = state.versionSplitFor ? state.versionSplitFor(this->service->name, this->context->route->name) : std::nullopt;
    if (!split) {
        return std::nullopt;
    }
    // A second send serves the caller and need not test the new version: while there are two versions it goes to the old one.
    const bool isRepeat = !this->context->triedTargets.empty() && split->newShare < 1;
    query.input.version = split->newVersion;
    query.input.isVersionExcluded = isRepeat || state.random.unit() >= split->newShare;
    if (!query.input.isVersionExcluded) {
        query.input.sampled = split->newVersionTargets;
    }
    return split;
}

Fleet::TargetState *Attempt::target()
{
    auto *targetState = Fleet::findTarget(*this->service, this->name);
    return targetState != nullptr && targetState->record.startedAtMilliseconds == this->targetStartedAt ? targetState : nullptr;
}

bool Attempt::isStillAvailable() const
{
    const auto *targetState = Fleet::findTarget(*this->service, this->name);
    return targetState != nullptr && !targetState->isLeaving && !targetState->record.isLeaving
        && targetState->quietUntil <= Core::Clock::now();
}

bool Attempt::takeSendPermit()
{
    auto *targetState = Fleet::findTarget(*this->service, this->name);
    return targetState != nullptr && Fleet::takeSendPermit(*targetState, Core::Clock::now());
}

bool Attempt::isForeign(const ResponseMetadata &metadata) const
{
    if (metadata.attemptId.empty()) {
        // A duplicate response of the health path carries no attempt identifier. One that refuses promises that its request has not run,
        // which must not be told of another.
        const bool isPromise = metadata.isNotRun || metadata.isMisdirected;
        return (this->service->echoesAttemptIds || isPromise) && !this->context->attemptId.empty();
    }
    return metadata.attemptId != this->context->attemptId;
}

Asio::awaitable<void> Attempt::sendAndReceive()
{
    auto &state = this->context->state;
    this->sentAt = Core::Clock::now();
    if (auto *targetState = Fleet::findTarget(*this->service, this->name)) {
        this->targetStartedAt = targetState->record.startedAtMilliseconds;
        this->isFar = targetState->record.dataCentre != state.settings.instance.dataCentre;
        this->isTargetBusy = this->isTargetBusy || Fleet::isBusy(*targetState);
        ++targetState->ownInFlight;
        Fleet::recordSent(*targetState, this->sentAt);
    }
    if (!this->isForwarded && this->context->triedTargets.size() == 1) {
        recordSlotTaken(*this->context);
    }
    if (state.onSent && !this->isForwarded) {
        this->pending = state.onSent(this->observation());
    }
    ++state.counters.sends;
    state.counters.farSends += this->isFar ? 1 : 0;
    this->countForTenant();
    // Once the first byte is sent, it is unknown whether the target received enough to run the request.
    this->isSent = true;
    this->result = AttemptResult::Pending;
    const bool isWhole = co_await this->send() && co_await this->receive();
    if (auto *targetState = this->target(); targetState != nullptr && targetState->ownInFlight > 0) {
        --targetState->ownInFlight;
    }
    recordSlotFreed(state, *this->service);
    if (!isWhole) {
        if (this->isConnectionLost && !this->isCancelled) {
            recordTargetUnreachable(state, this->name);
        }
        this->result = AttemptResult::Unknown;
        if (!this->isCancelled || this->isOvertaken) {
            this->recordSendOutcome(this->isOvertaken ? Fleet::SendOutcome::Overtaken : Fleet::SendOutcome::Lost);
        }
    }
    this->pending.reset();
    this->recordResult();
}

Asio::awaitable<bool> Attempt::send()
{
    auto &state = this->context->state;
    using Body = Http::span_body<const char>;
    Http::request<Body> request{Http::request_header<>(this->context->head)};
    const auto left = std::max(std::chrono::milliseconds{1},
                               std::chrono::duration_cast<std::chrono::milliseconds>(this->context->remaining()) - RETURN_TIME_RESERVE);
    if (this->isForwarded) {
        state.dialect.setRemaining(request, left);
        request.set(FORWARDED_BY_FIELD, state.settings.instance.name);
        if (!this->context->tenantKey.empty()) {
            state.dialect.setForwardedKey(request, this->context->tenantKey);
        }
    } else {
        state.dialect.setTargetFields(request, left, this->name);
    }
    request.body() = Body::value_type(this->context->body.data(), this->context->body.size());
    this->connection->stream.expires_after(std::max(Core::Duration{0}, this->context->remaining()));
    boost::system::error_code error;
    const auto bytes = co_await Http::async_write(this->connection->stream, request, Asio::redirect_error(Asio::use_awaitable, error));
    this->hasWritten = bytes > 0;
    if (error) {
        this->failure = "write: " + error.message();
        this->isConnectionLost = error != boost::beast::error::timeout;
    }
    co_return !error;
}

Asio::awaitable<bool> Attempt::receive()
{
    auto &state = this->context->state;
    for (std::size_t foreign = 0; foreign <= MAXIMUM_FOREIGN_RESPONSES; ++foreign) {
        Http::response_parser<Http::buffer_body> parser;
        parser.header_limit(MAXIMUM_RESPONSE_HEADER_BYTES);
        parser.body_limit(state.settings.memory.longestAnswer);
        parser.skip(this->context->head.method() == Http::verb::head);
        boost::system::error_code error;
        co_await Http::async_read_header(
            this->connection->stream, this->connection->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (!error && !this->isForwarded) {
            recordTargetHeard(state);
        }
        error = Network::checkResponseHead(error, parser.get().base());
        if (error) {
            this->failure = "read: " + error.message();
            this->isConnectionLost = error != boost::beast::error::timeout && !Relay::isProtocolError(error);
            co_return false;
        }
        const auto metadata = state.dialect.readResponseMetadata(parser.get().base());
        const bool isOfOther = this->isForeign(metadata);
        const bool isInterim = Network::isInterimStatusCode(parser.get().result_int());
        const auto source = isOfOther || isInterim ? ReportSource::OtherResponse : ReportSource::Response;
        if (!this->isForwarded) {
            recordTargetReport(state, *this->service, this->name, this->targetStartedAt, source, metadata);
        }
        if (!co_await this->receiveBody(parser, !isOfOther && !isInterim)) {
            co_return false;
        }
        if (isOfOther || isInterim) {
            state.counters.unmatchedResponses += isOfOther ? 1 : 0;
            continue;
        }
        // A peer names the attempt in its own refusals, whatever targets do.
        this->service->echoesAttemptIds = this->service->echoesAttemptIds || (!this->isForwarded && !metadata.attemptId.empty());
        this->response.head = parser.get().base();
        this->isForwarded ? this->evaluatePeerResponse(metadata) : this->evaluateResponse(metadata);
        if (parser.keep_alive() && this->result != AttemptResult::Unknown && foreign == 0 && !metadata.isLeaving) {
            returnConnection(state, std::move(this->connection), this->response.head);
        }
        co_return this->result != AttemptResult::Unknown;
    }
    this->failure = "received only responses to other requests";
    co_return false;
}

Asio::awaitable<bool> Attempt::receiveBody(Http::response_parser<Http::buffer_body> &parser, bool isKept)
{
    std::vector<char> chunk(parser.is_done() ? 0 : READ_BUFFER_BYTES);
    if (isKept && parser.content_length()) {
        this->response.body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*parser.content_length(), READ_BUFFER_BYTES * 64)));
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
        this->context->state.counters.farResponseBytes += this->isFar ? chunk.size() - body.size : 0;
        if (isKept && !takeMemory(this->context->state, this->response.hold, this->response.body.size() + chunk.size() - body.size)) {
            this->failure = "body: memory limit for bodies reached";
            co_return false;
        }
        if (isKept) {
            this->response.body.append(chunk.data(), chunk.size() - body.size);
        }
    }
    co_return true;
}

} // namespace Briarbend::Gateway
