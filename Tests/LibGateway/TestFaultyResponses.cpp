#include <Tests/LibGateway/RequestFlowTest.h>

#include <array>

/// Responses of faulty targets that must not pass for the response to a request.
namespace Briarbend::Gateway
{

namespace
{

class FaultyResponsesTest : public RequestFlowTest
{
protected:
    bool hasFailure(const std::string &target) const
    {
        return Fleet::failureShare(*Fleet::findTarget(*this->service(), target), Core::Clock::now()) > 0;
    }

    std::uint32_t idleConnections(std::size_t target) const
    {
        return this->state.pool.idleCount({this->targets.at(target)->address()});
    }
};

/// Codes that RFC 9110 doesn't define as one of a response, and that the parser accepts.
constexpr std::array INVALID_CODES{"000", "001", "099", "600", "999"};

/// A whole response of a target to the request "a1".
std::string answerWith(const std::string &code, const std::string &fields = "Response-Stamp: s\r\n")
{
    return "HTTP/1.1 " + code + " X\r\nAttempt-Id: a1\r\n" + fields + "Content-Length: 4\r\n\r\nbody";
}

std::string refusal(const std::string &fields)
{
    return "HTTP/1.1 503 X\r\n" + fields + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// REFUSED, TWICE: a refusal that a target writes once more on a kept connection would be told to the caller of the next request, or that
// request would run at a second target.
TEST_F(FaultyResponsesTest, refusalOfAnEarlierRequestIsNotTakenForThatOfTheNext)
{
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [](const Network::Request &request) {
            const bool isFirst = request["Attempt-Id"] == "a1";
            return Reaction{.status = isFirst ? 503 : 200, .isNotRun = isFirst, .before = isFirst ? "" : refusal("Attempt-Id: a1\r\n")};
        });
    }
    this->configureRoute(RouteKind::Once);
    EXPECT_EQ(this->run("a1").response.result_int(), 503U);
    for (const std::string attemptId : {"a2", "a3"}) {
        EXPECT_EQ(this->run(attemptId).response.result_int(), 200U);
        EXPECT_EQ(this->runsOf(attemptId), 1U);
    }
}

// REFUSED, TWICE: the same where the refusal names no request, as that of a health check on the same connection does.
TEST_F(FaultyResponsesTest, refusalWithoutAnIdentifierIsNoProofThatTheRequestHasNotRun)
{
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [](const auto &) {
            return Reaction{.before = refusal("")};
        });
    }
    this->configureRoute(RouteKind::Once);
    const auto result = this->run("a1");
    EXPECT_EQ(this->runsOf("a1"), 1U);
    EXPECT_NE(result.response.result_int(), 503U) << "it has run";
}

// MIXED, ORDER: a target that stops in the middle of its response's head would give the caller a success without a body.
TEST_F(FaultyResponsesTest, headThatIsCutShortIsNoResponse)
{
    const std::string head{"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\n"};
    std::size_t length = 0;
    this->addTarget("one", [&head, &length](const auto &) {
        return Reaction{.raw = head.substr(0, length)};
    });
    this->configureRoute(RouteKind::Once, 1);
    for (; length <= head.size(); ++length) {
        EXPECT_EQ(this->run("a1").response.result_int(), 502U) << "after " << length << " of " << head.size() << " bytes";
    }
}

