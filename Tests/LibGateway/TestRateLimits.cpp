#include <LibGateway/TargetReports.h>
#include <LibLimits/SenderSelection.h>
#include <Tests/LibGateway/RequestFlowTest.h>
#include <Tests/Support/RateBound.h>

/// Targets that state how many requests a second they take from all instances together.
namespace Briarbend::Gateway
{

namespace
{

using Tests::allowedWithinSpan;
using Tests::RATE_SPAN;

Reaction limitedTo(const std::string &requestsPerSecond)
{
    return {.fields = "Server-Limit: " + requestsPerSecond + "\r\n"};
}

} // namespace

// A target in need that had named the rate it takes got its usual share of the requests: more than twice that rate.
TEST_F(RequestFlowTest, targetReceivesNoMoreThanTheRateThatItStates)
{
    auto &limited = this->addTarget("limited", [](const auto &) {
        return limitedTo("2.5");
    });
    this->addTarget("other", [](const auto &) {
        return Reaction{.delay = 5ms};
    });
    this->configureRoute(RouteKind::Safe);
    std::size_t sent = 0;
    const auto until = Core::Clock::now() + RATE_SPAN;
    while (Core::Clock::now() < until) {
        EXPECT_EQ(this->run("a" + std::to_string(++sent)).response.result_int(), 200U) << "the other target has room";
    }
    EXPECT_LE(limited.runs().size(), allowedWithinSpan(2.5));
}

// Second sends and hedges are requests to the target like any other.
TEST_F(RequestFlowTest, secondSendsAndHedgesTakePermits)
{
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.status = 500, .delay = 130ms, .fields = "Server-Limit: 2\r\n"};
        });
    }
    this->configureRoute(RouteKind::Safe, 3);
    std::size_t sent = 0;
    const auto until = Core::Clock::now() + RATE_SPAN;
    while (Core::Clock::now() < until) {
        this->run("a" + std::to_string(++sent));
    }
    for (const auto &target : this->targets) {
        EXPECT_LE(target->runs().size(), allowedWithinSpan(2)) << target->name;
        EXPECT_GE(target->runs().size(), 4U) << target->name;
    }
}

