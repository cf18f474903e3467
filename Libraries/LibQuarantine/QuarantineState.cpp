#include <LibQuarantine/QuarantineState.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Briarbend::Quarantine
{

namespace
{

constexpr std::size_t QUARANTINE_THRESHOLD = 2;
constexpr std::size_t MAXIMUM_DOUBLINGS = 6;
constexpr std::chrono::milliseconds MINIMUM_CORRELATED_REFUSAL{std::chrono::seconds{1}};

std::chrono::milliseconds doubled(std::chrono::milliseconds base, std::size_t times)
{
    return base * (1U << std::min(times, MAXIMUM_DOUBLINGS));
}

/// The number of these starts that another single request may have crashed, limited to the number that leads to its quarantine.
std::size_t explainedByAnother(const QuarantineState &state, const std::vector<Core::TargetStartId> &starts)
{
    std::size_t explained = 0;
    for (const auto &entry : state.suspicions) {
        const auto &evidence = entry.second.evidence;
        const auto count = std::ranges::count_if(starts, [&evidence](const Core::TargetStartId &start) {
            const auto found = evidence.find(start);
            return found != evidence.end() && found->second.state == EvidenceState::Confirmed;
        });
        explained = std::max(explained, static_cast<std::size_t>(count));
    }
    return explained < QUARANTINE_THRESHOLD ? 0 : QUARANTINE_THRESHOLD;
}

/// True where the request's presence on the lost start counts against it. For a popular request it does not, because such a request is on
/// every target at any time.
bool isExplainedBy(const Suspicion &suspicion, const Core::TargetStartId &start)
{
    const auto found = suspicion.evidence.find(start);
    return found != suspicion.evidence.end() && (found->second.isTrial || !hadCompletedBefore(suspicion));
}

bool isCorrelated(const QuarantineState &state, const Suspicion &suspicion, const Core::TargetStartId &start, const Evidence &evidence)
{
    if (evidence.isTrial && !hadCompletedBefore(suspicion)) {
        return false;
    }
    std::vector<Core::TargetStartId> unexplained;
    for (const auto &[lostStart, lostAt] : state.lostStarts) {
        const auto distance = lostAt > evidence.seenAt ? lostAt - evidence.seenAt : evidence.seenAt - lostAt;
        if (distance <= state.settings.correlationWindow && lostStart != start && !isExplainedBy(suspicion, lostStart)) {
            unexplained.push_back(lostStart);
        }
    }
    if (unexplained.size() < state.settings.unexplainedLossLimit) {
        return false;
    }
    if (unexplained.size() >= state.settings.unexplainedLossLimit + QUARANTINE_THRESHOLD) {
        // No other request explains as many.
        return true;
    }
    return unexplained.size() - explainedByAnother(state, unexplained) >= state.settings.unexplainedLossLimit;
}

/// Reduces the counts to the strongest single piece of evidence.
Assessment strongestOnly(const Assessment &counts)
{
    if (counts.confirmed > 0) {
        return {.confirmed = 1, .latest = {}, .newest = {}};
    }
    if (counts.provisional > 0) {
        return {.provisional = 1, .latest = {}, .newest = {}};
    }
    return {.correlated = counts.correlated > 0 ? 1U : 0U, .latest = {}, .newest = {}};
}

} // namespace

std::size_t Assessment::total() const
{
    return this->confirmed + this->correlated + this->provisional;
}

bool hadCompletedBefore(const Suspicion &suspicion)
{
    return std::ranges::any_of(suspicion.evidence, [](const auto &entry) {
        return entry.second.hadCompletedBefore;
    });
}

bool isCorrelatedFailureOngoing(const QuarantineState &state, Core::TimePoint now)
{
    std::vector<Core::TimePoint> times;
    std::ranges::transform(state.lostStarts, std::back_inserter(times), [](const auto &entry) {
        return entry.second;
    });
    const auto count = state.settings.correlatedFailureStarts;
    if (times.size() < count) {
        return false;
    }
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(count) - 1, std::ranges::greater{});
    const auto latest = *std::ranges::max_element(times);
    return now - latest < state.settings.correlatedFailureQuietTime && latest - times[count - 1] <= state.settings.correlatedFailureSpan;
}

Assessment assess(const QuarantineState &state, const Suspicion &suspicion, Core::TimePoint now)
{
    Assessment assessment;
    Assessment preTrial;
    for (const auto &[start, evidence] : suspicion.evidence) {
        const auto age = now - evidence.seenAt;
        const auto isProvisional = evidence.state == EvidenceState::Provisional;
        const auto lifetime = isProvisional ? state.settings.provisionalLifetime : state.settings.retention;
        if (evidence.state == EvidenceState::Cleared || age > lifetime) {
            continue;
        }
        assessment.newest = std::max(assessment.newest, evidence.seenAt);
        auto &counts = evidence.isTrial ? assessment : preTrial;
        if (isProvisional) {
            ++counts.provisional;
            continue;
        }
        assessment.latest = std::max(assessment.latest, evidence.seenAt);
        if (isCorrelated(state, suspicion, start, evidence)) {
            ++counts.correlated;
        } else {
            ++counts.confirmed;
        }
    }
    if (hadCompletedBefore(suspicion)) {
        preTrial = strongestOnly(preTrial);
    } else if (assessment.confirmed > 0) {
        preTrial.confirmed += std::exchange(preTrial.correlated, 0);
    }
    assessment.confirmed += preTrial.confirmed;
    assessment.correlated += preTrial.correlated;
    assessment.provisional += preTrial.provisional;
    return assessment;
}

Core::TimePoint refusedUntil(const Assessment &assessment, const Settings &settings)
{
    if (assessment.confirmed >= QUARANTINE_THRESHOLD) {
        return assessment.latest + doubled(settings.duration, assessment.confirmed - QUARANTINE_THRESHOLD);
    }
    // During a correlated failure, the refusal of a request doubles with each further target that crashes with the request on it. A poison
    // request that is hidden by the failure crashes few targets, and a harmless request is delayed for seconds only.
    const auto total = assessment.confirmed + assessment.correlated;
    if (total > QUARANTINE_THRESHOLD) {
        return assessment.latest + doubled(MINIMUM_CORRELATED_REFUSAL, total - QUARANTINE_THRESHOLD);
    }
    return Core::TimePoint::min();
}

bool isAtThreshold(const Assessment &assessment)
{
    return assessment.total() >= QUARANTINE_THRESHOLD;
}

} // namespace Briarbend::Quarantine
