#include <LibNetwork/SilenceDetection.h>

#include <netinet/tcp.h>

namespace Briarbend::Network
{

namespace
{

/// Seconds of idleness before the first keep-alive probe, and between two probes. The shortest that the kernel offers: a bound of 2 s on a
/// configuration change leaves no more.
constexpr int KEEP_ALIVE_SECONDS = 1;
/// Unanswered probes after which the connection ends. Has no effect beside TCP_USER_TIMEOUT, which also decides when probes give up.
constexpr int KEEP_ALIVE_PROBES = 2;
/// Milliseconds for which sent bytes may stay unacknowledged, two retransmissions on a link that loses packets, and after which an idle
/// connection ends whose probes stay unanswered.
constexpr int UNACKNOWLEDGED_MS = 2000;

using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void detectSilence(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(KEEP_ALIVE_SECONDS), ignored);
    socket.set_option(KeepAliveInterval(KEEP_ALIVE_SECONDS), ignored);
    socket.set_option(KeepAliveCount(KEEP_ALIVE_PROBES), ignored);
    socket.set_option(UserTimeout(UNACKNOWLEDGED_MS), ignored);
}

void limitUnacknowledged(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
{
    boost::system::error_code ignored;
    socket.set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
}

} // namespace Briarbend::Network
