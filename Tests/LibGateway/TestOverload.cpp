#include <Tests/LibGateway/RequestFlowTest.h>

#include <boost/asio/detached.hpp>

/// Which requests a gateway serves or refuses, and with which retry delay, while targets are full or unreachable.
namespace Briarbend::Gateway
{

// More requests arrive than the targets serve, as on tsh-scan, scale-1, with two of three data centres unreachable.
TEST_F(RequestFlowTest, underOverloadTheLastSlotIsReservedForRequestsWithinTheirObjective)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Once);
    const auto statusOf = [this](const std::string &id, std::string load, std::chrono::milliseconds waitedBefore) {
        this->targets.front()->load = std::move(load);
        const auto request = this->makeContext(id);
        request->waitedBefore = waitedBefore;
        return this->run(request).response.result_int();
    };
    EXPECT_EQ(statusOf("fresh", "5,0,6,100", 0ms), 200U);
    EXPECT_EQ(statusOf("late", "5,0,6,100", 400ms), 503U);
    EXPECT_EQ(statusOf("late-with-room", "4,0,6,100", 400ms), 200U);
    EXPECT_EQ(statusOf("fresh-in-queue", "6,5,6,100", 0ms), 503U) << "it would be answered after its objective";
    EXPECT_EQ(target.runs(), (std::vector<std::string>{"fresh", "late-with-room"}));
}

// Incident on benammar-gw, when a data centre was drained in a busy hour: late callers were refused after probing three targets with one
// free slot each, although other targets had more free slots.
TEST_F(RequestFlowTest, lateRequestIsSentToTheTargetWithFreeSlots)
{
    for (const auto *name : {"one", "two", "three", "four", "five", "room"}) {
        this->addTarget(name,
                        [](const auto &) {
                            return Reaction{};
                        })
            .load
            = std::string(name) == "room" ? "3,0,6,400" : "5,0,6,100";
    }
    this->configureRoute(RouteKind::Once);
    const auto request = this->makeContext("late");
    request->waitedBefore = 400ms;
    EXPECT_EQ(this->run(request).response.result_int(), 200U);
    EXPECT_EQ(this->targets.back()->runs(), (std::vector<std::string>{"late"}));
}

TEST_F(RequestFlowTest, requestToAFullServiceIsRefusedAtOnce)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    target.load = "6,6,6,100";
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_EQ(this->runsOf("a1"), 0U);
}

// In a burst of several seconds, three attempts within half a second found the service full each time.
TEST_F(RequestFlowTest, lateRequestIsRefusedWithALongerRetryAfter)
{
    this->addTarget("one",
                    [](const auto &) {
                        return Reaction{};
                    })
        .load
        = "6,6,6,100";
    this->configureRoute(RouteKind::Once);
    this->state.routes["route"].statistics.workMilliseconds = 100;
    const auto retryAfterSeconds = [this](const std::string &id, std::chrono::milliseconds waitedBefore) {
        const auto request = this->makeContext(id);
        request->waitedBefore = waitedBefore;
        request->callerTimeout = 3s - waitedBefore;
        const auto response = this->run(request).response;
        return std::stod(std::string(response[Http::field::retry_after]));
    };
    EXPECT_LT(retryAfterSeconds("fresh", 0ms), 0.23) << "in time for its objective of 0.3 s";
    const auto late = retryAfterSeconds("late", 500ms);
    EXPECT_GT(late, 0.5);
    EXPECT_LT(late, 2.5 / 3) << "callers come back after a third of the time that is left at the latest";
}

// Targets shed half of their requests although they had free slots, as on tsh-scan-grown, scale-1. Waiting for slots that were free all
// along only used up the caller's objective.
TEST_F(RequestFlowTest, requestShedWithFreeSlotsIsRefusedWithAShortRetryAfter)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{.status = 503, .isNotRun = true};
    });
    this->configureRoute(RouteKind::Once);
    this->state.routes["route"].statistics.workMilliseconds = 100;
    const auto retryAfterSeconds = [this, &target](const std::string &id, std::string load) {
        target.load = std::move(load);
        this->state.services.at(SERVICE)->budget.parameters = {.window = 10s, .share = 0, .allowance = 0};
        return std::stod(std::string(this->run(id).response[Http::field::retry_after]));
    };
    EXPECT_LT(retryAfterSeconds("shed-with-room", "2,0,6,100"), 0.05);
    EXPECT_GT(retryAfterSeconds("shed-by-a-full-one", "6,0,6,100"), 0.1);
}

// A data centre was cut off with all its targets: each request waited 250 ms for the silent targets before it was refused.
TEST_F(RequestFlowTest, whileAllTargetsAreSilentOneRequestProbesAndTheOthersAreRefusedAtOnce)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    target.isSilent = true;
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("first").response.result_int(), 503U);
    std::vector<Core::Duration> took;
    std::vector<unsigned> statuses;
    const auto begin = Core::Clock::now();
    const auto ask = [&](const std::string &id) -> boost::asio::awaitable<void> {
        RequestFlow flow(this->makeContext(id));
        statuses.push_back((co_await flow.run()).response.result_int());
        took.push_back(Core::Clock::now() - begin);
    };
    for (const auto *id : {"asks", "two", "three", "four"}) {
        boost::asio::co_spawn(this->context, ask(id), boost::asio::detached);
    }
    this->context.restart();
    this->context.run_for(600ms);
    ASSERT_EQ(took.size(), 4U);
    EXPECT_LT(took[2], 50ms) << "three of four are refused at once";
    EXPECT_GE(took[3], 200ms) << "the request that probes";
    EXPECT_EQ(statuses, (std::vector<unsigned>{503, 503, 503, 503}));
    target.isSilent = false;
    EXPECT_EQ(this->run("again").response.result_int(), 200U) << "the next probe finds that the target is back";
}

} // namespace Briarbend::Gateway
