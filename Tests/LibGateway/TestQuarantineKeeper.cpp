#include <LibGateway/QuarantineKeeper.h>
#include <Tests/LibGateway/FakePeers.h>
#include <Tests/LibGateway/FakeRecords.h>
#include <Tests/LibGateway/MockPlatformStore.h>
#include <platform/WireDialect.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr Quarantine::Fingerprint POISON{1, 2};
constexpr std::size_t TOLERATED_CRASHES = 1;

/// The store with its records, which outlives the instances.
struct RecordsOnly final : RecordStore {
    explicit RecordsOnly(FakeRecords &fakeRecords)
        : records(fakeRecords)
    {
    }

    boost::asio::awaitable<RecordReadResult> readRecord(RecordName name, Freshness freshness) override
    {
        return this->records.read(name, freshness);
    }

    boost::asio::awaitable<RecordWriteResult> writeRecord(RecordName name, std::optional<Revision> expected, std::string content) override
    {
        return this->records.write(name, expected, std::move(content));
    }

    FakeRecords &records;
};

/// One process.
struct Process {
    Process(boost::asio::io_context &ioContext,
            ManualTimers &timerService,
            FakeNetwork &network,
            FakeRecords &records,
            const std::string &name,
            std::set<Membership::PeerAddress> seeds = {})
        : context(ioContext)
        , timers(timerService)
        , state(ioContext.get_executor(), {}, Platform::wireDialect(), 7)
        , store(records)
        , transport(network.makeTransport(name))
        , link(timers,
               *this->transport,
               Gossip::makeState({.id = {name}, .address = {name}, .dataCentre = {"a"}}, std::move(seeds), timers.now()),
               this->state.random)
        , quarantine(context, timers, this->link, TOLERATED_CRASHES)
        , keeper(this->state, timers, this->store, this->link, this->quarantine)
    {
    }

    void loseConnection(const std::string &target)
    {
        boost::asio::co_spawn(this->context, this->quarantine.recordConnectionLoss(POISON, {target}, false), boost::asio::detached);
        this->context.restart();
        this->context.poll();
    }

    /// The request is lost with a target, which is found to be gone.
    void loseTarget(const std::string &target)
    {
        this->quarantine.recordTargetStart({target}, {"1"});
        this->loseConnection(target);
        this->quarantine.recordTargetExit({target});
    }

    std::size_t confirmedCrashes() const
    {
        const auto found = this->quarantine.quarantine().suspicions.find(POISON);
        return found == this->quarantine.quarantine().suspicions.end()
            ? 0
            : Quarantine::assess(this->quarantine.quarantine(), found->second, this->timers.now()).confirmed;
    }

    boost::asio::io_context &context;
    ManualTimers &timers;
    GatewayState state;
    RecordsOnly store;
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    Coordination::QuarantineLink quarantine;
    QuarantineKeeper keeper;
};

class QuarantineKeeperTest : public testing::Test
{
protected:
    std::unique_ptr<Process> start(const std::string &name)
    {
        auto process = std::make_unique<Process>(this->context, this->timers, this->network, this->records, name);
        this->runFor(100ms);
        return process;
    }

    void runFor(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 50ms) {
            this->timers.runFor(50ms);
            this->context.restart();
            this->context.poll();
        }
    }

    boost::asio::io_context context;
    ManualTimers timers;
    FakeNetwork network;
    FakeRecords records;
};

} // namespace

// Guards against a request that crashes two more targets each time that all instances have ended.
TEST_F(QuarantineKeeperTest, requestThatCrashedTargetsIsStillSuspectAfterAllInstancesHaveEnded)
{
    auto process = this->start("one");
    process->loseTarget("a");
    process->loseTarget("b");
    EXPECT_FALSE(process->quarantine.isUnsuspected(POISON));
    this->runFor(2s);
    process.reset();
    process = this->start("two");
    EXPECT_TRUE(process->keeper.hasTriedToRead());
    EXPECT_FALSE(process->quarantine.isUnsuspected(POISON));
}

TEST_F(QuarantineKeeperTest, secondCrashLeadsToAQuarantineWhereAllInstancesEndedAfterTheFirst)
{
    auto process = this->start("one");
    process->loseTarget("a");
    this->runFor(2s);
    process.reset();
    process = this->start("two");
    EXPECT_TRUE(process->quarantine.isUnsuspected(POISON)) << "one crash is tolerated";
    process->loseTarget("b");
    EXPECT_FALSE(process->quarantine.isUnsuspected(POISON));
}

