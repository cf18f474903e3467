#pragma once

#include <LibClaims/Bucket.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

/// Group commit: batches operations on one bucket into one conditional update of the store.
namespace Briarbend::Claims
{

/// Requests the bucket's value and version.
struct ReadBucket {
    bool operator==(const ReadBucket &) const = default;
};

/// Requests that the value be stored if the object still has the expected version. Version zero means that it must not exist yet.
struct ConditionalWrite {
    std::uint64_t expectedVersion{0};
    std::vector<std::uint8_t> value;

    bool operator==(const ConditionalWrite &) const = default;
};

using StoreRequest = std::variant<ReadBucket, ConditionalWrite>;

enum class StoreStatus {
    Ok,
    /// The object had another version than the write expected.
    Conflict,
    /// The store rejected the call, or the call could not be sent.
    Unavailable,
    /// The call was sent and was not answered: a write may have taken effect, or may still do so.
    Unknown,
};

struct ReadAnswer {
    StoreStatus status{StoreStatus::Unavailable};
    /// Zero if the object does not exist.
    std::uint64_t version{0};
    std::vector<std::uint8_t> value;
};

struct WriteAnswer {
    StoreStatus status{StoreStatus::Unavailable};
    /// The new version if the status is Ok.
    std::uint64_t version{0};
};

/// Identifies an operation within one committer; chosen by the submitter.
using OperationId = std::uint64_t;

struct FinishedOperation {
    OperationId id{0};
    OperationResult result;
};

/// Actions that the owner of a committer must carry out after each call of a function below.
struct CommitterStep {
    /// Send this request to the store and pass its answer to onRead or onWritten. At most one request is in flight.
    std::optional<StoreRequest> request;
    std::vector<FinishedOperation> finished;
    /// Call onTimer at this time, unless another function of the committer is called before.
    std::optional<Core::TimePoint> wakeAt;
};

struct PendingOperation {
    OperationId id{0};
    Operation operation;
    Core::TimePoint submittedAt;
    /// Time at which an uncommitted claim is rejected. Records and releases have no deadline.
    Core::TimePoint commitDeadline;
    /// Number of store calls that the committer had started at the time of submission. Clocks are too coarse to order a submission and
    /// a call.
    std::uint64_t callsStartedBefore{0};
    /// True once a write that contains this operation was sent.
    bool wasWriteSent{false};
};

enum class CommitterPhase {
    Idle,
    Reading,
    Writing,
};

/// State of the committer of one bucket at one instance. Any number of committers of one bucket, at any instances, may run
/// concurrently.
struct BucketCommitter {
    BucketCommitter(Core::InstanceId instance, Settings committerSettings);

    Core::InstanceId self;
    Settings settings;
    CommitterPhase phase{CommitterPhase::Idle};
    std::deque<PendingOperation> queue;

    /// The bucket as last read or written; nullopt if its state after the last call is unknown.
    std::optional<Bucket> bucket;
    std::uint64_t version{0};
    /// Number of the call that returned or wrote this state. It is recent enough to decide operations submitted before that call.
    std::uint64_t observedByCall{0};
    std::uint64_t callsStarted{0};

    /// Operations in the write that is in flight and their results, in the same order.
    std::vector<PendingOperation> batch;
    std::vector<OperationResult> batchResults;
    Core::TimePoint nextUpdateAt;

    std::uint32_t failures{0};
    Core::TimePoint retryNotBefore;
};

/// Queues an operation. A claim fails with StoreUnavailable if the queue is full or `commitDeadline` passes.
CommitterStep submit(BucketCommitter &committer,
                     OperationId id,
                     Operation operation,
                     Core::TimePoint commitDeadline,
                     Core::TimePoint now,
                     Core::WallTime wall);

/// Handles the answer to ReadBucket.
CommitterStep onRead(BucketCommitter &committer, const ReadAnswer &answer, Core::TimePoint now, Core::WallTime wall);

/// Handles the answer to ConditionalWrite.
CommitterStep onWritten(BucketCommitter &committer, const WriteAnswer &answer, Core::TimePoint now, Core::WallTime wall);

CommitterStep onTimer(BucketCommitter &committer, Core::TimePoint now, Core::WallTime wall);

/// True if nothing is queued or in flight: the committer may be destroyed without losing an operation.
bool isIdle(const BucketCommitter &committer);

} // namespace Briarbend::Claims
