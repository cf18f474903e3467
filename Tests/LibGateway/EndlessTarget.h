#pragma once

#include <LibNetwork/Http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <ostream>
#include <string>

namespace Briarbend::Gateway
{

/// What a target in trouble sends: the beginning once, and then the rest again and again until the other side closes.
struct EndlessResponse {
    std::string name;
    std::string beginning;
    std::string rest;
    /// Sends this on the health path; requests get no answer then.
    bool isOnHealthPath{false};
};

/// For GoogleTest's messages.
inline void PrintTo(const EndlessResponse &answer, std::ostream *stream)
{
    *stream << answer.name;
}

/// A target on the loopback interface whose answers do not end.
class EndlessTarget
{
public:
    EndlessTarget(boost::asio::io_context &context, std::string targetName, EndlessResponse answer);

    std::string address() const;
    /// Connections on which the target still sends.
    std::size_t sending() const;
    /// Bytes that were sent without end, over all connections.
    std::uint64_t sentBytes() const;

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    boost::asio::awaitable<void> sendWithoutEnd(boost::asio::ip::tcp::socket &socket, std::string attemptId);

    boost::asio::ip::tcp::acceptor acceptor;
    std::string name;
    EndlessResponse answer;
    std::size_t senders{0};
    std::uint64_t sent{0};
};

} // namespace Briarbend::Gateway
