#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Briarbend::Relay
{

/// Detects that the caller closed its connection while its request waits for a response.
class CallerDisconnectWatch
{
public:
    /// Calls back at most once, never after the watch has been destroyed. Nothing else may read from the socket meanwhile.
    CallerDisconnectWatch(boost::asio::ip::tcp::socket &socket, std::function<void()> onDisconnect);
    CallerDisconnectWatch(const CallerDisconnectWatch &) = delete;
    CallerDisconnectWatch &operator=(const CallerDisconnectWatch &) = delete;
    ~CallerDisconnectWatch();

    bool hasDisconnected() const;

private:
    struct State;

    boost::asio::ip::tcp::socket &callerSocket;
    std::shared_ptr<State> state;
};

} // namespace Briarbend::Relay
