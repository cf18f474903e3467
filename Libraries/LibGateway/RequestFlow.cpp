#include <LibGateway/RequestFlow.h>

#include <LibGateway/AdmissionControl.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;
using Rejection::RequestProgress;

/// Bounds of the delay before a repeatable request is hedged, as shares of the route's objective: early enough for the second target to
/// answer within the objective, late enough to justify the use of the budget.
constexpr double MINIMUM_HEDGE_DELAY_SHARE = 0.35;
constexpr double MAXIMUM_HEDGE_DELAY_SHARE = 0.6;
/// Interval at which a request that still has no target is checked.
constexpr Core::Duration SEARCH_POLL_INTERVAL{std::chrono::milliseconds{20}};
/// Targets that may shed one request before it is refused.
constexpr std::size_t MAXIMUM_SHED_ATTEMPTS = 3;
/// Peers that may refuse a forwarded request before it is refused: one that stops may have offered shortly before.
constexpr std::size_t MAXIMUM_PEERS_TRIED = 2;
/// Retry delay after a refusal by full targets, before jitter: the usual run time of work, after which some slots are free again.
constexpr std::chrono::milliseconds FULL_RETRY_AFTER{150};
/// Retry delay if no target can accept the request: about the time until a new list of targets arrives.
constexpr std::chrono::milliseconds NO_TARGET_RETRY_AFTER{250};
/// Run time of work on a currently fast host, as a share of the usual run time. A caller that such a host could serve in time retries soon.
constexpr double FAST_HOST_WORK_SHARE = 0.6;
/// Retry delay of a caller that is past its objective, as a share of the time for which it still waits. Callers retry after a third of that
/// time at the latest; jitter adds up to half.
constexpr double LATE_RETRY_SHARE = 0.22;
constexpr unsigned FIRST_SERVER_ERROR = 500;

