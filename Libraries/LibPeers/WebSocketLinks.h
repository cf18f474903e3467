#pragma once

#include <LibPeers/Transport.h>
#include <LibPeers/WebSocketConfiguration.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <vector>

namespace Briarbend::Peers
{

/// One connection that this instance opened to a peer.
struct OutgoingLink {
    Client::connection_ptr connection;
    bool isOpen{false};
    /// Messages that wait for the connection to open.
    std::vector<std::string> waiting;
    std::size_t waitingBytes{0};
    std::chrono::steady_clock::time_point lastSent;
    /// What waited in the connection at the last look, and since when it has not become less.
    std::size_t buffered{0};
    std::chrono::steady_clock::time_point lastProgress;
};

/// One connection that a peer opened.
struct IncomingLink {
    std::string peer;
    std::chrono::steady_clock::time_point lastReceived;
};

/// Both endpoints and all connections. Kept alive by the io_context for a while after its transport, until pending operations have ended.
class WebSocketLinks : public std::enable_shared_from_this<WebSocketLinks>
{
public:
    explicit WebSocketLinks(boost::asio::io_context &context);

    /// Installs the handlers. Call once, after construction.
    void start();
    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void send(const std::string &peer, std::string_view bytes);
    void stop();
    /// Stops, forgets the callbacks and stays alive until every timeout has passed.
    void retire();

    TransportCounters counters() const;

    Transport::MessageCallback messageCallback;
    Transport::ClosedCallback closedCallback;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void installServerHandlers();
    void connect(const std::string &peer);
    void onOpened(const std::string &peer);
    void onEnded(const std::string &peer, const Client::connection_ptr &connection);
    void write(OutgoingLink &link, std::string_view bytes);
    void onReceived(const std::string &peer, std::string_view bytes);
    void scheduleSweep();
    void sweep(TimePoint now);
    void sweepOutgoing(OutgoingLink &link, TimePoint now);

    boost::asio::io_context &context;
    boost::asio::steady_timer sweepTimer;
    Server server;
    Client client;
    std::map<std::string, OutgoingLink> outgoing;
    std::map<Handle, IncomingLink, std::owner_less<Handle>> incoming;
    /// Peers that could not be reached, and when the next attempt may be made.
    std::map<std::string, TimePoint> unreachableUntil;
    TransportCounters totals;
    bool isStopping{false};
};

} // namespace Briarbend::Peers
