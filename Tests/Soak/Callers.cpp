#include "Callers.h"

#include <LibNetwork/Http.h>
#include <Tests/Soak/SoakTarget.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Soak
{

namespace
{

namespace Asio = boost::asio;
namespace Http = Network::Http;

/// What callers state to wait, and what they wait.
constexpr std::chrono::milliseconds STATED_DEADLINE{2000};
constexpr std::chrono::milliseconds PATIENCE{3000};
constexpr std::chrono::milliseconds CONNECT_PATIENCE{1000};
constexpr std::chrono::milliseconds PAUSE{60};
constexpr std::chrono::milliseconds PAUSE_AFTER_FAILURE{150};

std::optional<PassedReport> reportIn(const Network::Response &response)
{
    if (response.count("Soak-Start") == 0) {
        return std::nullopt;
    }
    return PassedReport{.start = {std::string(response["Soak-Target"]), std::stoll(std::string(response["Soak-Start"]))},
                        .statesRate = response.count("Server-Limit") > 0,
                        .isLeaving = response.count("Server-Leaving") > 0};
}

} // namespace

struct Callers::Connection {
    explicit Connection(Asio::io_context &context)
        : stream(context)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

Callers::Callers(Asio::io_context &ioContext, Ledger &soakLedger, std::size_t instanceNumber, Network::Endpoint instanceEndpoint)
    : context(ioContext)
    , ledger(soakLedger)
    , instance(instanceNumber)
    , endpoint(std::move(instanceEndpoint))
{
}

void Callers::start(std::size_t count)
{
    for (std::size_t caller = 0; caller < count; ++caller) {
        ++this->running;
        Asio::co_spawn(this->context, this->call(caller), Asio::detached);
    }
}

void Callers::stop()
{
    this->isStopping = true;
}

bool Callers::isIdle() const
{
    return this->running == 0;
}

Asio::awaitable<void> Callers::call(std::size_t caller)
{
    std::unique_ptr<Connection> connection;
    Asio::steady_timer pause(this->context);
    boost::system::error_code error;
    for (std::size_t number = 0; !this->isStopping; ++number) {
        pause.expires_after(connection ? PAUSE : PAUSE_AFTER_FAILURE);
        co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
        if (!connection) {
            connection = std::make_unique<Connection>(this->context);
            connection->stream.expires_after(CONNECT_PATIENCE);
            co_await connection->stream.async_connect(this->endpoint.tcp(), Asio::redirect_error(Asio::use_awaitable, error));
            if (error) {
                connection.reset();
                continue;
            }
        }
        const auto id = std::to_string(this->instance) + "-" + std::to_string(caller) + "-" + std::to_string(number);
        const auto outcome = co_await this->exchange(*connection, id, (caller + number) % 2 == 0);
        this->ledger.recordOutcome(outcome);
        if (!connection->stream.socket().is_open()) {
            connection.reset();
        }
    }
    --this->running;
}

Asio::awaitable<CallerOutcome> Callers::exchange(Connection &connection, std::string attemptId, bool mayRepeat)
{
    CallerOutcome outcome{.attemptId = attemptId,
                          .instance = this->instance,
                          .mayRepeat = mayRepeat,
                          .sentAt = Core::Clock::now(),
                          .endedAt = {},
                          .status = {}};
    auto request
        = Network::makeRequest(mayRepeat ? Http::verb::get : Http::verb::post, (mayRepeat ? SAFE_PREFIX : ONCE_PREFIX) + attemptId, HOST);
    request.set("Attempt-Id", attemptId);
    request.set("Deadline-Remaining", std::to_string(STATED_DEADLINE.count()));
    request.keep_alive(true);
    request.prepare_payload();
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    connection.stream.expires_after(PATIENCE);
    // A run may come before the write is known to have ended, and the ledger must know the attempt then.
    this->ledger.recordOutcome(outcome);
    co_await Http::async_write(connection.stream, request, token);
    outcome.wasSent = !error;
    Network::Response response;
    if (!error) {
        co_await Http::async_read(connection.stream, connection.buffer, response, token);
    }
    outcome.endedAt = Core::Clock::now();
    outcome.hasGivenUp = error == boost::beast::error::timeout;
    if (!error) {
        outcome.status = response.result_int();
        outcome.isBodyRight = response.body() == bodyFor(attemptId);
        outcome.isOwnAnswer = response["Attempt-Id"] == attemptId;
        outcome.report = reportIn(response);
    }
    if (error || !response.keep_alive()) {
        connection.stream.close();
    }
    co_return outcome;
}

Asio::awaitable<std::optional<unsigned>> Callers::ask(std::string path)
{
    Connection connection(this->context);
    boost::system::error_code error;
    auto token = Asio::redirect_error(Asio::use_awaitable, error);
    connection.stream.expires_after(CONNECT_PATIENCE);
    co_await connection.stream.async_connect(this->endpoint.tcp(), token);
    Network::Response response;
    if (!error) {
        const auto id = "ask-" + std::to_string(++this->asked) + "-" + std::to_string(this->instance);
        this->ledger.recordOutcome(
            {.attemptId = id, .instance = this->instance, .mayRepeat = true, .sentAt = {}, .endedAt = {}, .status = {}});
        auto request = Network::makeRequest(Http::verb::get, path, HOST);
        request.set("Attempt-Id", id);
        request.set("Deadline-Remaining", std::to_string(STATED_DEADLINE.count()));
        co_await Http::async_write(connection.stream, request, token);
    }
    if (!error) {
        co_await Http::async_read(connection.stream, connection.buffer, response, token);
    }
    co_return error ? std::nullopt : std::optional(response.result_int());
}

} // namespace Briarbend::Soak
