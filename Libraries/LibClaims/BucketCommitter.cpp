#include <LibClaims/BucketCodec.h>
#include <LibClaims/BucketCommitter.h>

#include <algorithm>

namespace Briarbend::Claims
{

namespace
{

constexpr std::uint32_t FAILURES_BEFORE_FAILING_FAST = 2;
constexpr std::uint32_t MAXIMUM_BACKOFF_SHIFT = 10;

bool isClaim(const PendingOperation &pending)
{
    return std::holds_alternative<ClaimOperation>(pending.operation);
}

std::chrono::milliseconds backoff(const BucketCommitter &committer)
{
    const auto shift = std::min(committer.failures, MAXIMUM_BACKOFF_SHIFT);
    return std::min(committer.settings.maximumBackoff, committer.settings.initialBackoff * (1U << shift));
}

bool isFailingFast(const BucketCommitter &committer, Core::TimePoint now)
{
    return committer.failures >= FAILURES_BEFORE_FAILING_FAST && now < committer.retryNotBefore;
}

void rejectClaim(const BucketCommitter &committer, const PendingOperation &pending, CommitterStep &step)
{
    auto &finished = step.finished.emplace_back();
    finished.id = pending.id;
    finished.result.emplace<ClaimResult>().emplace<StoreUnavailable>(backoff(committer), pending.wasWriteSent);
}

template<typename Predicate>
void rejectQueuedClaims(BucketCommitter &committer, CommitterStep &step, Predicate isRejected)
{
    std::erase_if(committer.queue, [&](const PendingOperation &pending) {
        if (!isClaim(pending) || !isRejected(pending)) {
            return false;
        }
        rejectClaim(committer, pending, step);
        return true;
    });
}

void handleStoreFailure(BucketCommitter &committer, CommitterStep &step, Core::TimePoint now)
{
    committer.bucket.reset();
    committer.retryNotBefore = now + backoff(committer);
    ++committer.failures;
    rejectQueuedClaims(committer, step, [](const PendingOperation &) {
        return true;
    });
}

/// Results that remain valid whatever other committers do later. Other results are valid only if the bucket was read after the
/// operation was submitted: an older state may lack the claim that a record or a release refers to.
bool isFinal(const OperationResult &result)
{
    const auto *claim = std::get_if<ClaimResult>(&result);
    return claim != nullptr
        && (std::holds_alternative<Granted>(*claim) || std::holds_alternative<AlreadyAnswered>(*claim)
            || std::holds_alternative<AnswerIsNotKept>(*claim) || std::holds_alternative<AttemptAlreadyReleased>(*claim));
}

/// Time at which the next batch may be committed.
Core::TimePoint nextBatchDueAt(const BucketCommitter &committer)
{
    const auto claimWaits = std::ranges::any_of(committer.queue, isClaim);
    const auto linger = claimWaits ? std::chrono::milliseconds{0} : committer.settings.outcomeLinger;
    const auto wanted = committer.queue.front().submittedAt + linger;
    return std::max({wanted, committer.retryNotBefore, committer.nextUpdateAt});
}

void startRead(BucketCommitter &committer, CommitterStep &step)
{
    committer.phase = CommitterPhase::Reading;
    ++committer.callsStarted;
    step.request = ReadBucket{};
}

void startWrite(BucketCommitter &committer, CommitterStep &step, Core::TimePoint now)
{
    committer.phase = CommitterPhase::Writing;
    ++committer.callsStarted;
    committer.nextUpdateAt = now + committer.settings.updateInterval;
    std::ranges::for_each(committer.batch, [](PendingOperation &pending) {
        pending.wasWriteSent = true;
    });
    step.request = ConditionalWrite{committer.version, encodeBucket(*committer.bucket)};
}

void returnBatchToQueue(BucketCommitter &committer)
{
    committer.queue.insert(
        committer.queue.begin(), std::make_move_iterator(committer.batch.begin()), std::make_move_iterator(committer.batch.end()));
    committer.batch.clear();
    committer.batchResults.clear();
}

void finishBatch(BucketCommitter &committer, CommitterStep &step)
{
    for (std::size_t index = 0; index < committer.batch.size(); ++index) {
        step.finished.push_back({committer.batch[index].id, std::move(committer.batchResults[index])});
    }
    committer.batch.clear();
    committer.batchResults.clear();
}

void takeBatch(BucketCommitter &committer)
{
    const auto count = std::min(committer.settings.batchLimit, committer.queue.size());
    const auto end = committer.queue.begin() + static_cast<std::ptrdiff_t>(count);
    committer.batch.assign(std::make_move_iterator(committer.queue.begin()), std::make_move_iterator(end));
    committer.queue.erase(committer.queue.begin(), end);
}

/// Applies the batch to the cached bucket. Returns true if the bucket has to be written.
bool applyBatch(BucketCommitter &committer, Core::WallTime wall)
{
    evictExpired(*committer.bucket, committer.self, wall, committer.settings);
    auto sizeBound = encodedSizeBound(*committer.bucket);
    auto isChanged = false;
    for (const auto &pending : committer.batch) {
        auto applied = apply(*committer.bucket, pending.operation, sizeBound, committer.settings);
        isChanged = isChanged || applied.isChanged;
        committer.batchResults.push_back(std::move(applied.result));
    }
    return isChanged;
}

/// True if the results of a batch that changed nothing can be returned without reading the bucket again.
bool canFinishWithoutRead(const BucketCommitter &committer)
{
    for (std::size_t index = 0; index < committer.batch.size(); ++index) {
        if (!isFinal(committer.batchResults[index]) && committer.batch[index].callsStartedBefore >= committer.observedByCall) {
            return false;
        }
    }
    return true;
}

/// Starts the next store call if operations are queued and due.
void startNextCall(BucketCommitter &committer, CommitterStep &step, Core::TimePoint now, Core::WallTime wall)
{
    while (committer.phase == CommitterPhase::Idle) {
        rejectQueuedClaims(committer, step, [&](const PendingOperation &pending) {
            return pending.commitDeadline <= now || isFailingFast(committer, now);
        });
        if (committer.queue.empty()) {
            return;
        }
        if (const auto due = nextBatchDueAt(committer); due > now) {
            step.wakeAt = due;
            return;
        }
        if (!committer.bucket) {
            startRead(committer, step);
            return;
        }
        takeBatch(committer);
        if (applyBatch(committer, wall)) {
            startWrite(committer, step, now);
            return;
        }
        if (!canFinishWithoutRead(committer)) {
            returnBatchToQueue(committer);
            startRead(committer, step);
            return;
        }
        finishBatch(committer, step);
    }
}

} // namespace

BucketCommitter::BucketCommitter(Core::InstanceId instance, Settings committerSettings)
    : self(std::move(instance))
    , settings(committerSettings)
{
}

CommitterStep submit(BucketCommitter &committer,
                     OperationId id,
                     Operation operation,
                     Core::TimePoint commitDeadline,
                     Core::TimePoint now,
                     Core::WallTime wall)
{
    CommitterStep step;
    PendingOperation pending{.id = id,
                             .operation = std::move(operation),
                             .submittedAt = now,
                             .commitDeadline = commitDeadline,
                             .callsStartedBefore = committer.callsStarted,
                             .wasWriteSent = false};
    if (isClaim(pending) && committer.queue.size() >= committer.settings.queueLimit) {
        rejectClaim(committer, pending, step);
    } else {
        committer.queue.push_back(std::move(pending));
    }
    startNextCall(committer, step, now, wall);
    return step;
}

CommitterStep onRead(BucketCommitter &committer, const ReadAnswer &answer, Core::TimePoint now, Core::WallTime wall)
{
    CommitterStep step;
    committer.phase = CommitterPhase::Idle;
    if (answer.status != StoreStatus::Ok) {
        handleStoreFailure(committer, step, now);
        startNextCall(committer, step, now, wall);
        return step;
    }
    try {
        committer.bucket = decodeBucket(answer.value);
        committer.version = answer.version;
        committer.observedByCall = committer.callsStarted;
        committer.failures = 0;
    } catch (const CodecError &) {
        // A value in an unknown format may hold claims, so it must neither be overwritten nor treated as empty.
        handleStoreFailure(committer, step, now);
    }
    startNextCall(committer, step, now, wall);
    return step;
}

CommitterStep onWritten(BucketCommitter &committer, const WriteAnswer &answer, Core::TimePoint now, Core::WallTime wall)
{
    CommitterStep step;
    committer.phase = CommitterPhase::Idle;
    switch (answer.status) {
    case StoreStatus::Ok:
        committer.version = answer.version;
        committer.observedByCall = committer.callsStarted;
        committer.failures = 0;
        finishBatch(committer, step);
        break;
    case StoreStatus::Conflict:
    case StoreStatus::Unknown:
        // Reads the bucket and applies the batch again: an operation that was stored after all is recognized by its attempt.
        committer.bucket.reset();
        returnBatchToQueue(committer);
        break;
    case StoreStatus::Unavailable:
        returnBatchToQueue(committer);
        handleStoreFailure(committer, step, now);
        break;
    }
    startNextCall(committer, step, now, wall);
    return step;
}

CommitterStep onTimer(BucketCommitter &committer, Core::TimePoint now, Core::WallTime wall)
{
    CommitterStep step;
    startNextCall(committer, step, now, wall);
    return step;
}

bool isIdle(const BucketCommitter &committer)
{
    return committer.queue.empty() && committer.batch.empty() && committer.phase == CommitterPhase::Idle;
}

} // namespace Briarbend::Claims
