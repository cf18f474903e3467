#include "Connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

namespace Briarbend::BriarLoad
{

namespace
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

constexpr std::size_t PIECE_BYTES = 16UL * 1024;

const std::string &requestPiece()
{
    static const std::string piece(PIECE_BYTES, 'b');
    return piece;
}

} // namespace

Connection::Connection(const Asio::any_io_executor &executor, std::size_t instanceIndex)
    : instance(instanceIndex)
    , socket(executor)
    , piece(PIECE_BYTES)
{
}

Asio::awaitable<bool> Connection::connect(const Network::Endpoint &endpoint)
{
    boost::system::error_code error;
    co_await this->socket.async_connect(endpoint.tcp(), Asio::redirect_error(Asio::use_awaitable, error));
    if (!error) {
        this->socket.set_option(Asio::ip::tcp::no_delay(true), error);
    }
    co_return !error;
}

void Connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

bool Connection::isReusable()
{
    if (!this->keepsAlive || !this->socket.is_open()) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Asio::awaitable<bool> Connection::send(const std::string &head, std::uint64_t bodyBytes)
{
    boost::system::error_code error;
    auto left = bodyBytes;
    const auto first = std::min<std::uint64_t>(left, PIECE_BYTES);
    const std::array buffers{Asio::buffer(head), Asio::buffer(requestPiece().data(), first)};
    co_await Asio::async_write(this->socket, buffers, Asio::redirect_error(Asio::use_awaitable, error));
    left -= first;
    while (left > 0 && !error) {
        const auto size = std::min<std::uint64_t>(left, PIECE_BYTES);
        const auto next = Asio::buffer(requestPiece().data(), size);
        co_await Asio::async_write(this->socket, next, Asio::redirect_error(Asio::use_awaitable, error));
        left -= size;
    }
    co_return !error;
}

Asio::awaitable<ExchangeResult> Connection::exchange(const std::string &head, std::uint64_t bodyBytes, bool isHead)
{
    ExchangeResult result;
    this->keepsAlive = false;
    // An answer may come before the request has been sent whole, so that a failed write is not yet the outcome.
    const bool isSent = co_await this->send(head, bodyBytes);
    boost::system::error_code error;
    Http::response_parser<Http::buffer_body> parser;
    parser.body_limit(boost::none);
    parser.skip(isHead);
    co_await Http::async_read_header(this->socket, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    if (error) {
        co_return result;
    }
    result.hasHead = true;
    this->checksum.reset();
    while (!parser.is_done()) {
        auto &body = parser.get().body();
        body.data = this->piece.data();
        body.size = this->piece.size();
        co_await Http::async_read_some(this->socket, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error && error != Http::error::need_buffer) {
            co_return result;
        }
        this->checksum.update({this->piece.data(), this->piece.size() - body.size});
    }
    const auto &message = parser.get();
    result.isAnswered = true;
    result.run = message["x-run"];
    result.answer.status = message.result_int();
    result.answer.isMarkedNotRun = message["Request-Not-Run"] == "?1";
    result.answer.nonce = message["x-nonce"];
    result.answer.statedChecksum = isHead ? "" : message["x-checksum"];
    result.answer.receivedChecksum = this->checksum.text();
    result.answer.statedBodyChecksum = message["x-body-checksum"];
    result.answer.hasTrailingBytes = this->buffer.size() > 0;
    this->keepsAlive = isSent && message.keep_alive() && !result.answer.hasTrailingBytes;
    co_return result;
}

std::string requestBodyChecksum(std::uint64_t bytes)
{
    Load::BodyChecksum checksum;
    for (auto left = bytes; left > 0;) {
        const auto size = std::min<std::uint64_t>(left, PIECE_BYTES);
        checksum.update({requestPiece().data(), size});
        left -= size;
    }
    return checksum.text();
}

} // namespace Briarbend::BriarLoad
