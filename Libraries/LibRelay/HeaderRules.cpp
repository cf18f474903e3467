#include <LibRelay/HeaderRules.h>

#include <LibNetwork/Http.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace Briarbend::Relay
{

namespace
{

constexpr unsigned HTTP_1_0 = 10;

/// Fields that stay even if Connection names them: removing them would change the meaning or the length of the message.
bool isProtectedField(std::string_view name)
{
    constexpr std::array<std::string_view, 5> PROTECTED_FIELDS{
        "transfer-encoding", "content-length", "host", "idempotency-key", "x-request-id"};
    return std::ranges::any_of(PROTECTED_FIELDS, [name](std::string_view kept) {
        return boost::beast::iequals(kept, name);
    });
}

std::vector<std::string> connectionOptions(const Http::fields &fields)
{
    std::vector<std::string> names;
    for (const auto &field : fields) {
        if (field.name() != Http::field::connection) {
            continue;
        }
        const Http::token_list tokens(field.value());
        std::ranges::copy_if(tokens, std::back_inserter(names), [](const auto &token) {
            return !isProtectedField(token);
        });
    }
    return names;
}

} // namespace

void removeHopByHopFields(Http::fields &fields)
{
    for (const auto &name : connectionOptions(fields)) {
        fields.erase(name);
    }
    for (const auto field : {Http::field::connection,
                             Http::field::keep_alive,
                             Http::field::proxy_connection,
                             Http::field::te,
                             Http::field::upgrade,
                             Http::field::expect}) {
        fields.erase(field);
    }
}

std::optional<std::string> findHeadProblem(const Http::request_header<> &head)
{
    if (head.version() != HTTP_1_0 && head.version() != Network::HTTP_1_1) {
        return "the protocol version is neither HTTP/1.0 nor HTTP/1.1";
    }
    if (head.version() == Network::HTTP_1_1 && head.count(Http::field::host) != 1) {
        return "an HTTP/1.1 request needs exactly one Host field";
    }
    if (head.count(Http::field::transfer_encoding) > 0 && head.count(Http::field::content_length) > 0) {
        return "Content-Length and Transfer-Encoding exclude each other";
    }
    if (head.count(Http::field::transfer_encoding) > 0 && head.version() == HTTP_1_0) {
        return "HTTP/1.0 has no Transfer-Encoding";
    }
    const auto encoding = head[Http::field::transfer_encoding];
    if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
        return "the only transfer coding that is understood is chunked";
    }
    if (head.method() == Http::verb::connect || head.method() == Http::verb::trace || head.method() == Http::verb::unknown) {
        return "the method is not supported";
    }
    if (head.target().empty() || head.target().front() != '/') {
        return "the request target must be a path";
    }
    return std::nullopt;
}

bool isProtocolError(const boost::system::error_code &error)
{
    return error.category() == Http::make_error_code(Http::error::bad_version).category() && error != Http::error::end_of_stream
        && error != Http::error::partial_message;
}

bool expectsContinue(const Http::request_header<> &head)
{
    return head.version() == Network::HTTP_1_1 && boost::beast::iequals(head[Http::field::expect], "100-continue");
}

} // namespace Briarbend::Relay
