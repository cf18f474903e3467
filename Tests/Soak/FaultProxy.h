#pragma once

#include <LibNetwork/Endpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace Briarbend::Soak
{

enum class LinkMode {
    Pass,
    /// Bytes arrive late in both directions.
    Delay,
    /// Bytes are taken and go nowhere.
    Silent,
    /// Requests arrive, answers do not.
    OneWay,
    /// Connections are reset, also those that are open.
    Reset,
    /// Nobody listens.
    Closed,
};

/// A link to one server on the loopback interface, which harms what passes.
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &context, Network::Endpoint server);

    /// Where the link's clients connect.
    const Network::Endpoint &endpoint() const;
    void setMode(LinkMode mode, std::chrono::milliseconds delay = {});

private:
    struct Session;

    void listen();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    boost::asio::awaitable<void> pump(std::shared_ptr<Session> session, bool isAnswer);
    void closeSessions();

    boost::asio::io_context &context;
    Network::Endpoint server;
    Network::Endpoint local;
    boost::asio::ip::tcp::acceptor acceptor;
    LinkMode mode{LinkMode::Pass};
    std::chrono::milliseconds delay{0};
    std::vector<std::weak_ptr<Session>> sessions;
};

} // namespace Briarbend::Soak
