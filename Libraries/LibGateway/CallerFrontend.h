#pragma once

#include <LibGateway/RequestFlow.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Briarbend::Gateway
{

using RequestParser = Http::request_parser<Http::string_body>;

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
    /// Answers one request that was read, or could not be for the stated problem.
    boost::asio::awaitable<FlowResult>
    answer(boost::asio::ip::tcp::socket &socket, RequestParser &parser, std::optional<Rejection::Reason> problem);

    GatewayState &state;
    boost::asio::ip::tcp::acceptor acceptor;
    bool isRefusing{false};
};

} // namespace Briarbend::Gateway
