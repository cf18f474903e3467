#include <LibCoordination/RolloutMessage.h>
#include <LibGateway/RolloutDriver.h>
#include <LibMembership/Majority.h>
#include <Tests/LibGateway/FakePeers.h>
#include <Tests/LibGateway/FakeRecords.h>
#include <Tests/LibGateway/MockPlatformStore.h>
#include <Tests/LibGateway/Revisions.h>
#include <platform/WireDialect.h>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;
using testing::_;

const Core::ServiceName SERVICE{"benches"};
constexpr std::size_t MEMBERS = 9;
constexpr auto SINCE_START = 30s;

Membership::MemberUpdate updateOf(std::size_t index)
{
    const auto name = "front-" + std::to_string(index);
    return {.id = {name}, .address = {name}, .dataCentre = {"a"}};
}

/// The only instance that is left of nine. All members are alive as far as it knows at first.
class RolloutAfterLossTest : public testing::Test
{
protected:
    RolloutAfterLossTest()
    {
        ON_CALL(this->store, readRecord(_, _)).WillByDefault([this](RecordName name, Freshness) {
            return this->records.read(name);
        });
        ON_CALL(this->store, writeRecord(_, _, _))
            .WillByDefault([this](RecordName name, std::optional<Revision> expected, std::string content) {
                return this->records.write(name, expected, std::move(content));
            });
        ON_CALL(this->store, writeProgress(_, _, _)).WillByDefault([this](const auto &, Revision, const RolloutProgress &progress) {
            this->written.push_back(progress.state);
            return succeed();
        });
    }

    static boost::asio::awaitable<WriteResult> succeed()
    {
        co_return Written{at(50)};
    }

    static Gossip::State gossip(Core::TimePoint now)
    {
        auto gossipState = Gossip::makeState(updateOf(0), {}, now);
        for (std::size_t index = 1; index < MEMBERS; ++index) {
            Membership::Member member;
            member.update = updateOf(index);
            member.lastHeard = now;
            gossipState.members.members.emplace(member.update.id, member);
        }
        return gossipState;
    }

    /// A rollout whose version is proven, at its end.
    void startProvenRollout()
    {
        this->driver.applyOrder({.service = SERVICE,
                                 .version = {"v2"},
                                 .ramp = 20s,
                                 .progress = {.state = RolloutState::Running, .version = {"v2"}, .startedAt = this->startedAt}},
                                at(9));
        const Rollout::Status status{.service = SERVICE,
                                     .from = {"previous"},
                                     .to = {"v2"},
                                     .start = this->startedAt,
                                     .phase = Rollout::Phase::Trial,
                                     .step = 0,
                                     .since = this->startedAt,
                                     .fault = Rollout::Fault::None,
                                     .faultRoute = {},
                                     .isProven = true};
        const auto sender = this->network.makeTransport("front-1");
        sender->send("front-0",
                     std::string(1, static_cast<char>(Coordination::Channel::Rollout)) + Coordination::encodeRolloutMessage(status));
    }

    void runFor(std::chrono::milliseconds duration, const std::function<void()> &atEachStep = {})
    {
        for (auto passed = 0ms; passed < duration; passed += 100ms) {
            this->timers.runFor(100ms);
            this->context.restart();
            this->context.poll();
            if (atEachStep) {
                atEachStep();
            }
        }
    }

    boost::asio::io_context context;
    ManualTimers timers;
    FakeNetwork network;
    FakeRecords records;
    GatewayState state{this->context.get_executor(), {}, Platform::wireDialect(), 7};
    testing::NiceMock<MockPlatformStore> store;
    std::unique_ptr<Peers::Transport> transport{this->network.makeTransport("front-0")};
    Coordination::PeerLink link{this->timers, *this->transport, gossip(this->timers.now()), this->state.random};
    RolloutDriver driver{this->state, this->timers, this->store, this->link};
    Core::WallTime startedAt{Network::wallNow() - SINCE_START};
    std::vector<RolloutState> written;
};

} // namespace

// Guards against a proven version that can't be completed for ten minutes, since members that are gone for good count among those of which
// a majority is needed.
TEST_F(RolloutAfterLossTest, provenVersionIsCompletedByTheOnlyInstanceThatIsLeft)
{
    this->startProvenRollout();
    this->runFor(20s);
    ASSERT_FALSE(Membership::isAmongMajority(this->link.state().members));
    EXPECT_EQ(this->written, std::vector{RolloutState::Completed});
}

// Guards against a part of a partitioned fleet that completes a version while the larger part still sends requests to the old one.
TEST_F(RolloutAfterLossTest, provenVersionIsNotCompletedWhileALargerPartShowsThatItIsAlive)
{
    this->startProvenRollout();
    std::uint64_t sequence = 0;
    this->runFor(40s, [this, &sequence] {
        auto table = Membership::decodePresence(this->records.content(RecordName::FleetPresence));
        table[{"front-1"}]
            = {.sequence = ++sequence, .members = {Membership::memberHash({"front-1"}), Membership::memberHash({"front-2"})}};
        this->records.put(RecordName::FleetPresence, Membership::encodePresence(table));
    });
    EXPECT_TRUE(this->written.empty());
}

// The absence of others can't be told while the store does not respond.
TEST_F(RolloutAfterLossTest, provenVersionIsNotCompletedWhileTheRecordsCannotBeRead)
{
    this->records.isAway = true;
    this->startProvenRollout();
    this->runFor(20s);
    EXPECT_TRUE(this->written.empty());
    this->records.isAway = false;
    this->runFor(20s);
    EXPECT_EQ(this->written, std::vector{RolloutState::Completed});
}

// Calls to the store are limited and priced: none is made while nobody is missing or there is nothing to decide.
TEST_F(RolloutAfterLossTest, recordsAreNotReadWithoutARollout)
{
    this->runFor(20s);
    EXPECT_EQ(this->records.calls, 0U);
}

} // namespace Briarbend::Gateway
