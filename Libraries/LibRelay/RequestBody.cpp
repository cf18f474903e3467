#include <LibRelay/RequestBody.h>

#include <LibNetwork/Http.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

constexpr std::size_t BODY_READ_BYTES = 16UL * 1024;

} // namespace

Asio::awaitable<void> sendContinue(boost::beast::tcp_stream &stream)
{
    Http::response<Http::empty_body> response{Http::status::continue_, Network::HTTP_1_1};
    boost::system::error_code ignored;
    co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<BodyReadResult>
readWholeBody(CallerConnection caller, std::uint64_t maximumBytes, std::chrono::milliseconds idleTimeout, std::string &body)
{
    auto &parser = caller.parser;
    std::vector<char> chunk(parser.is_done() ? 0 : BODY_READ_BYTES);
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        caller.stream.expires_after(idleTimeout);
        boost::system::error_code error;
        co_await Http::async_read_some(caller.stream, caller.buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error && error != Http::error::need_buffer) {
            co_return BodyReadResult::Incomplete;
        }
        body.append(chunk.data(), chunk.size() - parser.get().body().size);
        if (body.size() > maximumBytes) {
            co_return BodyReadResult::TooLong;
        }
    }
    co_return BodyReadResult::Whole;
}

} // namespace Briarbend::Relay
