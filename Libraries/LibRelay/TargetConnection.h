#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibNetwork/Http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Briarbend::Relay
{

class TargetConnectionPool;

/// One connection to a target, owned by one exchange at a time. Destroying it closes the connection, which is required after any exchange
/// that did not end cleanly: bytes that still arrive belong to the old request and must never be read as a response to a new one.
class TargetConnection
{
public:
    TargetConnection(TargetConnectionPool &pool, Core::TargetId target);
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;
    ~TargetConnection();

    const Core::TargetId &target() const;
    /// True if the target has neither closed the connection nor sent unsolicited bytes.
    bool isReusable();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{Network::MAXIMUM_UNREAD_BYTES};
    /// True once an exchange ended cleanly on this connection.
    bool isReused{false};
    Core::TimePoint idleSince{};
    /// If the target states how long it keeps an idle connection: the connection must not be reused after this time.
    std::optional<Core::TimePoint> usableUntil;

private:
    TargetConnectionPool &pool;
    Core::TargetId targetId;
};

/// All connections of this instance to targets, at most a given number for each target.
class TargetConnectionPool
{
public:
    explicit TargetConnectionPool(boost::asio::any_io_executor executor);
    TargetConnectionPool(const TargetConnectionPool &) = delete;
    TargetConnectionPool &operator=(const TargetConnectionPool &) = delete;
    ~TargetConnectionPool();

    /// The most recently used idle connection that is still reusable; null if there is none.
    std::unique_ptr<TargetConnection> takeIdle(const Core::TargetId &target);
    /// Opens a connection before the deadline. Throws boost::system::system_error; the request has then certainly not been sent.
    boost::asio::awaitable<std::unique_ptr<TargetConnection>> connect(const Core::TargetId &target, Core::TimePoint deadline);
    /// Returns a connection whose exchange ended cleanly to the pool.
    void returnIdle(std::unique_ptr<TargetConnection> connection, Core::TimePoint now);
    /// The target sent unsolicited bytes: its connections carry one request each from now on.
    void disableReuse(const Core::TargetId &target);
    /// Closes idle connections that have been unused for the duration.
    void closeIdle(Core::TimePoint now, Core::Duration unusedFor);
    /// Closes every idle connection to one target.
    void closeIdle(const Core::TargetId &target);
    /// Connections to the target that are open or being opened, idle ones among them.
    std::uint32_t openCount(const Core::TargetId &target) const;
    std::uint32_t idleCount(const Core::TargetId &target) const;

private:
    friend class TargetConnection;

    struct TargetConnections {
        std::deque<std::unique_ptr<TargetConnection>> idle;
        std::uint32_t open{0};
    };

    boost::asio::any_io_executor executor;
    std::unordered_map<Core::TargetId, TargetConnections> connections;
    std::unordered_set<Core::TargetId> targetsWithoutReuse;
};

} // namespace Briarbend::Relay
