#include <LibClaims/BucketCodec.h>
#include <LibClaims/BucketCommitter.h>

#include <gtest/gtest.h>

namespace Briarbend::Claims
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime WALL{std::chrono::hours{500'000}};
constexpr Core::TimePoint NOW{std::chrono::hours{1}};
constexpr Core::TimePoint LATER{std::chrono::hours{2}};

Operation claimOf(std::uint64_t number)
{
    return ClaimOperation{.key = keyDigest("ledger", "/dispatch", std::to_string(number)),
                          .requestDigest = {},
                          .attempt = {number, number},
                          .instance = {"a"},
                          .submittedAt = WALL};
}

const ClaimResult &claimResult(const CommitterStep &step, std::size_t index)
{
    return std::get<ClaimResult>(step.finished.at(index).result);
}

} // namespace

TEST(BucketCommitter, claimsSubmittedTogetherShareOneUpdate)
{
    constexpr OperationId CLAIMS = 100;
    BucketCommitter committer{{"a"}, {}};
    EXPECT_TRUE(std::holds_alternative<ReadBucket>(*submit(committer, 0, claimOf(0), LATER, NOW, WALL).request));
    for (OperationId id = 1; id < CLAIMS; ++id) {
        EXPECT_FALSE(submit(committer, id, claimOf(id), LATER, NOW, WALL).request);
    }
    const auto write = onRead(committer, {.status = StoreStatus::Ok, .version = 0, .value = {}}, NOW, WALL);
    EXPECT_EQ(decodeBucket(std::get<ConditionalWrite>(*write.request).value).claims.size(), CLAIMS);
    EXPECT_TRUE(write.finished.empty());
    const auto done = onWritten(committer, {.status = StoreStatus::Ok, .version = 1}, NOW, WALL);
    EXPECT_EQ(done.finished.size(), CLAIMS);
    EXPECT_TRUE(isIdle(committer));
    // The next claim needs no read and waits for the update interval.
    const auto next = submit(committer, CLAIMS, claimOf(CLAIMS), LATER, NOW, WALL);
    EXPECT_EQ(next.wakeAt, NOW + committer.settings.updateInterval);
    EXPECT_TRUE(std::holds_alternative<ConditionalWrite>(*onTimer(committer, *next.wakeAt, WALL).request));
}

TEST(BucketCommitter, writeWithUnknownOutcomeIsResolvedByReading)
{
    BucketCommitter committer{{"a"}, {}};
    submit(committer, 0, claimOf(0), LATER, NOW, WALL);
    const auto write = onRead(committer, {.status = StoreStatus::Ok, .version = 0, .value = {}}, NOW, WALL);
    const auto value = std::get<ConditionalWrite>(*write.request).value;
    const auto reading = onWritten(committer, {.status = StoreStatus::Unknown, .version = 0}, NOW, WALL);
    EXPECT_TRUE(reading.finished.empty());
    const auto later = NOW + committer.settings.updateInterval;
    EXPECT_TRUE(std::holds_alternative<ReadBucket>(*onTimer(committer, later, WALL).request));
    const auto done = onRead(committer, {.status = StoreStatus::Ok, .version = 1, .value = value}, later, WALL);
    EXPECT_TRUE(std::holds_alternative<Granted>(claimResult(done, 0)));
    EXPECT_FALSE(done.request);
}

TEST(BucketCommitter, storeOutageRejectsClaimsAndKeepsOutcomes)
{
    BucketCommitter committer{{"a"}, {}};
    submit(committer, 0, claimOf(0), LATER, NOW, WALL);
    submit(committer, 1, RecordOperation{keyDigest("ledger", "/dispatch", "9"), {9, 9}, std::nullopt}, LATER, NOW, WALL);
    const auto failed = onRead(committer, {}, NOW, WALL);
    ASSERT_EQ(failed.finished.size(), 1U);
    EXPECT_FALSE(std::get<StoreUnavailable>(claimResult(failed, 0)).mayBeStored);
    EXPECT_FALSE(isIdle(committer));
    auto wakeAt = failed.wakeAt.value();
    for (auto attempt = 0; attempt < 20; ++attempt) {
        ASSERT_TRUE(onTimer(committer, wakeAt, WALL).request);
        const auto before = wakeAt;
        wakeAt = onRead(committer, {}, wakeAt, WALL).wakeAt.value();
        EXPECT_LE(wakeAt - before, committer.settings.maximumBackoff);
    }
    // After repeated store failures, a new claim is rejected immediately.
    EXPECT_EQ(submit(committer, 2, claimOf(2), LATER, wakeAt - 1ms, WALL).finished.size(), 1U);
}

TEST(BucketCommitter, valueInUnknownFormatIsNotOverwritten)
{
    BucketCommitter committer{{"a"}, {}};
    submit(committer, 0, claimOf(0), LATER, NOW, WALL);
    const auto step = onRead(committer, {.status = StoreStatus::Ok, .version = 3, .value = {0xff, 0x00}}, NOW, WALL);
    EXPECT_FALSE(step.request);
    EXPECT_TRUE(std::holds_alternative<StoreUnavailable>(claimResult(step, 0)));
}

} // namespace Briarbend::Claims
