#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace Briarbend::StandIns
{

/// The answer's body: `length` bytes that repeat `pattern`. The pattern's length is prime, so that blocks which a relay reorders differ.
struct Body {
    std::string pattern;
    std::uint64_t length{0};
};

Body bodyOf(std::string text);
/// The deterministic body of a path.
Body patternBody(std::string_view path, std::uint64_t length);
/// The body's XXH3 checksum. Yields to other work between slices of a long body.
boost::asio::awaitable<std::string> checksum(const Body &body);

} // namespace Briarbend::StandIns
