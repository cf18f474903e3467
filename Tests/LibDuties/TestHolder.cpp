#include <Tests/LibDuties/FakePlatform.h>

#include <algorithm>

namespace Briarbend::Duties
{

namespace
{

class HolderTest : public testing::Test
{
protected:
    HolderTest()
    {
        this->first.heard = {&this->second};
        this->second.heard = {&this->first};
        this->first.start();
        this->second.start();
    }

    WindowIndex running() const
    {
        return windowAt(this->platform.events.wall(), WINDOWS);
    }

    void runUntilHeld()
    {
        this->platform.events.runFor(20s);
        ASSERT_TRUE(isHolding(this->first.state));
    }

    void runUntilNextAct()
    {
        const auto acts = this->platform.acts.size();
        while (this->platform.acts.size() == acts) {
            this->platform.events.runFor(10ms);
        }
    }

    FakePlatform platform;
    Player first{platform, "a", 0, 1};
    Player second{platform, "b", 1, 2};
};

/// Guards against store calls beyond one write for each window, and against two instances that take the duty from each other.
TEST_F(HolderTest, OneInstanceReportsEachWindowWithOneWrite)
{
    this->runUntilHeld();
    const auto calls = this->platform.reads + this->platform.writes;
    this->platform.events.runFor(50s);
    EXPECT_EQ(this->platform.reads + this->platform.writes, calls + 10);
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
    EXPECT_FALSE(isHolding(this->second.state));
}

/// Guards against a successor that reports other counts than the predecessor may have sent, or none: the holder crashes before its call.
TEST_F(HolderTest, SuccessorRepeatsReportOfHolderThatCrashedBetweenWriteAndCall)
{
    this->runUntilHeld();
    const auto window = this->platform.record->record.window + 1;
    this->first.onAction = [this](const Action &action) {
        if (std::holds_alternative<SendReport>(action)) {
            this->first.crash(std::nullopt);
            return false;
        }
        return true;
    };
    this->platform.events.runFor(5s);
    ASSERT_EQ(this->platform.record->record.window, window);
    const auto counts = this->platform.record->record.counts;
    this->platform.events.runFor(5s);
    ASSERT_TRUE(this->platform.reports.contains(window));
    EXPECT_EQ(this->platform.reports.at(window), counts);
    EXPECT_EQ(this->platform.acts.back().holder, "b");
    EXPECT_LE(this->platform.acts.back().at.time_since_epoch(), endOf(window, WINDOWS).time_since_epoch() + WINDOWS.due);
}

/// Guards against a take-over within the lease of the last act of the holder.
TEST_F(HolderTest, SuccessorWaitsForLease)
{
    this->runUntilHeld();
    this->runUntilNextAct();
    const auto lastAct = this->platform.acts.back().at;
    this->first.crash(std::nullopt);
    this->platform.events.runFor(20s);
    const auto act = std::ranges::find(this->platform.acts, "b", &FakePlatform::Act::holder);
    ASSERT_NE(act, this->platform.acts.end());
    EXPECT_GE(act->at - lastAct, LEASE);
}

/// Guards against calls of a frozen holder under its old token, and against its return within the lease.
TEST_F(HolderTest, FrozenHolderChecksRecordBeforeItCalls)
{
    this->runUntilHeld();
    this->platform.isEndpointDown = true;
    this->platform.events.runFor(5s);
    this->first.frozenUntil = this->platform.events.now + 7s;
    this->platform.events.runFor(1s);
    this->platform.isEndpointDown = false;
    this->platform.events.runFor(30s);
    EXPECT_TRUE(this->platform.refusals.empty());
    EXPECT_EQ(this->first.state.phase, Phase::Lost);
    EXPECT_TRUE(isHolding(this->second.state));
}

/// Guards against a return within the lease of the other's last act: that one acts for up to half a lease after it wrote the record.
TEST_F(HolderTest, FormerHolderWaitsForLeaseAfterOtherActed)
{
    this->runUntilHeld();
    this->first.heard.clear();
    this->first.frozenUntil = this->platform.events.now + 6s;
    this->platform.events.runFor(2s);
    this->platform.isEndpointDown = true;
    while (this->platform.record->record.holder != "b") {
        this->platform.events.runFor(10ms);
    }
    this->first.frozenUntil = this->platform.events.now;
    this->platform.events.runFor(1200ms);
    this->platform.isEndpointDown = false;
    this->runUntilNextAct();
    ASSERT_EQ(this->platform.acts.back().holder, "b");
    const auto otherActed = this->platform.acts.back().at;
    this->second.crash(std::nullopt);
    this->runUntilNextAct();
    EXPECT_GE(this->platform.acts.back().at - otherActed, LEASE);
}

/// Guards against a write that is changed or given up although it may still be carried out: its response is lost.
TEST_F(HolderTest, RepeatsWriteUnchangedAfterLostResponse)
{
    this->runUntilHeld();
    std::vector<WriteRecord> written;
    this->first.onAction = [&written](const Action &action) {
        if (const auto *write = std::get_if<WriteRecord>(&action)) {
            written.push_back(*write);
        }
        return true;
    };
    for (std::size_t times = 0; times < 8; ++times) {
        this->first.loseNextWriteResponse = true;
        this->platform.events.runFor(5s);
    }
    for (std::size_t next = 1; next < written.size(); ++next) {
        const bool isRepeat = written[next].record.window == written[next - 1].record.window;
        EXPECT_TRUE(!isRepeat || written[next].record == written[next - 1].record);
    }
    EXPECT_TRUE(isHolding(this->first.state));
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
}

/// Guards against a further call with a token that was refused, and against a return before a lease has passed.
TEST_F(HolderTest, RefusedTokenIsNeverUsedAgain)
{
    this->runUntilHeld();
    const auto refused = ownToken(this->first.state);
    this->platform.greatestToken = refused + 3;
    this->platform.events.runFor(7s);
    EXPECT_FALSE(this->platform.refusals.empty());
    this->platform.events.runFor(120s);
    std::map<std::uint64_t, std::size_t> refusalsOfToken;
    for (const auto &refusal : this->platform.refusals) {
        EXPECT_EQ(++refusalsOfToken[refusal.token], 1U) << "token " << refusal.token;
        const auto isTooSoon = [&refusal](const FakePlatform::Act &call) {
            return call.holder == refusal.holder && call.at > refusal.at && call.at - refusal.at < LEASE;
        };
        EXPECT_TRUE(std::ranges::none_of(this->platform.acts, isTooSoon)) << "act after refusal of token " << refusal.token;
        EXPECT_TRUE(std::ranges::none_of(this->platform.refusals, isTooSoon)) << "call after refusal of token " << refusal.token;
    }
    EXPECT_GT(this->platform.acts.back().token, refused + 2);
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
}

/// Guards against a restarted process that goes on under the token of its predecessor, or that waits for a lease although no other acted.
TEST_F(HolderTest, RestartedProcessTakesNewToken)
{
    this->runUntilHeld();
    const auto token = ownToken(this->first.state);
    this->second.crash(std::nullopt);
    this->first.crash(500ms);
    this->platform.events.runFor(2500ms);
    EXPECT_TRUE(isHolding(this->first.state));
    EXPECT_EQ(ownToken(this->first.state), token + 1);
}

/// Guards against an unbounded rate of calls while the store is down, and against reports that are made up for after they are useless.
TEST_F(HolderTest, StoreOutageIsRetriedAtBoundedRate)
{
    this->runUntilHeld();
    const auto calls = this->platform.reads + this->platform.writes;
    this->platform.isStoreDown = true;
    this->platform.events.runFor(60s);
    EXPECT_LE(this->platform.reads + this->platform.writes - calls, 2 * 60U);
    this->platform.isStoreDown = false;
    this->platform.events.runFor(20s);
    EXPECT_GT(this->first.state.skipped + this->second.state.skipped, 5U);
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
}

/// Guards against reports that are lost because the endpoint refused them for a few seconds.
TEST_F(HolderTest, EndpointOutageDelaysReports)
{
    this->runUntilHeld();
    const auto window = this->running();
    this->platform.isEndpointDown = true;
    this->platform.events.runFor(10s);
    this->platform.isEndpointDown = false;
    this->platform.events.runFor(10s);
    EXPECT_TRUE(this->platform.reports.contains(window - 1));
    EXPECT_TRUE(this->platform.reports.contains(window));
}

/// Guards against an instance that keeps a holder from its duty because it hears nothing of it, while it is heard itself.
TEST_F(HolderTest, OneWayPartitionMovesDutyAtMostOnce)
{
    this->runUntilHeld();
    this->second.heard.clear();
    this->platform.events.runFor(60s);
    EXPECT_TRUE(isHolding(this->second.state));
    EXPECT_TRUE(this->platform.refusals.empty());
    const auto token = ownToken(this->second.state);
    this->platform.events.runFor(60s);
    EXPECT_EQ(ownToken(this->second.state), token);
}

/// Guards against a holder that reports different counts, or the old ones under its old token, after the store was restored from a copy.
TEST_F(HolderTest, HolderWritesItsRecordAgainAfterStoreWasRestored)
{
    this->runUntilHeld();
    const auto copy = this->platform.record;
    this->platform.events.runFor(10s);
    this->platform.record = copy;
    this->platform.record->version.era = 1;
    this->platform.events.runFor(10s);
    EXPECT_TRUE(isHolding(this->first.state));
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
}

/// Guards against a first holder that keeps the duty for ever although it cannot write: only it loses the store after it has acquired.
TEST_F(HolderTest, FirstHolderThatLosesStoreAfterAcquiringYields)
{
    while (!isHolding(this->first.state)) {
        this->platform.events.runFor(1ms);
    }
    ASSERT_EQ(this->platform.record->record.window, NO_WINDOW);
    this->platform.separatedFromStore = "a";
    this->platform.events.runFor(30s);
    EXPECT_TRUE(isHolding(this->second.state));
    EXPECT_TRUE(this->platform.reports.contains(this->running() - 2));
}

/// Guards against a take-over from a holder that is alive and acts, of which only the announcements are lost.
TEST_F(HolderTest, HolderThatIsSeenAliveKeepsDutyUnheard)
{
    this->runUntilHeld();
    this->second.heard.clear();
    this->second.seesHolderAlive = true;
    this->platform.events.runFor(60s);
    EXPECT_TRUE(isHolding(this->first.state));
    EXPECT_EQ(this->platform.record->record.token, 1U);
}

/// Guards against A, B, A within a lease where windows are short: a process that lost the duty waits two leases, also for a live holder.
TEST(HolderWaits, FormerHolderWaitsTwoLeasesForLiveHolder)
{
    const Core::TimePoint start{1h};
    Situation situation{.now = start, .rank = 0, .isWanted = true, .isHolderAlive = true};
    auto state = makeHolder({.name = "a", .process = "a-1", .lease = LEASE, .window = 1s}, start);
    state.phase = Phase::Lost;
    state.lostAt = start;
    const DutyRecord record{.token = 3, .holder = "c", .process = "c-1", .window = 700, .counts = {}};
    applyRead(state, StoredRecord{.record = record, .version = {.era = 0, .number = 8}}, start, start);
    situation.now = start + 2 * LEASE - 1ms;
    EXPECT_TRUE(std::holds_alternative<Wait>(nextAction(state, situation, {})));
    situation.now += 1ms;
    EXPECT_TRUE(std::holds_alternative<WriteRecord>(nextAction(state, situation, {})));
}

/// Guards against a short wait for a holder that is alive because an earlier one, with a lower token, had yielded.
TEST(HolderYields, YieldingEndsWithNextHolder)
{
    const Core::TimePoint start{1h};
    const Situation situation{.now = start + 1s, .rank = 0, .isWanted = true, .isHolderAlive = true};
    auto state = makeHolder({.name = "a", .process = "a-1", .lease = LEASE, .window = WINDOWS.length}, start);
    applyHeardHolder(state, 2, false, start);
    ASSERT_TRUE(std::holds_alternative<ReadRecord>(nextAction(state, situation, {})));
    const DutyRecord record{.token = 3, .holder = "c", .process = "c-1", .window = 700, .counts = {}};
    applyRead(state, StoredRecord{.record = record, .version = {.era = 0, .number = 8}}, situation.now, situation.now);
    auto later = situation;
    later.now += WINDOWS.length + LEASE - 1ms;
    EXPECT_TRUE(std::holds_alternative<Wait>(nextAction(state, later, {})));
    later.now += 1ms;
    EXPECT_TRUE(std::holds_alternative<WriteRecord>(nextAction(state, later, {})));
}

/// Guards against broken rules under combined faults: lost responses, calls that are carried out late, freezes, crashes, lost messages.
TEST(HolderFaults, RandomFaultsBreakNoRule)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Core::Random random(seed);
        FakePlatform platform;
        std::vector<std::unique_ptr<Player>> players;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            players.push_back(std::make_unique<Player>(platform, std::string(1, static_cast<char>('a' + rank)), rank, seed * 10 + rank));
            players.back()->start();
        }
        for (std::size_t round = 0; round < 60; ++round) {
            auto &player = *players[random.below(3)];
            player.lossRate = random.unit() < 0.5 ? 0.3 : 0;
            player.seesHolderAlive = random.unit() < 0.5;
            player.heard.clear();
            std::ranges::for_each(players, [&](const auto &other) {
                if (random.unit() < 0.7 && other.get() != &player) {
                    player.heard.push_back(other.get());
                }
            });
            if (random.unit() < 0.2) {
                player.crash(std::chrono::milliseconds(300 + random.below(5000)));
            } else if (random.unit() < 0.3) {
                player.frozenUntil = platform.events.now + std::chrono::milliseconds(random.below(10'000));
            }
            platform.isStoreDown = random.unit() < 0.1;
            platform.isEndpointDown = random.unit() < 0.1;
            platform.events.runFor(std::chrono::milliseconds(random.below(4000)));
        }
        EXPECT_GT(platform.reports.size(), 5U);
        if (testing::Test::HasFailure()) {
            return;
        }
    }
}

} // namespace

} // namespace Briarbend::Duties
