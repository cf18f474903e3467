#include <Tests/LibGateway/FakeTarget.h>

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

std::string answerText(const Network::Request &request, const Reaction &reaction)
{
    const std::string body = "body of " + std::string(request.target()) + std::string(reaction.paddingBytes, '.');
    std::string text = reaction.before + "HTTP/1.1 " + std::to_string(*reaction.status) + " X\r\n";
    if (!reaction.hasNoAttemptId) {
        text += "Attempt-Id: " + (reaction.otherAttemptId.empty() ? std::string(request["Attempt-Id"]) : reaction.otherAttemptId) + "\r\n";
    }
    text += reaction.fields;
    if (reaction.isNotRun) {
        text += "Not-Executed: 1\r\n";
    } else if (!reaction.isUnstamped) {
        text += "Response-Stamp: stamp\r\n";
    }
    if (reaction.isEncoded) {
        text += "Content-Encoding: gzip\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + (reaction.isTruncated ? body.substr(0, body.size() / 2) : body) + reaction.after;
}

} // namespace

FakeTarget::FakeTarget(Asio::io_context &context, std::string targetName, React reactFunction)
    : name(std::move(targetName))
    , acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0})
    , react(std::move(reactFunction))
{
    Asio::co_spawn(context, this->acceptLoop(), Asio::detached);
}

std::string FakeTarget::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FakeTarget::stopListening()
{
    this->acceptor.close();
}

const std::vector<std::string> &FakeTarget::runs() const
{
    return this->startedAttempts;
}

std::size_t FakeTarget::cancelled() const
{
    return this->cancelledRuns;
}

std::size_t FakeTarget::exchanges() const
{
    return this->arrived;
}

Asio::awaitable<void> FakeTarget::acceptLoop()
{
    while (true) {
        auto socket = std::make_shared<Asio::ip::tcp::socket>(co_await this->acceptor.async_accept(Asio::use_awaitable));
        Asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), Asio::detached);
    }
}

std::string FakeTarget::healthAnswer() const
{
    return this->beforeHealth + "HTTP/1.1 " + std::to_string(this->healthStatus) + " X\r\nInstance-Id: " + this->name
        + "\r\nServer-Load: " + this->load + "\r\n" + this->healthFields + "Content-Length: 0\r\n\r\n";
}

Asio::awaitable<void> FakeTarget::serve(std::shared_ptr<Asio::ip::tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    while (true) {
        Network::Request request;
        co_await Http::async_read(*socket, buffer, request, token);
        if (error) {
            co_return;
        }
        ++this->arrived;
        if (this->isSilent) {
            continue;
        }
        std::string text = this->healthAnswer();
        if (request.target() != "/healthz") {
            const auto reaction = this->react(request);
            if (!reaction.isNotRun) {
                this->startedAttempts.emplace_back(request["Attempt-Id"]);
            }
            Asio::steady_timer work(socket->get_executor(), reaction.delay);
            bool isCallerGone = false;
            socket->async_wait(Asio::ip::tcp::socket::wait_read, [&work, &isCallerGone](const boost::system::error_code &waitError) {
                isCallerGone = !waitError;
                work.cancel();
            });
            co_await work.async_wait(token);
            socket->cancel(error);
            // Lets the handler of the cancelled wait run before the variables that it refers to are destroyed.
            co_await Asio::post(socket->get_executor(), Asio::use_awaitable);
            if (isCallerGone) {
                ++this->cancelledRuns;
                co_return;
            }
            if (!reaction.status) {
                co_return;
            }
            text = reaction.raw ? *reaction.raw : answerText(request, reaction);
            if (reaction.isTruncated || reaction.raw) {
                co_await Asio::async_write(*socket, Asio::buffer(text), token);
                co_return;
            }
        }
        co_await Asio::async_write(*socket, Asio::buffer(text), token);
    }
}

} // namespace Briarbend::Gateway
