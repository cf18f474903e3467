#include "RawConnection.h"

#include <LibLoad/BodyChecksum.h>
#include <Tests/Processes/Support/Cluster.h>

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <regex>

namespace Briarbend::Processes
{

namespace
{

namespace Http = Network::Http;

const Network::Endpoint &callersOf(const Cluster &cluster)
{
    return cluster.instances.front().callers;
}

Network::Response get(const Cluster &cluster, const std::string &target)
{
    return exchange(callersOf(cluster), Network::makeRequest(Http::verb::get, target, "test"));
}

/// The cluster of all tests here, which leave it as it was.
class WholePath : public ::testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        cluster = std::make_unique<Cluster>(ClusterPlan{});
    }

    static void TearDownTestSuite()
    {
        cluster.reset();
    }

    static bool isServing()
    {
        return get(*cluster, "/serving?bytes=10").result() == Http::status::ok;
    }

    static inline std::unique_ptr<Cluster> cluster;
};

} // namespace

TEST_F(WholePath, aGetReachesATargetAndComesBackWhole)
{
    const auto response = get(*cluster, "/pattern/7?bytes=100000");
    EXPECT_EQ(response.result(), Http::status::ok);
    EXPECT_EQ(response.body().size(), 100'000U);
    EXPECT_FALSE(response["X-Request-Id"].empty());
    EXPECT_TRUE(response["endpoint-load-metrics"].empty()) << "load reports are for the instance only";
}

TEST_F(WholePath, aChunkedUploadReachesTheTarget)
{
    RawConnection connection(callersOf(*cluster));
    connection.send("POST /upload HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int chunk = 0; chunk < 50; ++chunk) {
        connection.send("2000\r\n" + std::string(0x2000, 'x') + "\r\n");
    }
    connection.send("0\r\n\r\n");
    const auto answer = connection.readToEnd();
    EXPECT_NE(answer.find("\"bytes\":409600"), std::string::npos) << answer;
}

TEST_F(WholePath, anUnknownPathOfAnotherServiceIsToldAtOnce)
{
    const auto response = get(*cluster, "/once/1");
    EXPECT_EQ(response.result(), Http::status::bad_request) << "a once route needs a key";
    EXPECT_EQ(response[Http::field::content_type], "application/problem+json");
    EXPECT_FALSE(response["Proxy-Status"].empty());
}

struct BadInput {
    std::string name;
    std::string bytes;
};

class BadInputs : public WholePath, public ::testing::WithParamInterface<BadInput>
{
};

TEST_P(BadInputs, getA4xxOrAClosedConnectionAndNothingAfterIsRead)
{
    RawConnection connection(callersOf(*cluster));
    connection.send(GetParam().bytes);
    // A second request that hides behind the first must never be served.
    connection.send("GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    connection.endSending();
    const auto answer = connection.readToEnd();
    const bool isRefused = answer.empty() || answer.starts_with("HTTP/1.1 4");
    EXPECT_TRUE(isRefused) << answer;
    const std::regex statusLine("HTTP/1\\.1 [0-9]{3} ");
    EXPECT_LE(std::distance(std::sregex_iterator(answer.begin(), answer.end(), statusLine), std::sregex_iterator()), 1)
        << "something after the bad request was answered: " << answer;
    EXPECT_TRUE(isServing());
}

INSTANTIATE_TEST_SUITE_P(
    ,
    BadInputs,
    ::testing::Values(
        BadInput{"garbage", std::string("\x00\x01\xff\xfe garbage\r\n\r\n", 16)},
        BadInput{"oversizedHeader", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n"},
        BadInput{"lengthAndChunked", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        BadInput{"chunkedAndLength", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"},
        BadInput{"twoLengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"},
        BadInput{"unknownCoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        BadInput{"notFinalChunked", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"},
        BadInput{"negativeLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
        BadInput{"noHost", "GET / HTTP/1.1\r\n\r\n"},
        BadInput{"twoHosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
        BadInput{"spaceBeforeColon", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nabcd"},
        BadInput{"badChunkLength", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
        BadInput{"connectMethod", "CONNECT other:80 HTTP/1.1\r\nHost: a\r\n\r\n"},
        BadInput{"cutHead", "GET / HTTP/1.1\r\nHost: a"},
        BadInput{"absoluteForm", "GET http://elsewhere/ HTTP/1.1\r\nHost: a\r\n\r\n"}),
    [](const auto &parameter) {
        return parameter.param.name;
    });

TEST_F(WholePath, damagedRequestsGetAnAnswerOfTheirOwnOrAClosedConnection)
{
    const bool holds = rc::check([] {
        std::string bytes
            = *rc::gen::element<std::string>("GET /a?bytes=10 HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n",
                                             "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
                                             "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        const auto damages = *rc::gen::inRange(1, 6);
        for (int damage = 0; damage < damages; ++damage) {
            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[position] = *rc::gen::arbitrary<char>();
        }
        RawConnection connection(callersOf(*cluster));
        connection.send(bytes);
        connection.endSending();
        const auto answer = connection.readToEnd();
        RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 2") || answer.starts_with("HTTP/1.1 4"));
        RC_ASSERT(isServing());
    });
    EXPECT_TRUE(holds);
}

TEST_F(WholePath, aHalfClosedCallerThatSentAWholeRequestDoesNotHoldTheInstance)
{
    RawConnection connection(callersOf(*cluster));
    connection.send("GET /half HTTP/1.1\r\nHost: a\r\n\r\n");
    connection.endSending();
    connection.readToEnd();
    EXPECT_TRUE(isServing());
}

} // namespace Briarbend::Processes
