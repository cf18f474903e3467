#pragma once

#include <LibNetwork/Http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <ostream>
#include <string>

namespace Briarbend::Gateway
{

/// What a faulty target sends: the beginning once, then the rest repeatedly until the peer closes the connection.
struct EndlessResponse {
    std::string name;
    std::string beginning;
    std::string rest;
    /// Sends this on the health path instead of as a response to requests.
    bool isOnHealthPath{false};
};

/// For GoogleTest's messages.
inline void PrintTo(const EndlessResponse &answer, std::ostream *stream)
{
    *stream << answer.name;
}

/// A target on the loopback interface whose responses do not end.
class EndlessTarget
{
public:
    EndlessTarget(boost::asio::io_context &context, std::string targetName, EndlessResponse answer);

    std::string address() const;
    /// Connections on which the target is still sending.
    std::size_t sending() const;
    /// Bytes of endless responses sent over all connections.
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