bool hasNoBody(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

Network::Response makeRefusal(GatewayState &state, const std::string &attemptId, const Rejection::Refusal &refusal)
{
    const auto answer = Rejection::finalAnswer(refusal, state.settings.instance.name);
    Network::Response response;
    response.version(Network::HTTP_1_1);
    response.result(answer.status);
    for (const auto &field : answer.fields) {
        response.insert(field.name, field.value);
    }
    if (response.count(Http::field::retry_after) > 0 && refusal.retryAfter) {
        state.dialect.setRetryAfter(response, *refusal.retryAfter);
    }
    if (!attemptId.empty()) {
        state.dialect.setAttemptId(response, attemptId);
    }
    response.set(OWN_ANSWER_FIELD, state.settings.instance.name);
    response.body() = answer.body;
    response.prepare_payload();
    return response;
}

RequestFlow::RequestFlow(std::shared_ptr<RequestContext> requestContext)
    : context(std::move(requestContext))
    , state(this->context->state)
    , changed(std::make_shared<Asio::steady_timer>(this->state.executor))
{
}

RequestFlow::~RequestFlow()
{
    leaveQueue(*this->context);
}

Asio::awaitable<FlowResult> RequestFlow::run()
{
    // A request that was read ahead may have waited behind others of its connection, which does not make its target late.
    this->context->waitedForSlot = this->context->elapsed();
    if (this->context->forwardedBy.empty()) {
        // The instance that forwarded a request has counted it.
        Fleet::countRequest(this->context->service->budget, Core::Clock::now());
    }
    recordArrival(*this->context);
    if (mustWaitFirst(*this->context)) {
        enterQueue(*this->context, this->changed);
    } else {
        this->startAttempt();
    }
    while (!this->finalResponse && !this->context->isCallerGone) {
        const auto remaining = this->context->remaining();
        if (remaining.count() <= 0) {
            this->finishAtDeadline();
            break;
        }
        const bool isWaitingForSlot = this->context->waitingId != 0 && this->pendingAttempts() == 0;
        const auto longest = isWaitingForSlot ? std::min(remaining, this->advanceWaiting()) : remaining;
        if (this->finalResponse) {
            break;
        }
        const bool isHedgePossible = this->mayHedge();
        const bool isSent = isHedgePossible && this->attempts.front().attempt->isSent;
        const auto untilHedge = std::max(this->hedgeDelay() + this->context->waitedForSlot - this->context->elapsed(),
                                         isSent ? Core::Duration{0} : SEARCH_POLL_INTERVAL);
        if (isHedgePossible && untilHedge.count() <= 0) {
            this->startHedge();
            continue;
        }
        co_await this->waitForChange(isHedgePossible ? std::min(longest, untilHedge) : longest);
        this->handleResults();
    }
    leaveQueue(*this->context);
    // If the caller disconnects, work that may run only once is allowed to finish: the caller cannot request it again.
    if (this->isRepeatable() || !this->context->isCallerGone) {
        const bool isHedgeAnswered = this->hasHedged && this->finalResponse && !this->context->isCallerGone
            && this->attempts.back().attempt->result == AttemptResult::Answered;
        std::ranges::for_each(this->attempts, [this, isHedgeAnswered](const TrackedAttempt &tracked) {
            tracked.attempt->cancel(isHedgeAnswered && &tracked == &this->attempts.front());
        });
    }
    FlowResult result{
        .response = {}, .hold = std::move(this->finalHold), .isCallerGone = this->context->isCallerGone, .refusal = this->refusalReason};
    if (this->finalResponse) {
        result.response = std::move(*this->finalResponse);
    }
    co_return result;
}

void RequestFlow::callerGone()
{
    this->context->isCallerGone = true;
    this->changed->cancel();
}

bool RequestFlow::isRepeatable() const
{
    return this->context->route->kind != Configuration::RouteKind::Once;
}

void RequestFlow::startAttempt()
{
    auto attempt = std::make_shared<Attempt>(this->context, [timer = this->changed] {
        timer->cancel();
    });
    this->attempts.push_back({attempt});
    attempt->start();
}

Asio::awaitable<void> RequestFlow::waitForChange(Core::Duration longest)
{
    if (std::ranges::any_of(this->attempts, &TrackedAttempt::hasUnhandledResult)) {
        co_return;
    }
    this->changed->expires_after(longest);
    boost::system::error_code ignored;
    co_await this->changed->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

void RequestFlow::handleResults()
{
    // Handling a result may add an attempt.
    for (std::size_t index = 0; index < this->attempts.size() && !this->finalResponse; ++index) {
        if (this->attempts[index].hasUnhandledResult()) {
            this->attempts[index].isHandled = true;
            this->handleResult(*std::shared_ptr<Attempt>(this->attempts[index].attempt));
        }
    }
}

std::size_t RequestFlow::pendingAttempts() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->attempts, [](const TrackedAttempt &tracked) {
        return tracked.attempt->result == AttemptResult::Pending;
    }));
}

