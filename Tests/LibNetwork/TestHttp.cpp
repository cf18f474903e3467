#include <LibNetwork/Endpoint.h>
#include <LibNetwork/HttpClient.h>
#include <LibNetwork/HttpServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Network
{

TEST(Endpoint, takesOnlyIpNumbersWithAPort)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parseEndpoint("[::1]:80")->text(), "[::1]:80");
    EXPECT_FALSE(parseEndpoint("localhost:80"));
    EXPECT_FALSE(parseEndpoint("127.0.0.1:"));
    EXPECT_FALSE(parseEndpoint("127.0.0.1:65536"));
}

TEST(HttpClient, reusesItsConnectionAndReportsATimeout)
{
    boost::asio::io_context context;
    HttpServer server(context, {"127.0.0.1", 0}, [](Request request) -> boost::asio::awaitable<Response> {
        if (request.target() == "/silent") {
            boost::asio::steady_timer never(co_await boost::asio::this_coro::executor, std::chrono::hours(1));
            co_await never.async_wait(boost::asio::use_awaitable);
        }
        co_return makeResponse(Http::status::ok, "text/plain", std::string(request.target()));
    });
    HttpClient client(context.get_executor(), server.endpoint());
    bool isDone = false;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        for (const auto *target : {"/first", "/second"}) {
            auto request = makeRequest(Http::verb::get, target, "test");
            const auto response = co_await client.exchange(std::move(request), std::chrono::seconds(5));
            EXPECT_EQ(response.body(), target);
        }
        auto request = makeRequest(Http::verb::get, "/silent", "test");
        try {
            co_await client.exchange(std::move(request), std::chrono::milliseconds(20));
            ADD_FAILURE() << "a silent server must time out";
        } catch (const boost::system::system_error &error) {
            EXPECT_EQ(error.code(), boost::beast::error::timeout);
        }
        isDone = true;
        context.stop();
    };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run();
    EXPECT_TRUE(isDone);
}

TEST(HttpClient, knowsThatItsServerClosedTheIdleConnection)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    HttpClient client(context.get_executor(), {"127.0.0.1", acceptor.local_endpoint().port()});
    EXPECT_FALSE(client.isConnected());
    const auto run = [&]() -> boost::asio::awaitable<void> {
        co_await client.connect(std::chrono::seconds(5));
        EXPECT_TRUE(client.isConnected());
        auto peer = co_await acceptor.async_accept(boost::asio::use_awaitable);
        peer.close();
        EXPECT_FALSE(client.isConnected());
    };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run();
}

// A server whose response has a code outside 100 to 599 passed for one that had answered, and an interim response for the final one.
TEST(HttpClient, refusesInvalidStatusCodesAndSkipsInterimResponses)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    HttpClient client(context.get_executor(), {"127.0.0.1", acceptor.local_endpoint().port()});
    const std::string final{"HTTP/1.1 204 X\r\n\r\n"};
    const auto exchange = [&](std::string bytes) -> boost::asio::awaitable<unsigned> {
        co_await client.connect(std::chrono::seconds(5));
        auto peer = co_await acceptor.async_accept(boost::asio::use_awaitable);
        co_await boost::asio::async_write(peer, boost::asio::buffer(bytes), boost::asio::use_awaitable);
        unsigned status = 0;
        try {
            status = (co_await client.exchange(makeRequest(Http::verb::get, "/", "test"), std::chrono::seconds(5))).result_int();
        } catch (const boost::system::system_error &error) {
            EXPECT_EQ(error.code(), Http::error::bad_status) << bytes;
            EXPECT_FALSE(client.isConnected());
        }
        client.close();
        co_return status;
    };
    bool isDone = false;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        for (const std::string code : {"000", "001", "099", "600", "999", "2000", "20", "2x0"}) {
            EXPECT_EQ(co_await exchange("HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n\r\n"), 0U) << code;
        }
        EXPECT_EQ(co_await exchange("HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n" + final), 0U);
        EXPECT_EQ(co_await exchange("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 199 X\r\n\r\n" + final), 204U);
        EXPECT_EQ(co_await exchange("HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n"), 599U);
        isDone = true;
    };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run();
    EXPECT_TRUE(isDone);
}

// Guards against review/6: closing a connection whose exchange was in progress destroyed the stream that the exchange went on to use, and
// the end of that exchange closed the connection of the next one.
TEST(HttpClient, closesItsConnectionDuringAnExchangeAndOpensAnother)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    HttpClient client(context.get_executor(), {"127.0.0.1", acceptor.local_endpoint().port()});
    const auto exchange = [&client] {
        return client.exchange(makeRequest(Http::verb::get, "/", "test"), std::chrono::seconds(5));
    };
    std::size_t aborted = 0;
    std::size_t served = 0;
    const auto runInterrupted = [&]() -> boost::asio::awaitable<void> {
        try {
            co_await exchange();
            ADD_FAILURE() << "the connection was closed";
        } catch (const boost::system::system_error &error) {
            EXPECT_EQ(error.code(), boost::asio::error::operation_aborted);
            ++aborted;
        }
    };
    constexpr std::size_t ROUNDS = 20;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        for (std::size_t round = 0; round < ROUNDS; ++round) {
            boost::asio::co_spawn(context, runInterrupted(), boost::asio::detached);
            auto interrupted = co_await acceptor.async_accept(boost::asio::use_awaitable);
            // Some bytes of a response are there to be read when the connection is closed.
            co_await boost::asio::async_write(interrupted, boost::asio::buffer(std::string_view("HTTP/1.1 2")), boost::asio::use_awaitable);
            boost::asio::co_spawn(
                context,
                [&]() -> boost::asio::awaitable<void> {
                    client.close();
                    served += (co_await exchange()).result_int() == 204 ? 1 : 0;
                    client.close();
                },
                boost::asio::detached);
            auto next = co_await acceptor.async_accept(boost::asio::use_awaitable);
            co_await boost::asio::async_write(
                next, boost::asio::buffer(std::string_view("HTTP/1.1 204 X\r\n\r\n")), boost::asio::use_awaitable);
            std::string rest;
            boost::system::error_code ignored;
            co_await boost::asio::async_read(
                next, boost::asio::dynamic_buffer(rest), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run_for(std::chrono::seconds(10));
    EXPECT_EQ(aborted, ROUNDS);
    EXPECT_EQ(served, ROUNDS);
}

TEST(QueryParameter, findsAParameterByItsWholeName)
{
    EXPECT_EQ(queryParameter("/objects?prefix=a&wait=20", "wait"), "20");
    EXPECT_EQ(queryParameter("/objects?await=20", "wait"), "");
    EXPECT_EQ(pathOf("/objects?wait=20"), "/objects");
}

} // namespace Briarbend::Network
