#include <LibFleet/OutcomeTable.h>
#include <LibGateway/CallerFrontend.h>
#include <LibGateway/ForwardingMessage.h>
#include <LibGateway/PeerFinder.h>
#include <LibGateway/TargetContact.h>
#include <Tests/LibGateway/FakePeers.h>
#include <Tests/LibGateway/RequestFlowTest.h>

#include <boost/asio/detached.hpp>

namespace Briarbend::Gateway
{

namespace
{

/// An instance that reaches no target beside a peer that does. The peer has the targets of the fixture.
class RequestForwardingTest : public RequestFlowTest
{
protected:
    void SetUp() override
    {
        auto peerSettings = settings();
        peerSettings.instance.name = "front-2";
        peerSettings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
        peerSettings.instance.maximumDescriptors = 100;
        this->peer = std::make_unique<GatewayState>(this->context.get_executor(), peerSettings, Platform::wireDialect(), 3);
    }

    void TearDown() override
    {
        this->frontend.reset();
        this->peer->pool.closeIdle(Core::Clock::now(), Core::Duration{0});
        RequestFlowTest::TearDown();
    }

    /// Gives the peer the targets of this instance, and cuts this instance off from them.
    void cutOff()
    {
        this->peer->routingConfiguration = this->state.routingConfiguration;
        this->peer->directory = this->state.directory;
        updateServiceStates(*this->peer, Core::Clock::now());
        this->peer->routes["route"];
        this->frontend = std::make_unique<CallerFrontend>(this->context, *this->peer);
        this->state.connectivity.cutOffSince = Core::Clock::now();
        this->state.findPeer = [this](std::vector<std::string> excluded) {
            return this->offer(std::move(excluded));
        };
    }

    boost::asio::awaitable<std::optional<Core::TargetId>> offer(std::vector<std::string> excluded)
    {
        const auto endpoint = this->frontend->localEndpoint();
        const auto address = "127.0.0.1:" + std::to_string(endpoint.port());
        const bool isExcluded = std::ranges::find(excluded, address) != excluded.end();
        co_return isExcluded ? std::nullopt : std::optional(Core::TargetId{address});
    }

    /// Sends a request that may run once to a target that loses it. No failure may count before any target is heard.
    void loseRequest()
    {
        this->state.onObserved = [this](const AttemptObservation &observation) {
            this->accusations += observation.isFailure ? 1 : 0;
        };
        this->addTarget("one", [](const auto &) {
            return Reaction{.status = std::nullopt};
        });
        this->configureRoute(RouteKind::Once, 1);
        this->run("a1");
        EXPECT_EQ(this->accusations, 0U);
    }

    std::unique_ptr<GatewayState> peer;
    std::unique_ptr<CallerFrontend> frontend;
    std::size_t accusations{0};
};

} // namespace

// RECOVER: callers of an instance that had lost all targets were refused while other instances could serve them.
TEST_F(RequestForwardingTest, requestOfACutOffInstanceIsServedThroughAPeer)
{
    for (const auto kind : {RouteKind::Safe, RouteKind::Once}) {
        this->addTarget("one", [](const auto &) {
            return Reaction{};
        });
        this->configureRoute(kind);
        this->cutOff();
        const auto attemptId = kind == RouteKind::Safe ? "a1" : "b1";
        const auto result = this->run(attemptId);
        EXPECT_EQ(result.response.result_int(), 200U);
        EXPECT_EQ(result.response["Attempt-Id"], attemptId);
        EXPECT_EQ(this->runsOf(attemptId), 1U);
        EXPECT_EQ(this->state.counters.sends, 0U) << "no target is asked in vain";
    }
    EXPECT_EQ(this->state.counters.forwarded, 2U);
    EXPECT_EQ(this->peer->counters.takenForPeers, 2U);
}

TEST_F(RequestForwardingTest, requestIsForwardedOnlyOnce)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Once);
    this->cutOff();
    this->peer->connectivity.cutOffSince = Core::Clock::now();
    this->peer->findPeer = this->state.findPeer;
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_EQ(this->runsOf("a1"), 0U);
    EXPECT_EQ(this->peer->counters.forwarded, 0U);
    EXPECT_EQ(this->peer->counters.requests, 1U);
}

