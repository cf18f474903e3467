#include <LibNetwork/HttpClient.h>

#include <LibNetwork/SilenceDetection.h>
#include <LibNetwork/StatusCode.h>

#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Network
{

namespace
{

/// Objects of the store hold at most a megabyte; lists of them may be longer.
constexpr std::uint64_t MAXIMUM_RESPONSE_BYTES = 64ULL * 1024 * 1024;

} // namespace

HttpClient::HttpClient(boost::asio::any_io_executor ioExecutor, Endpoint endpoint)
    : executor(std::move(ioExecutor))
    , remote(std::move(endpoint))
{
}

boost::asio::awaitable<Response> HttpClient::exchange(Request request, Core::Duration timeout)
{
    request.prepare_payload();
    try {
        co_await this->connect(timeout);
        this->stream->expires_after(timeout);
        auto response = co_await this->exchangeOnce(request);
        if (!response.keep_alive()) {
            this->close();
        }
        co_return response;
    } catch (const boost::system::system_error &) {
        this->close();
        throw;
    }
}

boost::asio::awaitable<void> HttpClient::connect(Core::Duration timeout)
{
    if (this->stream) {
        co_return;
    }
    try {
        this->stream.emplace(this->executor);
        this->stream->expires_after(timeout);
        co_await this->stream->async_connect(this->remote.tcp(), boost::asio::use_awaitable);
        this->stream->socket().set_option(boost::asio::ip::tcp::no_delay(true));
        detectSilence(this->stream->socket());
    } catch (const boost::system::system_error &) {
        this->close();
        throw;
    }
}

bool HttpClient::isConnected()
{
    if (!this->stream) {
        return false;
    }
    std::array<char, 1> byte{};
    boost::system::error_code error;
    auto &socket = this->stream->socket();
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

boost::asio::awaitable<Response> HttpClient::exchangeOnce(Request &request)
{
    co_await Http::async_write(*this->stream, request, boost::asio::use_awaitable);
    for (std::size_t responses = 0; responses <= MAXIMUM_INTERIM_RESPONSES; ++responses) {
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(MAXIMUM_RESPONSE_BYTES);
        co_await Http::async_read_header(*this->stream, this->buffer, parser, boost::asio::use_awaitable);
        if (const auto error = checkResponseHead({}, parser.get().base())) {
            throw boost::system::system_error(error);
        }
        if (isInterimStatusCode(parser.get().result_int())) {
            continue;
        }
        co_await Http::async_read(*this->stream, this->buffer, parser, boost::asio::use_awaitable);
        co_return parser.release();
    }
    throw boost::system::system_error(Http::error::header_limit);
}

void HttpClient::close()
{
    this->stream.reset();
    this->buffer.clear();
}

const Endpoint &HttpClient::endpoint() const
{
    return this->remote;
}

} // namespace Briarbend::Network
