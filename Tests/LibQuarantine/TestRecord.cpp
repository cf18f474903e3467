#include "QuarantineSimulation.h"

#include <gtest/gtest.h>

namespace Briarbend::Quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t SEEDS = 20;
constexpr std::uint64_t POISON_REQUEST = 1000;
constexpr std::uint64_t HARMLESS_REQUESTS = 40;
constexpr Core::TimePoint NOW{1h};
constexpr Core::WallTime WALL_NOW{std::chrono::hours{490'000}};
constexpr Fingerprint POISON{1, 2};

void crash(QuarantineState &state, const Fingerprint &fingerprint, const std::string &start, Core::TimePoint now)
{
    onConnectionLost(state, fingerprint, {start}, false, now);
    onStartLost(state, {start}, now);
}

/// The state of an instance that starts at the time and reads the record.
QuarantineState startedWith(const Record &record, Core::TimePoint now, Core::WallTime wallNow)
{
    QuarantineState state;
    merge(state, reportsOf(decodeRecord(encodeRecord(record)), wallNow), now);
    return state;
}

} // namespace

// Guards against a quarantine that ends with the processes: after each end of all instances the request crashed two more targets.
TEST(QuarantineRecord, requestStaysRefusedHoweverOftenAllInstancesEnd)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        for (const auto kills : {1, 3, 5}) {
            QuarantineSimulation simulation{seed};
            Core::Random random{seed};
            simulation.addCaller(POISON_REQUEST, true, 20ms);
            for (auto kill = 0; kill < kills; ++kill) {
                simulation.replaceAllAt(2s + std::chrono::milliseconds{random.below(18'000)});
            }
            simulation.runUntil(25s);
            EXPECT_EQ(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed << ", " << kills << " kills";
            EXPECT_GT(simulation.refusals(POISON_REQUEST), 100U) << "seed " << seed << ", " << kills << " kills";
        }
    }
}

// The same where all instances end after each single crash: what is known of the first one is kept, too.
TEST(QuarantineRecord, evidenceOfASingleCrashIsKept)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        simulation.addCaller(POISON_REQUEST, true, 3s);
        for (auto at = 1500ms; at < 30s; at += 3s) {
            simulation.replaceAllAt(at);
        }
        simulation.runUntil(30s);
        EXPECT_EQ(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed;
    }
}

// Evidence that could not be written is written when the store is back, and evidence that could not be read is read then.
TEST(QuarantineRecord, outageOfTheStoreDelaysTheRecordOnly)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        simulation.addCaller(POISON_REQUEST, true, 20ms);
        simulation.takeStoreAwayAt(0ms, 5s);
        simulation.replaceAllAt(7s);
        simulation.takeStoreAwayAt(12s, 5s);
        simulation.replaceAllAt(13s);
        simulation.replaceAllAt(20s);
        simulation.runUntil(25s);
        // The instances that start during the second outage know nothing.
        EXPECT_LE(simulation.crashesCausedBy(POISON_REQUEST), 4U) << "seed " << seed;
    }
}

// Guards against harmless requests that are refused because it is forgotten that they completed before.
TEST(QuarantineRecord, harmlessRequestsAreServedBetweenEndsOfAllInstances)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        for (std::uint64_t request = 0; request < HARMLESS_REQUESTS; ++request) {
            simulation.addCaller(request, false, 40ms);
        }
        simulation.crashTargetsAt(900ms, {0});
        simulation.replaceAllAt(1500ms);
        simulation.crashTargetsAt(2100ms, {1});
        simulation.replaceAllAt(2600ms);
        simulation.crashTargetsAt(4000ms, {4, 5, 6, 7});
        simulation.replaceAllAt(4300ms);
        simulation.crashTargetsAt(5500ms, {8, 9});
        simulation.runUntil(8s);
        for (std::uint64_t request = 0; request < HARMLESS_REQUESTS; ++request) {
            EXPECT_EQ(simulation.refusals(request), 0U) << "request " << request << ", seed " << seed;
            EXPECT_GT(simulation.responses(request), 20U) << "request " << request << ", seed " << seed;
        }
    }
}

