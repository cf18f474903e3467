#pragma once

#include <LibDuties/Counts.h>

#include <compare>
#include <optional>
#include <string>
#include <variant>

namespace Briarbend::Duties
{

/// Write-ahead record of the duty: written before the call that it describes, so that a successor can repeat exactly what may have been
/// sent.
struct DutyRecord {
    /// Fencing token: greater with each holder.
    std::uint64_t token{0};
    /// Name of the instance that holds the duty.
    std::string holder;
    /// Identifies one start of the holder's process.
    std::string process;
    /// Window and counts of the last report; NO_WINDOW if there has been none.
    WindowIndex window{NO_WINDOW};
    Counts counts;

    bool operator==(const DutyRecord &) const = default;
};

/// State of the store in which the record was last written. Numbers of different eras are not comparable.
struct RecordVersion {
    /// How often the store was restored from a copy.
    std::uint64_t era{0};
    std::uint64_t number{0};

    bool operator==(const RecordVersion &) const = default;
};

struct StoredRecord {
    DutyRecord record;
    RecordVersion version;

    bool operator==(const StoredRecord &) const = default;
};

/// No record has been written.
struct RecordAbsent {
};

/// No usable response. A write or call may have been carried out, or may still be, seconds later.
struct NoResponse {
    std::string reason;
};

using ReadResult = std::variant<StoredRecord, RecordAbsent, NoResponse>;

struct RecordWritten {
    RecordVersion version;
};

/// The record's version differs from the one expected.
struct RecordConflict {
    /// The record that the store holds, where the response has it.
    std::optional<StoredRecord> current;
};

using WriteResult = std::variant<RecordWritten, RecordConflict, NoResponse>;

struct CallAccepted {
};

/// A higher fencing token has been seen.
struct TokenRefused {
};

/// The call was refused for now.
struct CallDeferred {
    std::string reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using CallResult = std::variant<CallAccepted, TokenRefused, CallDeferred, NoResponse>;

} // namespace Briarbend::Duties
