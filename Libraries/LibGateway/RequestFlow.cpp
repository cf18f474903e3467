#include <LibGateway/RequestFlow.h>

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

/// Bounds of the time after which a request that may be repeated is sent to a second target, as shares of the route's objective: early
/// enough for the second target to answer within it, late enough to be worth a part of the budget.
constexpr double EARLIEST_HEDGE = 0.35;
constexpr double LATEST_HEDGE = 0.6;
/// Time after which a request that is still without a target is looked at again.
constexpr Core::Duration SEARCH_POLL{std::chrono::milliseconds{20}};
/// Targets that may shed one request before it is refused.
constexpr std::size_t MOST_SHED_ATTEMPTS = 3;
/// When callers come back after a refusal, before jitter: the usual work of a target, so that some of its slots are free again.
constexpr std::chrono::milliseconds FULL_RETRY_AFTER{150};
/// The same where no target can take the request: about the time in which a new list of targets comes.
constexpr std::chrono::milliseconds NO_TARGET_RETRY_AFTER{250};
/// Work on a host that is fast at the moment, as a part of the usual: a caller who could be served by one in time comes back for it.
constexpr double FAST_WORK_PART = 0.6;
/// Part of the time for which a caller still waits after which it is told to come back where it is late already. Callers come back after a
/// third of that time at the latest; jitter adds up to half.
constexpr double LATE_RETURN_PART = 0.22;
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
        state.dialect.nameAttempt(response, attemptId);
    }
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

Asio::awaitable<FlowResult> RequestFlow::run()
{
    Fleet::countRequest(this->context->book->budget, Core::Clock::now());
    this->startAttempt();
    while (!this->finalResponse && !this->context->isCallerGone) {
        const auto remaining = this->context->remaining();
        if (remaining.count() <= 0) {
            this->finishAtDeadline();
            break;
        }
        const bool isHedgePossible = this->mayHedge();
        const auto untilHedge = std::max(this->hedgeDelay() - this->context->elapsed(),
                                         this->attempts.front().attempt->isSent ? Core::Duration{0} : SEARCH_POLL);
        if (isHedgePossible && untilHedge.count() <= 0) {
            this->startHedge();
            continue;
        }
        co_await this->waitForChange(isHedgePossible ? std::min(remaining, untilHedge) : remaining);
        this->takeEnds();
    }
    // Work that may run only once is left to its end where the caller went away: the caller can not ask for it again.
    if (this->isRepeatable() || !this->context->isCallerGone) {
        const bool isHedgeAnswered = this->hasHedged && this->finalResponse && !this->context->isCallerGone
            && this->attempts.back().attempt->end == AttemptEnd::Answered;
        std::ranges::for_each(this->attempts, [this, isHedgeAnswered](const TrackedAttempt &tracked) {
            tracked.attempt->cancel(isHedgeAnswered && &tracked == &this->attempts.front());
        });
    }
    FlowResult result{.response = {}, .held = std::move(this->finalHeld), .isCallerGone = this->context->isCallerGone};
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
    if (std::ranges::any_of(this->attempts, &TrackedAttempt::hasNews)) {
        co_return;
    }
    this->changed->expires_after(longest);
    boost::system::error_code ignored;
    co_await this->changed->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

void RequestFlow::takeEnds()
{
    // Taking an end may add an attempt.
    for (std::size_t index = 0; index < this->attempts.size() && !this->finalResponse; ++index) {
        if (this->attempts[index].hasNews()) {
            this->attempts[index].isTaken = true;
            this->takeEnd(*std::shared_ptr<Attempt>(this->attempts[index].attempt));
        }
    }
}

std::size_t RequestFlow::pendingAttempts() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->attempts, [](const TrackedAttempt &tracked) {
        return tracked.attempt->end == AttemptEnd::Pending;
    }));
}

void RequestFlow::takeEnd(Attempt &attempt)
{
    const bool isLast = this->pendingAttempts() == 0;
    switch (attempt.end) {
    case AttemptEnd::Pending:
        return;
    case AttemptEnd::Answered: {
        const bool isFailure = attempt.answer.head.result_int() >= FIRST_SERVER_ERROR;
        this->mayHaveRun = true;
        if (!isFailure) {
            this->answerWith(std::move(attempt.answer));
            return;
        }
        this->failureAnswer = std::move(attempt.answer);
        if (isLast && !(this->isRepeatable() && this->maySendAgain())) {
            this->answerWith(std::move(*this->failureAnswer));
        }
        return;
    }
    case AttemptEnd::Unknown:
        this->mayHaveRun = true;
        if (isLast && !(this->isRepeatable() && this->maySendAgain())) {
            this->refuse(Reason::TargetConnectionLost, {});
        }
        return;
    case AttemptEnd::NotRun:
        ++this->shedAttempts;
        if (isLast && !(this->shedAttempts < MOST_SHED_ATTEMPTS && this->maySendAgain())) {
            // A target that sheds with free slots does so for another reason than its load; there is nothing to wait for.
            this->refuse(Reason::RefusedByTarget, this->comeBackAfter(attempt.wasShedWithRoom ? ELSEWHERE_RETRY_AFTER : FULL_RETRY_AFTER));
        }
        return;
    case AttemptEnd::Full:
        if (isLast) {
            this->refuse(Reason::Overloaded, this->comeBackAfter(FULL_RETRY_AFTER));
        }
        return;
    case AttemptEnd::Quarantined:
        if (isLast) {
            this->refuse(Reason::Quarantined, attempt.comeBack);
        }
        return;
    case AttemptEnd::NoTarget:
        if (isLast) {
            this->refuse(Reason::NoTarget, std::max(attempt.comeBack, this->comeBackAfter(NO_TARGET_RETRY_AFTER)));
        }
        return;
    case AttemptEnd::NotSent:
        if (isLast) {
            this->refuse(Reason::DeadlinePassedBeforeSending, ELSEWHERE_RETRY_AFTER);
        }
        return;
    }
}

