#pragma once

#include <LibGateway/GatewayState.h>

#include <boost/asio/ip/tcp.hpp>

namespace Briarbend::Gateway
{

/// Accepts callers, reads their requests and writes the answers.
class CallerFrontend
{
public:
    /// Listens at once. Throws boost::system::system_error where the address is taken.
    CallerFrontend(boost::asio::io_context &context, GatewayState &state);

    /// Takes no more connections.
    void stopListening();
    /// From now on requests are refused: there is no time left to serve them.
    void refuseNewRequests();

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    GatewayState &state;
    boost::asio::ip::tcp::acceptor acceptor;
    bool isRefusing{false};
};

} // namespace Briarbend::Gateway
