#pragma once

#include <LibDuties/Record.h>

/// Decides when an instance takes over the duty, and in which order it writes the record and reports.
namespace Briarbend::Duties
{

enum class Phase {
    Candidate,
    /// A write that takes over the duty may have been carried out.
    Acquiring,
    Holding,
    /// Another instance has taken over, or may have.
    Lost,
};

/// A write whose result is not settled. It is repeated unchanged, since it may still be carried out.
struct PendingWrite {
    /// Nothing if the write creates the record.
    std::optional<RecordVersion> expected;
    DutyRecord record;
    /// The write was sent and its response was lost.
    bool isUncertain{false};
};

struct HolderParameters {
    /// Name of this instance and identifier of this process.
    std::string name;
    std::string process;
    Core::Duration lease{0};
    Core::Duration window{0};
};

/// Time points are of a clock that also counts the time for which the host was suspended.
struct HolderState {
    HolderParameters parameters;
    Phase phase{Phase::Candidate};
    /// The record as last read or written. A candidate observes it; nothing until then.
    std::optional<ReadResult> observed;
    /// Since when the record is known to be unchanged.
    Core::TimePoint observedSince;
    /// While holding: when this instance last began a read or write that showed that it holds the duty; nothing if that may have changed.
    std::optional<Core::TimePoint> confirmedAt;
    std::optional<PendingWrite> pending;
    /// While holding: the report of the record has been accepted, or is not sent any more.
    bool isDelivered{true};
    /// When another holder was last heard from.
    Core::TimePoint heardAt;
    /// The holder that was last heard from does not make progress and does not claim the duty.
    bool hasHolderYielded{false};
    /// When this instance lost the duty, if it ever did.
    std::optional<Core::TimePoint> lostAt;
    /// The greatest token known from any source.
    std::uint64_t greatestToken{0};
    /// Added to the greatest token to get a new one. Doubled with each refusal, since a store that was restored may show old tokens.
    std::uint64_t tokenStep{1};
    Core::TimePoint notBefore;
    std::uint32_t failuresInRow{0};
    /// Reports that were given up because they were too late, and the last one's window.
    std::uint64_t skipped{0};
    WindowIndex lastSkipped{NO_WINDOW};
};

HolderState makeHolder(HolderParameters parameters, Core::TimePoint now);

/// What an instance knows when it decides.
struct Situation {
    Core::TimePoint now;
    /// Place among the instances that may hold the duty, the first one at zero; nothing if this instance is none of them.
    std::optional<std::size_t> rank;
    /// There is anything to report.
    bool isWanted{false};
    /// The process that the observed record names is a live member, or may be one that this instance cannot reach.
    bool isHolderAlive{false};
    WindowIndex latestClosed{NO_WINDOW};
    WindowIndex oldestReportable{NO_WINDOW};
    /// The first window of which this instance has received all counts.
    WindowIndex completeFrom{NO_WINDOW};
};

struct Wait {
};

struct ReadRecord {
};

struct WriteRecord {
    std::optional<RecordVersion> expected;
    DutyRecord record;
};

struct SendReport {
    std::uint64_t token{0};
    WindowIndex window{NO_WINDOW};
    Counts counts;
};

using Action = std::variant<Wait, ReadRecord, WriteRecord, SendReport>;

/// The next call of this instance, to the store or to the endpoint of reports. Calls must not overlap.
Action nextAction(HolderState &state, const Situation &situation, const CountTable &table);

/// Apply the results of the calls. A call began at the first time and ended at the second.
void applyRead(HolderState &state, const ReadResult &result, Core::TimePoint began, Core::TimePoint now);
void applyWrite(HolderState &state, const WriteResult &result, Core::TimePoint began, Core::TimePoint now);
void applyCall(HolderState &state, const CallResult &result, Core::TimePoint now);

/// Another instance says that it holds the duty under the token, and whether it makes progress.
void applyHeardHolder(HolderState &state, std::uint64_t token, bool isActing, Core::TimePoint now);

/// This instance may have been frozen: it reads the record before it calls again.
void requireConfirmation(HolderState &state);

/// Gives up the duty, after which another instance takes it over. A write that is not settled is still settled.
void resign(HolderState &state, Core::TimePoint now);

bool isHolding(const HolderState &state);

/// Whether this instance holds the duty and has not reported a window although the next one is closed as well, or its calls keep failing
/// before its first window.
bool isBehind(const HolderState &state, WindowIndex latestClosed);

/// The fencing token while holding; zero otherwise.
std::uint64_t ownToken(const HolderState &state);

/// The record as last read or written; null if there is none.
const StoredRecord *observedRecord(const HolderState &state);

} // namespace Briarbend::Duties
