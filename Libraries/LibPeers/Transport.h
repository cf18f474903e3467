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
/// Most bytes that wait for one peer; further messages to it are dropped.
constexpr std::size_t MAX_QUEUED_BYTES = 4'194'304;

/// Totals since the start. Bytes are message payloads.
struct TransportCounters {
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0};
    std::uint64_t messagesSent{0};
    std::uint64_t messagesReceived{0};
    /// Messages not sent, because the peer's queue was full, the message too long, or the peer not reachable.
    std::uint64_t messagesDropped{0};
    /// Callbacks that threw.
    std::uint64_t callbackFailures{0};
    /// Open or being opened now, in both directions.
    std::uint64_t connections{0};
};

/// Sends and receives binary messages. Best effort: a message may be lost, never cut or altered. All calls and callbacks happen on the
/// io_context's one thread.
class Transport
{
public:
    /// The peer is where its connection comes from; messages name their sender themselves.
    using MessageCallback = std::function<void(const std::string &peer, std::string_view bytes)>;
    /// The peer's address as given to send. Called when a connection to it ends or cannot be made.
    using ClosedCallback = std::function<void(const std::string &peer)>;

    virtual ~Transport() = default;

    /// Listens on an IP address. Port 0 chooses a free one. Returns the port; throws std::runtime_error where that fails.
    virtual std::uint16_t listen(const std::string &address, std::uint16_t port) = 0;
    /// Sends to "address:port", over the open connection or a new one. Never blocks or throws.
    virtual void send(const std::string &peer, std::string_view bytes) = 0;
    virtual void onMessage(MessageCallback callback) = 0;
    virtual void onClosed(ClosedCallback callback) = 0;
    virtual TransportCounters counters() const = 0;
    /// Stops listening and closes all connections, after what waits on them has been written.
    virtual void stop() = 0;
};

/// The transport over websocketpp. The io_context must outlive it.
std::unique_ptr<Transport> makeWebSocketTransport(boost::asio::io_context &context);

} // namespace Briarbend::Peers
