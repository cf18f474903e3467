#include <LibGateway/HealthCheck.h>

#include <LibGateway/TargetReports.h>

#include <LibNetwork/Http.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

constexpr std::uint64_t LONGEST_HEALTH_ANSWER = 16ULL * 1024;
/// A connection is not used in the last part of the time for which its target keeps it idle, or beyond the default where that is unknown.
constexpr std::chrono::milliseconds IDLE_MARGIN{1000};
constexpr std::chrono::milliseconds DEFAULT_IDLE{3000};

using HealthParser = Http::response_parser<Http::string_body>;

std::optional<std::chrono::seconds> keepAliveTimeout(const Http::response_header<> &head)
{
    constexpr std::string_view PARAMETER{"timeout="};
    const auto value = head[Http::field::keep_alive];
    const auto at = std::string_view(value.data(), value.size()).find(PARAMETER);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const auto *begin = value.data() + at + PARAMETER.size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    return parsed.ec == std::errc{} ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

/// When a connection that has just carried this answer is no longer to be used.
Core::TimePoint usableUntil(const Http::response_header<> &lastAnswer, Core::TimePoint now)
{
    const auto stated = keepAliveTimeout(lastAnswer);
    return now + (stated ? std::max(std::chrono::milliseconds{0}, *stated - IDLE_MARGIN) : DEFAULT_IDLE);
}

/// Sends the question and reads its answer. False where the connection did not carry it.
Asio::awaitable<bool>
exchangeHealth(GatewayState &state, Relay::TargetConnection &connection, const std::string &path, std::optional<HealthParser> &parser)
{
    Http::request<Http::empty_body> request{Http::verb::get, path, Network::HTTP_1_1};
    request.set(Http::field::host, connection.target().value);
    connection.stream.expires_after(HEALTH_TIMEOUT);
    boost::system::error_code error;
    co_await Http::async_write(connection.stream, request, Asio::redirect_error(Asio::use_awaitable, error));
    for (std::size_t foreign = 0; !error && foreign <= MOST_FOREIGN_ANSWERS; ++foreign) {
        parser.emplace();
        parser->body_limit(LONGEST_HEALTH_ANSWER);
        co_await Http::async_read(connection.stream, connection.buffer, *parser, Asio::redirect_error(Asio::use_awaitable, error));
        // Answers to requests bear the identifier of an attempt; one here is the late second answer to an earlier request.
        if (!error && state.dialect.readTarget(parser->get().base()).attemptId.empty()) {
            co_return true;
        }
        ++state.counters.foreignAnswers;
    }
    co_return false;
}

Asio::awaitable<std::unique_ptr<Relay::TargetConnection>> connectTo(GatewayState &state, const Core::TargetId &address)
{
    try {
        ++state.counters.connectionsOpened;
        co_return co_await state.pool.connect(address, Core::Clock::now() + HEALTH_TIMEOUT);
    } catch (const boost::system::system_error &error) {
        // The caller notes the trouble with the target.
        if (error.code() == Asio::error::connection_refused && state.guard != nullptr) {
            state.guard->recordTargetExit(address);
        }
        co_return nullptr;
    }
}

/// Takes over what the health path says. False where another target answered.
bool learnHealth(GatewayState &state, Fleet::ServiceState &book, Fleet::TargetState &target, const Http::response_header<> &head)
{
    const auto now = Core::Clock::now();
    const auto statement = state.dialect.readTarget(head);
    if (!statement.targetName.empty() && statement.targetName != target.record.name) {
        Fleet::ejectTarget(target, now);
        return false;
    }
    if (state.guard != nullptr) {
        const auto &record = target.record;
        state.guard->recordTargetStart(record.address, {record.name + "/" + std::to_string(record.startedAtMilliseconds)});
    }
    learnReport(state, book, target.record.name, target.record.startedAtMilliseconds, statement);
    if (statement.load) {
        Fleet::recordLoadReport(book, target, *statement.load, now);
    }
    Fleet::recordHealth(target, Http::to_status_class(head.result()) == Http::status_class::successful, now);
    if (statement.coldLeft || target.coldUntil > now) {
        Fleet::recordCold(target, statement.coldLeft.value_or(std::chrono::milliseconds{0}), now);
    }
    return true;
}

} // namespace

void keepConnection(GatewayState &state, std::unique_ptr<Relay::TargetConnection> connection, const Http::response_header<> &lastAnswer)
{
    if (connection->buffer.size() > 0) {
        // Bytes after a whole answer belong to no request.
        ++state.counters.foreignAnswers;
        return;
    }
    const auto now = Core::Clock::now();
    connection->usableUntil = usableUntil(lastAnswer, now);
    state.pool.returnIdle(std::move(connection), now);
}

Asio::awaitable<std::unique_ptr<Relay::TargetConnection>>
askHealth(GatewayState &state, std::shared_ptr<Fleet::ServiceState> book, std::string targetName)
{
    const auto *known = Fleet::findTarget(*book, targetName);
    if (known == nullptr) {
        co_return nullptr;
    }
    const auto address = known->record.address;
    const auto path = book->configuration.healthPath;
    ++state.counters.probes;
    state.counters.farProbes += known->record.dataCentre == state.settings.instance.dataCentre ? 0 : 1;
    std::optional<HealthParser> parser;
    auto connection = state.pool.takeIdle(address);
    bool isAnswered = false;
    if (connection) {
        isAnswered = co_await exchangeHealth(state, *connection, path, parser);
    }
    if (!isAnswered) {
        // A kept connection may have ended meanwhile without a word.
        connection = co_await connectTo(state, address);
    }
    if (!isAnswered && connection) {
        isAnswered = co_await exchangeHealth(state, *connection, path, parser);
    }
    auto *target = Fleet::findTarget(*book, targetName);
    if (target == nullptr) {
        co_return nullptr;
    }
    if (!isAnswered) {
        Fleet::ejectTarget(*target, Core::Clock::now());
        co_return nullptr;
    }
    const bool isIt = learnHealth(state, *book, *target, parser->get().base());
    const bool isReusable = parser->keep_alive() && connection->buffer.size() == 0;
    if (!isIt) {
        co_return nullptr;
    }
    if (!isReusable) {
        connection = co_await connectTo(state, address);
    }
    if (connection) {
        connection->stream.expires_never();
        connection->usableUntil = usableUntil(parser->get().base(), Core::Clock::now());
        // Opening a connection takes time, in which the list of targets may have changed.
        if (auto *current = Fleet::findTarget(*book, targetName)) {
            current->connectedUntil = *connection->usableUntil;
        }
    }
    co_return connection;
}

} // namespace Briarbend::Gateway
