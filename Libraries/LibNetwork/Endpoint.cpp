#include <LibNetwork/Endpoint.h>

#include <charconv>

namespace Briarbend::Network
{

std::string Endpoint::text() const
{
    const bool isVersion6 = this->address.find(':') != std::string::npos;
    const auto host = isVersion6 ? "[" + this->address + "]" : this->address;
    return host + ":" + std::to_string(this->port);
}

boost::asio::ip::tcp::endpoint Endpoint::tcp() const
{
    return {boost::asio::ip::make_address(this->address), this->port};
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error) {
        return std::nullopt;
    }
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto *end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || portText.empty()) {
        return std::nullopt;
    }
    return Endpoint{address.to_string(), port};
}

} // namespace Briarbend::Network
