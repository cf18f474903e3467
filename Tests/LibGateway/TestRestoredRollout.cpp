#include <LibGateway/RolloutDriver.h>
#include <Tests/LibGateway/FakePeers.h>
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
constexpr Revision RESTORED{.era = 2, .number = 3};

boost::asio::awaitable<WriteResult> written(Revision revision)
{
    co_return Written{revision};
}

/// One instance, alone, that drives a rollout whose store is restored.
class RestoredRolloutTest : public testing::Test
{
protected:
    RolloutOrder orderWith(RolloutState progress) const
    {
        return {.service = SERVICE,
                .version = {"v2"},
                .ramp = 20s,
                .progress = {.state = progress, .version = {"v2"}, .startedAt = this->startedAt}};
    }

    void runFor(std::chrono::milliseconds duration)
    {
        this->timers.runFor(duration);
        this->context.restart();
        this->context.run_for(10ms);
    }

    boost::asio::io_context context;
    ManualTimers timers;
    FakeNetwork network;
    GatewayState state{this->context.get_executor(), {}, Platform::wireDialect(), 7};
    testing::NiceMock<MockPlatformStore> store;
    std::unique_ptr<Peers::Transport> transport{this->network.makeTransport("one")};
    Coordination::PeerLink link{this->timers,
                                *this->transport,
                                Gossip::makeState({.id = {"one"}, .address = {"one"}, .dataCentre = {"a"}}, {}, this->timers.now()),
                                this->state.random};
    RolloutDriver driver{this->state, this->timers, this->store, this->link};
    Core::WallTime startedAt{Network::wallNow()};
};

} // namespace

// EXPOSURE: with the copy that lacks the system's own status, the rollout began anew or ran as if it had not been decided.
TEST_F(RestoredRolloutTest, progressThatTheStoreHasLostStaysInForceAndIsWrittenAgain)
{
    for (const auto known : {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
        this->driver.removeOrder(SERVICE.value);
        this->driver.applyOrder(this->orderWith(known), at(9));
        RolloutProgress progress;
        EXPECT_CALL(this->store, writeProgress(_, RESTORED, _)).WillOnce([&progress](const auto &, Revision, RolloutProgress given) {
            progress = std::move(given);
            return written({.era = 2, .number = 4});
        });
        this->driver.applyOrder(this->orderWith(RolloutState::Ordered), RESTORED);
        EXPECT_TRUE(this->driver.isAheadOfStore());
        EXPECT_EQ(this->driver.orders().at(SERVICE.value).progress.state, known);
        this->runFor(500ms);
        EXPECT_EQ(progress.state, known);
        EXPECT_EQ(progress.startedAt, this->startedAt) << "the rollout is the same";
        EXPECT_FALSE(this->driver.isAheadOfStore());
        testing::Mock::VerifyAndClearExpectations(&this->store);
    }
}

// A write whose condition holds by chance in a later era is not taken for the acknowledgement of the progress.
TEST_F(RestoredRolloutTest, writeThatIsAnsweredInALaterEraIsNotAnAcknowledgement)
{
    EXPECT_CALL(this->store, writeProgress(_, at(9), _)).WillOnce([](const auto &, Revision, const RolloutProgress &) {
        return written({.era = 2, .number = 10});
    });
    this->driver.applyOrder(this->orderWith(RolloutState::Ordered), at(9));
    this->runFor(150ms);
    EXPECT_EQ(this->driver.orders().at(SERVICE.value).progress.state, RolloutState::Ordered);
}

} // namespace Briarbend::Gateway
