#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Warmth of one target as one instance knows it, and the transitions of that state.
namespace Briarbend::Limits
{

/// An update about one target that instances exchange. Updates about the same start merge: the higher epoch wins, and within an epoch
/// warm wins. A new epoch begins each time that a start turns cold.
struct WarmthUpdate {
    Core::TargetId target;
    Core::TargetStartId start;
    std::uint32_t epoch{0};
    bool isWarm{false};
    /// The target counts as cold because of slow answers alone.
    bool isSuspected{false};

    bool operator==(const WarmthUpdate &) const = default;
};

enum class Warmth {
    /// Listed in the first target list; neither a report nor an update has arrived yet.
    Unknown,
    Cold,
    Warm,
};

/// State of one target at one instance.
struct TargetWarmth {
    Warmth warmth{Warmth::Unknown};
    std::optional<Core::TargetStartId> start;
    std::uint32_t epoch{0};
    /// Warm-up limits of the target's service.
    std::uint32_t coldRequests{1};
    std::uint32_t warmAfterRequests{50};
    /// Successful requests since the target turned cold.
    std::uint32_t completed{0};
    /// Requests in flight from this instance, including those sent while the target was warm.
    std::uint32_t inFlight{0};
    /// A report has shown `start` since the last lost connection and the last freeze of the process.
    bool isConfirmed{false};
    /// Since when this instance has been a sender of the target without interruption.
    std::optional<Core::TimePoint> senderSince;
    /// Exponentially weighted moving average of the latency with few requests in flight, in microseconds.
    double smoothedLatency{0};
    std::uint32_t consecutiveSlowAnswers{0};
    bool isSuspected{false};
    /// Starts that have been replaced, oldest first. Updates about them are ignored.
    std::vector<Core::TargetStartId> replacedStarts;
    /// The merged updates of peers about a start that no report has shown yet.
    std::optional<WarmthUpdate> pendingUpdate;
    /// The update that is published to peers, and the gate's revision that last changed it.
    std::optional<WarmthUpdate> published;
    std::uint64_t publishedRevision{0};
};

/// Begins an epoch as cold, with no completed requests.
void turnCold(TargetWarmth &target, std::uint32_t epoch, bool isSuspected);

/// Marks the target as warm and clears a suspicion. The epoch stays.
void turnWarm(TargetWarmth &target);

/// Counts a successful request towards the limit at which the target turns warm.
void addCompleted(TargetWarmth &target);

/// Sets the start that a report shows. A start that replaces a known one is cold.
void replaceStart(TargetWarmth &target, const Core::TargetStartId &start);

/// True if the start has been replaced, so that reports and updates about it are ignored.
bool isReplaced(const TargetWarmth &target, const Core::TargetStartId &start);

/// Merges an update about the target's current start. A suspicion is adopted only if one more is allowed.
void mergeUpdate(TargetWarmth &target, const WarmthUpdate &update, bool maySuspectAnother);

/// Stores an update about another start until a report shows which start the target runs.
void storePendingUpdate(TargetWarmth &target, const WarmthUpdate &update);

/// Merges the stored update if it is about the target's current start, and then discards it.
void mergePendingUpdate(TargetWarmth &target, bool maySuspectAnother);

/// Records the latency of an answer that arrived with few requests in flight. True if it is at least the `slowAnswers`th consecutive slow
/// one. A slow answer does not change the smoothed latency.
bool detectSlowStreak(TargetWarmth &target, std::chrono::microseconds elapsed, double slowFactor, std::uint32_t slowAnswers);

/// The update to publish about the target, if there is one.
std::optional<WarmthUpdate> warmthUpdateOf(const Core::TargetId &id, const TargetWarmth &target);

} // namespace Briarbend::Limits
