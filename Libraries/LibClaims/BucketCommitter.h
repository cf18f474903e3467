#pragma once

#include <LibClaims/Bucket.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

/// Group commit: many operations on one bucket in one conditional update of the store.
namespace Briarbend::Claims
{

/// Asks for the bucket's value and version.
struct ReadBucket {
    bool operator==(const ReadBucket &) const = default;
};

/// Asks for the value to be stored if the object still has the expected version. Version zero: if the object does not exist.
struct ConditionalWrite {
    std::uint64_t expectedVersion{0};
    std::vector<std::uint8_t> value;

    bool operator==(const ConditionalWrite &) const = default;
};

using StoreRequest = std::variant<ReadBucket, ConditionalWrite>;

enum class StoreStatus {
    Ok,
    /// A write found another version.
    Conflict,
    /// The store refused the call, or it could not be sent.
    Unavailable,
    /// The call was sent and no answer came: a write may have taken effect, or may still.
    Unknown,
};

struct ReadAnswer {
    StoreStatus status{StoreStatus::Unavailable};
    /// Zero where the object does not exist.
    std::uint64_t version{0};
    std::vector<std::uint8_t> value;
};

struct WriteAnswer {
    StoreStatus status{StoreStatus::Unavailable};
    /// The new version where the status is Ok.
    std::uint64_t version{0};
};

/// Names an operation within one committer; chosen by the submitter.
using OperationId = std::uint64_t;

struct FinishedOperation {
    OperationId id{0};
    OperationResult result;
};

/// What the owner of a committer has to do after each call.
struct CommitterStep {
    /// Send this to the store, and pass its answer to onRead or onWritten. At most one is in flight.
    std::optional<StoreRequest> request;
    std::vector<FinishedOperation> finished;
    /// Call onTimer at this time, if nothing else happens before.
    std::optional<Core::TimePoint> wakeAt;
};

struct PendingOperation {
    OperationId id{0};
    Operation operation;
    Core::TimePoint submittedAt;
    /// Claims that are not committed by then are turned away. Records and releases never give up.
    Core::TimePoint commitDeadline;
    /// Number of store calls that the committer had started at the submission. Clocks are too coarse to order the two.
    std::uint64_t callsStartedBefore{0};
    /// True once a write with this operation was sent.
    bool wasWriteSent{false};
};

enum class CommitterPhase {
    Idle,
    Reading,
    Writing,
};

/// State of the committer of one bucket at one instance. Created at will: any number of committers of one bucket, at any instances,
/// are safe together.
struct BucketCommitter {
    BucketCommitter(Core::InstanceId instance, Settings committerSettings);

    Core::InstanceId self;
    Settings settings;
    CommitterPhase phase{CommitterPhase::Idle};
    std::deque<PendingOperation> queue;

    /// The bucket as last read or written; not set where the last call leaves its state in doubt.
    std::optional<Bucket> bucket;
    std::uint64_t version{0};
    /// Number of the call that showed the bucket in this state. Operations submitted before that call may be judged by it.
    std::uint64_t observedByCall{0};
    std::uint64_t callsStarted{0};

    /// Operations and their results in the write in flight, in order.
    std::vector<PendingOperation> batch;
    std::vector<OperationResult> batchResults;
    Core::TimePoint nextUpdateAt;

    std::uint32_t failures{0};
    Core::TimePoint retryNotBefore;
};

/// Adds an operation. A claim is turned away as StoreUnavailable where the queue is full or commitDeadline passes.
CommitterStep submit(BucketCommitter &committer,
                     OperationId id,
                     Operation operation,
                     Core::TimePoint commitDeadline,
                     Core::TimePoint now,
                     Core::WallTime wall);

/// Takes the answer to ReadBucket.
CommitterStep onRead(BucketCommitter &committer, const ReadAnswer &answer, Core::TimePoint now, Core::WallTime wall);

/// Takes the answer to ConditionalWrite.
CommitterStep onWritten(BucketCommitter &committer, const WriteAnswer &answer, Core::TimePoint now, Core::WallTime wall);

CommitterStep onTimer(BucketCommitter &committer, Core::TimePoint now, Core::WallTime wall);

/// True where nothing waits or is in flight: the committer may be dropped without losing an operation.
bool isIdle(const BucketCommitter &committer);

} // namespace Briarbend::Claims
