#include <LibGateway/CallerFrontend.h>
#include <platform/WireDialect.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;
namespace Asio = boost::asio;

Settings::GatewaySettings settings()
{
    Settings::GatewaySettings settings;
    settings.instance.name = "front-1";
    settings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
    settings.instance.maximumDescriptors = 100;
    return settings;
}

/// Sends one request on a connection and returns the header of the response. The connection stays open.
Asio::awaitable<std::string> ask(Asio::ip::tcp::socket &socket)
{
    co_await Asio::async_write(socket, Asio::buffer(std::string_view("GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")), Asio::use_awaitable);
    std::string head;
    co_await Asio::async_read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", Asio::use_awaitable);
    co_return head;
}

} // namespace

TEST(CallerFrontend, idleConnectionIsNotARequestInFlight)
{
    Asio::io_context context;
    GatewayState state(context.get_executor(), settings(), Platform::wireDialect(), 17);
    CallerFrontend frontend(context, state);
    std::string head;
    std::uint32_t inFlight = 99;
    Asio::ip::tcp::socket socket(context);
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> {
            co_await socket.async_connect(frontend.localEndpoint(), Asio::use_awaitable);
            head = co_await ask(socket);
        },
        Asio::detached);
    context.run_for(100ms);
    inFlight = state.requestsInFlight;
    EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
    EXPECT_EQ(state.callerConnections, 1U);
    EXPECT_EQ(inFlight, 0U) << "a planned stop would wait for it until the grace period ends";
    frontend.stopListening();
    socket.close();
    context.run_for(100ms);
}

// A planned stop under load reset callers that were connected but not yet accepted.
TEST(CallerFrontend, callersThatWaitToBeAcceptedAreAnsweredAfterListeningStopped)
{
    Asio::io_context context;
    GatewayState state(context.get_executor(), settings(), Platform::wireDialect(), 17);
    CallerFrontend frontend(context, state);
    context.poll();
    // Connected by the kernel while this process, which accepts them, is busy.
    std::vector<Asio::ip::tcp::socket> sockets;
    std::vector<std::string> heads(3);
    for (std::size_t caller = 0; caller < heads.size(); ++caller) {
        sockets.emplace_back(context).connect(frontend.localEndpoint());
    }
    frontend.stopListening();
    for (std::size_t caller = 0; caller < heads.size(); ++caller) {
        Asio::co_spawn(context, ask(sockets[caller]), [&head = heads[caller]](const std::exception_ptr &failure, std::string answer) {
            head = failure ? "no answer" : std::move(answer);
        });
    }
    context.run_for(100ms);
    for (const auto &head : heads) {
        EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
    }
    sockets.clear();
    context.run_for(100ms);
}

} // namespace Briarbend::Gateway
