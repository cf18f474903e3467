#include <LibGateway/RoutingConfigurationMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

Json encodeRoute(const Fleet::RouteConfiguration &route)
{
    auto services = Json::array();
    std::ranges::transform(route.services, std::back_inserter(services), [](const Fleet::WeightedService &part) {
        return Json::array({part.service.value, part.weight});
    });
    return Json::array({route.name,
                        route.host,
                        route.pathPrefix,
                        route.kind,
                        route.timeout.count(),
                        route.objective.count(),
                        route.maximumSends,
                        route.priority,
                        std::move(services)});
}

Configuration::RouteKind decodeRouteKind(const Json &value)
{
    const auto kind = value.get<Configuration::RouteKind>();
    switch (kind) {
    case Configuration::RouteKind::Safe:
    case Configuration::RouteKind::Idempotent:
    case Configuration::RouteKind::Once:
        return kind;
    }
    throw std::invalid_argument("unknown kind of route");
}

Fleet::RouteConfiguration decodeRoute(const Json &row)
{
    Fleet::RouteConfiguration route{.name = row.at(0).get<std::string>(),
                                    .host = row.at(1).get<std::string>(),
                                    .pathPrefix = row.at(2).get<std::string>(),
                                    .kind = decodeRouteKind(row.at(3)),
                                    .timeout = std::chrono::milliseconds(row.at(4).get<std::int64_t>()),
                                    .objective = std::chrono::milliseconds(row.at(5).get<std::int64_t>()),
                                    .maximumSends = row.at(6).get<std::uint32_t>(),
                                    .priority = row.at(7).get<std::uint32_t>(),
                                    .services = {}};
    std::ranges::transform(row.at(8), std::back_inserter(route.services), [](const Json &part) {
        return Fleet::WeightedService{{part.at(0).get<std::string>()}, part.at(1).get<double>()};
    });
    return route;
}

Json encodeServices(const std::map<Core::ServiceName, Fleet::ServiceConfiguration> &services)
{
    auto rows = Json::array();
    for (const auto &[name, service] : services) {
        rows.push_back(Json::array({name.value, service.healthPath, service.connectionsPerTarget, service.coldRequestsPerSecond}));
    }
    return rows;
}

std::map<Core::ServiceName, Fleet::ServiceConfiguration> decodeServices(const Json &rows)
{
    std::map<Core::ServiceName, Fleet::ServiceConfiguration> services;
    for (const auto &row : rows) {
        services[{row.at(0).get<std::string>()}] = {.healthPath = row.at(1).get<std::string>(),
                                                    .connectionsPerTarget = row.at(2).get<std::uint32_t>(),
                                                    .coldRequestsPerSecond = row.at(3).get<double>()};
    }
    return services;
}

Json encodeLimits(const Fleet::CallerLimits &limits)
{
    return Json::array({limits.headerBytes, limits.bodyBytes, limits.headerTimeout.count(), limits.idleTimeout.count()});
}

Fleet::CallerLimits decodeLimits(const Json &row)
{
    return {.headerBytes = row.at(0).get<std::uint32_t>(),
            .bodyBytes = row.at(1).get<std::uint64_t>(),
            .headerTimeout = std::chrono::milliseconds(row.at(2).get<std::int64_t>()),
            .idleTimeout = std::chrono::milliseconds(row.at(3).get<std::int64_t>())};
}

} // namespace

nlohmann::json encodeRoutingConfiguration(const Fleet::RoutingConfiguration &plan)
{
    auto routes = Json::array();
    std::ranges::transform(plan.routes, std::back_inserter(routes), encodeRoute);
    return Json::array({plan.version, std::move(routes), encodeServices(plan.services), encodeLimits(plan.limits)});
}

Fleet::RoutingConfiguration decodeRoutingConfiguration(const nlohmann::json &row)
{
    Fleet::RoutingConfiguration plan{
        .version = row.at(0).get<std::uint64_t>(), .routes = {}, .services = decodeServices(row.at(2)), .limits = decodeLimits(row.at(3))};
    std::ranges::transform(row.at(1), std::back_inserter(plan.routes), decodeRoute);
    return plan;
}

} // namespace Briarbend::Gateway
