#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <string_view>

/// HTTP messages held whole in memory, for the platform's store, operators and load reports. Callers' requests are streamed by LibRelay
/// instead.
namespace Briarbend::Network
{

namespace Http = boost::beast::http;

/// The protocol version of all messages that the product writes, as Boost.Beast counts.
constexpr unsigned HTTP_1_1 = 11;

/// Most bytes of a peer that are held before they are read as part of a message whose head has at most the given length. Nothing else
/// bounds chunk extensions and trailers.
constexpr std::size_t unreadLimit(std::size_t longestHead)
{
    return longestHead + 64UL * 1024;
}

/// The same for messages with heads of up to 64 KiB.
inline constexpr std::size_t MAXIMUM_UNREAD_BYTES = unreadLimit(64UL * 1024);

using Request = Http::request<Http::string_body>;
using Response = Http::response<Http::string_body>;

/// A request without a body. HTTP/1.1, Host as given.
Request makeRequest(Http::verb method, std::string_view target, std::string_view host);

/// A response with a body of the given media type.
Response makeResponse(Http::status status, std::string_view mediaType, std::string body);

/// The value of one query parameter of a request target, empty where absent. No percent decoding: the product's own endpoints use none.
std::string queryParameter(std::string_view target, std::string_view name);

/// The text as it stands in one part of a path or query: all but unreserved characters as %XX (RFC 3986).
std::string percentEncode(std::string_view text);

/// The request target without its query.
std::string_view pathOf(std::string_view target);

} // namespace Briarbend::Network
