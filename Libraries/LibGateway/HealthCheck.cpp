#include <LibGateway/HealthCheck.h>

#include <LibGateway/TargetContact.h>
#include <LibGateway/TargetReports.h>

#include <LibNetwork/Http.h>
#include <LibNetwork/StatusCode.h>

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

constexpr std::uint64_t MAXIMUM_HEALTH_RESPONSE_BYTES = 16ULL * 1024;
/// A connection is not used during the last part of the keep-alive time that its target states. The default applies if none is stated.
constexpr std::chrono::milliseconds KEEP_ALIVE_MARGIN{1000};
constexpr std::chrono::milliseconds DEFAULT_IDLE_TIME{3000};

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

/// The time from which a connection that has just carried this response must no longer be used.
Core::TimePoint usableUntil(const Http::response_header<> &lastResponse, Core::TimePoint now)
{
    const auto stated = keepAliveTimeout(lastResponse);
    return now + (stated ? std::max(std::chrono::milliseconds{0}, *stated - KEEP_ALIVE_MARGIN) : DEFAULT_IDLE_TIME);
}

/// Sends a health check and reads the response. False if the exchange failed on this connection.
Asio::awaitable<bool>
exchangeHealthCheck(GatewayState &state, Relay::TargetConnection &connection, const std::string &path, std::optional<HealthParser> &parser)
{
    Http::request<Http::empty_body> request{Http::verb::get, path, Network::HTTP_1_1};
    request.set(Http::field::host, connection.target().value);
    connection.stream.expires_after(HEALTH_CHECK_TIMEOUT);
    boost::system::error_code error;
    co_await Http::async_write(connection.stream, request, Asio::redirect_error(Asio::use_awaitable, error));
    for (std::size_t foreign = 0; !error && foreign <= MAXIMUM_FOREIGN_RESPONSES; ++foreign) {
        parser.emplace();
        parser->body_limit(MAXIMUM_HEALTH_RESPONSE_BYTES);
        co_await Http::async_read_header(connection.stream, connection.buffer, *parser, Asio::redirect_error(Asio::use_awaitable, error));
        // Nothing after an invalid status code counts, not even whose response it is. The calling function rejects it.
        if (!error && !Network::isValidStatusCode(parser->get().result_int())) {
            co_return true;
        }
        if (!error && Network::isInterimStatusCode(parser->get().result_int())) {
            continue;
        }
        if (!error) {
            co_await Http::async_read(connection.stream, connection.buffer, *parser, Asio::redirect_error(Asio::use_awaitable, error));
        }
        // Responses to requests carry the identifier of an attempt. One that arrives here is a late duplicate for an earlier request.
        if (!error && state.dialect.readResponseMetadata(parser->get().base()).attemptId.empty()) {
            co_return true;
        }
        ++state.counters.unmatchedResponses;
    }
    co_return false;
}

Asio::awaitable<std::unique_ptr<Relay::TargetConnection>> connectTo(GatewayState &state, const Core::TargetId &address)
{
    try {
        ++state.counters.connectionsOpened;
        co_return co_await state.pool.connect(address, Core::Clock::now() + HEALTH_CHECK_TIMEOUT);
    } catch (const boost::system::system_error &error) {
        // The calling function records that the target failed.
        if (error.code() == Asio::error::connection_refused && state.guard != nullptr && !Fleet::mayBeCutOff(state.connectivity)) {
            state.guard->recordTargetExit(address);
        }
        co_return nullptr;
    }
}

/// Records the response of the health path. False if another target answered or the response is invalid.
bool recordHealthResponse(GatewayState &state,
                          Fleet::ServiceState &service,
                          Fleet::TargetState &target,
                          const Http::response_header<> &head)
{
    const auto now = Core::Clock::now();
    if (!Network::isValidStatusCode(head.result_int())) {
        Fleet::ejectTarget(target, now);
        return false;
    }
    const auto metadata = state.dialect.readResponseMetadata(head);
    if (!metadata.targetName.empty() && metadata.targetName != target.record.name) {
        Fleet::ejectTarget(target, now);
        return false;
    }
    if (state.guard != nullptr) {
        state.guard->recordTargetStart(target.record.address, startIdOf(target.record));
    }
    recordTargetReport(state, service, target.record.name, target.record.startedAtMilliseconds, ReportSource::HealthCheck, metadata);
    if (metadata.load) {
        Fleet::recordLoadReport(service, target, *metadata.load, now);
    }
    Fleet::recordHealth(target, Http::to_status_class(head.result()) == Http::status_class::successful, now);
    if (metadata.coldLeft || target.coldUntil > now) {
        Fleet::recordCold(target, metadata.coldLeft.value_or(std::chrono::milliseconds{0}), now);
    }
    return true;
}

} // namespace

void returnConnection(GatewayState &state, std::unique_ptr<Relay::TargetConnection> connection, const Http::response_header<> &lastResponse)
{
    if (connection->buffer.size() > 0) {
        // Bytes after a complete response belong to no request.
        ++state.counters.unmatchedResponses;
        return;
    }
    const auto now = Core::Clock::now();
    connection->usableUntil = usableUntil(lastResponse, now);
    state.pool.returnIdle(std::move(connection), now);
}

Asio::awaitable<std::unique_ptr<Relay::TargetConnection>>
checkHealth(GatewayState &state, std::shared_ptr<Fleet::ServiceState> service, std::string targetName)
{
    const auto *known = Fleet::findTarget(*service, targetName);
    if (known == nullptr) {
        co_return nullptr;
    }
    const auto address = known->record.address;
    const auto path = service->configuration.healthPath;
    ++state.counters.probes;
    state.counters.farProbes += known->record.dataCentre == state.settings.instance.dataCentre ? 0 : 1;
    std::optional<HealthParser> parser;
    auto connection = state.pool.takeIdle(address);
    bool isAnswered = false;
    if (connection) {
        isAnswered = co_await exchangeHealthCheck(state, *connection, path, parser);
    }
    if (!isAnswered) {
        // The target may have closed the pooled connection meanwhile.
        connection = co_await connectTo(state, address);
    }
    if (!isAnswered && connection) {
        isAnswered = co_await exchangeHealthCheck(state, *connection, path, parser);
    }
    auto *target = Fleet::findTarget(*service, targetName);
    if (target == nullptr) {
        co_return nullptr;
    }
    isAnswered ? recordTargetHeard(state) : recordTargetUnreachable(state, targetName);
    if (!isAnswered) {
        Fleet::ejectTarget(*target, Core::Clock::now());
        co_return nullptr;
    }
    const bool isUsable = recordHealthResponse(state, *service, *target, parser->get().base());
    const bool isReusable = parser->keep_alive() && connection->buffer.size() == 0;
    if (!isUsable) {
        co_return nullptr;
    }
    if (!isReusable) {
        connection = co_await connectTo(state, address);
    }
    if (connection) {
        connection->stream.expires_never();
        connection->usableUntil = usableUntil(parser->get().base(), Core::Clock::now());
        // The list of targets may have changed while the connection was opened.
        if (auto *current = Fleet::findTarget(*service, targetName)) {
            current->connectedUntil = *connection->usableUntil;
        }
    }
    co_return connection;
}

} // namespace Briarbend::Gateway
