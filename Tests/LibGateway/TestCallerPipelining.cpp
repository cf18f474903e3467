#include <Tests/LibGateway/CallerFrontendTest.h>

/// Requests that a caller sends on one connection before the earlier ones are answered.
namespace Briarbend::Gateway
{

namespace
{

/// Reactions that take long for paths that begin so.
Reaction slowFor(const Network::Request &request, std::string_view slowPrefix, std::chrono::milliseconds delay)
{
    return {.delay = request.target().starts_with(boost::beast::string_view{slowPrefix.data(), slowPrefix.size()}) ? delay : 0ms};
}

} // namespace

// A short request waited at the instance for a long one before it, and overtook it in the response.
TEST_F(CallerFrontendTest, responsesComeInOrderAlthoughTheSecondIsReadyFirst)
{
    this->react = [](const auto &request) {
        return slowFor(request, "/slow", 300ms);
    };
    auto &caller = this->connect();
    caller.startReading();
    caller.send(requests({"/slow", "/fast"}));
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.counters.answered == 1;
    }));
    EXPECT_TRUE(this->hasArrived("/fast"));
    EXPECT_EQ(caller.text(), "");
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"body of /slow", "body of /fast"});
    })) << caller.text();
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.requestsInFlight == 0;
    }));
}

// Guards against review/3: a refusal to HEAD had a body, which the caller took for the beginning of its next response (RFC 9110, 9.3.2).
TEST_F(CallerFrontendTest, refusalToHeadEndsWithItsHead)
{
    auto &caller = this->connect();
    caller.startReading();
    const std::string unknownHost = " / HTTP/1.1\r\nHost: unknown.example\r\nAttempt-Id: refused\r\n\r\n";
    caller.send("HEAD" + unknownHost + request("/next") + "GET" + unknownHost);
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"HTTP/1.1 404", "\r\n\r\nHTTP/1.1 200", "body of /next", "HTTP/1.1 404", "no-route"});
    })) << caller.text();
    const auto bodyOfGet = caller.text().substr(caller.text().rfind("\r\n\r\n") + 4);
    EXPECT_TRUE(caller.hasInOrder({"Content-Length: " + std::to_string(bodyOfGet.size()), "\r\n\r\nHTTP/1.1 200"}))
        << "as a GET would be told: " << caller.text();
}

// A request that runs at most once was sent before the caller could know how the one before it ended.
TEST_F(CallerFrontendTest, atMostOnceRequestRunsAlone)
{
    std::vector<std::uint64_t> answeredBefore;
    this->react = [&](const auto &) {
        answeredBefore.push_back(this->state.counters.answered);
        return Reaction{.delay = 30ms};
    };
    auto &caller = this->connect();
    caller.startReading();
    caller.send(requests({"/a", "/b", "/once/c", "/d", "/once/e"}));
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"body of /a", "body of /b", "body of /once/c", "body of /d", "body of /once/e"});
    })) << caller.text();
    EXPECT_EQ(answeredBefore, (std::vector<std::uint64_t>{0, 0, 2, 3, 4}));
}

// What stands behind a request that closes the connection was sent to a target.
TEST_F(CallerFrontendTest, nothingIsSentBehindAClosingResponse)
{
    const std::vector<std::pair<std::string, std::string>> closing{
        {request("/a", "Connection: close\r\n"), "Connection: close"},
        {"GET /a HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", "HTTP/1.1 400"},
        {"nonsense\r\n\r\n", "HTTP/1.1 400"}};
    for (const auto &[text, answer] : closing) {
        auto &caller = this->connect();
        caller.startReading();
        caller.send(request("/first") + text + request("/behind"));
        EXPECT_TRUE(this->runUntil([&caller = caller] {
            return caller.isEnded();
        }));
        EXPECT_TRUE(caller.hasInOrder({"body of /first", answer})) << caller.text();
        EXPECT_FALSE(this->hasArrived("/behind"));
    }
}

// A planned stop broke off requests that were sent, or sent more that the caller could have sent elsewhere.
TEST_F(CallerFrontendTest, stopAnswersWhatWasSentAndSendsNothingMore)
{
    this->react = [](const auto &) {
        return Reaction{.delay = 100ms};
    };
    auto &caller = this->connect();
    caller.startReading();
    caller.send(requests({"/a", "/b", "/once/c", "/d"}));
    EXPECT_TRUE(this->runUntil([&] {
        return this->hasArrived("/a") && this->hasArrived("/b");
    }));
    this->state.isStopping = true;
    EXPECT_TRUE(this->runUntil([&] {
        return caller.isEnded();
    }));
    EXPECT_TRUE(caller.hasInOrder({"body of /a", "Connection: close", "body of /b"})) << caller.text();
    EXPECT_EQ(this->arrivals.size(), 2U);
    caller.close();
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.requestsInFlight == 0 && this->state.callerConnections == 0;
    }));
}

