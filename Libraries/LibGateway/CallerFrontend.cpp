#include <LibGateway/CallerFrontend.h>

#include <LibCore/Presence.h>
#include <LibGateway/RequestFlow.h>
#include <LibGateway/TenantAdmission.h>
#include <LibNetwork/HttpServer.h>
#include <LibNetwork/SilenceDetection.h>
#include <LibRelay/CallerDisconnectWatch.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/RequestBody.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;

/// Time that a caller may take to receive a response.
constexpr std::chrono::seconds WRITE_TIMEOUT{10};
/// Initial buffer size for the header of a request, which usually has a few hundred bytes.
constexpr std::size_t FIRST_READ_BYTES = 1024;
/// Deadline if neither the caller nor the route states one.
constexpr std::chrono::seconds DEFAULT_DEADLINE{30};
constexpr unsigned FIRST_CLIENT_ERROR = 400;
/// Share of the descriptors for connections of callers; the rest is for targets, the store and peers.
constexpr double CALLER_DESCRIPTOR_SHARE = 0.6;

/// Why a request that could not be read is refused; nothing if the connection merely ended.
std::optional<Reason> refusalReasonFor(const boost::system::error_code &error)
{
    if (!error) {
        return std::nullopt;
    }
    if (error == Http::error::header_limit) {
        return Reason::HeaderTooLarge;
    }
    if (error == Http::error::body_limit) {
        return Reason::BodyTooLarge;
    }
    return Relay::isProtocolError(error) ? std::optional(Reason::BadRequest) : std::nullopt;
}

Fleet::CallerLimits callerLimits(const GatewayState &state)
{
    return state.routingConfiguration ? state.routingConfiguration->limits : Fleet::CallerLimits{};
}

/// How reading a request ended.
struct ReadResult {
    boost::system::error_code error;
    /// Why the request is refused; nothing if it is complete or its connection merely ended.
    std::optional<Reason> problem;
};

