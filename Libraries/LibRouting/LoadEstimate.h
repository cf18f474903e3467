#pragma once

#include <LibCore/Time.h>

#include <cstddef>

/// Estimates with exponential decay: older observations count less.
namespace Briarbend::Routing
{

/// The remaining weight of an observation of the given age, e^(-age / timeConstant), in (0, 1].
double decayWeight(Core::Duration age, Core::Duration timeConstant);

/// Estimates how long a target takes to answer. Requests without an answer count with the time they have waited, so that a target that
/// stops answering becomes slow in the estimate before any answer shows it. This is the maximum likelihood estimate for exponentially
/// distributed times with censored observations: time waited divided by answers received.
struct AnswerTimeEstimate {
    /// Decayed number of answers received.
    double answers{0};
    /// Decayed sum of the time that requests have waited.
    double waitedMicroseconds{0};
    Core::TimePoint updatedAt{};
};

/// Updates the estimate to `now`, given the number of requests that have waited since the last update.
AnswerTimeEstimate estimateAt(AnswerTimeEstimate estimate, std::size_t waiting, Core::Duration timeConstant, Core::TimePoint now);

/// The estimated time to an answer in microseconds. The typical time counts as `priorAnswers` further answers, so that a target
/// without recent observations is assumed to be typical.
double answerTime(const AnswerTimeEstimate &estimate, double typical, double priorAnswers);

/// Share of a target's requests that failed, in [0, 1]. It decays while nothing is sent.
struct FailureEstimate {
    double share{0};
    Core::TimePoint updatedAt{};
};

double failureShareAt(const FailureEstimate &estimate, Core::TimePoint now);
void addOutcome(FailureEstimate &estimate, bool hasFailed, Core::TimePoint now);

/// Estimate of a quantile of a stream, adjusted by a small step with each sample. Source: Ma, Muthukrishnan and Sandler, "Frugal
/// streaming for estimating quantiles", with a step proportional to the estimate.
struct StreamingQuantile {
    double quantile{0.97};
    double estimate{0};
};

void addSample(StreamingQuantile &quantile, double sample);

} // namespace Briarbend::Routing
