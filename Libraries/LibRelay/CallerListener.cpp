#include <LibCore/Presence.h>
#include <LibNetwork/HttpServer.h>
#include <LibRelay/CallerListener.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/RefusalResponse.h>
#include <LibRelay/RequestHandler.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

/// Time that a caller has for a request's head once its first byte has arrived.
constexpr std::chrono::seconds REQUEST_HEAD_TIMEOUT{10};

Asio::awaitable<void> refuseMalformedRequest(RelayState &relay, boost::beast::tcp_stream &stream, boost::system::error_code problem)
{
    ++relay.counters.requests;
    ++relay.counters.refused;
    auto response = makeRefusalResponse({.reason = Rejection::Reason::BadRequest, .detail = problem.message()}, relay.instanceName, {});
    response.keep_alive(false);
    stream.expires_after(REQUEST_HEAD_TIMEOUT);
    boost::system::error_code ignored;
    co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, ignored));
    stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Waits for the first byte of a request. Returns false if the connection ended or stayed idle too long.
Asio::awaitable<bool> waitForRequest(RelayState &relay, boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
{
    if (buffer.size() > 0) {
        co_return true;
    }
    boost::system::error_code error;
    stream.expires_after(relay.limits.idleTimeout);
    const auto length
        = co_await stream.async_read_some(buffer.prepare(relay.limits.headerBytes), Asio::redirect_error(Asio::use_awaitable, error));
    buffer.commit(length);
    co_return !error;
}

} // namespace

CallerListener::CallerListener(Asio::io_context &context, const Network::Endpoint &endpoint, RelayState &relayState)
    : relay(relayState)
    , acceptor(Network::openAcceptor(context, endpoint))
{
    Asio::co_spawn(context, this->acceptLoop(), Asio::detached);
}

Network::Endpoint CallerListener::endpoint() const
{
    const auto local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void CallerListener::stop()
{
    Network::closeAcceptor(this->acceptor, [this](Asio::ip::tcp::socket socket) {
        this->take(std::move(socket));
    });
}

Asio::awaitable<void> CallerListener::acceptLoop()
{
    co_await Network::acceptConnections(this->acceptor, [this](Asio::ip::tcp::socket socket) {
        this->take(std::move(socket));
    });
}

void CallerListener::take(Asio::ip::tcp::socket socket)
{
    if (this->relay.callerConnections < this->relay.limits.callerConnections) {
        Asio::co_spawn(this->acceptor.get_executor(), serve(this->relay, std::move(socket)), Asio::detached);
    }
}

Asio::awaitable<void> CallerListener::serve(RelayState &relay, Asio::ip::tcp::socket socket)
{
    const Core::Presence connection(relay.callerConnections);
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer(Network::unreadLimit(relay.limits.headerBytes));
    boost::system::error_code error;
    stream.socket().set_option(Asio::ip::tcp::no_delay(true), error);
    bool isUsable = co_await waitForRequest(relay, stream, buffer);
    while (isUsable) {
        const Core::Presence request(relay.requestsInFlight);
        Http::request_parser<Http::buffer_body> parser;
        parser.header_limit(relay.limits.headerBytes);
        parser.body_limit(relay.limits.requestBodyBytes);
        stream.expires_after(REQUEST_HEAD_TIMEOUT);
        co_await Http::async_read_header(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (isProtocolError(error)) {
            co_await refuseMalformedRequest(relay, stream, error);
            co_return;
        }
        if (error) {
            co_return;
        }
        const auto version = parser.get().version();
        RequestHandler handler(relay, {stream, buffer, parser, version, parser.keep_alive() && version >= Network::HTTP_1_1});
        isUsable = co_await handler.handle();
        if (isUsable) {
            isUsable = co_await waitForRequest(relay, stream, buffer);
        }
    }
}

} // namespace Briarbend::Relay
