#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibTenants/TenantTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The state that one instance keeps of the targets behind it, and the choice of a target from that state.
namespace Briarbend::Fleet
{

/// A service that receives a share of a route's traffic.
struct WeightedService {
    Core::ServiceName service;
    /// Relative to the sum of the route's weights.
    double weight{1};

    bool operator==(const WeightedService &) const = default;
};

/// How requests with one host and path prefix are treated.
struct RouteConfiguration {
    std::string name;
    /// Lower case, without a port.
    std::string host;
    std::string pathPrefix;
    /// Once: an attempt of a caller may run at most once. Requests of the other kinds may be resent and hedged.
    Configuration::RouteKind kind{Configuration::RouteKind::Once};
    /// Longest time from a request's arrival to its final answer; zero where only the caller's deadline counts.
    std::chrono::milliseconds timeout{0};
    /// Latency objective: answers within this time serve the caller fully.
    std::chrono::milliseconds objective{1000};
    /// Targets that one attempt of a caller may be sent to.
    std::uint32_t maximumSends{1};
    /// Zero is the most urgent.
    std::uint32_t priority{0};
    std::vector<WeightedService> services;
    /// Requests need no key of a tenant, even if the configuration has tenants.
    bool isPublic{false};

    bool operator==(const RouteConfiguration &) const = default;
};

struct ServiceConfiguration {
    std::string healthPath{"/health"};
    /// Connections that one target accepts from all callers together.
    std::uint32_t connectionsPerTarget{100};
    /// Requests per second that a cold target can take.
    double coldRequestsPerSecond{1};

    bool operator==(const ServiceConfiguration &) const = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
    std::uint32_t headerBytes{16384};
    std::uint64_t bodyBytes{64ULL * 1024 * 1024};
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the whole configuration.
struct RoutingConfiguration {
    std::uint64_t version{0};
    std::vector<RouteConfiguration> routes;
    std::map<Core::ServiceName, ServiceConfiguration> services;
    CallerLimits limits;
    /// Null if the configuration has no tenants at all, so that no request needs a key. With an empty table every key is unknown.
    std::shared_ptr<const Tenants::TenantTable> tenants;
};

/// Whether the configuration offered replaces the one in force: a later version does, and so does the same version with tenants where an
/// instance of a build that does not know them sent it without.
bool supersedes(const RoutingConfiguration &offered, const RoutingConfiguration &inForce);

/// The route of the host with the longest matching path prefix, or null. The host may include a port and upper case letters.
const RouteConfiguration *findRoute(const RoutingConfiguration &configuration, std::string_view host, std::string_view path);

/// Draws the service for one request of the route at random, by weight. The route must have at least one service.
Core::ServiceName drawService(const RouteConfiguration &route, Core::Random &random);

} // namespace Briarbend::Fleet
