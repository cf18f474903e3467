#include <LibNetwork/SocketState.h>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace Briarbend::Network
{

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        // Not known here: reading or writing shows the end of the connection.
        return false;
    }
    switch (info.tcpi_state) {
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
    case TCP_TIME_WAIT:
    case TCP_CLOSE:
        return true;
    default:
        return false;
    }
}

std::uint64_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    const bool isKnown = ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return isKnown ? static_cast<std::uint64_t>(bytes) : 0;
}

} // namespace Briarbend::Network
