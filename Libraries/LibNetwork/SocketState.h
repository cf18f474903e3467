#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace Briarbend::Network
{

/// True if the peer has closed or reset the connection, also while bytes that it sent before are unread. A peer that only stopped sending
/// looks the same.
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

/// Bytes that the kernel holds for the peer: written to the socket and not yet acknowledged.
std::uint64_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

} // namespace Briarbend::Network
