#include <LibRouting/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Routing
{

namespace
{

using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::chrono::milliseconds FAILURE_DECAY_TIME{1000};
/// Weight of a new outcome in the failure share.
constexpr double OUTCOME_WEIGHT = 0.2;
/// Step of a quantile estimate, as a share of the estimate.
constexpr double QUANTILE_STEP = 0.05;

} // namespace

double decayWeight(Core::Duration age, Core::Duration timeConstant)
{
    if (age.count() <= 0) {
        return 1;
    }
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
}

AnswerTimeEstimate estimateAt(AnswerTimeEstimate estimate, std::size_t waiting, Core::Duration timeConstant, Core::TimePoint now)
{
    const auto weight = decayWeight(now - estimate.updatedAt, timeConstant);
    const auto newlyWaitedMicroseconds = static_cast<double>(waiting) * Microseconds(timeConstant).count() * (1 - weight);
    return {.answers = estimate.answers * weight,
            .waitedMicroseconds = estimate.waitedMicroseconds * weight + newlyWaitedMicroseconds,
            .updatedAt = std::max(now, estimate.updatedAt)};
}

double answerTime(const AnswerTimeEstimate &estimate, double typical, double priorAnswers)
{
    return (estimate.waitedMicroseconds + priorAnswers * typical) / (estimate.answers + priorAnswers);
}

double failureShareAt(const FailureEstimate &estimate, Core::TimePoint now)
{
    return estimate.share * decayWeight(now - estimate.updatedAt, FAILURE_DECAY_TIME);
}

void addOutcome(FailureEstimate &estimate, bool hasFailed, Core::TimePoint now)
{
    const auto share = failureShareAt(estimate, now);
    estimate = {.share = share + OUTCOME_WEIGHT * ((hasFailed ? 1.0 : 0.0) - share), .updatedAt = now};
}

void addSample(StreamingQuantile &quantile, double sample)
{
    if (quantile.estimate <= 0) {
        quantile.estimate = sample;
        return;
    }
    const bool isAbove = sample > quantile.estimate;
    const auto step = isAbove ? quantile.quantile : quantile.quantile - 1;
    quantile.estimate *= 1 + QUANTILE_STEP * step;
}

} // namespace Briarbend::Routing
