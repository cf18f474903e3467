#include <Tests/LibGateway/RequestFlowTest.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace Briarbend::Gateway
{

namespace
{

/// Delays every request until its deadline, then refuses it.
class RefusingGuard : public Relay::RequestGuard
{
public:
    bool isUnsuspected(const Quarantine::Fingerprint &) const override
    {
        return false;
    }

    boost::asio::awaitable<Permission> awaitPermission(Quarantine::Fingerprint, Core::TargetId, Core::TimePoint deadline) override
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, deadline);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return Permission{Verdict::Refuse, 1s};
    }

    boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint, Core::TargetId, bool) override
    {
        co_return;
    }

    void recordCompletion(const Quarantine::Fingerprint &, Core::TimePoint) override
    {
    }

    void endTrial(const Quarantine::Fingerprint &) override
    {
    }

    void recordTargetStart(const Core::TargetId &, const Core::TargetStartId &) override
    {
    }

    void recordTargetExit(const Core::TargetId &) override
    {
    }
};

/// Permits every request, after something that happens while the request waits.
class DelayingGuard final : public RefusingGuard
{
public:
    explicit DelayingGuard(std::function<void()> callback)
        : onWait(std::move(callback))
    {
    }

    boost::asio::awaitable<Permission> awaitPermission(Quarantine::Fingerprint, Core::TargetId, Core::TimePoint) override
    {
        this->onWait();
        co_return Permission{Verdict::SendAsTrial};
    }

private:
    std::function<void()> onWait;
};

/// Suspects no request, and records which targets were found to have ended.
class RecordingGuard final : public RefusingGuard
{
public:
    bool isUnsuspected(const Quarantine::Fingerprint &) const override
    {
        return true;
    }

    boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint, Core::TargetId target, bool) override
    {
        this->lost.push_back(target);
        co_return;
    }

    void recordTargetExit(const Core::TargetId &target) override
    {
        this->ended.push_back(target);
    }

    void recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &) override
    {
        this->seen.push_back(target);
    }

    std::vector<Core::TargetId> lost;
    std::vector<Core::TargetId> ended;
    std::vector<Core::TargetId> seen;
};

Reaction always(Reaction reaction)
{
    return reaction;
}

} // namespace

TEST_F(RequestFlowTest, targetsResponseIsReturnedWhole)
{
    this->addTarget("one", [](const auto &request) {
        EXPECT_EQ(request["Expect-Instance"], "one");
        EXPECT_LT(std::stoi(std::string(request["Deadline-Remaining"])), 1000);
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 200U);
    EXPECT_EQ(result.response.body(), "body of /x/a1");
    EXPECT_EQ(result.response["Response-Stamp"], "stamp");
}

TEST_F(RequestFlowTest, lateResponseOnAReusedConnectionIsSkipped)
{
    this->addTarget("one", [first = true](const auto &) mutable {
        const std::string late = "HTTP/1.1 503 X\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nwrong";
        return Reaction{.before = std::exchange(first, false) ? "" : late};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    const auto second = this->run("a2");
    EXPECT_EQ(second.response.result_int(), 200U);
    EXPECT_EQ(second.response.body(), "body of /x/a2");
    EXPECT_EQ(this->state.counters.unmatchedResponses, 1U);
}

TEST_F(RequestFlowTest, connectionWithBytesAfterTheResponseIsNotReused)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.after = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"};
    });
    this->configureRoute(RouteKind::Safe);
    EXPECT_EQ(this->run("a1").response.body(), "body of /x/a1");
    EXPECT_EQ(this->run("a2").response.body(), "body of /x/a2");
    EXPECT_EQ(this->state.counters.connectionsOpened, 2U);
}

TEST_F(RequestFlowTest, requestShedByATargetIsSentToAnother)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.status = 503, .isNotRun = true};
    });
    this->addTarget("two", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Once);
    for (int request = 0; request < 6; ++request) {
        const auto id = "a" + std::to_string(request);
        EXPECT_EQ(this->run(id).response.result_int(), 200U);
        EXPECT_EQ(this->runsOf(id), 1U);
    }
}

TEST_F(RequestFlowTest, requestShedByEveryTargetIsRefusedAsNotRun)
{
    for (const auto *name : {"one", "two", "three"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.status = 503, .isNotRun = true};
        });
    }
    this->configureRoute(RouteKind::Once);
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_FALSE(result.response["Retry-After"].empty());
    EXPECT_EQ(this->runsOf("a1"), 0U);
}