bool RequestFlow::maySendAgain()
{
    const auto used = this->attempts.size() - this->shedAttempts;
    const bool isAllowed = used < std::max(1U, this->context->route->maximumSends) && this->context->remaining().count() > 0;
    if (!isAllowed || !Fleet::takeExtraSend(this->context->book->budget, Core::Clock::now())) {
        return false;
    }
    ++this->state.counters.resends;
    this->startAttempt();
    return true;
}

Core::Duration RequestFlow::hedgeDelay() const
{
    const std::chrono::duration<double, std::milli> objective = this->context->route->objective;
    const auto late = this->state.routes.at(this->context->route->name).lateAnswer.estimate;
    const auto bounded = std::clamp(late, EARLIEST_HEDGE * objective.count(), LATEST_HEDGE * objective.count());
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double, std::milli>(bounded));
}

bool RequestFlow::mayHedge() const
{
    const bool isOne = this->attempts.size() == 1 && this->attempts.front().attempt->end == AttemptEnd::Pending;
    return isOne && !this->hasHedged && this->isRepeatable() && this->context->route->maximumSends > 1;
}

void RequestFlow::startHedge()
{
    this->hasHedged = true;
    if (Fleet::takeExtraSend(this->context->book->budget, Core::Clock::now())) {
        ++this->state.counters.hedges;
        this->context->note("hedge", {});
        this->startAttempt();
    }
}

void RequestFlow::finishAtDeadline()
{
    const bool isSent = std::ranges::any_of(this->attempts, [](const TrackedAttempt &tracked) {
        return tracked.attempt->isSent && tracked.attempt->end != AttemptEnd::NotRun;
    });
    this->mayHaveRun = this->mayHaveRun || isSent;
    if (this->failureAnswer) {
        this->answerWith(std::move(*this->failureAnswer));
        return;
    }
    this->refuse(this->mayHaveRun ? Reason::DeadlinePassedAfterSending : Reason::DeadlinePassedBeforeSending, ELSEWHERE_RETRY_AFTER);
}

void RequestFlow::answerWith(TargetAnswer answer)
{
    Network::Response response{std::move(answer.head)};
    Relay::removeHopByHopFields(response);
    response.erase(Http::field::transfer_encoding);
    this->state.dialect.removeInternalFields(response);
    response.version(Network::HTTP_1_1);
    const auto status = response.result_int();
    const bool isHead = this->context->head.method() == Http::verb::head;
    response.body() = std::move(answer.body);
    if (!isHead && !hasNoBody(status)) {
        response.content_length(response.body().size());
    }
    this->finalHeld.emplace(std::move(answer.held));
    this->finalResponse = std::move(response);
}

std::chrono::milliseconds RequestFlow::comeBackAfter(std::chrono::milliseconds soonest) const
{
    const auto &request = *this->context;
    const auto &statistics = this->state.routes.at(request.route->name).statistics;
    const auto work = std::chrono::milliseconds(static_cast<std::int64_t>(statistics.workMilliseconds * FAST_WORK_PART));
    if (request.waitedBefore + request.elapsed() + soonest + work <= request.route->objective) {
        return soonest;
    }
    const auto late = (request.callerWaits - request.elapsed()) * LATE_RETURN_PART;
    return std::max(soonest, std::chrono::duration_cast<std::chrono::milliseconds>(late));
}

void RequestFlow::refuse(Reason reason, std::chrono::milliseconds retryAfter)
{
    if (this->failureAnswer) {
        this->answerWith(std::move(*this->failureAnswer));
        return;
    }
    // Once a target may have run the request, no reason that promises otherwise may be given.
    const bool promises = Rejection::reasonTraits(reason).run != Rejection::RunRule::MayHaveRun;
    const auto honest = this->mayHaveRun && promises ? Reason::TargetConnectionLost : reason;
    Rejection::Refusal refusal{.reason = honest,
                               .progress = this->mayHaveRun ? RequestProgress::SentOutcomeUnknown
                                   : this->shedAttempts > 0 ? RequestProgress::RefusedByTargetNotRun
                                                            : RequestProgress::NotSent,
                               .retryAfter = Rejection::withJitter(retryAfter, this->state.random)};
    this->context->note("final_answer",
                        {{"reason", Rejection::reasonTraits(honest).name}, {"retry_after_ms", refusal.retryAfter->count()}});
    this->finalResponse = makeRefusal(this->state, this->context->attemptId, refusal);
}

} // namespace Briarbend::Gateway
