#include <LibLimits/ColdTarget.h>

#include <algorithm>

namespace Briarbend::Limits
{

namespace
{

/// Replaced starts that are remembered for each target.
constexpr std::size_t REPLACED_STARTS = 8;
/// Weight of a new sample in the usual time of a target.
constexpr double USUAL_TIME_WEIGHT = 0.05;

} // namespace

void turnCold(ColdTarget &target, std::uint32_t epoch, bool isSuspected)
{
    target.warmth = Warmth::Cold;
    target.epoch = epoch;
    target.isSuspected = isSuspected;
    target.completed = 0;
    target.slowInRow = 0;
}

void turnWarm(ColdTarget &target)
{
    target.warmth = Warmth::Warm;
    target.isSuspected = false;
    target.slowInRow = 0;
}

void addCompleted(ColdTarget &target)
{
    ++target.completed;
    if (target.start && target.completed >= target.warmAfterRequests) {
        turnWarm(target);
    }
}

void replaceStart(ColdTarget &target, const Core::TargetStartId &start)
{
    if (target.start) {
        target.replacedStarts.push_back(*target.start);
        if (target.replacedStarts.size() > REPLACED_STARTS) {
            target.replacedStarts.erase(target.replacedStarts.begin());
        }
        turnCold(target, 0, false);
        target.usualTime = 0;
    }
    target.start = start;
}

bool isReplaced(const ColdTarget &target, const Core::TargetStartId &start)
{
    return std::ranges::find(target.replacedStarts, start) != target.replacedStarts.end();
}

void mergeStatement(ColdTarget &target, const WarmthUpdate &statement, bool mayBeSuspected)
{
    const bool isNewer = target.warmth == Warmth::Unknown || statement.epoch > target.epoch;
    if (isNewer && !statement.isWarm && statement.isSuspected && !mayBeSuspected) {
        return;
    }
    if (isNewer) {
        turnCold(target, statement.epoch, statement.isSuspected);
    }
    if (statement.isWarm && statement.epoch == target.epoch) {
        turnWarm(target);
    }
}

void keepHeard(ColdTarget &target, const WarmthUpdate &statement)
{
    auto &heard = target.heard;
    const bool isOther = !heard || heard->start != statement.start;
    const bool isNewer = !isOther && statement.epoch > heard->epoch;
    const bool isWarmer = !isOther && statement.epoch == heard->epoch && statement.isWarm;
    if (isOther || isNewer || isWarmer) {
        heard = statement;
    }
}

void adoptHeard(ColdTarget &target, bool mayBeSuspected)
{
    if (target.heard && target.heard->start == target.start) {
        mergeStatement(target, *target.heard, mayBeSuspected);
        target.heard.reset();
    }
}

bool isSuddenlySlow(ColdTarget &target, std::chrono::microseconds elapsed, double slowFactor, std::uint32_t slowAnswers)
{
    const auto time = static_cast<double>(elapsed.count());
    if (target.usualTime > 0 && time > slowFactor * target.usualTime) {
        ++target.slowInRow;
        return target.slowInRow >= slowAnswers;
    }
    target.slowInRow = 0;
    target.usualTime += target.usualTime > 0 ? USUAL_TIME_WEIGHT * (time - target.usualTime) : time;
    return false;
}

std::optional<WarmthUpdate> statementOf(const Core::TargetId &id, const ColdTarget &target)
{
    if (target.warmth == Warmth::Unknown) {
        // An instance without a report of its own still passes on what it heard.
        return target.heard;
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
