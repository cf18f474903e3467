#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Briarbend::Network
{

/// An IP number and a TCP port. Names are never resolved: settings and lists carry numbers only.
struct Endpoint {
    std::string address;
    std::uint16_t port{0};

    auto operator<=>(const Endpoint &) const = default;

    /// "address:port", with brackets round an IPv6 number.
    std::string text() const;
    /// Throws boost::system::system_error where the address is not an IP number.
    boost::asio::ip::tcp::endpoint tcp() const;
};

/// Reads "address:port"; nothing where the text is not an IP number with a port from 0 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace Briarbend::Network