TEST_F(RequestFlowTest, onceRequestIsNotResentAfterALostConnection)
{
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.status = std::nullopt};
        });
    }
    this->configureRoute(RouteKind::Once);
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 502U) << "503 would claim that it has not run";
    EXPECT_EQ(this->runsOf("a1"), 1U);
}

TEST_F(RequestFlowTest, safeRequestIsSentToAnotherTargetAfterALostConnection)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.status = std::nullopt};
    });
    this->addTarget("two", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    for (int request = 0; request < 6; ++request) {
        EXPECT_EQ(this->run("a" + std::to_string(request)).response.result_int(), 200U);
    }
}

TEST_F(RequestFlowTest, shedResendDoesNotMakeALostSendLookNotRun)
{
    bool isFirst = true;
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [&isFirst](const auto &) {
            return std::exchange(isFirst, false) ? Reaction{.status = std::nullopt} : Reaction{.status = 503, .isNotRun = true};
        });
    }
    this->configureRoute(RouteKind::Safe);
    EXPECT_EQ(this->run("a1").response.result_int(), 502U);
}

TEST_F(RequestFlowTest, requestIsSentNoMoreOftenThanItsRouteAllows)
{
    for (const auto *name : {"one", "two", "three", "four"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.status = std::nullopt};
        });
    }
    this->configureRoute(RouteKind::Safe, 2);
    EXPECT_EQ(this->run("a1").response.result_int(), 502U);
    EXPECT_EQ(this->runsOf("a1"), 2U);
    this->configureRoute(RouteKind::Safe, 1);
    this->run("a2");
    EXPECT_EQ(this->runsOf("a2"), 1U);
}

TEST_F(RequestFlowTest, truncatedUnstampedEncodedAndForeignResponsesAreRejected)
{
    const std::vector<Reaction> bad{{.isTruncated = true}, {.isUnstamped = true}, {.isEncoded = true}, {.otherAttemptId = "other"}};
    int number = 0;
    for (const auto &reaction : bad) {
        // The coroutines of earlier targets still run; only targets in the directory are chosen.
        this->state.directory = {};
        this->addTarget("target" + std::to_string(number), [&reaction](const auto &) {
            return always(reaction);
        });
        this->configureRoute(RouteKind::Once, 1, 300ms);
        const auto result = this->run("a" + std::to_string(number), 300ms);
        EXPECT_GE(result.response.result_int(), 502U) << number;
        EXPECT_NE(result.response.result_int(), 503U) << number;
        ++number;
    }
}

TEST_F(RequestFlowTest, serverErrorOfATargetIsReturnedUnchangedWithoutABetterResponse)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.status = 500};
    });
    this->configureRoute(RouteKind::Once);
    const auto result = this->run("a1");
    EXPECT_EQ(result.response.result_int(), 500U);
    EXPECT_EQ(result.response["Response-Stamp"], "stamp");
}

TEST_F(RequestFlowTest, slowTargetIsHedgedAndItsRequestCancelled)
{
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [this](const auto &request) {
            const bool isFirst = this->runsOf(std::string(request["Attempt-Id"])) == 0;
            return Reaction{.delay = isFirst ? 900ms : 10ms};
        });
    }
    this->configureRoute(RouteKind::Safe);
    const auto before = Core::Clock::now();
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_LT(Core::Clock::now() - before, 600ms);
    EXPECT_EQ(this->state.counters.hedges, 1U);
    this->context.restart();
    this->context.run_for(50ms);
    EXPECT_EQ(this->targets[0]->cancelled() + this->targets[1]->cancelled(), 1U);
}

TEST_F(RequestFlowTest, onceRequestIsNotHedged)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.delay = 400ms};
    });
    this->addTarget("two", [](const auto &) {
        return Reaction{.delay = 400ms};
    });
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(this->runsOf("a1"), 1U);
}

TEST_F(RequestFlowTest, finalResponseIsSentAtTheDeadline)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.delay = 5s};
    });
    this->configureRoute(RouteKind::Once);
    const auto before = Core::Clock::now();
    EXPECT_EQ(this->run("a1", 200ms).response.result_int(), 504U);
    EXPECT_LT(Core::Clock::now() - before, 300ms);
}

TEST_F(RequestFlowTest, requestWithoutATargetIsRefusedAtOnce)
{
    this->configureRoute(RouteKind::Once);
    const auto before = Core::Clock::now();
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - before, 100ms);
}