// The instance noticed only callers that had sent nothing behind the requests that it had read.
TEST_F(CallerFrontendTest, callerThatLeavesWithUnreadBytesBehindIsNoticed)
{
    this->react = [](const auto &) {
        return Reaction{.delay = 20s};
    };
    for (const auto readAhead : {1U, 2U, 8U}) {
        this->state.settings.callers.readAhead = readAhead;
        this->arrivals.clear();
        const auto before = this->targets.front()->cancelled();
        auto &caller = this->connect();
        caller.send(requests({"/a", "/b", "/c"}));
        const auto expected = std::min(readAhead, 3U);
        EXPECT_TRUE(this->runUntil([&] {
            return this->arrivals.size() == expected;
        }));
        caller.close();
        const auto left = Core::Clock::now();
        EXPECT_TRUE(this->runUntil([&] {
            return this->targets.front()->cancelled() == before + expected;
        }));
        EXPECT_LE(Core::Clock::now() - left, 500ms) << "with " << readAhead;
        EXPECT_TRUE(this->runUntil([&] {
            return this->state.callerConnections == 0 && this->state.requestsInFlight == 0;
        }));
    }
}

// A connection read more requests than it may, or stopped at its bound for good.
TEST_F(CallerFrontendTest, readsAheadUpToTheBound)
{
    this->state.settings.callers.readAhead = 2;
    this->react = [](const auto &) {
        return Reaction{.delay = 50ms};
    };
    auto &caller = this->connect();
    caller.startReading();
    caller.send(requests({"/1", "/2", "/3", "/4", "/5"}));
    std::uint32_t mostInFlight = 0;
    EXPECT_TRUE(this->runUntil([&] {
        mostInFlight = std::max(mostInFlight, this->state.requestsInFlight);
        return caller.hasInOrder({"of /1", "of /2", "of /3", "of /4", "of /5"});
    })) << caller.text();
    EXPECT_EQ(mostInFlight, 2U);
}

// A request that never came whole ended the responses before it, or kept its connection open for good.
TEST_F(CallerFrontendTest, unfinishedRequestEndsTheConnectionBehindEarlierResponses)
{
    this->isVirtual = true;
    this->react = [](const auto &) {
        return Reaction{.delay = 100ms};
    };
    const auto limits = callerLimits(this->state);
    auto &caller = this->connect();
    caller.startReading();
    caller.send(request("/a") + "GET /unfinished HTTP/1.1\r\n");
    EXPECT_TRUE(this->runUntil([&] {
        return this->hasArrived("/a");
    }));
    this->frontend->checkConnections(Core::Clock::now() + limits.headerTimeout + 1s);
    EXPECT_TRUE(this->runUntil([&] {
        return caller.isEnded();
    }));
    EXPECT_TRUE(caller.hasInOrder({"Connection: close", "body of /a"})) << caller.text();
}

// An idle connection was closed early, while its request was answered, or never.
TEST_F(CallerFrontendTest, idleConnectionIsClosedAfterTheIdleTimeout)
{
    this->isVirtual = true;
    this->react = [](const auto &) {
        return Reaction{.delay = 100ms};
    };
    const auto idleTimeout = callerLimits(this->state).idleTimeout;
    auto &caller = this->connect();
    caller.startReading();
    caller.send(request("/a"));
    EXPECT_TRUE(this->runUntil([&] {
        return this->hasArrived("/a");
    }));
    this->frontend->checkConnections(Core::Clock::now() + idleTimeout + 1s);
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"body of /a"}) && this->state.requestsInFlight == 0;
    })) << caller.text();
    this->frontend->checkConnections(Core::Clock::now() + idleTimeout - 1s);
    EXPECT_EQ(this->state.callerConnections, 1U);
    this->frontend->checkConnections(Core::Clock::now() + idleTimeout + 1s);
    EXPECT_TRUE(this->runUntil([&] {
        return caller.isEnded() && this->state.callerConnections == 0;
    }));
}

// The interim response of a later request came before the final response of an earlier one.
TEST_F(CallerFrontendTest, continueComesBehindEarlierResponses)
{
    this->react = [](const auto &) {
        return Reaction{.delay = 50ms};
    };
    auto &caller = this->connect();
    caller.startReading();
    caller.send(request("/a")
                + "POST /b HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: /b\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"body of /a", "HTTP/1.1 100 Continue"});
    })) << caller.text();
    EXPECT_FALSE(this->hasArrived("/b"));
    caller.send("xx");
    EXPECT_TRUE(this->runUntil([&] {
        return caller.hasInOrder({"100 Continue", "body of /b"});
    })) << caller.text();
}

} // namespace Briarbend::Gateway
