#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// What one instance believes about the deployment that it fronts, and what it decides from that.
namespace Briarbend::Fleet
{

/// One part of a route's traffic.
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
    /// Once: one attempt of a caller may run at most once. The others may be sent again and hedged.
    Configuration::RouteKind kind{Configuration::RouteKind::Once};
    /// Longest time from a request's arrival to its final answer; zero where only the caller's deadline counts.
    std::chrono::milliseconds timeout{0};
    /// Answers within this time serve the caller fully.
    std::chrono::milliseconds objective{1000};
    /// Targets that one attempt of a caller may be sent to.
    std::uint32_t maximumSends{1};
    /// Zero is the most urgent.
    std::uint32_t priority{0};
    std::vector<WeightedService> services;

    bool operator==(const RouteConfiguration &) const = default;
};

struct ServiceConfiguration {
    std::string healthPath{"/health"};
    /// Connections that one target accepts from all callers together.
    std::uint32_t connectionsPerTarget{100};
    /// Requests a second that a cold target bears.
    double coldRequestsPerSecond{1};

    bool operator==(const ServiceConfiguration &) const = default;
};

/// Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t headerBytes{16384};
    std::uint64_t bodyBytes{64ULL * 1024 * 1024};
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};

    bool operator==(const CallerLimits &) const = default;
};

/// The whole configuration of one version.
struct RoutingConfiguration {
    std::uint64_t version{0};
    std::vector<RouteConfiguration> routes;
    std::map<Core::ServiceName, ServiceConfiguration> services;
    CallerLimits limits;
};

/// The route of the host whose prefix of the path is the longest; null where none fits. The host may have a port and capitals.
const RouteConfiguration *findRoute(const RoutingConfiguration &configuration, std::string_view host, std::string_view path);

/// Draws the service for one request of the route by the weights. The route must have a service.
Core::ServiceName drawService(const RouteConfiguration &route, Core::Random &random);

} // namespace Briarbend::Fleet
