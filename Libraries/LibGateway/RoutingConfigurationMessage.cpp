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
                        std::move(services),
                        route.isPublic});
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
                                    .services = {},
                                    .isPublic = row.size() > 9 && row.at(9).get<bool>()};
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

/// One row for each tenant: name, priority or null, and the digests of the keys.
Json encodeTenants(const Tenants::TenantTable &table)
{
    auto rows = Json::array();
    std::ranges::transform(table.tenants, std::back_inserter(rows), [](const Tenants::Tenant &tenant) {
        return Json::array({tenant.name, tenant.priority ? Json(*tenant.priority) : Json(), Json::array()});
    });
    for (const auto &[digest, tenant] : table.keys) {
        rows.at(tenant).at(2).push_back(Json::binary({digest.begin(), digest.end()}));
    }
    return rows;
}

Tenants::KeyDigest decodeDigest(const Json &value)
{
    const auto &bytes = value.get_binary();
    Tenants::KeyDigest digest{};
    if (bytes.size() != digest.size()) {
        throw std::invalid_argument("not the digest of a key");
    }
    std::ranges::copy(bytes, digest.begin());
    return digest;
}

Tenants::TenantTable decodeTenants(const Json &rows)
{
    std::vector<Tenants::TenantKeys> definitions;
    std::ranges::transform(rows, std::back_inserter(definitions), [](const Json &row) {
        Tenants::TenantKeys definition{.tenant = {.name = row.at(0).get<std::string>(), .priority = {}}, .digests = {}};
        if (!Tenants::isValidName(definition.tenant.name)) {
            throw std::invalid_argument("not a tenant's name");
        }
        if (!row.at(1).is_null()) {
            definition.tenant.priority = row.at(1).get<std::uint32_t>();
        }
        std::ranges::transform(row.at(2), std::back_inserter(definition.digests), decodeDigest);
        return definition;
    });
    return Tenants::makeTable(std::move(definitions));
}

} // namespace

nlohmann::json encodeRoutingConfiguration(const Fleet::RoutingConfiguration &plan)
{
    auto routes = Json::array();
    std::ranges::transform(plan.routes, std::back_inserter(routes), encodeRoute);
    auto row = Json::array({plan.version, std::move(routes), encodeServices(plan.services), encodeLimits(plan.limits)});
    if (plan.tenants) {
        row.push_back(encodeTenants(*plan.tenants));
    }
    return row;
}

Fleet::RoutingConfiguration decodeRoutingConfiguration(const nlohmann::json &row)
{
    Fleet::RoutingConfiguration plan{.version = row.at(0).get<std::uint64_t>(),
                                     .routes = {},
                                     .services = decodeServices(row.at(2)),
                                     .limits = decodeLimits(row.at(3)),
                                     .tenants = {}};
    if (row.size() > 4 && !row.at(4).is_null()) {
        plan.tenants = std::make_shared<const Tenants::TenantTable>(decodeTenants(row.at(4)));
    }
    std::ranges::transform(row.at(1), std::back_inserter(plan.routes), decodeRoute);
    return plan;
}

} // namespace Briarbend::Gateway
