#include <LibLimits/TargetWarmth.h>

#include <algorithm>

namespace Briarbend::Limits
{

namespace
{

/// Largest number of replaced starts remembered per target.
constexpr std::size_t MAXIMUM_REPLACED_STARTS = 8;
/// Weight of a new sample in the smoothed latency of a target.
constexpr double LATENCY_EWMA_WEIGHT = 0.05;

} // namespace

void turnCold(TargetWarmth &target, std::uint32_t epoch, bool isSuspected)
{
    target.warmth = Warmth::Cold;
    target.epoch = epoch;
    target.isSuspected = isSuspected;
    target.completed = 0;
    target.consecutiveSlowAnswers = 0;
}

void turnWarm(TargetWarmth &target)
{
    target.warmth = Warmth::Warm;
    target.isSuspected = false;
    target.consecutiveSlowAnswers = 0;
}

void addCompleted(TargetWarmth &target)
{
    ++target.completed;
    if (target.start && target.completed >= target.warmAfterRequests) {
        turnWarm(target);
    }
}

void replaceStart(TargetWarmth &target, const Core::TargetStartId &start)
{
    if (target.start) {
        target.replacedStarts.push_back(*target.start);
        if (target.replacedStarts.size() > MAXIMUM_REPLACED_STARTS) {
            target.replacedStarts.erase(target.replacedStarts.begin());
        }
        turnCold(target, 0, false);
        target.smoothedLatency = 0;
    }
    target.start = start;
}

bool isReplaced(const TargetWarmth &target, const Core::TargetStartId &start)
{
    return std::ranges::find(target.replacedStarts, start) != target.replacedStarts.end();
}

void mergeUpdate(TargetWarmth &target, const WarmthUpdate &update, bool maySuspectAnother)
{
    const bool isNewer = target.warmth == Warmth::Unknown || update.epoch > target.epoch;
    if (isNewer && !update.isWarm && update.isSuspected && !maySuspectAnother) {
        return;
    }
    if (isNewer) {
        turnCold(target, update.epoch, update.isSuspected);
    }
    if (update.isWarm && update.epoch == target.epoch) {
        turnWarm(target);
    }
}

void storePendingUpdate(TargetWarmth &target, const WarmthUpdate &update)
{
    auto &pendingUpdate = target.pendingUpdate;
    const bool isOther = !pendingUpdate || pendingUpdate->start != update.start;
    const bool isNewer = !isOther && update.epoch > pendingUpdate->epoch;
    const bool isWarmer = !isOther && update.epoch == pendingUpdate->epoch && update.isWarm;
    if (isOther || isNewer || isWarmer) {
        pendingUpdate = update;
    }
}

void mergePendingUpdate(TargetWarmth &target, bool maySuspectAnother)
{
    if (target.pendingUpdate && target.pendingUpdate->start == target.start) {
        mergeUpdate(target, *target.pendingUpdate, maySuspectAnother);
        target.pendingUpdate.reset();
    }
}

bool detectSlowStreak(TargetWarmth &target, std::chrono::microseconds elapsed, double slowFactor, std::uint32_t slowAnswers)
{
    const auto time = static_cast<double>(elapsed.count());
    if (target.smoothedLatency > 0 && time > slowFactor * target.smoothedLatency) {
        ++target.consecutiveSlowAnswers;
        return target.consecutiveSlowAnswers >= slowAnswers;
    }
    target.consecutiveSlowAnswers = 0;
    target.smoothedLatency += target.smoothedLatency > 0 ? LATENCY_EWMA_WEIGHT * (time - target.smoothedLatency) : time;
    return false;
}

std::optional<WarmthUpdate> warmthUpdateOf(const Core::TargetId &id, const TargetWarmth &target)
{
    if (target.warmth == Warmth::Unknown) {
        // An instance without a report of its own still forwards the updates that it received.
        return target.pendingUpdate;
    }
    if (!target.start) {
        return std::nullopt;
    }
    return WarmthUpdate{.target = id,
                        .start = *target.start,
                        .epoch = target.epoch,
                        .isWarm = target.warmth == Warmth::Warm,
                        .isSuspected = target.isSuspected};
}

} // namespace Briarbend::Limits
