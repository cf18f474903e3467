#include <LibCoordination/QuarantineLink.h>
#include <LibCoordination/RolloutMessage.h>
#include <LibGateway/RolloutDriver.h>
#include <Tests/LibGateway/FakePeers.h>
#include <Tests/LibGateway/MockPlatformStore.h>
#include <platform/WireDialect.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

/// What all instances together send to one of them. A load that grows with their number stops weak instances, and requests that wait there
/// are sent by outdated knowledge.
namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;
using Coordination::Channel;

const Core::ServiceName SERVICE{"benches"};
constexpr std::size_t INSTANCES = 472;
constexpr std::size_t FEW_INSTANCES = 24;
constexpr std::size_t NO_WIDE_LINK = INSTANCES;
constexpr std::uint32_t NARROW_LINK_MEGABITS = 20;
constexpr std::uint32_t WIDE_LINK_MEGABITS = 200;

std::string nameOf(std::size_t index)
{
    return "front-" + std::to_string(index);
}

/// The state of one instance that knows all others; the one with the given index has a wide link.
Gossip::State gossipOf(std::size_t own, std::size_t instances, std::size_t wide, Core::TimePoint now)
{
    const auto updateOf = [wide](std::size_t index) {
        return Membership::MemberUpdate{.id = {nameOf(index)},
                                        .address = {nameOf(index)},
                                        .dataCentre = {"a"},
                                        .linkMegabits = index == wide ? WIDE_LINK_MEGABITS : NARROW_LINK_MEGABITS};
    };
    auto state = Gossip::makeState(updateOf(own), {}, now);
    for (std::size_t index = 0; index < instances; ++index) {
        if (index != own) {
            Membership::Member member;
            member.update = updateOf(index);
            member.lastHeard = now;
            state.members.members.emplace(member.update.id, member);
        }
    }
    return state;
}

std::uint64_t messagesOf(const Coordination::ReceivedTraffic &received, Channel channel)
{
    const auto found = received.find(channel);
    return found == received.end() ? 0 : found->second.messages;
}

/// Counts the messages that arrive at an address.
struct Sink {
    Sink(FakeNetwork &network, const std::string &address)
        : transport(network.makeTransport(address))
    {
        this->transport->onMessage([this](const std::string &, std::string_view bytes) {
            ++this->messages[static_cast<Channel>(bytes.front())];
        });
    }

    std::unique_ptr<Peers::Transport> transport;
    std::map<Channel, std::size_t> messages;
};

/// One instance that drives a rollout, among others that are only members.
class RolloutInstance
{
public:
    RolloutInstance(
        ManualTimers &timers, FakeNetwork &network, std::size_t index, std::size_t instances = INSTANCES, std::size_t wide = NO_WIDE_LINK)
        : state(this->context.get_executor(), {}, Platform::wireDialect(), index)
        , transport(network.makeTransport(nameOf(index)))
        , link(timers, *this->transport, gossipOf(index, instances, wide, timers.now()), this->state.random)
        , driver(this->state, timers, this->store, this->link)
    {
        this->state.instances = instances;
    }

    void startRollout(std::chrono::milliseconds elapsed)
    {
        this->driver.applyOrder({.service = SERVICE,
                                 .version = {"v2"},
                                 .ramp = 20s,
                                 .progress = {.state = RolloutState::Running, .version = {"v2"}, .startedAt = this->startedAt - elapsed}},
                                {.era = 1, .number = 1});
    }

    /// Delivers the evidence of another instance, which has seen one response.
    void receiveEvidence(FakeNetwork &network, std::size_t member, std::uint64_t revision) const
    {
        const auto sender = network.makeTransport(nameOf(member));
        Rollout::MemberEvidence evidence{.revision = revision, .failures = {}, .latencies = {}, .responses = {}, .answers = {}};
        evidence.failures[{.interval = this->startedAt.time_since_epoch() / 250ms, .route = "route"}] = {.requests = 1, .failures = 0};
        const auto message = Coordination::encodeRolloutMessage(
            Coordination::RolloutEvidence{.service = SERVICE, .start = this->startedAt, .member = {nameOf(member)}, .evidence = evidence});
        sender->send(this->link.state().members.self.value, std::string(1, static_cast<char>(Channel::Rollout)) + message);
    }

