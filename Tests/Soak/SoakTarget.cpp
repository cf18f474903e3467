#include "SoakTarget.h"

#include <LibNetwork/HttpServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace Briarbend::Soak
{

namespace
{

namespace Asio = boost::asio;
namespace Http = Network::Http;

constexpr std::uint32_t SLOTS = 6;
constexpr std::uint32_t QUEUE = 6;
constexpr std::chrono::milliseconds SHORTEST_WORK{10};
constexpr std::size_t MORE_WORK_MS = 40;
/// One answer in so many is harmed while the target garbles.
constexpr std::size_t GARBLED_EVERY = 4;
constexpr std::size_t BODY_LINES = 40;

std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string message(unsigned status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::string bodyFor(const std::string &attemptId)
{
    std::string body;
    for (std::size_t line = 0; line < BODY_LINES; ++line) {
        body += "answer to " + attemptId + ", line " + std::to_string(line) + "\n";
    }
    return body;
}

SoakTarget::SoakTarget(Asio::io_context &ioContext, Ledger &soakLedger, std::string targetName, std::uint64_t seed)
    : context(ioContext)
    , ledger(soakLedger)
    , ownName(std::move(targetName))
    , random(seed)
    , acceptor(Network::openAcceptor(ioContext, {.address = "127.0.0.1", .port = 0}))
    , born(wallMilliseconds())
{
    Asio::co_spawn(this->context, this->acceptLoop(), Asio::detached);
}

Network::Endpoint SoakTarget::endpoint() const
{
    const auto bound = this->acceptor.local_endpoint();
    return {.address = bound.address().to_string(), .port = bound.port()};
}

const std::string &SoakTarget::name() const
{
    return this->ownName;
}

std::int64_t SoakTarget::startedAt() const
{
    return this->born;
}

void SoakTarget::restart()
{
    this->born = std::max(this->born + 1, wallMilliseconds());
    this->held = 0;
    this->statedRate.reset();
    this->saysItLeaves = false;
}

Asio::awaitable<void> SoakTarget::acceptLoop()
{
    co_await Network::acceptConnections(this->acceptor, [this](Asio::ip::tcp::socket socket) {
        auto kept = std::make_shared<Asio::ip::tcp::socket>(std::move(socket));
        Asio::co_spawn(this->context, this->serve(std::move(kept)), Asio::detached);
    });
}

std::string SoakTarget::healthAnswer() const
{
    const auto running = std::min(this->held, SLOTS);
    const auto load = std::to_string(running) + "," + std::to_string(this->held - running) + "," + std::to_string(SLOTS) + ","
        + std::to_string(100 * this->slowness);
    return message(
        this->saysItLeaves ? 503 : 200, "Instance-Id: " + this->ownName + "\r\nServer-Load: " + load + "\r\n" + this->selfReport(), "");
}

std::string SoakTarget::selfReport() const
{
    return (this->statedRate ? "Server-Limit: " + std::to_string(*this->statedRate) + "\r\n" : std::string())
        + (this->saysItLeaves ? "Server-Leaving: 1\r\n" : "");
}

Asio::awaitable<void> SoakTarget::serve(std::shared_ptr<Asio::ip::tcp::socket> socket)
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
        std::string text = this->healthAnswer();
        if (request.target() != "/healthz") {
            text = co_await this->answer(request, socket);
        }
        if (text.empty()) {
            co_return;
        }
        co_await Asio::async_write(*socket, Asio::buffer(text), token);
        if (error) {
            co_return;
        }
    }
}

Asio::awaitable<std::string> SoakTarget::answer(const Network::Request &request, std::shared_ptr<Asio::ip::tcp::socket> socket)
{
    const std::string id(request["Attempt-Id"]);
    const auto echo = "Attempt-Id: " + id + "\r\n";
    if (request["Expect-Instance"] != this->ownName) {
        co_return message(421, echo, "");
    }
    if (this->held >= SLOTS + QUEUE) {
        co_return message(503, echo + "Not-Executed: 1\r\n" + this->selfReport(), "");
    }
    const auto start = this->born;
    ++this->held;
    this->ledger.recordRun(id, {{this->ownName, start}, Core::Clock::now()});
    Asio::steady_timer work(this->context, (SHORTEST_WORK + std::chrono::milliseconds(this->random.below(MORE_WORK_MS))) * this->slowness);
    boost::system::error_code ignored;
    co_await work.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    if (start != this->born) {
        socket->close(ignored);
        co_return "";
    }
    --this->held;
    const auto origin = "Soak-Target: " + this->ownName + "\r\nSoak-Start: " + std::to_string(start) + "\r\n";
    auto text = message(200, echo + origin + "Response-Stamp: stamp\r\n" + this->selfReport(), bodyFor(id));
    co_return this->isGarbling &&this->random.below(GARBLED_EVERY) == 0 ? this->garbled(text) : text;
}

std::string SoakTarget::garbled(const std::string &text)
{
    switch (this->random.below(4)) {
    case 0:
        return "";
    case 1:
        return text + text;
    case 2:
        return "no answer at all\r\n\r\n";
    default:
        // Without the rest, the connection stays open: the answer never becomes whole.
        return text.substr(0, text.size() / 2);
    }
}

} // namespace Briarbend::Soak