// TWICE: a peer that lost the target's response may have had the request run.
TEST_F(RequestForwardingTest, requestThatMayRunOnceIsNotSentAgainAfterAPeerLostIt)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.status = std::nullopt};
    });
    this->configureRoute(RouteKind::Once);
    this->cutOff();
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 502U) << "it may have run";
    EXPECT_EQ(this->runsOf("a1"), 1U);
    EXPECT_EQ(this->state.counters.forwarded, 1U);
}

// BUDGET: both hops together send a request to no more targets than its route allows.
TEST_F(RequestForwardingTest, sendsOfBothHopsStayWithinTheRoutesMaximum)
{
    for (const auto *name : {"one", "two", "three", "four"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.status = std::nullopt};
        });
    }
    this->configureRoute(RouteKind::Safe, 2);
    this->cutOff();
    this->run("a1");
    EXPECT_LE(this->runsOf("a1"), 2U);
    EXPECT_EQ(this->peer->counters.resends, 0U) << "the instance that forwards decides on them";
}

TEST_F(RequestForwardingTest, peerGetsTheTimeThatIsLeftAndItsRefusalIsPassedOn)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    target.load = "6,9,6,100";
    this->configureRoute(RouteKind::Once);
    this->cutOff();
    const auto begin = Core::Clock::now();
    const auto result = this->run("a1", 400ms);
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_EQ(result.response.count("Retry-After"), 1U);
    EXPECT_LT(Core::Clock::now() - begin, 400ms) << "at once";
    EXPECT_EQ(this->runsOf("a1"), 0U) << "the promise that it has not run holds over both hops";
}

// GONE: the target of a forwarded request would go on working after the caller has left.
TEST_F(RequestForwardingTest, callerThatLeavesEndsTheWorkBehindThePeer)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{.delay = 2s};
    });
    this->configureRoute(RouteKind::Safe, 1);
    this->cutOff();
    auto request = this->makeContext("a1");
    auto flow = std::make_shared<RequestFlow>(request);
    boost::asio::co_spawn(
        this->context,
        [flow]() -> boost::asio::awaitable<void> {
            co_await flow->run();
        },
        boost::asio::detached);
    this->context.restart();
    this->context.run_for(150ms);
    ASSERT_EQ(this->runsOf("a1"), 1U);
    flow->callerGone();
    this->context.run_for(300ms);
    EXPECT_EQ(target.cancelled(), 1U);
}

// A peer names the attempt in its own refusals, whether or not targets do. All responses of a service whose targets name none would then
// count as those to other requests.
TEST_F(RequestForwardingTest, responseOfAPeerDoesNotShowThatTargetsReturnIdentifiers)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{.hasNoAttemptId = true};
    });
    target.load = "6,9,6,100";
    this->configureRoute(RouteKind::Once);
    this->cutOff();
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_FALSE(this->service()->echoesAttemptIds);
}

TEST_F(RequestForwardingTest, withoutAPeerTheRequestIsRefusedAtOnce)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    this->cutOff();
    this->state.findPeer = [](const std::vector<std::string> &) -> boost::asio::awaitable<std::optional<Core::TargetId>> {
        co_return std::nullopt;
    };
    const auto begin = Core::Clock::now();
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - begin, 100ms);
}

// EXPOSURE: an instance that loses its connections to all targets would accuse each of them, and the version that they run.
TEST_F(RequestForwardingTest, lossesOfACutAccuseNoTarget)
{
    this->loseRequest();
    for (const auto *name : {"two", "three", "four", "five"}) {
        recordTargetUnreachable(this->state, name);
    }
    this->state.connectivity.cutOffSince = Core::Clock::now();
    this->state.unconfirmedLosses.clear();
    recordTargetHeard(this->state);
    EXPECT_EQ(this->accusations, 0U);
    EXPECT_TRUE(Fleet::takeOutcomes(*this->service()).empty());
}

TEST_F(RequestForwardingTest, lossCountsOnceAnotherTargetIsHeard)
{
    this->loseRequest();
    recordTargetHeard(this->state);
    EXPECT_EQ(this->accusations, 1U);
}

