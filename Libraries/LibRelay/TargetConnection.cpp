#include <LibNetwork/Endpoint.h>
#include <LibNetwork/SilenceDetection.h>
#include <LibRelay/TargetConnection.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

namespace Briarbend::Relay
{

TargetConnection::TargetConnection(TargetConnectionPool &connectionPool, Core::TargetId target)
    : stream(connectionPool.executor)
    , pool(connectionPool)
    , targetId(std::move(target))
{
    ++this->pool.connections[this->targetId].open;
}

TargetConnection::~TargetConnection()
{
    --this->pool.connections[this->targetId].open;
}

const Core::TargetId &TargetConnection::target() const
{
    return this->targetId;
}

bool TargetConnection::isReusable()
{
    if (this->buffer.size() > 0) {
        return false;
    }
    auto &socket = this->stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

TargetConnectionPool::TargetConnectionPool(boost::asio::any_io_executor ioExecutor)
    : executor(std::move(ioExecutor))
{
}

TargetConnectionPool::~TargetConnectionPool()
{
    // The destructor of each connection decrements its count in the table, which must still exist then.
    for (auto &[target, entry] : this->connections) {
        entry.idle.clear();
    }
}

std::unique_ptr<TargetConnection> TargetConnectionPool::takeIdle(const Core::TargetId &target)
{
    const auto found = this->connections.find(target);
    if (found == this->connections.end()) {
        return nullptr;
    }
    auto &idle = found->second.idle;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        const bool isExpired = connection->usableUntil && Core::Clock::now() >= *connection->usableUntil;
        if (!isExpired && connection->isReusable()) {
            return connection;
        }
    }
    return nullptr;
}

boost::asio::awaitable<std::unique_ptr<TargetConnection>> TargetConnectionPool::connect(const Core::TargetId &target,
                                                                                        Core::TimePoint deadline)
{
    const auto endpoint = Network::parseEndpoint(target.value);
    if (!endpoint) {
        throw boost::system::system_error(boost::asio::error::invalid_argument);
    }
    auto connection = std::make_unique<TargetConnection>(*this, target);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(endpoint->tcp(), boost::asio::use_awaitable);
    connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true));
    Network::detectSilence(connection->stream.socket());
    co_return connection;
}

void TargetConnectionPool::disableReuse(const Core::TargetId &target)
{
    this->targetsWithoutReuse.insert(target);
    this->closeIdle(target);
}

void TargetConnectionPool::returnIdle(std::unique_ptr<TargetConnection> connection, Core::TimePoint now)
{
    if (this->targetsWithoutReuse.contains(connection->target())) {
        return;
    }
    connection->isReused = true;
    connection->idleSince = now;
    connection->stream.expires_never();
    connection->buffer.shrink_to_fit();
    this->connections[connection->target()].idle.push_back(std::move(connection));
}

void TargetConnectionPool::closeIdle(Core::TimePoint now, Core::Duration unusedFor)
{
    for (auto &[target, entry] : this->connections) {
        // The front has been idle for the longest time.
        while (!entry.idle.empty() && now - entry.idle.front()->idleSince >= unusedFor) {
            const auto closing = std::move(entry.idle.front());
            entry.idle.pop_front();
        }
    }
    std::erase_if(this->connections, [](const auto &entry) {
        return entry.second.open == 0;
    });
}

void TargetConnectionPool::closeIdle(const Core::TargetId &target)
{
    const auto found = this->connections.find(target);
    if (found == this->connections.end()) {
        return;
    }
    const auto closing = std::exchange(found->second.idle, {});
}

std::uint32_t TargetConnectionPool::openCount(const Core::TargetId &target) const
{
    const auto found = this->connections.find(target);
    return found == this->connections.end() ? 0 : found->second.open;
}

std::uint32_t TargetConnectionPool::idleCount(const Core::TargetId &target) const
{
    const auto found = this->connections.find(target);
    return found == this->connections.end() ? 0 : static_cast<std::uint32_t>(found->second.idle.size());
}

} // namespace Briarbend::Relay
