#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

namespace Briarbend::Network
{

/// RFC 9110, section 15: a status code is an integer from 100 to 599. The parser accepts any three digits.
constexpr bool isValidStatusCode(unsigned code)
{
    return code >= 100 && code <= 599;
}

/// Interim responses (RFC 9110, section 15.2) precede the final response to a request.
constexpr bool isInterimStatusCode(unsigned code)
{
    return code / 100 == 1;
}

/// Most interim responses that are read for one request. More than these count as a protocol error.
inline constexpr std::size_t MAXIMUM_INTERIM_RESPONSES = 16;

/// The error that reading the head ended with, or bad_status where its status code is invalid. A message with such a code is no response:
/// nothing in it counts, and the connection must not be used again.
template<typename Fields>
boost::system::error_code checkResponseHead(const boost::system::error_code &readError,
                                            const boost::beast::http::response_header<Fields> &head)
{
    if (readError || isValidStatusCode(head.result_int())) {
        return readError;
    }
    return boost::beast::http::error::bad_status;
}

} // namespace Briarbend::Network
