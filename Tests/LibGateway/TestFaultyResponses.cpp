#include <Tests/LibGateway/RequestFlowTest.h>

/// Responses of faulty targets that must not pass for the response to a request.
namespace Briarbend::Gateway
{

namespace
{

using FaultyResponsesTest = RequestFlowTest;

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

} // namespace Briarbend::Gateway
