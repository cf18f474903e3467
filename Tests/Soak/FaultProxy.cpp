#include "FaultProxy.h"

#include <LibNetwork/HttpServer.h>
#include <Tests/Processes/Support/Exchange.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Briarbend::Soak
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t READ_BYTES = 16UL * 1024;

} // namespace

struct FaultProxy::Session {
    explicit Session(Asio::ip::tcp::socket accepted)
        : client(std::move(accepted))
        , server(this->client.get_executor())
    {
    }

    void close(bool isReset)
    {
        boost::system::error_code ignored;
        for (auto *socket : {&this->client, &this->server}) {
            if (isReset && socket->is_open()) {
                socket->set_option(Asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }

    Asio::ip::tcp::socket client;
    Asio::ip::tcp::socket server;
};

FaultProxy::FaultProxy(Asio::io_context &ioContext, Network::Endpoint serverEndpoint)
    : context(ioContext)
    , server(std::move(serverEndpoint))
    , local(Processes::unusedEndpoint())
    , acceptor(Network::openAcceptor(ioContext, this->local))
{
    Asio::co_spawn(this->context, this->acceptLoop(), Asio::detached);
}

const Network::Endpoint &FaultProxy::endpoint() const
{
    return this->local;
}

void FaultProxy::setMode(LinkMode newMode, std::chrono::milliseconds newDelay)
{
    const bool wasClosed = this->mode == LinkMode::Closed;
    this->mode = newMode;
    this->delay = newDelay;
    if (newMode == LinkMode::Reset || newMode == LinkMode::Closed) {
        this->closeSessions();
    }
    if (newMode == LinkMode::Closed) {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
    } else if (wasClosed) {
        this->acceptor = Network::openAcceptor(this->context, this->local);
        Asio::co_spawn(this->context, this->acceptLoop(), Asio::detached);
    }
}

void FaultProxy::closeSessions()
{
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->close(true);
        }
    }
    this->sessions.clear();
}

Asio::awaitable<void> FaultProxy::acceptLoop()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await this->acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        auto session = std::make_shared<Session>(std::move(socket));
        if (this->mode == LinkMode::Reset) {
            session->close(true);
            continue;
        }
        std::erase_if(this->sessions, [](const auto &weak) {
            return weak.expired();
        });
        this->sessions.push_back(session);
        Asio::co_spawn(this->context, this->serve(std::move(session)), Asio::detached);
    }
}

Asio::awaitable<void> FaultProxy::serve(std::shared_ptr<Session> session)
{
    boost::system::error_code error;
    co_await session->server.async_connect(this->server.tcp(), Asio::redirect_error(Asio::use_awaitable, error));
    if (error) {
        session->close(true);
        co_return;
    }
    Asio::co_spawn(this->context, this->pump(session, false), Asio::detached);
    co_await this->pump(session, true);
}

Asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Session> session, bool isAnswer)
{
    auto &from = isAnswer ? session->server : session->client;
    auto &to = isAnswer ? session->client : session->server;
    std::array<char, READ_BYTES> buffer{};
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    while (true) {
        const auto length = co_await from.async_read_some(Asio::buffer(buffer), token);
        if (error) {
            break;
        }
        if (this->mode == LinkMode::Delay) {
            Asio::steady_timer timer(this->context, this->delay);
            co_await timer.async_wait(token);
        }
        const bool isDropped = this->mode == LinkMode::Silent || (this->mode == LinkMode::OneWay && isAnswer);
        if (!isDropped) {
            co_await Asio::async_write(to, Asio::buffer(buffer, length), token);
        }
        if (error) {
            break;
        }
    }
    // What was written before a regular end still arrives.
    boost::system::error_code ignored;
    if (error == Asio::error::eof) {
        to.shutdown(Asio::socket_base::shutdown_send, ignored);
    } else {
        session->close(false);
    }
}

} // namespace Briarbend::Soak
