#pragma once

#include <LibCore/Time.h>

#include <cstddef>

/// Estimates that forget: what was seen counts less the older it is.
namespace Briarbend::Routing
{

/// The part of an observation that still counts after an age, e^(-age / memory), in (0, 1].
double decayWeight(Core::Duration age, Core::Duration timeConstant);

/// How long a target takes to answer. Requests that still wait count with the time they have waited, so that a target that stops
/// answering becomes slow in the estimate before any answer shows it. This is the maximum likelihood estimate for exponentially
/// distributed times with censored observations: time waited over answers received.
struct AnswerTimeEstimate {
    /// Answers received, faded.
    double answers{0};
    /// Time that requests have waited, in microseconds summed over the requests, faded.
    double waitedMicroseconds{0};
    Core::TimePoint updatedAt{};
};

/// Brings the estimate to the present, with the number of requests that waited since the last update.
AnswerTimeEstimate estimateAt(AnswerTimeEstimate estimate, std::size_t waiting, Core::Duration timeConstant, Core::TimePoint now);

/// The estimated time to an answer in microseconds. The typical time counts as `priorAnswers` further answers, so that a target
/// without recent evidence is taken as typical.
double answerTime(const AnswerTimeEstimate &estimate, double typical, double priorAnswers);

/// Share of a target's requests that failed, in [0, 1], fading while nothing is sent.
struct FailureEstimate {
    double share{0};
    Core::TimePoint updatedAt{};
};

double failureShareAt(const FailureEstimate &estimate, Core::TimePoint now);
void addOutcome(FailureEstimate &estimate, bool hasFailed, Core::TimePoint now);

/// A quantile of a stream, moved by a small step with each sample. Source: Ma, Muthukrishnan and Sandler, "Frugal streaming for
/// estimating quantiles", with a step in proportion to the estimate.
struct StreamingQuantile {
    double quantile{0.97};
    double estimate{0};
};

void addSample(StreamingQuantile &quantile, double sample);

} // namespace Briarbend::Routing
