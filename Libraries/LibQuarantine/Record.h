#pragma once

#include <LibQuarantine/QuarantineState.h>

#include <string>
#include <string_view>

/// What of the quarantine outlives the processes: evidence that leads to one, kept in the platform's store. All instances may end at the
/// same moment.
namespace Briarbend::Quarantine
{

/// Age from which evidence is kept. By then reports of a wider failure have arrived, and most harmless requests have completed elsewhere.
constexpr std::chrono::milliseconds KEEPING_DELAY{500};

/// Confirmed evidence about one request and one start of a target.
struct KeptEvidence {
    Fingerprint fingerprint;
    Core::TargetStartId start;
    bool isTrial{false};
    bool hadCompletedBefore{false};
    Core::WallTime seenAt;

    bool operator==(const KeptEvidence &) const = default;
};

/// A start of a target that was lost near the time of the evidence.
struct KeptLostStart {
    Core::TargetStartId start;
    Core::WallTime seenAt;

    bool operator==(const KeptLostStart &) const = default;
};

struct Record {
    std::vector<KeptEvidence> evidence;
    std::vector<KeptLostStart> lostStarts;

    bool operator==(const Record &) const = default;
};

/// Whether the record that is stored lacks evidence of the wanted one, or has evidence that is no longer valid.
enum class RecordDifference {
    None,
    Outdated,
    Incomplete,
};

/// What is to be kept: evidence that no wider failure explains, of the requests with the most evidence first, at most MAXIMUM_EVIDENCE.
Record recordOf(const QuarantineState &state, Core::TimePoint now, Core::WallTime wallNow);

RecordDifference compare(const Record &stored, const Record &wanted);

/// Reports to merge at an instance that reads the record. Evidence that the clocks of instances place in the future counts as new.
Reports reportsOf(const Record &record, Core::WallTime wallNow);

/// JSON text (RFC 8259).
std::string encodeRecord(const Record &record);
/// The entries that can be read; what other programs may have written is left out.
Record decodeRecord(std::string_view text);

} // namespace Briarbend::Quarantine
