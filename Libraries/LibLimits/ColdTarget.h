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
struct ColdTarget {
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
    std::optional<Core::TimePoint> placeSince;
    /// Exponentially weighted time of a request with few in flight, in microseconds.
    double usualTime{0};
    std::uint32_t slowInRow{0};
    bool isSuspected{false};
    /// Starts that have been replaced, oldest first; statements about them are void.
    std::vector<Core::TargetStartId> replacedStarts;
    /// The merged statements of peers about a start that no report has shown yet.
    std::optional<WarmthUpdate> heard;
    /// What peers are told, and the gate's revision that changed it last.
    std::optional<WarmthUpdate> told;
    std::uint64_t toldSince{0};
};

/// Begins an episode: nothing is earned yet.
void turnCold(ColdTarget &target, std::uint32_t epoch, bool isSuspected);

/// Ends the episode.
void turnWarm(ColdTarget &target);

/// Counts a successful request towards warmth.
void addCompleted(ColdTarget &target);

/// Takes over a start that a report shows. One that replaces a known start is cold.
void replaceStart(ColdTarget &target, const Core::TargetStartId &start);

/// True where the start has been replaced, so that whatever is said of it is void.
bool isReplaced(const ColdTarget &target, const Core::TargetStartId &start);

/// Merges a statement about the start that the target is known to run. A suspicion is taken over only where one more is allowed.
void mergeStatement(ColdTarget &target, const WarmthUpdate &statement, bool mayBeSuspected);

/// Keeps a statement about another start until a report shows which one the target runs.
void keepHeard(ColdTarget &target, const WarmthUpdate &statement);

/// Merges what was kept, once a report has shown its start.
void adoptHeard(ColdTarget &target, bool mayBeSuspected);

/// Takes up the time of an answer that came with few requests in flight. True where it is the last of so many slow ones in a row.
bool isSuddenlySlow(ColdTarget &target, std::chrono::microseconds elapsed, double slowFactor, std::uint32_t slowAnswers);

/// What peers are told of the target.
std::optional<WarmthUpdate> statementOf(const Core::TargetId &id, const ColdTarget &target);

} // namespace Briarbend::Limits
