#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace Briarbend::Network
{

/// Lets the kernel end a connection whose other side has gone silent, by keep-alive probes while it is idle and by a limit on
/// unacknowledged bytes while it sends. Best effort: a socket that refuses an option is left without it.
void detectSilence(boost::asio::ip::tcp::socket &socket);

/// The same for a connection on which bytes are sent all the time, without probes: lets the kernel end it once sent bytes have been
/// unacknowledged for the time.
void limitUnacknowledged(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);

} // namespace Briarbend::Network
