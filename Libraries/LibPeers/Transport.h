#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Messages between instances over WebSocket (RFC 6455). This header is valid C++17.
namespace Briarbend::Peers
{

/// Largest message that is sent or accepted, in bytes.
constexpr std::size_t MAX_MESSAGE_BYTES = 2'097'152;
/// Maximum number of bytes queued for one peer. Further messages to it are dropped.
constexpr std::size_t MAX_QUEUED_BYTES = 4'194'304;

/// Totals since the start. Bytes are message payloads.
struct TransportCounters {
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0};
    std::uint64_t messagesSent{0};
    std::uint64_t messagesReceived{0};
    /// Messages not sent, because the peer's queue was full, the message too long, or the peer not reachable.
    std::uint64_t messagesDropped{0};
    /// Number of callbacks that threw an exception.
    std::uint64_t callbackFailures{0};
    /// Connections that are open or being opened, in both directions.
    std::uint64_t connections{0};
};

/// Sends and receives binary messages. Best effort: a message may be lost, but is never truncated or altered. All calls and callbacks
/// happen on the io_context's one thread.
class Transport
{
public:
    /// The peer is the remote endpoint of its connection, which need not be the address it listens on. Messages identify their sender
    /// themselves.
    using MessageCallback = std::function<void(const std::string &peer, std::string_view bytes)>;
    /// Called when a connection to the peer ends or cannot be established. The peer is the address given to send.
    using ClosedCallback = std::function<void(const std::string &peer)>;

    virtual ~Transport() = default;

    /// Listens on an IP address. Port 0 selects a free port. Returns the port; throws std::runtime_error on failure.
    virtual std::uint16_t listen(const std::string &address, std::uint16_t port) = 0;
    /// Sends to "address:port", over the open connection or a new one. Never blocks or throws.
    virtual void send(const std::string &peer, std::string_view bytes) = 0;
    virtual void onMessage(MessageCallback callback) = 0;
    virtual void onClosed(ClosedCallback callback) = 0;
    virtual TransportCounters counters() const = 0;
    /// Stops listening and closes all connections once the messages queued on them have been written.
    virtual void stop() = 0;
};

/// Creates a transport over websocketpp. The io_context must outlive it.
std::unique_ptr<Transport> makeWebSocketTransport(boost::asio::io_context &context);

} // namespace Briarbend::Peers
