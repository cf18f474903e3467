#include <Tests/LibGateway/EndlessTarget.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
namespace Http = Network::Http;

constexpr std::string_view ATTEMPT_ID_PLACEHOLDER{"ATTEMPT"};

std::string withAttemptId(std::string text, const std::string &attemptId)
{
    if (const auto place = text.find(ATTEMPT_ID_PLACEHOLDER); place != std::string::npos) {
        text.replace(place, ATTEMPT_ID_PLACEHOLDER.size(), attemptId);
    }
    return text;
}

} // namespace

EndlessTarget::EndlessTarget(Asio::io_context &context, std::string targetName, EndlessResponse endlessAnswer)
    : acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0})
    , name(std::move(targetName))
    , answer(std::move(endlessAnswer))
{
    Asio::co_spawn(context, this->acceptLoop(), Asio::detached);
}

std::string EndlessTarget::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

std::size_t EndlessTarget::sending() const
{
    return this->senders;
}

std::uint64_t EndlessTarget::sentBytes() const
{
    return this->sent;
}

Asio::awaitable<void> EndlessTarget::acceptLoop()
{
    while (true) {
        auto socket = std::make_shared<Asio::ip::tcp::socket>(co_await this->acceptor.async_accept(Asio::use_awaitable));
        Asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), Asio::detached);
    }
}

Asio::awaitable<void> EndlessTarget::serve(std::shared_ptr<Asio::ip::tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (true) {
        Network::Request request;
        co_await Http::async_read(*socket, buffer, request, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const bool isHealthCheck = request.target() == "/healthz";
        if (isHealthCheck == this->answer.isOnHealthPath) {
            co_await this->sendWithoutEnd(*socket, std::string(request["Attempt-Id"]));
            co_return;
        }
        const auto text = "HTTP/1.1 200 X\r\nInstance-Id: " + this->name + "\r\nServer-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";
        co_await Asio::async_write(*socket, Asio::buffer(text), Asio::redirect_error(Asio::use_awaitable, error));
    }
}

Asio::awaitable<void> EndlessTarget::sendWithoutEnd(Asio::ip::tcp::socket &socket, std::string attemptId)
{
    constexpr std::size_t WRITE_BYTES = 64UL * 1024;
    boost::system::error_code error;
    const auto beginning = withAttemptId(this->answer.beginning, attemptId);
    co_await Asio::async_write(socket, Asio::buffer(beginning), Asio::redirect_error(Asio::use_awaitable, error));
    std::string block;
    while (block.size() < WRITE_BYTES) {
        block += this->answer.rest;
    }
    ++this->senders;
    while (!error) {
        this->sent += co_await Asio::async_write(socket, Asio::buffer(block), Asio::redirect_error(Asio::use_awaitable, error));
    }
    --this->senders;
}

} // namespace Briarbend::Gateway