void RequestFlow::handleResult(Attempt &attempt)
{
    const bool isLast = this->pendingAttempts() == 0;
    switch (attempt.result) {
    case AttemptResult::Pending:
        return;
    case AttemptResult::Answered: {
        const bool isFailure = attempt.response.head.result_int() >= FIRST_SERVER_ERROR;
        this->mayHaveRun = true;
        if (!isFailure) {
            this->finishWith(std::move(attempt.response));
            return;
        }
        this->failureResponse = std::move(attempt.response);
        if (isLast && !(this->isRepeatable() && this->maySendAgain())) {
            this->finishWith(std::move(*this->failureResponse));
        }
        return;
    }
    case AttemptResult::Unknown:
        this->mayHaveRun = true;
        if (isLast && !(this->isRepeatable() && this->maySendAgain())) {
            this->refuse(Reason::TargetConnectionLost, {});
        }
        return;
    case AttemptResult::NotRun:
        ++this->shedAttempts;
        if (attempt.wasRefusedByPeer) {
            this->handlePeerRefusal(attempt, isLast);
            return;
        }
        if (isLast && !(this->shedAttempts < MAXIMUM_SHED_ATTEMPTS && this->maySendAgain())) {
            // A target that sheds with free slots does so for a reason other than its load, so waiting for slots is pointless.
            this->refuse(Reason::RefusedByTarget,
                         this->retryDelay(attempt.wasShedWithFreeSlots ? IMMEDIATE_RETRY_AFTER : FULL_RETRY_AFTER));
        }
        return;
    case AttemptResult::Full:
        if (isLast && !this->queueForSlot()) {
            this->refuse(Reason::Overloaded, this->retryDelay(FULL_RETRY_AFTER));
        }
        return;
    case AttemptResult::Quarantined:
        if (isLast) {
            this->refuse(Reason::Quarantined, attempt.retryAfter);
        }
        return;
    case AttemptResult::NoTarget:
        if (isLast) {
            this->refuse(Reason::NoTarget, std::max(attempt.retryAfter, this->retryDelay(NO_TARGET_RETRY_AFTER)));
        }
        return;
    case AttemptResult::NotSent:
        if (isLast) {
            this->refuse(Reason::DeadlinePassedBeforeSending, IMMEDIATE_RETRY_AFTER);
        }
        return;
    }
}

void RequestFlow::handlePeerRefusal(const Attempt &attempt, bool isLast)
{
    if (isLast && this->context->triedPeers.size() < MAXIMUM_PEERS_TRIED) {
        // No target has received the request, so another peer does not draw on the budget.
        this->startAttempt();
    } else if (isLast) {
        this->refuse(Reason::NoTarget, std::max(attempt.retryAfter, this->retryDelay(IMMEDIATE_RETRY_AFTER)));
    }
}

bool RequestFlow::maySendAgain()
{
    const auto used = this->attempts.size() - this->shedAttempts;
    const bool isAllowed = used < this->context->maximumSends() && this->context->remaining().count() > 0;
    if (!isAllowed || !Fleet::takeExtraSend(this->context->service->budget, Core::Clock::now())) {
        return false;
    }
    ++this->state.counters.resends;
    this->startAttempt();
    return true;
}

Core::Duration RequestFlow::hedgeDelay() const
{
    const std::chrono::duration<double, std::milli> objective = this->context->route->objective;
    const auto late = this->state.routes.at(this->context->route->name).responseTimeQuantile.estimate;
    const auto bounded = std::clamp(late, MINIMUM_HEDGE_DELAY_SHARE * objective.count(), MAXIMUM_HEDGE_DELAY_SHARE * objective.count());
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double, std::milli>(bounded));
}

bool RequestFlow::mayHedge() const
{
    const bool hasOnePendingAttempt = this->attempts.size() == 1 && this->attempts.front().attempt->result == AttemptResult::Pending;
    return hasOnePendingAttempt && !this->hasHedged && this->isRepeatable() && this->context->maximumSends() > 1
        && mayHedgeByValue(*this->context);
}

void RequestFlow::startHedge()
{
    this->hasHedged = true;
    if (Fleet::takeExtraSend(this->context->service->budget, Core::Clock::now())) {
        ++this->state.counters.hedges;
        this->context->recordDecision("hedge", {});
        this->startAttempt();
    }
}

void RequestFlow::finishAtDeadline()
{
    const bool isSent = std::ranges::any_of(this->attempts, [](const TrackedAttempt &tracked) {
        return tracked.attempt->isSent && tracked.attempt->result != AttemptResult::NotRun;
    });
    this->mayHaveRun = this->mayHaveRun || isSent;
    if (this->failureResponse) {
        this->finishWith(std::move(*this->failureResponse));
        return;
    }
    this->refuse(this->mayHaveRun ? Reason::DeadlinePassedAfterSending : Reason::DeadlinePassedBeforeSending, IMMEDIATE_RETRY_AFTER);
}