/// Reads one request. The memory of its body is reserved through the hold.
Asio::awaitable<ReadResult> readRequest(const Fleet::CallerLimits &limits,
                                        boost::beast::tcp_stream &stream,
                                        boost::beast::flat_buffer &buffer,
                                        RequestParser &parser,
                                        Core::ByteHold &hold)
{
    boost::system::error_code error;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    stream.expires_after(limits.headerTimeout);
    co_await Http::async_read_header(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    if (error || parser.is_done()) {
        co_return ReadResult{error, refusalReasonFor(error)};
    }
    if (Relay::expectsContinue(parser.get().base())) {
        co_await Relay::sendContinue(stream);
    }
    while (!error && !parser.is_done()) {
        stream.expires_after(limits.idleTimeout);
        co_await Http::async_read_some(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (!hold.growTo(parser.get().body().size())) {
            co_return ReadResult{Asio::error::no_memory, Reason::Overloaded};
        }
    }
    co_return ReadResult{error, refusalReasonFor(error)};
}

/// Waits for the first byte of a request. False if the connection ended or stayed idle for too long.
Asio::awaitable<bool> waitForRequest(const Fleet::CallerLimits &limits, boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
{
    if (buffer.size() > 0) {
        co_return true;
    }
    boost::system::error_code error;
    stream.expires_after(limits.idleTimeout);
    buffer.shrink_to_fit();
    const auto length = co_await stream.async_read_some(buffer.prepare(FIRST_READ_BYTES), Asio::redirect_error(Asio::use_awaitable, error));
    buffer.commit(length);
    co_return !error;
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Rewrites the header of the request as it is forwarded to targets.
void prepareHead(RequestContext &context, Http::request<Http::string_body> &&request)
{
    context.fingerprint
        = Quarantine::fingerprintOf(viewOf(request.method_string()), viewOf(request.target()), request.body().size(), request.body());
    const bool hadBody = request.count(Http::field::transfer_encoding) > 0 || request.count(Http::field::content_length) > 0;
    context.body = std::move(request.body());
    context.head = std::move(request.base());
    Relay::removeHopByHopFields(context.head);
    context.head.erase(Http::field::transfer_encoding);
    context.head.erase(Http::field::trailer);
    context.head.version(Network::HTTP_1_1);
    if (hadBody) {
        context.head.set(Http::field::content_length, std::to_string(context.body.size()));
    }
}

/// Records which instance forwarded the request. Targets do not receive what that instance added.
void takeForwarder(RequestContext &context, Http::fields &head)
{
    const auto name = head[FORWARDED_BY_FIELD];
    context.forwardedBy.assign(name.data(), name.size());
    head.erase(FORWARDED_BY_FIELD);
    context.state.dialect.removeForwardedKey(head);
    context.state.counters.takenForPeers += context.forwardedBy.empty() ? 0 : 1;
}

/// Determines the route, the service and the deadline. Returns the reason for a refusal if the request cannot be served.
std::optional<Reason> admit(RequestContext &context, const RequestMetadata &metadata)
{
    if (!context.configuration) {
        return Reason::NotConfigured;
    }
    context.route = Fleet::findRoute(*context.configuration, viewOf(context.head[Http::field::host]), viewOf(context.head.target()));
    if (context.route == nullptr || context.route->services.empty()) {
        return Reason::NoRoute;
    }
    context.priority = context.route->priority;
    if (const auto refusal = authenticate(context, metadata.tenantKey)) {
        return refusal;
    }
    auto &state = context.state;
    const auto service = state.services.find(Fleet::drawService(*context.route, state.random));
    if (service == state.services.end()) {
        return Reason::NoTarget;
    }
    context.service = service->second;
    if (!isWithinShare(context)) {
        return Reason::TenantOverShare;
    }
    auto &route = state.routes[context.route->name];
    if (metadata.remaining) {
        route.longestCallerTimeout = std::max(route.longestCallerTimeout, *metadata.remaining);
        context.waitedBefore = route.longestCallerTimeout - *metadata.remaining;
        context.callerTimeout = *metadata.remaining;
    }
    const auto timeout = context.route->timeout;
    const auto waits = metadata.remaining.value_or(timeout.count() > 0 ? timeout : DEFAULT_DEADLINE);
    context.allowed = timeout.count() > 0 ? std::min(waits, timeout) : waits;
    return std::nullopt;
}

std::chrono::milliseconds retryDelayOf(RequestContext &context, Reason reason)
{
    // A collector divides anew within this time. Without jitter the requests beyond a share would come back together.
    return reason == Reason::TenantOverShare ? Rejection::withJitter(Tenants::SHARE_INTERVAL, context.state.random) : IMMEDIATE_RETRY_AFTER;
}

void logRequest(RequestContext &context, unsigned status, bool isCallerGone)
{
    auto &state = context.state;
    const bool isLate = context.route != nullptr && context.elapsed() > context.route->objective;
    const bool isNotable = context.isNotable || status >= FIRST_CLIENT_ERROR || isCallerGone || isLate;
    if (!isNotable && state.random.below(state.settings.log.sampledRequests) != 0) {
        return;
    }
    const auto importance = isNotable ? Log::Importance::Notable : Log::Importance::Routine;
    nlohmann::ordered_json summary{{"request", context.attemptId},
                                   {"route", context.route == nullptr ? "" : context.route->name},
                                   {"configuration", context.configuration ? context.configuration->version : 0},
                                   {"status", status},
                                   {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(context.elapsed()).count()},
                                   {"allowed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(context.allowed).count()},
                                   {"caller_gone", isCallerGone},
                                   {"forwarded_by", context.forwardedBy},
                                   {"peers", context.triedPeers}};
    if (!context.tenant.empty()) {
        summary["tenant"] = context.tenant;
    }
    for (auto &decision : context.decisions) {
        decision["request"] = context.attemptId;
        state.log.write(importance, "decision", decision);
    }
    state.log.write(importance, "request", summary);
}

void countResult(GatewayState &state, const FlowResult &result)
{
    if (result.isCallerGone) {
        ++state.counters.callersGone;
        return;
    }
    const auto status = result.response.result();
    const bool isRefused = status == Http::status::service_unavailable || result.refusal == Reason::TenantOverShare;
    auto &counter = isRefused                                               ? state.counters.refused
        : Http::to_status_class(status) == Http::status_class::server_error ? state.counters.failed
                                                                            : state.counters.answered;
    ++counter;
}

} // namespace

CallerFrontend::CallerFrontend(Asio::io_context &context, GatewayState &gatewayState)
    : state(gatewayState)
    , acceptor(Network::openAcceptor(context, gatewayState.settings.instance.callerAddress))
{
    spawn(this->state, "accept", this->acceptLoop());
}

Asio::ip::tcp::endpoint CallerFrontend::localEndpoint() const
{
    return this->acceptor.local_endpoint();
}

void CallerFrontend::stopListening()
{
    Network::closeAcceptor(this->acceptor, [this](Asio::ip::tcp::socket socket) {
        this->take(std::move(socket));
    });
}

void CallerFrontend::refuseNewRequests()
{
    this->isRefusingNewRequests = true;
}

Asio::awaitable<void> CallerFrontend::acceptLoop()
{
    co_await Network::acceptConnections(this->acceptor, [this](Asio::ip::tcp::socket socket) {
        this->take(std::move(socket));
    });
}

void CallerFrontend::take(Asio::ip::tcp::socket socket)
{
    const auto most = static_cast<std::uint32_t>(this->state.settings.instance.maximumDescriptors * CALLER_DESCRIPTOR_SHARE);
    if (this->state.callerConnections < most) {
        spawn(this->state, "caller", this->serve(std::move(socket)));
    }
}

Asio::awaitable<void> CallerFrontend::serve(Asio::ip::tcp::socket socket)
{
    const Core::Presence connection(this->state.callerConnections);
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer(Network::unreadLimit(callerLimits(this->state).headerBytes));
    boost::system::error_code error;
    stream.socket().set_option(Asio::ip::tcp::no_delay(true), error);
    bool isUsable = true;
    while (isUsable && co_await waitForRequest(callerLimits(this->state), stream, buffer)) {
        isUsable = co_await this->serveRequest(stream, buffer);
    }
}

Asio::awaitable<bool> CallerFrontend::serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
{
    const Core::Presence inFlight(this->state.requestsInFlight);
    RequestParser parser;
    ReadRequest request{parser, Core::ByteHold(this->state.bodyBudget)};
    const auto read = co_await readRequest(callerLimits(this->state), stream, buffer, parser, request.hold);
    const auto problem = read.problem;
    if (read.error && !problem) {
        co_return false;
    }
    const bool isWellFormed = !problem && !Relay::findHeadProblem(parser.get().base());
    const bool keepsAlive = isWellFormed && parser.keep_alive() && parser.get().version() >= Network::HTTP_1_1;
    stream.expires_never();
    auto result = co_await this->handleRequest(stream.socket(), std::move(request), problem);
    if (result.isCallerGone) {
        co_return false;
    }
    const bool staysOpen = keepsAlive && !this->state.isStopping;
    result.response.keep_alive(staysOpen);
    stream.expires_after(WRITE_TIMEOUT);
    boost::system::error_code error;
    co_await Http::async_write(stream, result.response, Asio::redirect_error(Asio::use_awaitable, error));
    if (!staysOpen && !error) {
        stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, error);
    }
    co_return staysOpen && !error;
}

Asio::awaitable<FlowResult> CallerFrontend::handleRequest(Asio::ip::tcp::socket &socket, ReadRequest request, std::optional<Reason> problem)
{
    auto &parser = request.parser;
    ++this->state.counters.requests;
    auto context = std::make_shared<RequestContext>(this->state);
    const auto metadata = this->state.dialect.readRequestMetadata(parser.get().base());
    context->attemptId = metadata.attemptId;
    takeForwarder(*context, parser.get().base());
    const auto headProblem = problem ? std::nullopt : Relay::findHeadProblem(parser.get().base());
    auto refusal = headProblem ? std::optional(Reason::BadRequest) : problem;
    if (!refusal) {
        prepareHead(*context, parser.release());
        context->bodyHold = std::move(request.hold);
        refusal = this->isRefusingNewRequests ? Reason::Stopping : admit(*context, metadata);
    }
    FlowResult result;
    if (refusal) {
        context->recordDecision("refused", {{"reason", Rejection::reasonTraits(*refusal).name}});
        result.refusal = refusal;
        result.response
            = makeRefusal(this->state,
                          context->attemptId,
                          {.reason = *refusal, .retryAfter = retryDelayOf(*context, *refusal), .detail = headProblem.value_or("")});
    } else {
        RequestFlow flow(context);
        const Relay::CallerDisconnectWatch watch(socket, [&flow] {
            flow.callerGone();
        });
        result = co_await flow.run();
        recordTenantResult(*context, result);
    }
    if (context->forwardedBy.empty()) {
        result.response.erase(OWN_ANSWER_FIELD);
    }
    countResult(this->state, result);
    if (context->route != nullptr && !result.isCallerGone) {
        this->state.routes[context->route->name].latency.add(context->elapsed());
    }
    logRequest(*context, result.response.result_int(), result.isCallerGone);
    co_return result;
}

} // namespace Briarbend::Gateway