TEST(QuarantineRecord, startOfAnInstanceNeitherProlongsNorShortensAQuarantine)
{
    QuarantineState state;
    crash(state, POISON, "a/1", NOW);
    crash(state, POISON, "b/1", NOW + 1s);
    const auto record = recordOf(state, NOW + 2s, WALL_NOW + 2s);
    const auto later = startedWith(record, NOW + 100h, WALL_NOW + 61s);
    const auto refused = admit(later, POISON, NOW + 100h);
    EXPECT_EQ(refused.admission, Admission::Refuse);
    EXPECT_EQ(refused.retryAfter, state.settings.duration - 60s);
    const auto again = startedWith(recordOf(later, NOW + 100h, WALL_NOW + 61s), NOW, WALL_NOW + 121s);
    EXPECT_EQ(admit(again, POISON, NOW).retryAfter, state.settings.duration - 120s);
    const auto afterwards = startedWith(record, NOW, WALL_NOW + 1s + state.settings.duration);
    EXPECT_EQ(admit(afterwards, POISON, NOW).admission, Admission::AnnounceTrial);
}

TEST(QuarantineRecord, onlyEvidenceThatNoWiderFailureExplainsIsKept)
{
    QuarantineState state;
    onConnectionLost(state, POISON, {"a/1"}, false, NOW);
    EXPECT_TRUE(recordOf(state, NOW + 2s, WALL_NOW).evidence.empty()) << "the target may be alive";
    onStartLost(state, {"a/1"}, NOW);
    EXPECT_TRUE(recordOf(state, NOW + KEEPING_DELAY / 2, WALL_NOW).evidence.empty());
    EXPECT_EQ(recordOf(state, NOW + KEEPING_DELAY, WALL_NOW).evidence.size(), 1U);
    for (const auto *start : {"b/1", "c/1", "d/1", "e/1"}) {
        onStartLost(state, {start}, NOW + 100ms);
    }
    EXPECT_TRUE(recordOf(state, NOW + KEEPING_DELAY, WALL_NOW).evidence.empty());

    QuarantineState cleared;
    crash(cleared, POISON, "a/1", NOW);
    const auto stored = recordOf(cleared, NOW + 1s, WALL_NOW);
    onCompleted(cleared, POISON, NOW + 1s, NOW + 2s);
    EXPECT_EQ(compare(stored, recordOf(cleared, NOW + 2s, WALL_NOW)), RecordDifference::Outdated);
    EXPECT_EQ(compare({}, stored), RecordDifference::Incomplete);
}

TEST(QuarantineRecord, recordIsBoundedAndKeepsTheRequestsWithTheMostEvidence)
{
    QuarantineState state;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        crash(state, {7, number}, "x/1", NOW);
    }
    for (const auto *start : {"a/1", "b/1", "c/1", "d/1"}) {
        crash(state, POISON, start, NOW);
    }
    const auto record = recordOf(state, NOW + 1s, WALL_NOW);
    constexpr std::size_t MAXIMUM_BYTES{262'144};
    EXPECT_LT(encodeRecord(record).size(), MAXIMUM_BYTES);
    ASSERT_GE(record.evidence.size(), 4U);
    EXPECT_EQ(record.evidence.front().fingerprint, POISON);
    EXPECT_TRUE(recordOf(state, NOW + state.settings.retention + 1s, WALL_NOW).evidence.empty()) << "expired evidence is not kept";
}

TEST(QuarantineRecord, entriesOfOtherProgramsAreLeftOut)
{
    const auto record = decodeRecord(R"({"evidence":[[1,2,"a/1",false,true,5],[1],"x",[1,2,"b",0,0,0],{"a":[]}],"lost":7})");
    ASSERT_EQ(record.evidence.size(), 1U);
    EXPECT_EQ(record.evidence.front(),
              (KeptEvidence{
                  .fingerprint = POISON, .start = {"a/1"}, .isTrial = false, .hadCompletedBefore = true, .seenAt = Core::WallTime{5ms}}));
    for (const auto &text : {std::string("[]"), std::string("{"), std::string(100'000, '['), std::string(R"({"evidence":null})")}) {
        EXPECT_EQ(decodeRecord(text), Record{});
    }
}

} // namespace Briarbend::Quarantine
