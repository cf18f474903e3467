#include <LibGateway/Attempt.h>

/// Evaluates the result of an attempt and records it.
namespace Briarbend::Gateway
{

namespace
{

constexpr unsigned FIRST_SERVER_ERROR = 500;
/// With less time left a request counts as out of time: a target ends its work somewhat before its caller's time is up.
constexpr std::chrono::milliseconds SHORT_TIME{50};

bool isSuccess(unsigned status)
{
    return status / 100 == 2;
}

} // namespace

void Attempt::evaluateResponse(const ResponseMetadata &metadata)
{
    const auto now = Core::Clock::now();
    auto *targetState = this->target();
    if (targetState != nullptr && metadata.load) {
        Fleet::recordLoadReport(*this->service, *targetState, *metadata.load, now);
    }
    if (targetState != nullptr && metadata.coldLeft) {
        Fleet::recordCold(*targetState, *metadata.coldLeft, now);
    }
    const auto status = this->response.head.result_int();
    if (metadata.isMisdirected || (metadata.isNotRun && !isSuccess(status))) {
        this->result = AttemptResult::NotRun;
        this->wasShedWithFreeSlots = targetState != nullptr && Fleet::freeSlots(*targetState) > 0;
        if (targetState != nullptr && metadata.isMisdirected) {
            Fleet::ejectTarget(*targetState, now);
        }
        this->recordSendOutcome(this->wasShedWithFreeSlots ? Fleet::SendOutcome::ShedWithFreeSlots : Fleet::SendOutcome::Shed);
        return;
    }
    // No request asks for a content coding, and a success without the target's stamp did not come from the target.
    const bool isForged = this->response.head.count(Http::field::content_encoding) > 0 || (isSuccess(status) && !metadata.hasResponseStamp);
    if (isForged) {
        this->failure = "response has a content coding or lacks the target's stamp";
        this->result = AttemptResult::Unknown;
        return;
    }
    this->result = AttemptResult::Answered;
    this->recordSendOutcome(status >= FIRST_SERVER_ERROR ? Fleet::SendOutcome::Failure : Fleet::SendOutcome::Success);
}

void Attempt::recordSendOutcome(Fleet::SendOutcome outcome)
{
    auto &state = this->context->state;
    const auto now = Core::Clock::now();
    const auto elapsed = now - this->sentAt;
    const bool isLost = outcome == Fleet::SendOutcome::Lost || outcome == Fleet::SendOutcome::Overtaken;
    if (isLost && Fleet::explainsLoss(state.connectivity, this->sentAt)) {
        return;
    }
    if (auto *targetState = this->target()) {
        Fleet::recordOutcome(*targetState, outcome, now);
    }
    if (outcome == Fleet::SendOutcome::Success) {
        auto &route = state.routes.at(this->context->route->name);
        Fleet::recordAnswer(route.statistics, *this->service, elapsed, this->response.body.size());
        Routing::addSample(route.responseTimeQuantile, Core::milliseconds(elapsed));
    }
    using enum Fleet::SendOutcome;
    const bool isObserved = outcome == Success || outcome == Failure || outcome == Lost || outcome == Overtaken;
    if (!state.onObserved || !isObserved) {
        return;
    }
    auto observation = this->observation();
    const bool isLate = outcome == Lost || (outcome == Failure && this->response.head.result() == Http::status::gateway_timeout);
    const bool isOutOfTime = isLate && this->context->remaining() < SHORT_TIME && elapsed < this->context->route->objective;
    observation.isCutShort = outcome == Overtaken || isOutOfTime;
    observation.isFailure = (outcome == Failure || outcome == Lost) && !isOutOfTime;
    observation.elapsed = elapsed;
    if (outcome == Lost && !state.connectivity.unreachable.empty()) {
        state.unconfirmedLosses.push_back(std::move(observation));
    } else {
        state.onObserved(observation);
    }
}

AttemptObservation Attempt::observation() const
{
    return {.service = this->service->name,
            .route = this->context->route->name,
            .target = this->name,
            .version = this->version,
            .isFailure = false,
            .wasCold = this->isCold,
            .wasBusy = this->isTargetBusy,
            .elapsed = {},
            .objective = this->context->route->objective};
}

void Attempt::countForTenant()
{
    const auto &countRequest = this->context->state.countRequest;
    if (countRequest && !this->context->tenant.empty()) {
        this->takeBackCount = countRequest(this->context->tenant);
    }
}

void Attempt::recordResult()
{
    if (this->takeBackCount && (this->result == AttemptResult::NotRun || !this->hasWritten)) {
        this->takeBackCount();
    }
    const auto elapsed = Core::Clock::now() - this->sentAt;
    nlohmann::ordered_json inputs{{"target", this->name},
                                  {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()}};
    if (this->result == AttemptResult::Answered || this->result == AttemptResult::NotRun) {
        inputs["status"] = this->response.head.result_int();
    }
    if (!this->failure.empty()) {
        inputs["failure"] = this->failure;
    }
    const auto *targetState = this->target();
    const bool isLeaving = targetState != nullptr && targetState->leavingSince;
    if (targetState == nullptr) {
        inputs["target_listed"] = false;
    } else if (isLeaving) {
        // Positive where the request was sent although the target was known to be leaving.
        const auto knownFor = this->sentAt - *targetState->leavingSince;
        inputs["leaving_known_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(knownFor).count();
    }
    this->context->isNotable = this->context->isNotable || targetState == nullptr || isLeaving;
    const bool isAnswered = this->result == AttemptResult::Answered;
    const bool isNotRun = this->result == AttemptResult::NotRun;
    this->context->recordDecision(isAnswered              ? "answered"
                                      : isNotRun          ? "shed_by_target"
                                      : this->isCancelled ? "cancelled"
                                                          : "lost",
                                  std::move(inputs));
}

} // namespace Briarbend::Gateway