TEST(ForwardingMessage, roundTripsAndRejectsMalformedMessages)
{
    const auto request = std::get<ForwardingRequest>(decodeForwarding(encodeForwarding(ForwardingRequest{"10.0.0.1:7000"})));
    EXPECT_EQ(request.requester, "10.0.0.1:7000");
    const auto offer = std::get<ForwardingOffer>(decodeForwarding(
        encodeForwarding(ForwardingOffer{.peer = "10.0.0.2:7000", .callerAddress = "10.0.0.2:80", .requestsInFlight = 7})));
    EXPECT_EQ(offer.peer, "10.0.0.2:7000");
    EXPECT_EQ(offer.callerAddress, "10.0.0.2:80");
    EXPECT_EQ(offer.requestsInFlight, 7U);
    for (const std::string bytes : {"", "x", "\x80", "\x82\x18\x63\x01", "\x82\x01\x61\x78"}) {
        EXPECT_THROW(decodeForwarding(bytes), std::exception);
    }
}

namespace
{

/// One instance of a fleet that looks for peers.
struct FindingInstance {
    FindingInstance(ManualTimers &timers, FakeNetwork &network, const std::string &name, const std::string &dataCentre)
        : state(this->context.get_executor(), settingsOf(name), Platform::wireDialect(), 5)
        , transport(network.makeTransport(name))
        , link(timers,
               *this->transport,
               Gossip::makeState({.id = {name}, .address = {name}, .dataCentre = {dataCentre}}, {{"a1"}, {"b1"}}, timers.now()),
               this->state.random)
        , finder(this->state, timers, this->link)
    {
        this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>();
    }

    static Settings::GatewaySettings settingsOf(const std::string &name)
    {
        Settings::GatewaySettings settings;
        settings.instance.name = name;
        settings.instance.callerAddress = {.address = name, .port = 80};
        return settings;
    }

    boost::asio::io_context context;
    GatewayState state;
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    PeerFinder finder;
};

} // namespace

TEST(PeerFinder, onlyPeersThatReachTargetsOffer)
{
    ManualTimers timers;
    FakeNetwork network;
    std::map<std::string, std::unique_ptr<FindingInstance>> instances;
    for (const std::string name : {"a1", "a2", "a3", "b1", "b2"}) {
        instances[name] = std::make_unique<FindingInstance>(timers, network, name, name.substr(0, 1));
    }
    timers.runFor(8s);
    EXPECT_FALSE(instances.at("a1")->finder.hasOffers()) << "nobody asks while targets are reached";
    instances.at("a1")->state.connectivity.cutOffSince = timers.now();
    instances.at("a2")->state.connectivity.cutOffSince = timers.now();
    instances.at("b2")->state.isStopping = true;
    timers.runFor(1s);
    auto &finder = instances.at("a1")->finder;
    ASSERT_TRUE(finder.hasOffers());
    std::vector<std::string> found;
    for (int count = 0; count < 3; ++count) {
        std::optional<Core::TargetId> peer;
        boost::asio::co_spawn(
            instances.at("a1")->context, finder.findPeer(found), [&peer](const std::exception_ptr &, std::optional<Core::TargetId> result) {
                peer = std::move(result);
            });
        instances.at("a1")->context.restart();
        instances.at("a1")->context.run_for(150ms);
        if (peer) {
            found.push_back(peer->value);
        }
    }
    std::ranges::sort(found);
    EXPECT_EQ(found, (std::vector<std::string>{"a3:80", "b1:80"}));
}

// RECOVER: of several requests that waited for the first offer all but the last were refused.
TEST(PeerFinder, allRequestsThatWaitGetTheFirstOffer)
{
    ManualTimers timers;
    FakeNetwork network;
    std::map<std::string, std::unique_ptr<FindingInstance>> instances;
    for (const std::string name : {"a1", "a2"}) {
        instances[name] = std::make_unique<FindingInstance>(timers, network, name, "a");
    }
    timers.runFor(8s);
    auto &finding = *instances.at("a1");
    instances.at("a2")->state.isStopping = true;
    std::size_t found = 0;
    for (int count = 0; count < 5; ++count) {
        boost::asio::co_spawn(
            finding.context, finding.finder.findPeer({}), [&found](const std::exception_ptr &, const std::optional<Core::TargetId> &peer) {
                found += peer ? 1 : 0;
            });
    }
    finding.context.run_for(10ms);
    EXPECT_EQ(found, 0U);
    instances.at("a2")->state.isStopping = false;
    finding.state.connectivity.cutOffSince = timers.now();
    timers.runFor(400ms);
    finding.context.restart();
    finding.context.run_for(100ms);
    EXPECT_EQ(found, 5U);
}

} // namespace Briarbend::Gateway
