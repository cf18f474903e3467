#pragma once

#include <LibNetwork/Endpoint.h>
#include <LibNetwork/Http.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace Briarbend::Network
{

/// Thrown by a handler to answer with a status other than 500.
class HttpError : public std::runtime_error
{
public:
    HttpError(Http::status code, const std::string &text)
        : std::runtime_error(text)
        , status(code)
    {
    }

    Http::status status;
};

/// Thrown by a handler to close the connection without an answer.
class ExchangeAbandoned : public std::exception
{
};

/// Serves small requests held whole in memory: operators' endpoints and the stand-ins' ones.
class HttpServer
{
public:
    /// Answers one request. An HttpError gives the caller its status, ExchangeAbandoned no answer, another exception a 500; the body is
    /// the exception's text.
    using Handler = std::function<boost::asio::awaitable<Response>(Request request)>;

    /// Listens at once; port 0 takes a free one. Throws boost::system::system_error where the endpoint is taken.
    HttpServer(boost::asio::io_context &context, const Endpoint &endpoint, Handler handler);

    /// The endpoint in use, with the port that was taken.
    Endpoint endpoint() const;
    /// Accepts no more connections; those that are open end after their current exchange.
    void stop();

private:
    struct State;
    static boost::asio::awaitable<void> acceptLoop(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket);

    std::shared_ptr<State> state;
};

/// Accepts connections until the acceptor is closed. Pauses after an error, such as a want of descriptors, so that the loop does not spin.
boost::asio::awaitable<void> acceptConnections(boost::asio::ip::tcp::acceptor &acceptor,
                                               std::function<void(boost::asio::ip::tcp::socket socket)> take);

/// Hands over the connections that wait to be accepted, then closes the acceptor. Closing alone would reset them, although their peers are
/// connected already and may have sent a request.
void closeAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const std::function<void(boost::asio::ip::tcp::socket socket)> &take);

/// Opens a listening socket with address reuse. Throws boost::system::system_error.
boost::asio::ip::tcp::acceptor openAcceptor(boost::asio::io_context &context, const Endpoint &endpoint);

} // namespace Briarbend::Network
