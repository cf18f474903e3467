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
    return {.key = request.key, .request = request.request, .attempt = request.attempt, .instance = request.instance, .submittedAt = wall};
}

bool isClaiming(const RequestClaim &request)
{
    return request.phase == RequestPhase::ClaimingAtOwner || request.phase == RequestPhase::ClaimingDirectly;
}

RequestDecision waitUntil(RequestClaim &request, Core::TimePoint time)
{
    request.wakeAt = std::min(time, request.deadline);
    return {.act = {}, .submit = {}, .wakeAt = request.wakeAt};
}

RequestDecision claimThrough(RequestClaim &request, Path path, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    request.phase = path == Path::Owner ? RequestPhase::ClaimingAtOwner : RequestPhase::ClaimingDirectly;
    request.mayHoldKey = true;
    auto decision = waitUntil(request, path == Path::Owner ? now + settings.ownerPatience : request.deadline);
    decision.submit = SubmitOperation{claimOf(request, wall), path};
    return decision;
}

/// Only for a submission whose attempt was not run: it must not have been sent, or must have been refused as not run.
std::optional<SubmitOperation> giveBack(RequestClaim &request, Core::WallTime wall)
{
    if (!request.mayHoldKey) {
        return std::nullopt;
    }
    request.mayHoldKey = false;
    return SubmitOperation{ReleaseOperation{request.key, request.attempt, wall}, Path::Owner};
}

RequestDecision refuse(RequestClaim &request, Rejection::Refusal refusal)
{
    request.phase = RequestPhase::Ended;
    return {.act = Refuse{std::move(refusal)}, .submit = {}, .wakeAt = {}};
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

RequestDecision refuseAndGiveBack(RequestClaim &request, Reason reason, Core::WallTime wall, EarlierSubmissions earlier)
{
    auto decision = refuse(request, {.reason = reason, .progress = RequestProgress::NotSent, .earlier = earlier});
    decision.submit = giveBack(request, wall);
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
    request.nextPoll = std::clamp(request.nextPoll * 2, settings.shortestPoll, settings.longestPoll);
    return waitUntil(request, now + request.nextPoll);
}

/// A grant that comes after the caller got its answer. The attempt was never sent, so that the key can be given back.
RequestDecision onLateResult(RequestClaim &request, const ClaimResult &result, Core::WallTime wall)
{
    if (request.wasSent || !std::holds_alternative<Granted>(result)) {
        return {};
    }
    request.mayHoldKey = true;
    return {.act = {}, .submit = giveBack(request, wall), .wakeAt = {}};
}

} // namespace

RequestDecision begin(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall)
{
    return claimThrough(request, Path::Owner, settings, now, wall);
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
            return refuseAndGiveBack(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
        }
        request.phase = RequestPhase::Holding;
        request.mayHoldKey = true;
        return {.act = ChooseTarget{}, .submit = {}, .wakeAt = request.deadline};
    }
    if (std::holds_alternative<RunningElsewhere>(result)) {
        return waitForHolder(request, isHolderGone, settings, now);
    }
    if (const auto *answered = std::get_if<AlreadyAnswered>(&result)) {
        request.phase = RequestPhase::Ended;
        return {.act = Replay{answered->answer}, .submit = {}, .wakeAt = {}};
    }
    if (const auto *unavailable = std::get_if<StoreUnavailable>(&result)) {
        request.mayHoldKey = request.mayHoldKey && unavailable->mayBeStored;
        auto decision = refuseWithoutClaim(request, Reason::StoreUnavailableForClaims, unavailable->retryAfter);
        decision.submit = giveBack(request, wall);
        return decision;
    }
    if (const auto *full = std::get_if<WindowFull>(&result)) {
        return refuseWithoutClaim(request, Reason::ClaimWindowFull, full->retryAfter);
    }
    if (std::holds_alternative<DigestDiffers>(result)) {
        return refuseWithoutClaim(request, Reason::KeyReused);
    }
    if (std::holds_alternative<AnswerLost>(result)) {
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
            return refuseAndGiveBack(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
        default:
            return refuseAndGiveBack(request, Reason::StoreUnavailableForClaims, wall, EarlierSubmissions::Unknown);
        }
    }
    if (now < request.wakeAt) {
        return {.act = {}, .submit = {}, .wakeAt = request.wakeAt};
    }
    switch (request.phase) {
    case RequestPhase::ClaimingAtOwner:
        return claimThrough(request, Path::Direct, settings, now, wall);
    case RequestPhase::Waiting:
        return claimThrough(request, Path::Owner, settings, now, wall);
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
        return refuseAndGiveBack(request, Reason::DeadlinePassedBeforeSending, wall, EarlierSubmissions::NoneRan);
    }
    request.phase = RequestPhase::Sent;
    request.wasSent = true;
    return {.act = SendNow{}, .submit = {}, .wakeAt = {}};
}

RequestDecision onRefusedByTarget(RequestClaim &request)
{
    if (request.phase != RequestPhase::Sent) {
        return {};
    }
    request.phase = RequestPhase::Holding;
    return {.act = ChooseTarget{}, .submit = {}, .wakeAt = request.deadline};
}

RequestDecision onAnswered(RequestClaim &request, RecordedAnswer answer)
{
    request.phase = RequestPhase::Ended;
    request.mayHoldKey = false;
    return {
        .act = {}, .submit = SubmitOperation{RecordOperation{request.key, request.attempt, std::move(answer)}, Path::Owner}, .wakeAt = {}};
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
        decision.submit = giveBack(request, wall);
        return decision;
    }
    request.mayHoldKey = false;
    decision.submit = SubmitOperation{RecordOperation{request.key, request.attempt, std::nullopt}, Path::Owner};
    return decision;
}

RequestDecision onCallerGone(RequestClaim &request, Core::WallTime wall)
{
    if (request.phase == RequestPhase::Sent || request.phase == RequestPhase::Ended) {
        return {};
    }
    request.phase = RequestPhase::Ended;
    return {.act = {}, .submit = giveBack(request, wall), .wakeAt = {}};
}

} // namespace Briarbend::Claims
