#pragma once

#include <LibPeers/Transport.h>
#include <LibPeers/WebSocketConfiguration.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <vector>

namespace Briarbend::Peers
{

/// A connection that this instance opened to a peer.
struct OutgoingLink {
    Client::connection_ptr connection;
    bool isOpen{false};
    /// Messages queued until the connection is open.
    std::vector<std::string> waiting;
    std::size_t waitingBytes{0};
    std::chrono::steady_clock::time_point lastSent;
    /// Bytes buffered in the connection at the last sweep.
    std::size_t buffered{0};
    /// Time of the last sweep at which nothing was buffered or the buffered bytes had decreased.
    std::chrono::steady_clock::time_point lastProgress;
};

/// A connection that a peer opened.
struct IncomingLink {
    std::string peer;
    std::chrono::steady_clock::time_point lastReceived;
};

/// The server, the client and all connections. The io_context keeps it alive after the transport is destroyed, until pending operations
/// have ended.
class WebSocketLinks : public std::enable_shared_from_this<WebSocketLinks>
{
public:
    explicit WebSocketLinks(boost::asio::io_context &context);

    /// Installs the handlers. Call once, after construction.
    void start();
    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void send(const std::string &peer, std::string_view bytes);
    void stop();
    /// Stops, drops the callbacks and keeps this object alive until every timeout has passed.
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
    /// Peers that could not be reached, with the time of the next allowed connection attempt.
    std::map<std::string, TimePoint> unreachableUntil;
    TransportCounters totals;
    bool isStopping{false};
};

} // namespace Briarbend::Peers