bool RequestFlow::queueForSlot()
{
    if (!this->state.settings.admission.byValue || this->mayHaveRun) {
        return false;
    }
    recordFailedSearch(*this->context);
    if (this->context->waitingId == 0) {
        enterQueue(*this->context, this->changed);
    } else {
        endQueuedSearch(*this->context);
    }
    return true;
}

Core::Duration RequestFlow::advanceWaiting()
{
    const auto decision = decideWaiting(*this->context);
    switch (decision.step) {
    case Admission::WaitingStep::Refuse:
        this->refuse(Reason::Overloaded, refuseWaiting(*this->context, decision));
        return Core::Duration{0};
    case Admission::WaitingStep::Search:
        std::erase_if(this->attempts, [](const TrackedAttempt &tracked) {
            return tracked.isHandled && tracked.attempt->result == AttemptResult::Full;
        });
        beginQueuedSearch(*this->context);
        this->startAttempt();
        return this->context->remaining();
    case Admission::WaitingStep::Wait:
        return decision.decideAgainAt - Core::Clock::now();
    }
    return this->context->remaining();
}

void RequestFlow::finishWith(TargetResponse targetResponse)
{
    Network::Response response{std::move(targetResponse.head)};
    Relay::removeHopByHopFields(response);
    response.erase(Http::field::transfer_encoding);
    this->state.dialect.removeInternalFields(response);
    response.erase(OWN_ANSWER_FIELD);
    response.version(Network::HTTP_1_1);
    const auto status = response.result_int();
    const bool isHead = this->context->head.method() == Http::verb::head;
    response.body() = std::move(targetResponse.body);
    if (!isHead && !hasNoBody(status)) {
        response.content_length(response.body().size());
    }
    this->finalHold.emplace(std::move(targetResponse.hold));
    this->finalResponse = std::move(response);
}

std::chrono::milliseconds RequestFlow::retryDelay(std::chrono::milliseconds minimumDelay) const
{
    const auto &request = *this->context;
    const auto &statistics = this->state.routes.at(request.route->name).statistics;
    const auto work = std::chrono::milliseconds(static_cast<std::int64_t>(statistics.workMilliseconds * FAST_HOST_WORK_SHARE));
    if (request.waitedBefore + request.elapsed() + minimumDelay + work <= request.route->objective) {
        return minimumDelay;
    }
    const auto late = (request.callerTimeout - request.elapsed()) * LATE_RETRY_SHARE;
    return std::max(minimumDelay, std::chrono::duration_cast<std::chrono::milliseconds>(late));
}

void RequestFlow::refuse(Reason reason, std::chrono::milliseconds retryAfter)
{
    if (this->failureResponse) {
        this->finishWith(std::move(*this->failureResponse));
        return;
    }
    // Once a target may have run the request, the refusal must not claim that it did not run.
    const bool promisesNotRun = Rejection::reasonTraits(reason).run != Rejection::RunRule::MayHaveRun;
    const auto truthfulReason = this->mayHaveRun && promisesNotRun ? Reason::TargetConnectionLost : reason;
    Rejection::Refusal refusal{.reason = truthfulReason,
                               .progress = this->mayHaveRun ? RequestProgress::SentOutcomeUnknown
                                   : this->shedAttempts > 0 ? RequestProgress::RefusedByTargetNotRun
                                                            : RequestProgress::NotSent,
                               .retryAfter = Rejection::withJitter(retryAfter, this->state.random)};
    this->context->recordDecision(
        "final_answer", {{"reason", Rejection::reasonTraits(truthfulReason).name}, {"retry_after_ms", refusal.retryAfter->count()}});
    this->refusalReason = truthfulReason;
    this->finalResponse = makeRefusal(this->state, this->context->attemptId, refusal);
}

} // namespace Briarbend::Gateway
