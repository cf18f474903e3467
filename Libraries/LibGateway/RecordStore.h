#pragma once

#include <LibGateway/Revision.h>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <variant>

namespace Briarbend::Gateway
{

enum class Freshness {
    /// Reflects every change that was acknowledged before the call.
    Linearizable,
    /// May be some seconds stale; cheaper and not rate-limited.
    Relaxed,
};

/// Records that instances keep in the store for each other, one object each.
enum class RecordName {
    /// Who reports usage, and what was last reported.
    UsageDuty,
    /// Which members the parts of a divided fleet reach.
    FleetPresence,
    /// Evidence against requests that crash targets.
    Quarantine,
};

/// No usable response. A write may have been applied nevertheless, or may still be, seconds later.
struct StoreFailure {
    std::string reason;
};

/// The object's revision is the one that the write led to.
struct Written {
    Revision revision{};
};

struct SharedRecord {
    /// JSON text (RFC 8259).
    std::string content;
    Revision revision{};
};

/// No instance has written the record.
struct RecordAbsent {
};

/// The record's revision differs from the one expected.
struct RecordConflict {
    /// What the store holds, where the response has it.
    std::optional<SharedRecord> current;
};

using RecordReadResult = std::variant<SharedRecord, RecordAbsent, StoreFailure>;
using RecordWriteResult = std::variant<Written, RecordConflict, StoreFailure>;

/// Interface to the records of instances. Failures are returned as results.
class RecordStore
{
public:
    virtual ~RecordStore() = default;

    virtual boost::asio::awaitable<RecordReadResult> readRecord(RecordName name, Freshness freshness) = 0;
    /// Replaces the record if it still has the expected revision; creates it if none is expected.
    virtual boost::asio::awaitable<RecordWriteResult> writeRecord(RecordName name, std::optional<Revision> expected, std::string content)
        = 0;
};

} // namespace Briarbend::Gateway
