#include <Tests/Soak/Ledger.h>
#include <Tests/Soak/Timeline.h>

#include <gtest/gtest.h>
#include <set>

/// The soak's own checks: each broken promise is noticed, and nothing else is.
namespace Briarbend::Soak
{

namespace
{

using namespace std::chrono_literals;

const Core::TimePoint START{100s};
const TargetStart ONE{"one", 1};
const TargetStart TWO{"two", 1};

CallerOutcome outcomeOf(const std::string &id, Core::TimePoint sentAt, std::optional<unsigned> status, bool mayRepeat = false)
{
    return {.attemptId = id,
            .instance = 0,
            .mayRepeat = mayRepeat,
            .sentAt = sentAt,
            .endedAt = sentAt + 50ms,
            .status = status,
            .isBodyRight = true,
            .isOwnAnswer = true,
            .wasSent = true,
            .hasGivenUp = false};
}

class LedgerTest : public testing::Test
{
protected:
    LedgerTest()
    {
        // A request after the faults, so that service counts as back.
        this->serve("last", START + 1h);
    }

    void serve(const std::string &id, Core::TimePoint at)
    {
        this->ledger.recordOutcome(outcomeOf(id, at, 200));
        this->ledger.recordRun(id, {ONE, at + 10ms});
    }

    void hearReport(const std::string &id, Core::TimePoint at, PassedReport report)
    {
        auto outcome = outcomeOf(id, at, 200);
        outcome.report = std::move(report);
        this->ledger.recordOutcome(outcome);
        this->ledger.recordRun(id, {ONE, at + 10ms});
    }

    std::size_t broken() const
    {
        return this->ledger.brokenPromises(START + 1min).size();
    }

    Ledger ledger;
};

} // namespace

TEST_F(LedgerTest, whatIsServedOnceIsRight)
{
    this->serve("a", START);
    EXPECT_EQ(this->broken(), 0U);
}

TEST_F(LedgerTest, aSecondRunIsNoticedWhereARequestMayRunOnce)
{
    this->serve("once", START);
    this->ledger.recordRun("once", {TWO, START + 20ms});
    this->ledger.recordOutcome(outcomeOf("repeatable", START, 200, true));
    this->ledger.recordRun("repeatable", {ONE, START});
    this->ledger.recordRun("repeatable", {TWO, START});
    EXPECT_EQ(this->broken(), 1U);
}

TEST_F(LedgerTest, aRefusalOfWhatRanIsNoticed)
{
    for (const auto status : {503U, 429U, 502U}) {
        const auto id = std::to_string(status);
        this->ledger.recordOutcome(outcomeOf(id, START, status));
        this->ledger.recordRun(id, {ONE, START});
    }
    EXPECT_EQ(this->broken(), 2U) << "502 promises nothing";
}

TEST_F(LedgerTest, wrongBodiesAndForeignAnswersAreNoticed)
{
    auto cut = outcomeOf("cut", START, 200);
    cut.isBodyRight = false;
    auto foreign = outcomeOf("foreign", START, 503);
    foreign.isOwnAnswer = false;
    this->ledger.recordOutcome(cut);
    this->ledger.recordRun("cut", {ONE, START});
    this->ledger.recordOutcome(foreign);
    EXPECT_EQ(this->broken(), 2U);
}

TEST_F(LedgerTest, aRunThatNobodyAskedForIsNoticed)
{
    this->ledger.recordRun("stranger", {ONE, START});
    EXPECT_EQ(this->broken(), 1U);
}

TEST_F(LedgerTest, aHeldRequestIsNoticedUnlessItsInstanceWasDisturbed)
{
    auto held = outcomeOf("held", START, 504);
    held.endedAt = START + 2600ms;
    this->ledger.recordOutcome(held);
    EXPECT_EQ(this->broken(), 1U);
    this->ledger.end(this->ledger.begin({.instance = 0, .begin = START - 2s, .end = {}}), START - 1s);
    EXPECT_EQ(this->broken(), 0U);
}

TEST_F(LedgerTest, newWorkAtALeavingTargetIsNoticedAfterItsTime)
{
    this->ledger.recordLeaving("one", START);
    this->serve("soon", START + 1s);
    EXPECT_EQ(this->broken(), 1U) << "the last one came an hour later";
    this->serve("late", START + 3s);
    EXPECT_EQ(this->broken(), 2U);
}

TEST_F(LedgerTest, newWorkAtATargetThatToldTheInstanceThatItLeavesIsNoticed)
{
    this->ledger.begin({.instance = {}, .begin = START, .end = {}});
    this->hearReport("told", START, {.start = ONE, .isLeaving = true});
    this->serve("soon", START + 1s);
    EXPECT_EQ(this->broken(), 1U) << "the last one came an hour later, and trouble of the store excuses nothing";
    this->serve("late", START + 3s);
    EXPECT_EQ(this->broken(), 2U);
    this->ledger.end(this->ledger.begin({.instance = 0, .begin = START + 2s, .end = {}}), START + 2500ms);
    EXPECT_EQ(this->broken(), 0U) << "the instance started again";
}

TEST_F(LedgerTest, moreRequestsThanAStatedRateAllowsAreNoticed)
{
    this->ledger.recordRate(ONE, 1, START);
    this->hearReport("told", START, {.start = ONE, .statesRate = true});
    for (int number = 0; number < 11; ++number) {
        this->serve(std::to_string(number), START + 4s + number * 300ms);
    }
    EXPECT_EQ(this->broken(), 0U) << "11 are allowed";
    this->serve("before", START + 3900ms);
    EXPECT_EQ(this->broken(), 1U);
    this->ledger.recordRateEnd(ONE, START + 5s);
    EXPECT_EQ(this->broken(), 0U);
}

TEST_F(LedgerTest, newWorkInADataCentreThatIsOutIsNoticedAfterItsTime)
{
    this->ledger.recordOut({"one"}, START);
    this->ledger.recordBack({"one"}, START + 10s);
    this->serve("soon", START + 4s);
    this->serve("late", START + 6s);
    this->serve("back", START + 11s);
    EXPECT_EQ(this->broken(), 1U);
}

TEST_F(LedgerTest, aCutByAPlannedStopIsNoticed)
{
    this->ledger.recordStop(0, START);
    this->ledger.recordOutcome(outcomeOf("cut", START - 10ms, std::nullopt));
    this->ledger.recordRun("cut", {ONE, START});
    EXPECT_EQ(this->broken(), 1U);
}

TEST_F(LedgerTest, serviceThatDoesNotComeBackIsNoticed)
{
    for (int number = 0; number < 10; ++number) {
        this->ledger.recordOutcome(outcomeOf("refused-" + std::to_string(number), START + 2min, 503));
    }
    EXPECT_EQ(this->broken(), 1U);
}

TEST(Timeline, aSeedDrawsTheSameFaultsAndSeedsDrawAllKinds)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto faults = drawFaults(seed, 6s);
        const auto again = drawFaults(seed, 6s);
        ASSERT_EQ(faults.size(), again.size());
        for (std::size_t index = 0; index < faults.size(); ++index) {
            EXPECT_EQ(faults[index].at, again[index].at);
            kinds.insert(faults[index].kind);
        }
    }
    EXPECT_EQ(kinds.size(), FAULT_KINDS);
}

} // namespace Briarbend::Soak
