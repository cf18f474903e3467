#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Briarbend::Network
{

/// Lets the kernel end a connection whose other side has gone silent, by keep-alive probes while it is idle and by a limit on
/// unacknowledged bytes while it sends. Best effort: a socket that refuses an option is left without it.
void detectSilence(boost::asio::ip::tcp::socket &socket);

} // namespace Briarbend::Network
