#include <LibGateway/TargetReports.h>
#include <Tests/LibGateway/RequestFlowTest.h>

/// What targets report about themselves in responses: that they are leaving, or that they should receive nothing for a while.
namespace Briarbend::Gateway
{

namespace
{

const std::string LEAVING{"Server-Leaving: 1\r\n"};

Reaction answered(std::string fields)
{
    return {.fields = std::move(fields)};
}

Reaction rejectedWithRetryAfter(const std::string &retryAfter)
{
    return {.status = 503, .isNotRun = true, .fields = "Retry-After: " + retryAfter + "\r\n"};
}

/// Removes the target's entry from the directory and returns its record.
Fleet::TargetRecord removeTarget(GatewayState &state, const std::string &name)
{
    auto record = state.directory.entries.at(name).record;
    Fleet::applyRemoval(state.directory, name, Core::Clock::now());
    updateServiceStates(state, Core::Clock::now());
    return record;
}

void listTarget(GatewayState &state, const Fleet::TargetRecord &record)
{
    Fleet::applyRecord(state.directory, record);
    updateServiceStates(state, Core::Clock::now());
}

} // namespace

TEST_F(RequestFlowTest, leavingTargetReceivesNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return answered(LEAVING);
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U) << "the response itself is valid";
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
    EXPECT_EQ(this->state.pool.openCount({leaving.address()}), 0U) << "its connections are closed";
}

TEST_F(RequestFlowTest, targetThatReportsLeavingOnItsHealthPathReceivesNoRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    leaving.healthFields = LEAVING;
    this->configureRoute(RouteKind::Safe);
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_TRUE(leaving.runs().empty());
}

TEST_F(RequestFlowTest, targetThatReportsLeavingInALateResponseReceivesNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &request) {
        const bool isSecond = request["Attempt-Id"] == "a2";
        return Reaction{.before = isSecond ? "HTTP/1.1 200 X\r\nAttempt-Id: a1\r\n" + LEAVING + "Content-Length: 0\r\n\r\n" : ""};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(this->run("a2").response.body(), "body of /x/a2");
    EXPECT_EQ(this->run("a3").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1", "a2"}));
}

TEST_F(RequestFlowTest, targetThatReportsLeavingInATruncatedResponseReceivesNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{.isTruncated = true, .fields = LEAVING};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 502U);
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
}

// Records of the list, including a peer's copy of it, may be older than the target's own report.
TEST_F(RequestFlowTest, targetRecordDoesNotRevokeALeavingReport)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return answered(LEAVING);
    });
    this->configureRoute(RouteKind::Safe);
    this->run("a1");
    auto record = removeTarget(this->state, "one");
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a2").response.result_int(), 503U) << "the record was listed again";
    record.version = {"v2"};
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a3").response.result_int(), 503U) << "the record changed";
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
    record.startedAtMilliseconds = 2;
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a4").response.result_int(), 200U) << "another start of the target";
}

TEST_F(RequestFlowTest, leavingReportFromAPeerTakesTheTargetOutOfUse)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    markLeaving(this->state, "one", 0);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U) << "the report belongs to an earlier start";
    EXPECT_TRUE(markLeaving(this->state, "one", 1));
    EXPECT_FALSE(markLeaving(this->state, "one", 1)) << "known already";
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
}

TEST_F(RequestFlowTest, targetThatSendsRetryAfterReceivesNothingUntilThen)
{
    auto &quiet = this->addTarget("one", [](const auto &) {
        return rejectedWithRetryAfter("0.4");
    });
    this->addTarget("two", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    auto &two = *Fleet::findTarget(*this->service(), "two");
    two.quietUntil = Core::Clock::now() + 1h;
    const auto until = Core::Clock::now() + 400ms;
    this->run("a0");
    two.quietUntil = {};
    std::size_t sent = 0;
    while (Core::Clock::now() < until) {
        EXPECT_EQ(this->run("a" + std::to_string(++sent)).response.result_int(), 200U);
    }
    EXPECT_EQ(quiet.exchanges(), 2U) << "the first health check and the first request";
}

TEST_F(RequestFlowTest, whileAllTargetsAreQuietRetryAfterNamesTheFirstToReturn)
{
    for (const auto *delay : {"2", "5"}) {
        this->addTarget(delay, [delay](const auto &) {
            return rejectedWithRetryAfter(delay);
        });
    }
    this->configureRoute(RouteKind::Once);
    this->run("a1");
    this->run("a2");
    const auto began = Core::Clock::now();
    const auto response = this->run("a3").response;
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - began, 100ms) << "known at once";
    const auto retryAfterSeconds = std::stod(std::string(response[Http::field::retry_after]));
    EXPECT_GT(retryAfterSeconds, 1.5);
    EXPECT_LT(retryAfterSeconds, 3.1) << "jitter adds up to half";
}

TEST_F(RequestFlowTest, quietTargetStaysQuietAfterItsRecordIsRemovedAndListedAgain)
{
    auto &quiet = this->addTarget("one", [](const auto &) {
        return rejectedWithRetryAfter("5");
    });
    this->configureRoute(RouteKind::Safe);
    this->run("a1");
    const auto exchanges = quiet.exchanges();
    const auto record = removeTarget(this->state, "one");
    listTarget(this->state, record);
    this->run("a2");
    EXPECT_EQ(quiet.exchanges(), exchanges);
}

// A duplicate of a response on the health path carries no attempt identifier. Taken for the response to a request, it told a caller that
// the request had not run.
TEST_F(RequestFlowTest, responseWithoutAttemptIdIsSkippedWhereTargetsEchoAttemptIds)
{
    this->addTarget("one", [](const auto &request) {
        const bool isSecond = request["Attempt-Id"] == "a2";
        return Reaction{.before = isSecond ? "HTTP/1.1 503 X\r\nInstance-Id: one\r\nContent-Length: 0\r\n\r\n" : ""};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    const auto second = this->run("a2").response;
    EXPECT_EQ(second.result_int(), 200U);
    EXPECT_EQ(second.body(), "body of /x/a2");
}

TEST_F(RequestFlowTest, responseWithoutAttemptIdIsAcceptedWhereNoTargetEchoesThem)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.hasNoAttemptId = true};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(this->run("a2").response.result_int(), 200U);
}

TEST_F(RequestFlowTest, targetOvertakenByAHedgeIsRecordedAsFailing)
{
    this->addTarget("slow", [](const auto &) {
        return Reaction{.delay = 900ms};
    });
    this->addTarget("fast", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    // Makes the slow target the first choice.
    this->targets[1]->load = "4,0,6,100";
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    this->context.restart();
    this->context.run_for(50ms);
    const auto now = Core::Clock::now();
    EXPECT_GT(Fleet::failureShare(*Fleet::findTarget(*this->service(), "slow"), now), 0.1);
    EXPECT_EQ(Fleet::failureShare(*Fleet::findTarget(*this->service(), "fast"), now), 0);
}

} // namespace Briarbend::Gateway
