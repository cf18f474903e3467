#pragma once

#include <LibRelay/Exchange.h>

#include <string>

namespace Briarbend::Relay
{

/// Answers 100 (Continue), so that the caller sends the body (RFC 9110, section 10.1.1).
boost::asio::awaitable<void> sendContinue(boost::beast::tcp_stream &stream);

enum class BodyReadResult {
    Whole,
    /// The body is longer than allowed; the rest has not been read.
    TooLong,
    /// The caller disconnected, timed out, or violated the protocol.
    Incomplete,
};

/// Reads the rest of the caller's request into a string.
boost::asio::awaitable<BodyReadResult>
readWholeBody(CallerConnection caller, std::uint64_t maximumBytes, std::chrono::milliseconds idleTimeout, std::string &body);

} // namespace Briarbend::Relay
