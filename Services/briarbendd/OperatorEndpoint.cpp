#include "OperatorEndpoint.h"

#include <LibCore/BoundedJson.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Daemon
{

namespace
{

constexpr int DUMP_INDENT = 1;
constexpr std::string_view SECTIONS_PATH{"/sections/"};

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

Network::Response OperatorEndpoint::takeSection(const std::string &team, const std::string &body) const
{
    try {
        const auto section = Core::parseJson(body);
        this->readings.takeSection(team, section.at("version").get<std::uint64_t>(), section.at("text").get<std::string>());
        return Network::makeResponse(status::ok, "text/plain", "taken\n");
    } catch (const std::exception &exception) {
        return Network::makeResponse(status::bad_request, "text/plain", std::string(exception.what()) + "\n");
    }
}

Network::Response OperatorEndpoint::answer(const Network::Request &request) const
{
    const auto path = Network::pathOf({request.target().data(), request.target().size()});
    if (request.method() == Network::Http::verb::put && path.starts_with(SECTIONS_PATH)) {
        return this->takeSection(std::string(path.substr(SECTIONS_PATH.size())), request.body());
    }
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