TEST_F(RequestFlowTest, whileAllTargetsAreLimitedRequestsAreRefusedAtOnceWithATime)
{
    auto &limited = this->addTarget("one", [](const auto &) {
        return limitedTo("0.5");
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    const auto began = Core::Clock::now();
    const auto response = this->run("a2").response;
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - began, 100ms);
    EXPECT_GT(std::stod(std::string(response[Http::field::retry_after])), 1.5);
    EXPECT_EQ(limited.exchanges(), 2U) << "neither asked nor sent to";
}

TEST_F(RequestFlowTest, targetThatNoLongerStatesARateIsUsedAgain)
{
    auto &target = this->addTarget("one", [](const auto &request) {
        return request["Attempt-Id"] == "a1" ? limitedTo("5") : Reaction{};
    });
    this->configureRoute(RouteKind::Once);
    this->run("a1");
    EXPECT_EQ(this->run("a2").response.result_int(), 503U) << "the first permit is free after one window";
    this->context.restart();
    this->context.run_for(1200ms);
    EXPECT_EQ(this->run("a3").response.result_int(), 200U) << "states none";
    EXPECT_EQ(this->run("a4").response.result_int(), 200U);
    EXPECT_EQ(this->run("a5").response.result_int(), 200U);
    EXPECT_EQ(target.runs().size(), 4U);
}

// A health check without a rate withdrew an outdated one for the whole data centre, and all its instances sent at once to a target that
// states its rate in responses to requests only.
TEST_F(RequestFlowTest, healthCheckWithoutARateTellsPeersNothing)
{
    this->addTarget("one", [](const auto &) {
        return limitedTo("0");
    });
    this->configureRoute(RouteKind::Once);
    std::vector<std::optional<double>> told;
    this->state.onTargetRate = [&told](const std::string &, std::int64_t, std::optional<double> rate) {
        told.push_back(rate);
    };
    this->run("a1");
    this->state.directory.selfReports.at({"one", 1}).rate->statedAt -= Fleet::RATE_LIMIT_LIFETIME;
    updateServiceStates(this->state, Core::Clock::now());
    EXPECT_EQ(this->run("a2").response.result_int(), 200U) << "one request tries it";
    EXPECT_EQ(told, (std::vector<std::optional<double>>{0.0}));
}

TEST_F(RequestFlowTest, outdatedRateIsTriedOnceUnlessAHealthCheckStatesIt)
{
    this->addTarget("one", [](const auto &) {
        return limitedTo("0");
    });
    this->configureRoute(RouteKind::Once);
    this->run("a1");
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    auto &report = this->state.directory.selfReports.at({"one", 1});
    report.rate->statedAt -= Fleet::RATE_LIMIT_LIFETIME;
    updateServiceStates(this->state, Core::Clock::now());
    EXPECT_EQ(this->run("a3").response.result_int(), 200U);
    EXPECT_EQ(this->run("a4").response.result_int(), 503U) << "stated again";
    report.rate->statedAt -= Fleet::RATE_LIMIT_LIFETIME;
    updateServiceStates(this->state, Core::Clock::now());
    this->targets[0]->healthFields = "Server-Limit: 0\r\n";
    EXPECT_EQ(this->run("a5").response.result_int(), 503U);
}

TEST_F(RequestFlowTest, unreadableRateChangesNothing)
{
    auto &target = this->addTarget("one", [](const auto &request) {
        const auto id = request["Attempt-Id"];
        return limitedTo(id == "a3" ? "1" : "-1");
    });
    this->configureRoute(RouteKind::Once);
    for (const auto *attempt : {"a1", "a2", "a3"}) {
        EXPECT_EQ(this->run(attempt).response.result_int(), 200U);
    }
    EXPECT_EQ(this->run("a4").response.result_int(), 503U);
    this->context.restart();
    this->context.run_for(1200ms);
    EXPECT_EQ(this->run("a5").response.result_int(), 200U) << "a permit for an unreadable rate";
    EXPECT_EQ(this->run("a6").response.result_int(), 503U) << "the last readable rate holds";
    EXPECT_EQ(target.runs().size(), 4U);
}

TEST_F(RequestFlowTest, rateOfAnEarlierStartDoesNotBind)
{
    this->addTarget("one", [](const auto &) {
        return limitedTo("0");
    });
    this->configureRoute(RouteKind::Once);
    this->run("a1");
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    auto record = this->state.directory.entries.at("one").record;
    record.startedAtMilliseconds = 2;
    Fleet::applyRecord(this->state.directory, record);
    updateServiceStates(this->state, Core::Clock::now());
    EXPECT_EQ(this->run("a3").response.result_int(), 200U);
}

TEST_F(RequestFlowTest, instanceThatIsNoSenderOfALimitedTargetLeavesItAlone)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return limitedTo("1");
    });
    this->configureRoute(RouteKind::Once);
    Fleet::RateSharers sharers{.self = {"self"}, .members = {{"self"}}, .neighbours = {{"self"}}, .fingerprint = 1};
    for (int other = 0; other < 20; ++other) {
        sharers.members.push_back({"other-" + std::to_string(other)});
    }
    this->state.rateSharers = sharers;
    this->run("a1");
    this->context.restart();
    this->context.run_for(1200ms);
    const bool isSender = Limits::isSender(sharers.self, sharers.members, {"one"}, Fleet::senderCount(1, sharers.members.size()));
    EXPECT_FALSE(isSender) << "as the test assumes";
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(target.runs().size(), 1U);
}

TEST_F(RequestFlowTest, coldTargetIsSentNoMoreThanTheRateThatItStates)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return limitedTo("0");
    });
    this->configureRoute(RouteKind::Once);
    auto &cold = *Fleet::findTarget(*this->service(), "one");
    cold.coldUntil = Core::Clock::now() + 1h;
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    cold.coldUntil = Core::Clock::now() + 1h;
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(target.runs().size(), 1U);
}

} // namespace Briarbend::Gateway