// Log of tsh-scan, trouble-1: a suspect request was delayed for its whole 2 s while targets crashed elsewhere.
TEST_F(RequestFlowTest, suspectRequestIsRefusedAfterAShortWait)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    this->configureRoute(RouteKind::Safe);
    RefusingGuard guard;
    this->state.guard = &guard;
    const auto before = Core::Clock::now();
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_LT(Core::Clock::now() - before, 150ms) << "half of the objective";
    EXPECT_EQ(this->runsOf("a1"), 0U);
}

// A suspect request was refused when its target left or gave its last permit away while the guard held it, although another had room.
TEST_F(RequestFlowTest, requestWhoseTargetLeavesWhileTheGuardHoldsItIsSentElsewhere)
{
    const auto react = [](const auto &) {
        return Reaction{};
    };
    auto &leaving = this->addTarget("leaving", react);
    this->addTarget("other", react).load = "5,0,6,100";
    this->configureRoute(RouteKind::Once);
    DelayingGuard guard([this] {
        Fleet::recordLeaving(this->state.directory, "leaving", 1, Core::Clock::now());
        updateServiceStates(this->state, Core::Clock::now());
    });
    this->state.guard = &guard;
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(leaving.runs().size(), 0U);
    EXPECT_EQ(this->runsOf("a1"), 1U);
}

// A busy instance sent a request seconds after its choice, to a target that had said meanwhile that it leaves.
TEST_F(RequestFlowTest, targetIsAskedAgainWhereTheProcessStandsStillAfterTheChoice)
{
    const auto react = [](const auto &) {
        return Reaction{};
    };
    auto &leaving = this->addTarget("leaving", react);
    this->addTarget("other", react).load = "3,0,6,100";
    this->configureRoute(RouteKind::Once, 2, 5s);
    DelayingGuard guard([&leaving] {
        if (std::exchange(leaving.healthFields, "Server-Leaving: 1\r\n").empty()) {
            std::this_thread::sleep_for(1100ms);
        }
    });
    this->state.guard = &guard;
    EXPECT_EQ(this->run("a1", 5s).response.result_int(), 200U);
    EXPECT_EQ(leaving.runs().size(), 0U);
    EXPECT_EQ(this->runsOf("a1"), 1U);
}

// Guards against a crash that nobody notices in a quiet hour: no other request came that would have shown that the target was gone, the
// evidence expired, and the request crashed a target each time it came.
TEST_F(RequestFlowTest, targetThatLostAConnectionWithARequestIsAskedAtOnceWhetherItHasEnded)
{
    FakeTarget *crashing = nullptr;
    crashing = &this->addTarget("one", [&crashing](const auto &) {
        crashing->stopListening();
        return Reaction{.status = std::nullopt};
    });
    this->configureRoute(RouteKind::Once);
    RecordingGuard guard;
    this->state.guard = &guard;
    const Core::TargetId address{crashing->address()};
    this->run("a1");
    this->context.restart();
    this->context.run_for(300ms);
    EXPECT_EQ(guard.lost, std::vector{address});
    EXPECT_EQ(guard.ended, std::vector{address});
}

TEST_F(RequestFlowTest, targetThatOnlyClosedItsConnectionIsFoundToBeAlive)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{.status = std::nullopt};
    });
    this->configureRoute(RouteKind::Once);
    RecordingGuard guard;
    this->state.guard = &guard;
    this->run("a1");
    const auto seenBefore = guard.seen.size();
    this->context.restart();
    this->context.run_for(300ms);
    EXPECT_EQ(guard.lost.size(), 1U);
    EXPECT_TRUE(guard.ended.empty());
    EXPECT_EQ(guard.seen.size(), seenBefore + 1);
}

TEST_F(RequestFlowTest, addressOfAnotherTargetReceivesNoRequest)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    target.name = "somebody-else";
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    EXPECT_EQ(this->runsOf("a1"), 0U);
}

TEST_F(RequestFlowTest, unreachableTargetFailsNoRequest)
{
    this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    Fleet::TargetRecord gone{.name = "gone",
                             .startedAtMilliseconds = 1,
                             .address = {"127.0.0.1:1"},
                             .service = SERVICE,
                             .dataCentre = {"here"},
                             .version = {"v1"},
                             .slots = 6,
                             .isLeaving = false,
                             .coldLeft = 0ms};
    Fleet::applyRecord(this->state.directory, gone);
    this->configureRoute(RouteKind::Once);
    for (int request = 0; request < 5; ++request) {
        EXPECT_EQ(this->run("a" + std::to_string(request)).response.result_int(), 200U);
    }
}

} // namespace Briarbend::Gateway
