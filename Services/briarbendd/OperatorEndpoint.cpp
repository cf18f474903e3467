#include "OperatorEndpoint.h"

#include <nlohmann/json.hpp>

namespace Briarbend::Daemon
{

namespace
{

constexpr int DUMP_INDENT = 1;

using Network::Http::status;

} // namespace

OperatorEndpoint::OperatorEndpoint(boost::asio::io_context &context, const Network::Endpoint &endpoint, Readings sources)
    : readings(std::move(sources))
    , server(context, endpoint, [this](Network::Request request) -> boost::asio::awaitable<Network::Response> {
        co_return this->answer(request);
    })
{
}

Network::Endpoint OperatorEndpoint::endpoint() const
{
    return this->server.endpoint();
}

Network::Response OperatorEndpoint::answer(const Network::Request &request) const
{
    const auto path = Network::pathOf({request.target().data(), request.target().size()});
    if (request.method() != Network::Http::verb::get) {
        return Network::makeResponse(status::method_not_allowed, "text/plain", "only GET is allowed\n");
    }
    if (path == "/health/live") {
        return Network::makeResponse(status::ok, "text/plain", "live\n");
    }
    if (path == "/health/ready") {
        const bool isReady = this->readings.isReady();
        return Network::makeResponse(isReady ? status::ok : status::service_unavailable, "text/plain", isReady ? "ready\n" : "not ready\n");
    }
    if (path == "/dump") {
        return Network::makeResponse(status::ok, "application/json", this->readings.dump().dump(DUMP_INDENT) + "\n");
    }
    if (path == "/metrics") {
        return Network::makeResponse(status::ok, "text/plain; version=0.0.4", this->readings.metrics());
    }
    return Network::makeResponse(status::not_found, "text/plain", "known paths: /health/live, /health/ready, /dump, /metrics\n");
}

} // namespace Briarbend::Daemon
