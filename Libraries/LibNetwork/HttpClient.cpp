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
    co_await this->connect(timeout);
    const auto used = this->connection;
    if (!used) {
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    try {
        used->stream.expires_after(timeout);
        auto response = co_await exchangeOnce(used, request);
        if (!response.keep_alive() && this->connection == used) {
            this->close();
        }
        co_return response;
    } catch (const boost::system::system_error &) {
        this->closeAfterFailure(used);
        throw;
    }
}

boost::asio::awaitable<void> HttpClient::connect(Core::Duration timeout)
{
    if (this->connection) {
        co_return;
    }
    const auto opened = std::make_shared<Connection>(this->executor);
    this->connection = opened;
    try {
        opened->stream.expires_after(timeout);
        co_await opened->stream.async_connect(this->remote.tcp(), boost::asio::use_awaitable);
        opened->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true));
        detectSilence(opened->stream.socket());
    } catch (const boost::system::system_error &) {
        this->closeAfterFailure(opened);
        throw;
    }
}

bool HttpClient::isConnected()
{
    if (!this->connection) {
        return false;
    }
    std::array<char, 1> byte{};
    boost::system::error_code error;
    auto &socket = this->connection->stream.socket();
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

boost::asio::awaitable<Response> HttpClient::exchangeOnce(ConnectionPointer used, Request &request)
{
    co_await Http::async_write(used->stream, request, boost::asio::use_awaitable);
    for (std::size_t responses = 0; responses <= MAXIMUM_INTERIM_RESPONSES; ++responses) {
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(MAXIMUM_RESPONSE_BYTES);
        co_await Http::async_read_header(used->stream, used->buffer, parser, boost::asio::use_awaitable);
        if (const auto error = checkResponseHead({}, parser.get().base())) {
            throw boost::system::system_error(error);
        }
        if (isInterimStatusCode(parser.get().result_int())) {
            continue;
        }
        co_await Http::async_read(used->stream, used->buffer, parser, boost::asio::use_awaitable);
        co_return parser.release();
    }
    throw boost::system::system_error(Http::error::header_limit);
}

void HttpClient::close()
{
    if (const auto closed = std::exchange(this->connection, nullptr)) {
        closed->stream.close();
    }
}

void HttpClient::closeAfterFailure(const ConnectionPointer &failed)
{
    if (this->connection != failed) {
        // A step that was complete when the connection was closed is followed by one that fails otherwise.
        throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    this->close();
}

const Endpoint &HttpClient::endpoint() const
{
    return this->remote;
}

} // namespace Briarbend::Network
