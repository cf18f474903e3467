#include <LibClaims/Bucket.h>
#include <LibClaims/BucketCodec.h>
#include <LibClaims/BucketLayout.h>
#include <LibClaims/OperationCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Claims
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime START{std::chrono::hours{500'000}};

Digest keyOfNumber(std::size_t number)
{
    return keyDigest("ledger", "/dispatch", std::to_string(number));
}

ClaimOperation claimOf(std::size_t key, std::uint64_t attempt, const std::string &instance, Core::WallTime at)
{
    return {.key = keyOfNumber(key), .requestDigest = {}, .attempt = {attempt, attempt}, .instance = {instance}, .submittedAt = at};
}

/// Applies an operation with a size bound computed from the current bucket.
OperationResult applied(Bucket &bucket, const Operation &operation, const Settings &settings = {})
{
    auto size = encodedSizeBound(bucket);
    return apply(bucket, operation, size, settings).result;
}

RecordedAnswer answerOf(std::size_t size)
{
    return {.status = 201, .fields = {{"Location", "/lots/7"}}, .body = std::string(size, '\xff')};
}

} // namespace

TEST(Bucket, evictionKeepsClaimedKeysAndAnsweredOnesWithinTheWindow)
{
    const Settings settings;
    Bucket bucket;
    applied(bucket, claimOf(0, 1, "a", START));
    applied(bucket, claimOf(1, 2, "a", START));
    applied(bucket, RecordOperation{keyOfNumber(1), {2, 2}, answerOf(1)});
    EXPECT_FALSE(evictExpired(bucket, {"a"}, START + settings.window, settings));
    EXPECT_TRUE(evictExpired(bucket, {"a"}, START + settings.window + settings.clockSkew + 1ms, settings));
    evictExpired(bucket, {"a"}, START + 1000 * settings.window, settings);
    EXPECT_TRUE(bucket.claims.contains(keyOfNumber(0)));
    EXPECT_FALSE(bucket.claims.contains(keyOfNumber(1)));
}

TEST(Bucket, oneWrongClockDoesNotShortenTheWindow)
{
    const Settings settings;
    const auto record = [](Bucket &bucket, std::size_t key) {
        applied(bucket, RecordOperation{keyOfNumber(key), {key, key}, std::nullopt});
    };
    Bucket bucket;
    applied(bucket, claimOf(1, 1, "a", START));
    applied(bucket, claimOf(2, 2, "b", START));
    applied(bucket, claimOf(3, 3, "slow", START - 1000 * settings.window));
    record(bucket, 1);
    record(bucket, 3);
    // One committer's clock is far ahead and another's is right; the bucket holds a claim of a right clock and one of a slow clock.
    EXPECT_FALSE(evictExpired(bucket, {"fast"}, START + 1000 * settings.window, settings));
    EXPECT_FALSE(evictExpired(bucket, {"a"}, START + settings.window / 2, settings));
    EXPECT_EQ(bucket.claims.size(), 3U);
}

TEST(Bucket, fullBucketRefusesNewKeysAndStillRecordsOutcomes)
{
    Settings settings;
    settings.softBucketLimitBytes = 4096;
    settings.hardBucketLimitBytes = 8192;
    Bucket bucket;
    std::size_t granted = 0;
    while (applied(bucket, claimOf(granted, granted, "a", START), settings) == OperationResult{ClaimResult{Granted{}}}) {
        ++granted;
    }
    EXPECT_GT(granted, 5U);
    for (std::size_t key = 0; key < granted; ++key) {
        const auto result = applied(bucket, RecordOperation{keyOfNumber(key), {key, key}, answerOf(2000)}, settings);
        EXPECT_EQ(result, OperationResult{OutcomeResult{Stored{}}});
    }
    EXPECT_LE(encodeBucket(bucket).size(), settings.hardBucketLimitBytes);
    // The first answers were kept, the later ones did not fit, and none of the keys can run again.
    EXPECT_EQ(applied(bucket, claimOf(0, 99, "b", START), settings), OperationResult{ClaimResult{AlreadyAnswered{answerOf(2000)}}});
    EXPECT_EQ(applied(bucket, claimOf(granted - 1, 99, "b", START), settings), OperationResult{ClaimResult{AnswerIsNotKept{}}});
}

TEST(Bucket, onlyTheHolderReleasesAndItsLateClaimIsRejected)
{
    Bucket bucket;
    applied(bucket, claimOf(0, 1, "a", START));
    applied(bucket, ReleaseOperation{keyOfNumber(0), {2, 2}, START});
    EXPECT_EQ(applied(bucket, claimOf(0, 3, "b", START)), (OperationResult{ClaimResult{HeldByOtherAttempt{{1, 1}, {"a"}}}}));
    applied(bucket, ReleaseOperation{keyOfNumber(0), {1, 1}, START});
    EXPECT_EQ(applied(bucket, claimOf(0, 1, "a", START)), OperationResult{ClaimResult{AttemptAlreadyReleased{}}});
    EXPECT_EQ(applied(bucket, claimOf(0, 3, "b", START)), OperationResult{ClaimResult{Granted{}}});
    EXPECT_EQ(applied(bucket, ReleaseOperation{keyOfNumber(1), {4, 4}, START}), OperationResult{OutcomeResult{Stored{}}});
    EXPECT_EQ(applied(bucket, claimOf(1, 4, "a", START)), OperationResult{ClaimResult{AttemptAlreadyReleased{}}});
}

RC_GTEST_PROP(BucketCodec, roundTripIsExactAndWithinTheSizeBound, ())
{
    Bucket bucket;
    const auto count = *rc::gen::inRange<std::size_t>(0, 30);
    for (std::size_t key = 0; key < count; ++key) {
        const auto attempt = *rc::gen::arbitrary<std::uint64_t>();
        const auto instance = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        applied(bucket, claimOf(key, attempt, instance, START + std::chrono::milliseconds{*rc::gen::arbitrary<int>()}));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            applied(bucket, RecordOperation{keyOfNumber(key), {attempt, attempt}, answerOf(*rc::gen::inRange<std::size_t>(0, 20'000))});
            break;
        case 1:
            applied(bucket, RecordOperation{keyOfNumber(key), {attempt, attempt}, std::nullopt});
            break;
        case 2:
            applied(bucket, ReleaseOperation{keyOfNumber(key), {attempt, attempt}, START});
            break;
        default:
            break;
        }
    }
    const auto bytes = encodeBucket(bucket);
    RC_ASSERT(decodeBucket(bytes) == bucket);
    RC_ASSERT(bytes.size() <= encodedSizeBound(bucket));
}

RC_GTEST_PROP(BucketCodec, invalidBytesAreRejected, (const std::vector<std::uint8_t> &bytes))
{
    RC_PRE(!bytes.empty());
    RC_ASSERT_THROWS_AS(decodeBucket(bytes), CodecError);
    RC_ASSERT_THROWS_AS(decodeOperation(bytes), CodecError);
    RC_ASSERT_THROWS_AS(decodeLayout(bytes), CodecError);
}

TEST(BucketCodec, messagesRoundTrip)
{
    const std::vector<Operation> operations{claimOf(1, 2, "a", START),
                                            RecordOperation{keyOfNumber(1), {1, 2}, answerOf(5)},
                                            RecordOperation{keyOfNumber(1), {1, 2}, std::nullopt},
                                            ReleaseOperation{keyOfNumber(2), {3, 4}, START}};
    for (const auto &operation : operations) {
        EXPECT_EQ(decodeOperation(encodeOperation(operation)), operation);
    }
    const std::vector<OperationResult> results{ClaimResult{Granted{}},
                                               ClaimResult{AlreadyAnswered{answerOf(3)}},
                                               ClaimResult{AnswerIsNotKept{}},
                                               ClaimResult{HeldByOtherAttempt{{1, 2}, {"a"}}},
                                               ClaimResult{RequestDigestMismatch{}},
                                               ClaimResult{OutcomeIsUnknown{}},
                                               ClaimResult{AttemptAlreadyReleased{}},
                                               ClaimResult{WindowFull{5ms}},
                                               ClaimResult{StoreUnavailable{7ms, true}},
                                               OutcomeResult{Stored{}},
                                               OutcomeResult{NotHeld{}}};
    for (const auto &result : results) {
        EXPECT_EQ(decodeResult(encodeResult(result)), result);
    }
    const BucketLayout layout{.bucketCount = 64, .window = 3h};
    EXPECT_EQ(decodeLayout(encodeLayout(layout)), layout);
    EXPECT_LT(bucketOf(keyOfNumber(1), layout), layout.bucketCount);
}

} // namespace Briarbend::Claims
