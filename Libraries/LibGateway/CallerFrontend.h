#pragma once

#include <LibGateway/RequestFlow.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Briarbend::Gateway
{

using RequestParser = Http::request_parser<Http::string_body>;

/// A request that was read from its connection.
struct ReadRequest {
    RequestParser &parser;
    /// Memory of the body.
    Core::ByteHold hold;
};

/// Accepts connections of callers, reads their requests and writes the responses.
class CallerFrontend
{
public:
    /// Starts to listen. Throws boost::system::system_error if the address is in use.
    CallerFrontend(boost::asio::io_context &context, GatewayState &state);

    /// The address on which callers are accepted.
    boost::asio::ip::tcp::endpoint localEndpoint() const;
    /// Accepts no more connections than are established.
    void stopListening();
    /// Refuses all further requests because there is no time left to serve them.
    void refuseNewRequests();

private:
    boost::asio::awaitable<void> acceptLoop();
    void take(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /// Reads and answers one request whose first byte has arrived. Returns whether the connection may carry another request.
    boost::asio::awaitable<bool> serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer);
    /// Answers one request that was read, or refuses it because of the given problem.
    boost::asio::awaitable<FlowResult>
    handleRequest(boost::asio::ip::tcp::socket &socket, ReadRequest request, std::optional<Rejection::Reason> problem);

    GatewayState &state;
    boost::asio::ip::tcp::acceptor acceptor;
    bool isRefusingNewRequests{false};
};

} // namespace Briarbend::Gateway
