#include <LibNetwork/HttpServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Network
{

namespace
{

namespace Asio = boost::asio;

constexpr std::uint64_t MAXIMUM_REQUEST_BYTES = 4ULL * 1024 * 1024;
constexpr std::chrono::seconds IDLE_TIMEOUT{120};
constexpr std::chrono::milliseconds ACCEPT_PAUSE{20};

} // namespace

struct HttpServer::State {
    State(Asio::io_context &context, const Endpoint &endpoint, Handler function)
        : acceptor(openAcceptor(context, endpoint))
        , handler(std::move(function))
    {
    }

    Asio::ip::tcp::acceptor acceptor;
    Handler handler;
    bool isStopping{false};
};

Asio::awaitable<void> acceptConnections(Asio::ip::tcp::acceptor &acceptor, std::function<void(Asio::ip::tcp::socket socket)> take)
{
    while (acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (!error) {
            take(std::move(socket));
        } else if (acceptor.is_open()) {
            Asio::steady_timer pause(acceptor.get_executor(), ACCEPT_PAUSE);
            co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
        }
    }
}

void closeAcceptor(Asio::ip::tcp::acceptor &acceptor, const std::function<void(Asio::ip::tcp::socket socket)> &take)
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error || error == Asio::error::connection_aborted) {
        auto socket = acceptor.accept(error);
        if (!error) {
            take(std::move(socket));
        }
    }
    acceptor.close(error);
}

Asio::ip::tcp::acceptor openAcceptor(Asio::io_context &context, const Endpoint &endpoint)
{
    const auto local = endpoint.tcp();
    Asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(local.protocol());
    acceptor.set_option(Asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen();
    return acceptor;
}

HttpServer::HttpServer(Asio::io_context &context, const Endpoint &endpoint, Handler handler)
    : state(std::make_shared<State>(context, endpoint, std::move(handler)))
{
    Asio::co_spawn(context, acceptLoop(this->state), Asio::detached);
}

Endpoint HttpServer::endpoint() const
{
    const auto local = this->state->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void HttpServer::stop()
{
    this->state->isStopping = true;
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

Asio::awaitable<void> HttpServer::acceptLoop(std::shared_ptr<State> state)
{
    // g++ 12 destroys a temporary closure in the operand of co_await twice, and with it the state that it holds.
    std::function<void(Asio::ip::tcp::socket)> take = [state](Asio::ip::tcp::socket socket) {
        Asio::co_spawn(state->acceptor.get_executor(), serve(state, std::move(socket)), Asio::detached);
    };
    co_await acceptConnections(state->acceptor, std::move(take));
}

Asio::awaitable<void> HttpServer::serve(std::shared_ptr<State> state, Asio::ip::tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer{MAXIMUM_UNREAD_BYTES};
    boost::system::error_code error;
    stream.socket().set_option(Asio::ip::tcp::no_delay(true), error);
    while (!state->isStopping) {
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(MAXIMUM_REQUEST_BYTES);
        stream.expires_after(IDLE_TIMEOUT);
        co_await Http::async_read(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        auto request = parser.release();
        const bool keepsAlive = request.keep_alive();
        stream.expires_never();
        Response response;
        try {
            response = co_await state->handler(std::move(request));
        } catch (const ExchangeAbandoned &) {
            co_return;
        } catch (const HttpError &httpError) {
            response = makeResponse(httpError.status, "text/plain", httpError.what());
        } catch (const std::exception &exception) {
            response = makeResponse(Http::status::internal_server_error, "text/plain", exception.what());
        }
        response.keep_alive(keepsAlive);
        stream.expires_after(IDLE_TIMEOUT);
        co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, error));
        if (error || !keepsAlive) {
            co_return;
        }
    }
}

} // namespace Briarbend::Network
