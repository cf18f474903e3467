#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

/// What one instance knows of the warmth of one target, and how it changes.
namespace Briarbend::Limits
{

/// What an instance tells its peers about one target. Statements about one start merge: the higher episode wins, and within an
/// episode warm wins. Each time a start turns cold begins a new episode.
struct WarmthUpdate {
    Core::TargetId target;
    Core::TargetStartId start;
    std::uint32_t epoch{0};
    bool isWarm{false};
    /// The target turned cold by slowness alone.
    bool isSuspected{false};

    bool operator==(const WarmthUpdate &) const = default;
};

enum class Warmth {
    /// Known from the first instance list, nothing heard of it yet.
    Unknown,
    Cold,
    Warm,
};

/// What one instance knows of one target's warmth.
struct TargetWarmth {
    Warmth warmth{Warmth::Unknown};
    std::optional<Core::TargetStartId> start;
    std::uint32_t epoch{0};
    /// Limits of the target's service.
    std::uint32_t coldRequests{1};
    std::uint32_t warmAfterRequests{50};
    /// Successful requests since the target turned cold.
    std::uint32_t completed{0};
    /// Requests of this instance in flight, those sent while the target was warm included.
    std::uint32_t inFlight{0};
    /// A report has shown the start since the last lost connection and the last freeze.
    bool isConfirmed{false};
    /// Since when the members have given this instance a sender's place without a break.
    std::optional<Core::TimePoint> senderSince;
    /// Exponentially weighted time of a request with few in flight, in microseconds.
    double smoothedLatency{0};
    std::uint32_t consecutiveSlowAnswers{0};
    bool isSuspected{false};
    /// Starts that have been replaced, oldest first; statements about them are void.
    std::vector<Core::TargetStartId> replacedStarts;
    /// The merged statements of peers about a start that no report has shown yet.
    std::optional<WarmthUpdate> pendingUpdate;
    /// What peers are told, and the gate's revision that changed it last.
    std::optional<WarmthUpdate> published;
    std::uint64_t publishedRevision{0};
};

/// Begins an episode: nothing is earned yet.
void turnCold(TargetWarmth &target, std::uint32_t epoch, bool isSuspected);

/// Ends the episode.
void turnWarm(TargetWarmth &target);

/// Counts a successful request towards warmth.
void addCompleted(TargetWarmth &target);

/// Takes over a start that a report shows. One that replaces a known start is cold.
void replaceStart(TargetWarmth &target, const Core::TargetStartId &start);

/// True where the start has been replaced, so that whatever is said of it is void.
bool isReplaced(const TargetWarmth &target, const Core::TargetStartId &start);

/// Merges a statement about the start that the target is known to run. A suspicion is taken over only where one more is allowed.
void mergeUpdate(TargetWarmth &target, const WarmthUpdate &update, bool maySuspectAnother);

/// Keeps a statement about another start until a report shows which one the target runs.
void storePendingUpdate(TargetWarmth &target, const WarmthUpdate &update);

/// Merges what was kept, once a report has shown its start.
void mergePendingUpdate(TargetWarmth &target, bool maySuspectAnother);

/// Takes up the time of an answer that came with few requests in flight. True where it is the last of so many slow ones in a row.
bool detectSlowStreak(TargetWarmth &target, std::chrono::microseconds elapsed, double slowFactor, std::uint32_t slowAnswers);

/// What peers are told of the target.
std::optional<WarmthUpdate> warmthUpdateOf(const Core::TargetId &id, const TargetWarmth &target);

} // namespace Briarbend::Limits