// Guards against evidence that is never written because the store was away when it came up.
TEST_F(QuarantineKeeperTest, evidenceIsWrittenWhenTheStoreIsBack)
{
    this->records.isAway = true;
    auto process = this->start("one");
    EXPECT_TRUE(process->keeper.hasTriedToRead()) << "an instance that can't read the record serves nevertheless";
    process->loseTarget("a");
    process->loseTarget("b");
    this->runFor(20s);
    this->records.isAway = false;
    this->runFor(10s);
    process.reset();
    EXPECT_FALSE(this->start("two")->quarantine.isUnsuspected(POISON));
}

// The copy lacks what was written since.
TEST_F(QuarantineKeeperTest, evidenceIsWrittenAgainAfterTheStoreWasRestored)
{
    auto process = this->start("one");
    process->loseTarget("a");
    process->loseTarget("b");
    this->runFor(2s);
    this->records.put(RecordName::Quarantine, R"({"evidence":[],"lost":[]})");
    process->keeper.onStoreRestored();
    this->runFor(2s);
    process.reset();
    EXPECT_FALSE(this->start("two")->quarantine.isUnsuspected(POISON));
}

TEST_F(QuarantineKeeperTest, evidenceOfTwoPartsOfTheFleetIsMerged)
{
    auto one = this->start("one");
    this->network.separated.insert("two");
    auto two = this->start("two");
    one->loseTarget("a");
    two->loseTarget("b");
    this->runFor(5s);
    one.reset();
    two.reset();
    EXPECT_FALSE(this->start("three")->quarantine.isUnsuspected(POISON));
}

// Guards against crashes of silent hosts that nobody notices: they refuse no connection, but soon disappear from the platform's list.
TEST_F(QuarantineKeeperTest, removalFromTheListSoonAfterALossConfirmsTheCrash)
{
    const auto process = this->start("one");
    process->quarantine.recordListedStart({"a"}, {"1"});
    process->loseConnection("a");
    EXPECT_EQ(process->confirmedCrashes(), 0U);
    process->quarantine.recordListedStart({"a"}, {"1"});
    EXPECT_EQ(process->confirmedCrashes(), 0U);
    this->runFor(4s);
    process->quarantine.recordRemoval({"a"});
    EXPECT_EQ(process->confirmedCrashes(), 1U);
    process->quarantine.recordListedStart({"b"}, {"1"});
    process->loseConnection("b");
    this->runFor(20s);
    process->quarantine.recordRemoval({"b"});
    EXPECT_EQ(process->confirmedCrashes(), 1U) << "a removal much later is no sign of a crash";
}

// Guards against evidence that a lagging replica of the store hides from all instances that start.
TEST_F(QuarantineKeeperTest, evidenceThatAReplicaLacksIsReadByTheWritersAndToldToTheOthers)
{
    this->records.holdReplica();
    auto process = this->start("one");
    process->loseTarget("a");
    process->loseTarget("b");
    this->runFor(2s);
    process.reset();
    std::vector<std::unique_ptr<Process>> started;
    for (const auto *name : {"two", "three", "four", "five", "six"}) {
        started.push_back(std::make_unique<Process>(
            this->context, this->timers, this->network, this->records, name, std::set<Membership::PeerAddress>{{"two"}}));
    }
    this->runFor(3s);
    for (const auto &each : started) {
        EXPECT_FALSE(each->quarantine.isUnsuspected(POISON)) << each->link.state().members.self.value;
    }
}

// Calls to the store are limited and priced.
TEST_F(QuarantineKeeperTest, nothingIsWrittenWithoutEvidenceAndOneRecordForManyRequests)
{
    auto process = this->start("one");
    this->runFor(60s);
    EXPECT_EQ(this->records.relaxedCalls, 1U) << "the record is read at the start";
    EXPECT_EQ(this->records.calls, 1U) << "and once as it is, by those that may write it";
    process->loseTarget("a");
    process->loseTarget("b");
    this->runFor(30s);
    EXPECT_LE(this->records.writes, 2U);
    EXPECT_EQ(this->records.calls, 1 + this->records.writes);
}

} // namespace Briarbend::Gateway