    /// Delivers another instance's word that the new version is proven.
    void receiveProof(FakeNetwork &network, std::chrono::milliseconds elapsed) const
    {
        const auto sender = network.makeTransport(nameOf(1));
        const Rollout::Status status{.service = SERVICE,
                                     .from = {"previous"},
                                     .to = {"v2"},
                                     .start = this->startedAt - elapsed,
                                     .phase = Rollout::Phase::Trial,
                                     .step = 0,
                                     .since = this->startedAt,
                                     .fault = Rollout::Fault::None,
                                     .faultRoute = {},
                                     .isProven = true};
        sender->send(this->link.state().members.self.value,
                     std::string(1, static_cast<char>(Channel::Rollout)) + Coordination::encodeRolloutMessage(status));
    }

    std::uint64_t sentRolloutMessages() const
    {
        const auto &totals = this->link.sentTraffic().totals;
        const auto found = totals.find({Channel::Rollout, Coordination::Reach::Near});
        return found == totals.end() ? 0 : found->second.messages;
    }

    boost::asio::io_context context;
    GatewayState state;
    testing::NiceMock<MockPlatformStore> store;
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    RolloutDriver driver;
    Core::WallTime startedAt{Network::wallNow()};
};

/// Rollout messages that the one instance with a wide link gets from another while a rollout is in its trial.
std::size_t messagesToWidest(std::chrono::seconds duration)
{
    ManualTimers timers;
    FakeNetwork network;
    constexpr std::size_t WIDE = 300;
    Sink wide(network, nameOf(WIDE));
    RolloutInstance instance(timers, network, 0, INSTANCES, WIDE);
    instance.startRollout(0ms);
    timers.runFor(duration);
    return wide.messages[Channel::Rollout];
}

} // namespace

// An evaluator on a tenth of a core compared the versions anew for each message of evidence. It did nothing else for a second at a time,
// and sent a request to a target that had long said that it leaves.
TEST(PeerLoad, evidenceOfHundredsOfInstancesIsEvaluatedAFewTimesASecond)
{
    ManualTimers timers;
    FakeNetwork network;
    RolloutInstance evaluator(timers, network, 0);
    evaluator.startRollout(0ms);
    constexpr std::uint64_t ROUNDS = 10;
    // The rollout runs by the clock, which the test does not control: messages of one round may be handled for some time.
    constexpr std::uint64_t MAXIMUM_EVALUATIONS = 3 * ROUNDS;
    for (std::uint64_t round = 1; round <= ROUNDS; ++round) {
        for (std::size_t member = 1; member < INSTANCES; ++member) {
            evaluator.receiveEvidence(network, member, round);
        }
        timers.runFor(100ms);
    }
    EXPECT_LE(evaluator.state.counters.rolloutEvaluations, MAXIMUM_EVALUATIONS);
    EXPECT_EQ(messagesOf(evaluator.link.receivedTraffic(), Channel::Rollout), ROUNDS * (INSTANCES - 1));
}

// The instances with the narrowest links have the least processor time.
TEST(PeerLoad, evidenceIsSentToTheInstancesWithTheWidestLinks)
{
    EXPECT_GT(messagesToWidest(5s), 1U);
}

// Each instance confirmed to all others, three times a second, that it no longer uses the old version.
TEST(PeerLoad, confirmationsAreNotSentToAllInstances)
{
    ManualTimers timers;
    FakeNetwork network;
    RolloutInstance instance(timers, network, 0);
    instance.startRollout(30s);
    instance.receiveProof(network, 30s);
    timers.runFor(3s);
    EXPECT_GT(instance.sentRolloutMessages(), 0U);
    // Among them one status at each of the ten intervals.
    constexpr std::uint64_t INTERVALS = 10;
    constexpr std::uint64_t MAXIMUM_RECIPIENTS = 8;
    EXPECT_LE(instance.sentRolloutMessages(), INTERVALS * MAXIMUM_RECIPIENTS);
}