TEST_F(FaultyResponsesTest, chunkedBodyThatIsCutShortIsNoResponse)
{
    const std::string text{
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
    std::size_t length = text.find("\r\n\r\n");
    this->addTarget("one", [&text, &length](const auto &) {
        return Reaction{.raw = text.substr(0, length)};
    });
    this->configureRoute(RouteKind::Once, 1);
    for (; length < text.size(); ++length) {
        EXPECT_EQ(this->run("a1").response.result_int(), 502U) << "after " << length << " bytes";
    }
    EXPECT_EQ(this->run("a1").response.body(), "body");
}

// MIXED, REFUSED: a response with a code outside 100 to 599 reached the caller as a success, or its field as a promise that the request had
// not run.
TEST_F(FaultyResponsesTest, invalidStatusCodeIsAFailureWithoutAPromise)
{
    for (const std::string code : INVALID_CODES) {
        for (const std::string fields : {"Response-Stamp: s\r\n", "Not-Executed: 1\r\n", ""}) {
            const auto name = "target-" + code + "-" + std::to_string(fields.size());
            this->state.directory = {};
            this->addTarget(name, [code, fields](const auto &) {
                return Reaction{.raw = answerWith(code, fields)};
            });
            this->configureRoute(RouteKind::Once);
            EXPECT_EQ(this->run("a1").response.result_int(), 502U) << code << " " << fields;
            EXPECT_EQ(this->targets.back()->runs().size(), 1U) << "a request that may have run is not sent again";
            EXPECT_TRUE(this->hasFailure(name)) << code << " " << fields;
            EXPECT_EQ(this->idleConnections(this->targets.size() - 1), 0U) << "the connection is not kept";
        }
    }
}

// MIXED: an idempotent request ended with such a response although another target could serve it.
TEST_F(FaultyResponsesTest, idempotentRequestIsSentAgainAfterAnInvalidStatusCode)
{
    std::size_t exchanges = 0;
    for (const auto *name : {"one", "two"}) {
        this->addTarget(name, [&exchanges](const auto &) {
            return exchanges++ == 0 ? Reaction{.raw = answerWith("099")} : Reaction{};
        });
    }
    this->configureRoute(RouteKind::Idempotent);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_EQ(exchanges, 2U);
}

// MIXED: the response behind one with an invalid code would be taken for the real one, or a valid interim response for the final one.
TEST_F(FaultyResponsesTest, onlyValidInterimResponsesAreSkipped)
{
    std::string interim;
    this->addTarget("one", [&interim](const auto &) {
        return Reaction{.before = interim};
    });
    this->configureRoute(RouteKind::Once, 1);
    for (const std::string code : {"100", "102", "199"}) {
        interim = "HTTP/1.1 " + code + " X\r\n\r\n";
        EXPECT_EQ(this->run("a1").response.result_int(), 200U) << code;
    }
    for (const std::string code : {"000", "099"}) {
        interim = "HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(this->run("a1").response.result_int(), 502U) << code;
    }
}

// MIXED, REFUSED: the same for a peer that the request was forwarded to. The peer may name the response its own, which would be a promise.
TEST_F(FaultyResponsesTest, invalidStatusCodeOfAPeerIsAFailureWithoutAPromise)
{
    std::string answer;
    auto &peer = this->addTarget("one", [&answer](const auto &) {
        return Reaction{.raw = answer};
    });
    this->configureRoute(RouteKind::Once, 1);
    this->state.connectivity.cutOffSince = Core::Clock::now();
    this->state.findPeer = [&peer](const auto &) -> boost::asio::awaitable<std::optional<Core::TargetId>> {
        co_return Core::TargetId{peer.address()};
    };
    for (const std::string code : INVALID_CODES) {
        for (const std::string fields : {"", "Briarbend-Answered-By: front-2\r\n"}) {
            answer = answerWith(code, fields);
            EXPECT_EQ(this->run("a1").response.result_int(), 502U) << code << " " << fields;
        }
    }
    EXPECT_EQ(peer.runs().size(), 2 * INVALID_CODES.size());
}

// MIXED: a status line that is no status line at all.
TEST_F(FaultyResponsesTest, statusLineWithoutThreeDigitsIsNoResponse)
{
    std::string code;
    this->addTarget("one", [&code](const auto &) {
        return Reaction{.raw = answerWith(code)};
    });
    this->configureRoute(RouteKind::Once, 1);
    for (const auto *text : {"", "2", "20", "2000", "20x", "abc", "-20", "+20", "2 0", "0x1"}) {
        code = text;
        EXPECT_EQ(this->run("a1").response.result_int(), 502U) << text;
    }
}

// A health check with an invalid code was taken as one of a target that reports its load, and its connection was used for a request.
TEST_F(FaultyResponsesTest, healthCheckWithAnInvalidStatusCodeEjectsTheTarget)
{
    for (const unsigned code : {600U, 999U}) {
        const auto name = "target-" + std::to_string(code);
        this->state.directory = {};
        auto &faulty = this->addTarget(name, [](const auto &) {
            return Reaction{};
        });
        faulty.healthStatus = code;
        this->configureRoute(RouteKind::Idempotent);
        EXPECT_EQ(this->run("a1").response.result_int(), 503U) << code;
        EXPECT_EQ(this->targets.back()->runs().size(), 0U);
        const auto *target = Fleet::findTarget(*this->service(), name);
        EXPECT_GT(target->ejectedUntil, Core::Clock::now());
        EXPECT_EQ(this->idleConnections(this->targets.size() - 1), 0U);
        EXPECT_TRUE(this->state.connectivity.unreachable.empty()) << "the target was reached";
    }
}

// An interim response to a health check was taken for its result, and the final one for that of the next.
TEST_F(FaultyResponsesTest, interimResponseToAHealthCheckIsSkipped)
{
    auto &target = this->addTarget("one", [](const auto &) {
        return Reaction{};
    });
    target.beforeHealth = "HTTP/1.1 199 X\r\n\r\n";
    this->configureRoute(RouteKind::Once, 1);
    EXPECT_EQ(this->run("a1").response.result_int(), 200U);
    EXPECT_FALSE(Fleet::findTarget(*this->service(), "one")->failsHealthCheck);
}

} // namespace Briarbend::Gateway
