#include <LibGateway/TargetReports.h>
#include <Tests/LibGateway/RequestFlowTest.h>

/// What targets say of themselves in their answers: that they leave, and that they want to be left alone for a while.
namespace Briarbend::Gateway
{

namespace
{

const std::string LEAVING{"Server-Leaving: 1\r\n"};

Reaction answered(std::string fields)
{
    return {.fields = std::move(fields)};
}

Reaction turnedAway(const std::string &retryAfter)
{
    return {.status = 503, .isNotRun = true, .fields = "Retry-After: " + retryAfter + "\r\n"};
}

/// Takes the entry of the target out of the directory and returns it.
Fleet::TargetRecord removeTarget(GatewayState &state, const std::string &name)
{
    auto record = state.directory.entries.at(name).record;
    Fleet::applyRemoval(state.directory, name, Core::Clock::now());
    refreshBooks(state, Core::Clock::now());
    return record;
}

void listTarget(GatewayState &state, const Fleet::TargetRecord &record)
{
    Fleet::applyRecord(state.directory, record);
    refreshBooks(state, Core::Clock::now());
}

} // namespace

TEST_F(RequestFlowTest, aTargetThatSaysItLeavesGetsNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return answered(LEAVING);
    });
    this->usePlan(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U) << "the answer itself is good";
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
    EXPECT_EQ(this->state.pool.openCount({leaving.address()}), 0U) << "connections to it end";
}

TEST_F(RequestFlowTest, aTargetThatSaysItLeavesOnItsHealthPathGetsNoRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    leaving.healthFields = LEAVING;
    this->usePlan(RouteKind::Safe);
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_TRUE(leaving.runs().empty());
}

TEST_F(RequestFlowTest, aTargetThatSaysItLeavesInALateAnswerToAnotherGetsNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &request) {
        const bool isSecond = request["Attempt-Id"] == "a2";
        return Reaction{.before = isSecond ? "HTTP/1.1 200 X\r\nAttempt-Id: a1\r\n" + LEAVING + "Content-Length: 0\r\n\r\n" : ""};
    });
    this->usePlan(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(this->run("a2").response.body(), "body of /x/a2");
    EXPECT_EQ(this->run("a3").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1", "a2"}));
}

TEST_F(RequestFlowTest, aTargetThatSaysItLeavesInAnAnswerThatBreaksOffGetsNoFurtherRequest)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{.isCut = true, .fields = LEAVING};
    });
    this->usePlan(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 502U);
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
}

// Entries of the list, a peer's copy of it among them, may be older than what the target said.
TEST_F(RequestFlowTest, noEntryOfTheListTakesBackThatATargetLeaves)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return answered(LEAVING);
    });
    this->usePlan(RouteKind::Safe);
    this->run("a1");
    auto record = removeTarget(this->state, "one");
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a2").response.result_int(), 503U) << "the entry came back";
    record.version = {"v2"};
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a3").response.result_int(), 503U) << "the entry changed";
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
    record.startedAtMilliseconds = 2;
    listTarget(this->state, record);
    EXPECT_EQ(this->run("a4").response.result_int(), 200U) << "another start of the target";
}

TEST_F(RequestFlowTest, whatAPeerTellsOfATargetThatLeavesCountsLikeItsOwnWord)
{
    auto &leaving = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->usePlan(RouteKind::Safe);
    takeLeaving(this->state, "one", 0);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U) << "what an earlier start said";
    EXPECT_TRUE(takeLeaving(this->state, "one", 1));
    EXPECT_FALSE(takeLeaving(this->state, "one", 1)) << "known already";
    EXPECT_EQ(this->run("a2").response.result_int(), 503U);
    EXPECT_EQ(leaving.runs(), (std::vector<std::string>{"a1"}));
}

TEST_F(RequestFlowTest, aTargetThatAsksForQuietGetsNothingForSoLong)
{
    auto &quiet = this->addTarget("one", [](const auto &) {
        return turnedAway("0.4");
    });
    this->addTarget("two", [](const auto &) {
        return Reaction{};
    });
    this->usePlan(RouteKind::Safe);
    auto &two = *Fleet::findTarget(*this->book(), "two");
    two.quietUntil = Core::Clock::now() + 1h;
    const auto until = Core::Clock::now() + 400ms;
    this->run("a0");
    two.quietUntil = {};
    std::size_t sent = 0;
    while (Core::Clock::now() < until) {
        EXPECT_EQ(this->run("a" + std::to_string(++sent)).response.result_int(), 200U);
    }
    EXPECT_EQ(quiet.exchanges(), 2U) << "the first question and the first request";
}

TEST_F(RequestFlowTest, whereEveryTargetAsksForQuietCallersAreToldWhenTheFirstIsBack)
{
    for (const auto *delay : {"2", "5"}) {
        this->addTarget(delay, [delay](const auto &) {
            return turnedAway(delay);
        });
    }
    this->usePlan(RouteKind::Once);
    this->run("a1");
    this->run("a2");
    const auto began = Core::Clock::now();
    const auto response = this->run("a3").response;
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - began, 100ms) << "known at once";
    const auto comeBack = std::stod(std::string(response[Http::field::retry_after]));
    EXPECT_GT(comeBack, 1.5);
    EXPECT_LT(comeBack, 3.1) << "spread over half of the time";
}

TEST_F(RequestFlowTest, aTargetThatAskedForQuietAndLapsesFromTheListIsStillLeftAlone)
{
    auto &quiet = this->addTarget("one", [](const auto &) {
        return turnedAway("5");
    });
    this->usePlan(RouteKind::Safe);
    this->run("a1");
    const auto exchanges = quiet.exchanges();
    const auto record = removeTarget(this->state, "one");
    listTarget(this->state, record);
    this->run("a2");
    EXPECT_EQ(quiet.exchanges(), exchanges);
}

// A second copy of an answer on the health path names no attempt; taken for the request's, it told a caller that the request had not run.
TEST_F(RequestFlowTest, anAnswerWithoutANameIsNotTheRequestsWhereTargetsNameThem)
{
    this->addTarget("one", [](const auto &request) {
        const bool isSecond = request["Attempt-Id"] == "a2";
        return Reaction{.before = isSecond ? "HTTP/1.1 503 X\r\nInstance-Id: one\r\nContent-Length: 0\r\n\r\n" : ""};
    });
    this->usePlan(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    const auto second = this->run("a2").response;
    EXPECT_EQ(second.result_int(), 200U);
    EXPECT_EQ(second.body(), "body of /x/a2");
}

TEST_F(RequestFlowTest, anAnswerWithoutANameIsTheRequestsWhereNoTargetNamesThem)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.isUnnamed = true};
    });
    this->usePlan(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(this->run("a2").response.result_int(), 200U);
}

TEST_F(RequestFlowTest, aTargetThatIsOvertakenByTheHedgeIsBelievedLess)
{
    this->addTarget("slow", [](const auto &) {
        return Reaction{.delay = 900ms};
    });
    this->addTarget("fast", [](const auto &) {
        return Reaction{};
    });
    this->usePlan(RouteKind::Safe);
    // The slow one is chosen for the first request.
    this->targets[1]->load = "4,0,6,100";
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    this->context.restart();
    this->context.run_for(50ms);
    const auto now = Core::Clock::now();
    EXPECT_GT(Fleet::failureShare(*Fleet::findTarget(*this->book(), "slow"), now), 0.1);
    EXPECT_EQ(Fleet::failureShare(*Fleet::findTarget(*this->book(), "fast"), now), 0);
}

} // namespace Briarbend::Gateway
