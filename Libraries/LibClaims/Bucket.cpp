#include <LibClaims/Bucket.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Claims
{

namespace
{

// Upper bounds of the encoded CBOR sizes, without the variable-length content.
constexpr std::size_t BUCKET_OVERHEAD_BYTES = 64;
constexpr std::size_t CLAIM_OVERHEAD_BYTES = 112;
constexpr std::size_t CLOCK_SAMPLE_OVERHEAD_BYTES = 24;
constexpr std::size_t ATTEMPT_BYTES = 20;
constexpr std::size_t ANSWER_OVERHEAD_BYTES = 16;
constexpr std::size_t FIELD_OVERHEAD_BYTES = 12;

constexpr std::chrono::milliseconds WINDOW_FULL_RETRY_AFTER{std::chrono::minutes{1}};

std::size_t sizeOf(const RecordedAnswer &answer)
{
    return std::transform_reduce(answer.fields.begin(),
                                 answer.fields.end(),
                                 ANSWER_OVERHEAD_BYTES + answer.body.size(),
                                 std::plus{},
                                 [](const Rejection::HeaderField &field) {
                                     return FIELD_OVERHEAD_BYTES + field.name.size() + field.value.size();
                                 });
}

std::size_t sizeOf(const Claim &claim)
{
    const auto answerSize = claim.answer ? sizeOf(*claim.answer) : 0;
    return CLAIM_OVERHEAD_BYTES + claim.instance.value.size() + ATTEMPT_BYTES * claim.releasedAttempts.size() + answerSize;
}

/// Median of the clock samples of all instances except `self`; nullopt if there are none.
std::optional<Core::WallTime> medianTimeOfOthers(const Bucket &bucket, const Core::InstanceId &self)
{
    std::vector<Core::WallTime> times;
    for (const auto &sample : bucket.clockSamples) {
        if (sample.instance != self) {
            times.push_back(sample.time);
        }
    }
    if (times.empty()) {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

void addClockSample(Bucket &bucket, const Core::InstanceId &instance, Core::WallTime time)
{
    std::erase_if(bucket.clockSamples, [&instance](const ClockSample &other) {
        return other.instance == instance;
    });
    bucket.clockSamples.push_back({instance, time});
    if (bucket.clockSamples.size() > CLOCK_SAMPLE_LIMIT) {
        bucket.clockSamples.erase(bucket.clockSamples.begin());
    }
}

void recordReleasedAttempt(Claim &claim, const AttemptId &attempt)
{
    if (std::ranges::find(claim.releasedAttempts, attempt) != claim.releasedAttempts.end()) {
        return;
    }
    claim.releasedAttempts.push_back(attempt);
    if (claim.releasedAttempts.size() > RELEASED_ATTEMPT_LIMIT) {
        claim.releasedAttempts.erase(claim.releasedAttempts.begin());
    }
}

ClaimResult resultForExistingClaim(const Claim &claim, const ClaimOperation &operation)
{
    if (claim.requestDigest != operation.requestDigest) {
        return RequestDigestMismatch{};
    }
    switch (claim.state) {
    case ClaimState::Answered:
        return AlreadyAnswered{*claim.answer};
    case ClaimState::AnswerNotKept:
        return AnswerIsNotKept{};
    case ClaimState::OutcomeUnknown:
        return OutcomeIsUnknown{};
    case ClaimState::Claimed:
    case ClaimState::Released:
        break;
    }
    return claim.attempt == operation.attempt ? ClaimResult{Granted{}} : HeldByOtherAttempt{claim.attempt, claim.instance};
}

/// Removes released claims to make room for new keys: they only serve to reject late messages.
void evictReleased(Bucket &bucket, std::size_t &sizeBound)
{
    std::erase_if(bucket.claims, [](const auto &entry) {
        return entry.second.state == ClaimState::Released;
    });
    sizeBound = encodedSizeBound(bucket);
}

ApplyResult grant(Bucket &bucket, const ClaimOperation &operation, std::vector<AttemptId> releasedAttempts)
{
    const auto median = medianTimeOfOthers(bucket, operation.instance);
    addClockSample(bucket, operation.instance, operation.submittedAt);
    bucket.claims.insert_or_assign(operation.key,
                                   Claim{.requestDigest = operation.requestDigest,
                                         .attempt = operation.attempt,
                                         .instance = operation.instance,
                                         .created = std::max(operation.submittedAt, median.value_or(operation.submittedAt)),
                                         .state = ClaimState::Claimed,
                                         .answer = {},
                                         .releasedAttempts = std::move(releasedAttempts)});
    return {ClaimResult{Granted{}}, true};
}

ApplyResult applyClaim(Bucket &bucket, const ClaimOperation &operation, std::size_t &sizeBound, const Settings &settings)
{
    const auto found = bucket.claims.find(operation.key);
    if (found != bucket.claims.end() && found->second.state != ClaimState::Released) {
        return {resultForExistingClaim(found->second, operation), false};
    }
    if (found != bucket.claims.end()) {
        const auto &released = found->second.releasedAttempts;
        if (std::ranges::find(released, operation.attempt) != released.end()) {
            return {ClaimResult{AttemptAlreadyReleased{}}, false};
        }
        return grant(bucket, operation, released);
    }
    if (sizeBound > settings.softBucketLimitBytes) {
        evictReleased(bucket, sizeBound);
    }
    if (sizeBound > settings.softBucketLimitBytes) {
        return {ClaimResult{WindowFull{WINDOW_FULL_RETRY_AFTER}}, false};
    }
    auto applied = grant(bucket, operation, {});
    sizeBound += sizeOf(bucket.claims.at(operation.key)) + CLOCK_SAMPLE_OVERHEAD_BYTES + operation.instance.value.size();
    return applied;
}

ApplyResult applyRecord(Bucket &bucket, const RecordOperation &operation, std::size_t &sizeBound, const Settings &settings)
{
    const auto found = bucket.claims.find(operation.key);
    if (found == bucket.claims.end() || found->second.attempt != operation.attempt || found->second.state == ClaimState::Released) {
        return {OutcomeResult{NotHeld{}}, false};
    }
    auto &claim = found->second;
    const auto isOpen = claim.state == ClaimState::Claimed || (claim.state == ClaimState::OutcomeUnknown && operation.answer);
    if (!isOpen) {
        return {OutcomeResult{Stored{}}, false};
    }
    if (!operation.answer) {
        claim.state = ClaimState::OutcomeUnknown;
        return {OutcomeResult{Stored{}}, true};
    }
    const auto answerSize = sizeOf(*operation.answer);
    if (answerSize > settings.maximumAnswerBytes || sizeBound + answerSize > settings.hardBucketLimitBytes) {
        claim.state = ClaimState::AnswerNotKept;
        return {OutcomeResult{Stored{}}, true};
    }
    claim.state = ClaimState::Answered;
    claim.answer = operation.answer;
    sizeBound += answerSize;
    return {OutcomeResult{Stored{}}, true};
}

ApplyResult applyRelease(Bucket &bucket, const ReleaseOperation &operation, std::size_t &sizeBound)
{
    const auto found = bucket.claims.find(operation.key);
    if (found == bucket.claims.end()) {
        // A write with this attempt's claim may still be in flight. Storing the release increments the version, so that the late
        // write fails its version check.
        Claim released{.requestDigest = {},
                       .attempt = operation.attempt,
                       .instance = {},
                       .created = operation.submittedAt,
                       .state = ClaimState::Released,
                       .answer = {},
                       .releasedAttempts = {operation.attempt}};
        sizeBound += sizeOf(released);
        bucket.claims.emplace(operation.key, std::move(released));
        return {OutcomeResult{Stored{}}, true};
    }
    auto &claim = found->second;
    if (claim.attempt != operation.attempt && claim.state != ClaimState::Released) {
        return {OutcomeResult{Stored{}}, false};
    }
    if (claim.state != ClaimState::Claimed && claim.state != ClaimState::Released) {
        return {OutcomeResult{NotHeld{}}, false};
    }
    const auto before = claim;
    claim.state = ClaimState::Released;
    recordReleasedAttempt(claim, operation.attempt);
    return {OutcomeResult{Stored{}}, claim != before};
}

} // namespace

const Digest &keyOf(const Operation &operation)
{
    return std::visit(
        [](const auto &one) -> const Digest & {
            return one.key;
        },
        operation);
}

std::size_t encodedSizeBound(const Bucket &bucket)
{
    auto size = BUCKET_OVERHEAD_BYTES;
    for (const auto &sample : bucket.clockSamples) {
        size += CLOCK_SAMPLE_OVERHEAD_BYTES + sample.instance.value.size();
    }
    for (const auto &[key, claim] : bucket.claims) {
        size += sizeOf(claim);
    }
    return size;
}

ApplyResult apply(Bucket &bucket, const Operation &operation, std::size_t &sizeBound, const Settings &settings)
{
    if (const auto *claim = std::get_if<ClaimOperation>(&operation)) {
        return applyClaim(bucket, *claim, sizeBound, settings);
    }
    if (const auto *record = std::get_if<RecordOperation>(&operation)) {
        return applyRecord(bucket, *record, sizeBound, settings);
    }
    return applyRelease(bucket, std::get<ReleaseOperation>(operation), sizeBound);
}

bool evictExpired(Bucket &bucket, const Core::InstanceId &self, Core::WallTime now, const Settings &settings)
{
    const auto effectiveNow = std::min(now, medianTimeOfOthers(bucket, self).value_or(now));
    const auto removed = std::erase_if(bucket.claims, [&](const auto &entry) {
        const auto &claim = entry.second;
        const auto age = effectiveNow - claim.created;
        switch (claim.state) {
        case ClaimState::Claimed:
            return false;
        case ClaimState::Released:
            return age > settings.releasedRetention + settings.clockSkew;
        case ClaimState::Answered:
        case ClaimState::AnswerNotKept:
        case ClaimState::OutcomeUnknown:
            return age > settings.window + settings.clockSkew;
        }
        return false;
    });
    return removed > 0;
}

} // namespace Briarbend::Claims
