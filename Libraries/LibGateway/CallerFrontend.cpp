#include <LibGateway/CallerFrontend.h>

#include <LibGateway/TenantAdmission.h>
#include <LibNetwork/HttpServer.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;

/// Deadline if neither the caller nor the route states one.
constexpr std::chrono::seconds DEFAULT_DEADLINE{30};
constexpr unsigned FIRST_CLIENT_ERROR = 400;
/// Share of the descriptors for connections of callers; the rest is for targets, the store and peers.
constexpr double CALLER_DESCRIPTOR_SHARE = 0.6;
/// A connection that has moved within this time is not closed to gain memory: a live caller's window opens more often.
constexpr std::chrono::seconds MINIMUM_STALL{1};

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

Fleet::CallerLimits callerLimits(const GatewayState &state)
{
    return state.routingConfiguration ? state.routingConfiguration->limits : Fleet::CallerLimits{};
}

CallerFrontend::CallerFrontend(Asio::io_context &context, GatewayState &gatewayState)
    : state(gatewayState)
    , listener(std::make_shared<Listener>(Network::openAcceptor(context, gatewayState.settings.instance.callerAddress), this))
{
    this->state.relieveMemory = [shared = this->listener] {
        return shared->frontend != nullptr && shared->frontend->cutStalest(Core::Clock::now());
    };
    spawn(this->state, "accept", acceptLoop(this->listener));
}

CallerFrontend::~CallerFrontend()
{
    this->listener->frontend = nullptr;
    boost::system::error_code ignored;
    this->listener->acceptor.close(ignored);
    std::ranges::for_each(this->connections, [](const auto &weak) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    });
}

Asio::ip::tcp::endpoint CallerFrontend::localEndpoint() const
{
    return this->listener->acceptor.local_endpoint();
}

void CallerFrontend::stopListening()
{
    Network::closeAcceptor(this->listener->acceptor, [this](Asio::ip::tcp::socket socket) {
        this->take(std::move(socket));
    });
}

void CallerFrontend::refuseNewRequests()
{
    this->isRefusingNewRequests = true;
}

Asio::awaitable<void> CallerFrontend::acceptLoop(std::shared_ptr<Listener> listener)
{
    // g++ 12 destroys a temporary closure in the operand of co_await twice, and with it the state that it holds.
    std::function<void(Asio::ip::tcp::socket)> take = [listener](Asio::ip::tcp::socket socket) {
        if (listener->frontend != nullptr) {
            listener->frontend->take(std::move(socket));
        }
    };
    co_await Network::acceptConnections(listener->acceptor, std::move(take));
}

void CallerFrontend::take(Asio::ip::tcp::socket socket)
{
    const auto most = static_cast<std::uint32_t>(this->state.settings.instance.maximumDescriptors * CALLER_DESCRIPTOR_SHARE);
    if (this->state.callerConnections < most) {
        auto connection = std::make_shared<CallerConnection>(std::move(socket), *this, this->state);
        this->connections.push_back(connection);
        spawn(this->state, "caller", CallerConnection::serveKeepingAlive(std::move(connection)));
    }
}

void CallerFrontend::checkConnections(Core::TimePoint now)
{
    std::erase_if(this->connections, [](const auto &connection) {
        return connection.expired();
    });
    std::ranges::for_each(this->connections, [now](const auto &weak) {
        if (const auto connection = weak.lock()) {
            connection->check(now);
        }
    });
    const auto &budget = this->state.bodyBudget;
    if (Callers::pressureOf(budget.held, budget.limit) == Callers::Pressure::RefuseRequests) {
        this->cutStalest(now);
    }
}

bool CallerFrontend::cutStalest(Core::TimePoint now)
{
    std::vector<std::shared_ptr<CallerConnection>> alive;
    std::ranges::transform(this->connections, std::back_inserter(alive), &std::weak_ptr<CallerConnection>::lock);
    std::erase(alive, nullptr);
    std::vector<Callers::ConnectionProgress> progress;
    std::ranges::transform(alive, std::back_inserter(progress), [](const auto &connection) {
        return connection->progress();
    });
    const auto stalest = Callers::chooseDisconnect(progress, now, MINIMUM_STALL);
    if (stalest) {
        alive[*stalest]->cut("memory", now);
    }
    return stalest.has_value();
}

CallerRequest CallerFrontend::receive(ReadRequest read, std::optional<Reason> problem)
{
    auto &parser = read.parser;
    CallerRequest request{
        .context = std::make_shared<RequestContext>(this->state), .refusal = problem, .refusalDetail = {}, .flow = nullptr};
    auto &context = *request.context;
    const auto metadata = this->state.dialect.readRequestMetadata(parser.get().base());
    context.attemptId = metadata.attemptId;
    takeForwarder(context, parser.get().base());
    const auto headProblem = problem ? std::nullopt : Relay::findHeadProblem(parser.get().base());
    if (headProblem) {
        request.refusal = Reason::BadRequest;
        request.refusalDetail = *headProblem;
    }
    if (!request.refusal) {
        const auto &budget = this->state.bodyBudget;
        const bool isShort = Callers::pressureOf(budget.held, budget.limit) == Callers::Pressure::RefuseRequests;
        prepareHead(context, parser.release());
        context.bodyHold = std::move(read.hold);
        request.refusal = this->isRefusingNewRequests ? Reason::Stopping : admit(context, metadata);
        if (!request.refusal && isShort) {
            request.refusal = Reason::Overloaded;
        }
    }
    return request;
}

Asio::awaitable<FlowResult> CallerFrontend::answer(CallerRequest &request)
{
    const auto context = request.context;
    FlowResult result;
    if (context->isCallerGone) {
        result.isCallerGone = true;
        co_return result;
    }
    ++this->state.counters.requests;
    if (request.refusal) {
        context->recordDecision("refused", {{"reason", Rejection::reasonTraits(*request.refusal).name}});
        result.response = makeRefusal(
            this->state,
            context->attemptId,
            {.reason = *request.refusal, .retryAfter = retryDelayOf(*context, *request.refusal), .detail = request.refusalDetail});
        result.refusal = request.refusal;
    } else {
        request.flow = std::make_shared<RequestFlow>(context);
        result = co_await request.flow->run();
        recordTenantResult(*context, result);
    }
    if (context->forwardedBy.empty()) {
        result.response.erase(OWN_ANSWER_FIELD);
    }
    if (context->head.method() == Network::Http::verb::head) {
        // The fields describe the body that a GET would get (RFC 9110, 9.3.2).
        result.response.body().clear();
    }
    countResult(this->state, result);
    if (context->route != nullptr && !result.isCallerGone) {
        this->state.routes[context->route->name].latency.add(context->elapsed());
    }
    logRequest(*context, result.response.result_int(), result.isCallerGone);
    co_return result;
}

} // namespace Briarbend::Gateway
