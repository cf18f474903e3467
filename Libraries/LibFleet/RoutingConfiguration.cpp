#include <LibFleet/RoutingConfiguration.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <numeric>

namespace Briarbend::Fleet
{

namespace
{

bool isSameHost(std::string_view configured, std::string_view requested)
{
    const auto colon = requested.rfind(':');
    const bool hasPort = colon != std::string_view::npos && requested.find(']', colon) == std::string_view::npos;
    const auto name = hasPort ? requested.substr(0, colon) : requested;
    return std::ranges::equal(configured, name, [](char one, char other) {
        return one == static_cast<char>(std::tolower(static_cast<unsigned char>(other)));
    });
}

} // namespace

bool supersedes(const RoutingConfiguration &offered, const RoutingConfiguration &inForce)
{
    const bool addsTenants = offered.version == inForce.version && offered.tenants && !inForce.tenants;
    return offered.version > inForce.version || addsTenants;
}

const RouteConfiguration *findRoute(const RoutingConfiguration &configuration, std::string_view host, std::string_view path)
{
    const auto pathOnly = path.substr(0, path.find('?'));
    const RouteConfiguration *best = nullptr;
    for (const auto &route : configuration.routes) {
        const bool isLonger = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (isLonger && pathOnly.starts_with(route.pathPrefix) && isSameHost(route.host, host)) {
            best = &route;
        }
    }
    return best;
}

Core::ServiceName drawService(const RouteConfiguration &route, Core::Random &random)
{
    const auto sum = std::transform_reduce(route.services.begin(), route.services.end(), 0.0, std::plus{}, [](const WeightedService &part) {
        return part.weight;
    });
    auto rest = random.unit() * sum;
    const auto drawn = std::ranges::find_if(route.services, [&rest](const WeightedService &part) {
        rest -= part.weight;
        return rest < 0;
    });
    return drawn == route.services.end() ? route.services.back().service : drawn->service;
}

} // namespace Briarbend::Fleet