// The finish of a rollout without a proof comes to all instances at once.
TEST(PeerLoad, finishWithoutProofIsNotSentByAllInstances)
{
    ManualTimers timers;
    FakeNetwork network;
    RolloutInstance instance(timers, network, 0, INSTANCES, INSTANCES - 1);
    instance.startRollout(30s);
    timers.runFor(3s);
    constexpr std::uint64_t MAXIMUM_MESSAGES = 80;
    EXPECT_LE(instance.sentRolloutMessages(), MAXIMUM_MESSAGES);
}

// Messages of evidence that one instance receives in a second, whatever the number of instances.
TEST(PeerLoad, evidenceThatOneInstanceReceivesIsBounded)
{
    constexpr std::uint64_t SECONDS = 10;
    // A tenth of the time of an instance of half a core, which takes 0.1 ms for a message.
    constexpr std::uint64_t MAXIMUM_PER_SECOND = 1000;
    const auto received = messagesToWidest(std::chrono::seconds{SECONDS});
    EXPECT_GT(received, 1U);
    EXPECT_LE(received * INSTANCES, MAXIMUM_PER_SECOND * SECONDS);
}

// All instances sent the states of their rollouts to the same member at the same time, and then to the next one.
TEST(PeerLoad, statusesOfInstancesThatStartTogetherGoToDifferentMembers)
{
    ManualTimers timers;
    FakeNetwork network;
    std::vector<std::unique_ptr<RolloutInstance>> instances;
    for (std::size_t index = 0; index < FEW_INSTANCES; ++index) {
        instances.push_back(std::make_unique<RolloutInstance>(timers, network, index, FEW_INSTANCES));
        // A rollout that begins later sends its status only.
        instances.back()->startRollout(-1min);
    }
    timers.runFor(300ms);
    for (const auto &instance : instances) {
        EXPECT_EQ(messagesOf(instance->link.receivedTraffic(), Channel::Rollout), 1U) << instance->link.state().members.self.value;
    }
}

// The same with the reports of requests that broke targets, which are large and sent again each second.
TEST(PeerLoad, reportsOfInstancesThatStartTogetherGoToDifferentMembers)
{
    boost::asio::io_context context;
    ManualTimers timers;
    FakeNetwork network;
    Core::Random random{7};
    std::vector<std::unique_ptr<Peers::Transport>> transports;
    std::vector<std::unique_ptr<Coordination::PeerLink>> links;
    std::vector<std::unique_ptr<Coordination::QuarantineLink>> quarantines;
    Quarantine::QuarantineState reporter;
    const auto reports = Quarantine::onConnectionLost(reporter, {}, {"target/1"}, false, timers.now());
    const auto message = encodeQuarantineMessage(Coordination::QuarantineBroadcast{0, {}, reports});
    const auto sender = network.makeTransport("reporter");
    for (std::size_t index = 0; index < FEW_INSTANCES; ++index) {
        transports.push_back(network.makeTransport(nameOf(index)));
        links.push_back(std::make_unique<Coordination::PeerLink>(
            timers, *transports.back(), gossipOf(index, FEW_INSTANCES, NO_WIDE_LINK, timers.now()), random));
        quarantines.push_back(std::make_unique<Coordination::QuarantineLink>(context, timers, *links.back()));
        sender->send(nameOf(index), std::string(1, static_cast<char>(Channel::Quarantine)) + message);
    }
    timers.runFor(1s);
    for (const auto &link : links) {
        // One report was delivered before.
        EXPECT_EQ(messagesOf(link->receivedTraffic(), Channel::Quarantine), 2U) << link->state().members.self.value;
    }
}

} // namespace Briarbend::Gateway
