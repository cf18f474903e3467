#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Fair sharing of a service that is short of capacity: weighted max-min over the demand of all instances.
namespace Briarbend::Tenants
{

/// How often instances report their demand and a collector answers.
constexpr std::chrono::milliseconds SHARE_INTERVAL{1000};
/// Time after which an answer no longer applies, so that all requests are admitted. Survives two lost answers.
constexpr std::chrono::milliseconds FRACTION_LIFETIME{3000};
/// Time without a shortage after which a service counts as having room again.
constexpr std::chrono::milliseconds SHORTAGE_HOLD_TIME{3000};
/// Share of a tenant's requests that is always admitted, as a part of the share of all requests that is served.
constexpr double MINIMUM_SERVED_PART = 0.25;

/// What one tenant asks of a service.
struct TenantDemand {
    std::string tenant;
    /// Requests per second.
    double demand{0};
    double weight{1};
};

/// The share of a tenant's requests to admit.
struct TenantFraction {
    std::string tenant;
    double fraction{1};

    bool operator==(const TenantFraction &) const = default;
};

/// Divides the capacity, in requests per second, by weighted max-min: no tenant gets more than it asks for, and what some leave is divided
/// among the others by weight. Each tenant gets at least MINIMUM_SERVED_PART of the mean served share. Returns the tenants that get less
/// than they ask for.
std::vector<TenantFraction> divideFairly(const std::vector<TenantDemand> &tenants, double capacity);

/// The requests of one instance to one service in a time span.
struct ServiceCounts {
    std::map<std::string, double, std::less<>> byTenant;
    /// Requests that a target answered.
    double served{0};
    /// Requests that were refused because no target had room.
    double refused{0};
};

/// Counts of one instance for one service, for the collectors.
struct ServiceDemand {
    Core::ServiceName service;
    std::chrono::milliseconds span{0};
    ServiceCounts counts;
};

struct DemandReport {
    /// Peer address of the sender.
    std::string reporter;
    std::vector<ServiceDemand> services;
};

/// The fractions of one service that is short of capacity. Tenants that are not listed are not limited.
struct ServiceFractions {
    Core::ServiceName service;
    std::vector<TenantFraction> limited;
};

/// What one instance counts and what the collectors told it.
struct InstanceShares {
    struct Fractions {
        std::map<std::string, double, std::less<>> byTenant;
        Core::TimePoint expiresAt;
    };

    std::map<Core::ServiceName, ServiceCounts> counts;
    Core::TimePoint countedSince;
    /// Until when a service counts as short because this instance saw a refusal.
    std::map<Core::ServiceName, Core::TimePoint> shortUntil;
    std::map<Core::ServiceName, Fractions> fractions;
};

void countDemand(InstanceShares &shares, const Core::ServiceName &service, std::string_view tenant);
void countServed(InstanceShares &shares, const Core::ServiceName &service);
/// Counts a request that no target had room for.
void countRefused(InstanceShares &shares, const Core::ServiceName &service, Core::TimePoint now);

/// Takes the counts since the last call: of the services that are short as seen from here or according to the last answer. The others have
/// room, so nobody needs their counts.
std::vector<ServiceDemand> takeDemand(InstanceShares &shares, Core::TimePoint now);

void applyFractions(InstanceShares &shares, const std::vector<ServiceFractions> &answer, Core::TimePoint now);

/// The share of the tenant's requests to admit to the service: one unless a fraction that has not expired says less.
double admittedFraction(const InstanceShares &shares, const Core::ServiceName &service, std::string_view tenant, Core::TimePoint now);

/// What a collector knows of all instances.
struct ShareCollector {
    struct Report {
        std::vector<ServiceDemand> services;
        Core::TimePoint receivedAt;
    };

    struct ServiceMean {
        /// Exponentially weighted requests per second over all instances.
        std::map<std::string, double, std::less<>> demand;
        double served{0};
        /// Requests to admit for each one that was served.
        double headroom{1};
        Core::TimePoint shortUntil;
    };

    std::map<std::string, Report> reports;
    std::map<Core::ServiceName, ServiceMean> services;
};

void addReport(ShareCollector &collector, const DemandReport &report, Core::TimePoint now);

/// The fractions of all services that are short; those with room are left out. Call once in each SHARE_INTERVAL. While fewer than half of
/// the instances have reported on a service, it is listed without a limit, which asks the others to report.
std::vector<ServiceFractions> computeFractions(ShareCollector &collector, std::size_t instances, Core::TimePoint now);

} // namespace Briarbend::Tenants
