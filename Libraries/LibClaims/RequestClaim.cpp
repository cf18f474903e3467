#include <LibClaims/RequestClaim.h>

#include <algorithm>

namespace Briarbend::Claims
{

namespace
{

using Rejection::EarlierSubmissions;
using Rejection::Reason;
using Rejection::RequestProgress;

ClaimOperation claimOf(const RequestClaim &request, Core::WallTime wall)
{
    return {.key = request.key,
            .requestDigest = request.requestDigest,
            .attempt = request.attempt,
            .instance = request.instance,
            .submittedAt = wall};
}

bool isClaiming(const RequestClaim &request)
{
    return request.phase == RequestPhase::ClaimingAtOwner || request.phase == RequestPhase::ClaimingLocally;
}

RequestDecision waitUntil(RequestClaim &request, Core::TimePoint time)
{
    request.wakeAt = std::min(time, request.deadline);
    return {.action = {}, .submit = {}, .wakeAt = request.wakeAt};
}

RequestDecision submitClaim(RequestClaim &request, CommitPath path, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    request.phase = path == CommitPath::Owner ? RequestPhase::ClaimingAtOwner : RequestPhase::ClaimingLocally;
    request.mayHoldKey = true;
    auto decision = waitUntil(request, path == CommitPath::Owner ? now + settings.ownerTimeout : request.deadline);
    decision.submit = SubmitOperation{claimOf(request, wall), path};
    return decision;
}

/// Must be called only if the request was certainly not run: it was not sent, or the target refused it as not run.
std::optional<SubmitOperation> releaseKey(RequestClaim &request, Core::WallTime wall)
{
    if (!request.mayHoldKey) {
        return std::nullopt;
    }
    request.mayHoldKey = false;
    return SubmitOperation{ReleaseOperation{request.key, request.attempt, wall}, CommitPath::Owner};
}

RequestDecision refuse(RequestClaim &request, Rejection::Refusal refusal)
{
    request.phase = RequestPhase::Ended;
    return {.action = Refuse{std::move(refusal)}, .submit = {}, .wakeAt = {}};
}

RequestDecision refuseWithoutClaim(RequestClaim &request, Reason reason, std::optional<std::chrono::milliseconds> retryAfter = {})
{
    const auto isKeyUnused = reason == Reason::ClaimWindowFull;
    return refuse(request,
                  {.reason = reason,
                   .progress = RequestProgress::NotSent,
                   .earlier = isKeyUnused ? EarlierSubmissions::NoneRan : EarlierSubmissions::Unknown,
                   .retryAfter = retryAfter});
}

RequestDecision refuseAndRelease(RequestClaim &request, Reason reason, Core::WallTime wall, EarlierSubmissions earlier)
{
    auto decision = refuse(request, {.reason = reason, .progress = RequestProgress::NotSent, .earlier = earlier});
    decision.submit = releaseKey(request, wall);
    return decision;
}

RequestDecision waitForHolder(RequestClaim &request, bool isHolderGone, const Settings &settings, Core::TimePoint now)
{
    request.mayHoldKey = false;
    if (isHolderGone) {
        return refuseWithoutClaim(request, Reason::OutcomeUnknown);
    }
    if (now >= request.deadline) {
        return refuseWithoutClaim(request, Reason::StillRunning);
    }
    request.phase = RequestPhase::Waiting;
    request.pollInterval = std::clamp(request.pollInterval * 2, settings.initialPollInterval, settings.maximumPollInterval);
    return waitUntil(request, now + request.pollInterval);
}

/// Releases a grant that arrives after the submission ended. A grant of a request that was sent is ignored.
RequestDecision onLateResult(RequestClaim &request, const ClaimResult &result, Core::WallTime wall)
{
    if (request.wasSent || !std::holds_alternative<Granted>(result)) {
        return {};
    }
    request.mayHoldKey = true;
    return {.action = {}, .submit = releaseKey(request, wall), .wakeAt = {}};
}

} // namespace

RequestDecision beginClaim(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    return submitClaim(request, CommitPath::Owner, settings, now, wall);
}

RequestDecision onClaimResult(
    RequestClaim &request, const ClaimResult &result, bool isHolderGone, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    if (request.phase == RequestPhase::Ended) {
        return onLateResult(request, result, wall);
    }
    const auto isGranted = std::holds_alternative<Granted>(result);
    if (!isClaiming(request) && !(request.phase == RequestPhase::Waiting && isGranted)) {
        return {};
    }
    if (isGranted) {
        if (now >= request.deadline) {
            return refuseAndRelease(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
        }
        request.phase = RequestPhase::Holding;
        request.mayHoldKey = true;
        return {.action = ChooseTarget{}, .submit = {}, .wakeAt = request.deadline};
    }
    if (std::holds_alternative<HeldByOtherAttempt>(result)) {
        return waitForHolder(request, isHolderGone, settings, now);
    }
    if (const auto *answered = std::get_if<AlreadyAnswered>(&result)) {
        request.phase = RequestPhase::Ended;
        return {.action = Replay{answered->answer}, .submit = {}, .wakeAt = {}};
    }
    if (const auto *unavailable = std::get_if<StoreUnavailable>(&result)) {
        request.mayHoldKey = request.mayHoldKey && unavailable->mayBeStored;
        auto decision = refuseWithoutClaim(request, Reason::StoreUnavailableForClaims, unavailable->retryAfter);
        decision.submit = releaseKey(request, wall);
        return decision;
    }
    if (const auto *full = std::get_if<WindowFull>(&result)) {
        return refuseWithoutClaim(request, Reason::ClaimWindowFull, full->retryAfter);
    }
    if (std::holds_alternative<RequestDigestMismatch>(result)) {
        return refuseWithoutClaim(request, Reason::KeyReused);
    }
    if (std::holds_alternative<AnswerIsNotKept>(result)) {
        return refuseWithoutClaim(request, Reason::AnswerNotKept);
    }
    if (std::holds_alternative<OutcomeIsUnknown>(result)) {
        return refuseWithoutClaim(request, Reason::OutcomeUnknown);
    }
    return refuseWithoutClaim(request, Reason::InternalError);
}

RequestDecision onTimer(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    if (request.phase == RequestPhase::Ended || request.phase == RequestPhase::Sent) {
        return {};
    }
    if (now >= request.deadline) {
        switch (request.phase) {
        case RequestPhase::Waiting:
            return refuseWithoutClaim(request, Reason::StillRunning);
        case RequestPhase::Holding:
            return refuseAndRelease(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
        default:
            return refuseAndRelease(request, Reason::StoreUnavailableForClaims, wall, EarlierSubmissions::Unknown);
        }
    }
    if (now < request.wakeAt) {
        return {.action = {}, .submit = {}, .wakeAt = request.wakeAt};
    }
    switch (request.phase) {
    case RequestPhase::ClaimingAtOwner:
        return submitClaim(request, CommitPath::Local, settings, now, wall);
    case RequestPhase::Waiting:
        return submitClaim(request, CommitPath::Owner, settings, now, wall);
    default:
        return waitUntil(request, request.deadline);
    }
}

RequestDecision beginSending(RequestClaim &request, Core::TimePoint now, Core::WallTime wall)
{
    if (request.phase != RequestPhase::Holding) {
        return {};
    }
    if (now >= request.deadline) {
        return refuseAndRelease(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
    }
    request.phase = RequestPhase::Sent;
    request.wasSent = true;
    return {.action = SendNow{}, .submit = {}, .wakeAt = {}};
}

RequestDecision onRefusedByTarget(RequestClaim &request)
{
    if (request.phase != RequestPhase::Sent) {
        return {};
    }
    request.phase = RequestPhase::Holding;
    return {.action = ChooseTarget{}, .submit = {}, .wakeAt = request.deadline};
}

RequestDecision onAnswered(RequestClaim &request, RecordedAnswer answer)
{
    request.phase = RequestPhase::Ended;
    request.mayHoldKey = false;
    return {.action = {},
            .submit = SubmitOperation{RecordOperation{request.key, request.attempt, std::move(answer)}, CommitPath::Owner},
            .wakeAt = {}};
}

RequestDecision onFailed(RequestClaim &request, Rejection::Refusal refusal, Core::WallTime wall)
{
    if (request.phase == RequestPhase::Ended) {
        return {};
    }
    const auto isHolder = request.phase == RequestPhase::Holding || request.phase == RequestPhase::Sent;
    refusal.earlier = isHolder ? EarlierSubmissions::NoneRan : EarlierSubmissions::Unknown;
    const auto isNotRun = Rejection::isCertainlyNotRun(refusal.progress);
    auto decision = refuse(request, std::move(refusal));
    if (isNotRun) {
        decision.submit = releaseKey(request, wall);
        return decision;
    }
    request.mayHoldKey = false;
    decision.submit = SubmitOperation{RecordOperation{request.key, request.attempt, std::nullopt}, CommitPath::Owner};
    return decision;
}

RequestDecision onCallerGone(RequestClaim &request, Core::WallTime wall)
{
    if (request.phase == RequestPhase::Sent || request.phase == RequestPhase::Ended) {
        return {};
    }
    request.phase = RequestPhase::Ended;
    return {.action = {}, .submit = releaseKey(request, wall), .wakeAt = {}};
}

} // namespace Briarbend::Claims
