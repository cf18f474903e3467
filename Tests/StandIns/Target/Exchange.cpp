#include <LibLoad/BodyChecksum.h>
#include <LibNetwork/Http.h>
#include <Tests/StandIns/Target/Target.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

/// The target's side of HTTP/1.1: reads a request with bounded memory and writes an answer, right or scripted wrong.
namespace Briarbend::StandIns
{

namespace
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Parser = Http::request_parser<Http::buffer_body>;

constexpr std::size_t READ_BYTES = 64UL * 1024;
constexpr std::string_view SECOND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

std::string headerOf(const Parser &parser, std::string_view name)
{
    return std::string(parser.get()[name]);
}

Incoming describe(const Parser &parser)
{
    Incoming incoming;
    incoming.method = parser.get().method();
    incoming.target = parser.get().target();
    incoming.path = Network::pathOf(incoming.target);
    incoming.key = headerOf(parser, "Idempotency-Key");
    incoming.requestId = headerOf(parser, "x-request-id");
    incoming.nonce = headerOf(parser, "x-nonce");
    incoming.crashMarker = headerOf(parser, "x-crash");
    incoming.keepsAlive = parser.get().keep_alive();
    if (incoming.crashMarker.empty() && incoming.path.starts_with("/crash")) {
        incoming.crashMarker = incoming.path;
    }
    const auto deadline = headerOf(parser, "x-request-deadline-ms");
    if (!deadline.empty()) {
        incoming.deadline = Core::Clock::now() + std::chrono::milliseconds(std::atoll(deadline.c_str()));
    }
    return incoming;
}

std::string headOf(const Incoming &incoming, const Answer &answer)
{
    std::string head
        = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(Http::obsolete_reason(Http::int_to_status(answer.status)));
    head += "\r\nContent-Length: " + std::to_string(answer.body.length) + "\r\n" + answer.headers;
    if (!incoming.requestId.empty()) {
        head += "x-request-id: " + incoming.requestId + "\r\n";
    }
    if (!incoming.nonce.empty()) {
        head += "x-nonce: " + incoming.nonce + "\r\n";
    }
    if (!incoming.keepsAlive) {
        head += "Connection: close\r\n";
    }
    return head;
}

} // namespace

Asio::awaitable<std::optional<Incoming>> Target::readRequest(Connection &connection)
{
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    Parser parser;
    parser.body_limit(boost::none);
    co_await Http::async_read_header(connection.socket, connection.buffer, parser, token);
    if (error) {
        co_return std::nullopt;
    }
    auto incoming = describe(parser);
    if (parser.is_done()) {
        co_return incoming;
    }
    if (headerOf(parser, "Expect") == "100-continue") {
        constexpr std::string_view CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await Asio::async_write(connection.socket, Asio::buffer(CONTINUE), token);
    }
    Load::BodyChecksum checksum;
    std::vector<char> piece(READ_BYTES);
    while (!parser.is_done()) {
        auto &body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        co_await Http::async_read_some(connection.socket, connection.buffer, parser, token);
        if (error && error != Http::error::need_buffer) {
            co_return std::nullopt;
        }
        const auto filled = piece.size() - body.size;
        checksum.update({piece.data(), filled});
        incoming.bodyBytes += filled;
    }
    incoming.bodyDigest = checksum.text();
    co_return incoming;
}

Asio::awaitable<void> Target::writeSecondAnswer(Connection &connection)
{
    boost::system::error_code error;
    co_await Asio::async_write(connection.socket, Asio::buffer(SECOND_ANSWER), Asio::redirect_error(Asio::use_awaitable, error));
}

Asio::awaitable<bool> Target::write(Connection &connection, const Incoming &incoming, const Answer &answer)
{
    const auto head
        = headOf(incoming, answer) + "endpoint-load-metrics: JSON " + loadReport(this->state, Core::Clock::now()).dump() + "\r\n\r\n";
    const auto &body = answer.body;
    const bool cutsOff = this->happens(this->state.conditions.closeMidBody);
    const bool truncates = this->happens(this->state.conditions.truncate);
    auto length = incoming.method == Http::verb::head ? 0 : body.length;
    if (cutsOff) {
        length /= 2;
    } else if (truncates && length > 0) {
        --length;
    }
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    const auto first = std::min<std::uint64_t>(length, body.pattern.size());
    const std::array buffers{Asio::buffer(head), Asio::buffer(body.pattern.data(), first)};
    co_await Asio::async_write(connection.socket, buffers, token);
    for (std::uint64_t sent = first; sent < length && !error;) {
        const auto size = std::min<std::uint64_t>(length - sent, body.pattern.size());
        co_await Asio::async_write(connection.socket, Asio::buffer(body.pattern.data(), size), token);
        sent += size;
    }
    if (!error && this->happens(this->state.conditions.trailing)) {
        co_await this->writeSecondAnswer(connection);
    }
    connection.owesSecondAnswer = this->happens(this->state.conditions.trailingWithNext);
    co_return !error && !cutsOff;
}

} // namespace Briarbend::StandIns
