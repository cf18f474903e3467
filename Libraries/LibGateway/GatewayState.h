#pragma once

#include <LibAdmission/ServiceAdmission.h>
#include <LibCore/ByteBudget.h>
#include <LibCore/Random.h>
#include <LibFleet/Choice.h>
#include <LibFleet/Connectivity.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/PlatformStore.h>
#include <LibLog/EventLog.h>
#include <LibMetrics/LatencySummary.h>
#include <LibRelay/RequestGuard.h>
#include <LibRelay/TargetConnection.h>
#include <LibRouting/LoadEstimate.h>
#include <LibSettings/GatewaySettings.h>
#include <LibTenants/FairShare.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Briarbend::Gateway
{

/// Requests of one priority where the slots of services are shared by value.
struct AdmissionCounters {
    std::uint64_t arrived{0};
    std::uint64_t queued{0};
    std::uint64_t refused{0};
};

/// Counters of one instance since it started.
struct GatewayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t callersGone{0};
    /// Connections closed because their callers took or sent no bytes.
    std::uint64_t callersCut{0};
    std::uint64_t probes{0};
    std::uint64_t sends{0};
    std::uint64_t resends{0};
    std::uint64_t hedges{0};
    std::uint64_t unmatchedResponses{0};
    std::uint64_t connectionsOpened{0};
    std::uint64_t storeFailures{0};
    /// Sends and health checks to targets of other data centres, and bytes of bodies that came from there.
    std::uint64_t farSends{0};
    std::uint64_t farProbes{0};
    std::uint64_t farResponseBytes{0};
    /// Comparisons of the versions of a rollout over the evidence that this instance has.
    std::uint64_t rolloutEvaluations{0};
    /// Requests that were sent to a peer because this instance reached no target, and requests that peers sent here.
    std::uint64_t forwarded{0};
    std::uint64_t takenForPeers{0};
    std::array<AdmissionCounters, Admission::PRIORITY_CLASSES> admission{};
    /// Requests without a valid key of a tenant where the configuration needs one.
    std::uint64_t unauthenticated{0};
    /// Requests beyond the share of their tenant.
    std::uint64_t overShare{0};
    /// Reports of usage that the platform accepted, calls that it did not accept, and reports that were accepted late or given up.
    std::uint64_t usageReports{0};
    std::uint64_t usageReportsRefused{0};
    std::uint64_t usageReportsLate{0};
};

/// Where a request is sent if no target of the version selected for it is available.
enum class VersionFallback {
    /// To the other versions if the new version was selected for it, otherwise nowhere.
    OtherVersions,
    /// Nowhere: targets of the old version may shut down at any moment.
    None,
};

/// Which versions of a service a request may go to.
struct VersionSplit {
    Core::VersionName newVersion;
    double newShare{0};
    /// Names of the targets of the new version that may be chosen; empty if all of them may.
    std::vector<std::string> newVersionTargets;
    VersionFallback fallback{VersionFallback::OtherVersions};
};

/// The outcome of one request at one target, used to evaluate versions.
struct AttemptObservation {
    Core::ServiceName service;
    std::string route;
    std::string target;
    Core::VersionName version;
    bool isFailure{false};
    /// Another target answered first, or the caller allowed less time than the objective and it was up.
    bool isCutShort{false};
    bool wasCold{false};
    /// Few of the target's slots were free when the request was sent, or it could not be exchanged for another.
    bool wasBusy{false};
    Core::Duration elapsed{0};
    /// The route's objective.
    std::chrono::microseconds objective{0};
};

struct RouteState {
    /// The longest remaining time that a caller of the route has stated, which is that of a first attempt. The difference to a shorter one
    /// is the time that the caller has already waited.
    std::chrono::milliseconds longestCallerTimeout{0};
    Fleet::RouteStatistics statistics;
    /// Quantile of the response time in milliseconds.
    Routing::StreamingQuantile responseTimeQuantile{.quantile = 0.85, .estimate = 0};
    Metrics::LatencySummary latency;
};

struct ServiceWaiters;

/// The shared state of one instance. Only one thread accesses it.
struct GatewayState {
    GatewayState(boost::asio::any_io_executor executor,
                 Settings::GatewaySettings gatewaySettings,
                 Dialect platformDialect,
                 std::uint64_t seed);

    boost::asio::any_io_executor executor;
    Settings::GatewaySettings settings;
    Dialect dialect;
    Log::EventLog log;
    Core::Random random;
    /// Memory held by requests and by bodies of responses.
    Core::ByteBudget bodyBudget;
    /// Closes a stalled connection of a caller to gain memory. False if there is none. Unset if no callers are served.
    std::function<bool()> relieveMemory;
    Relay::TargetConnectionPool pool;
    /// Null until the first configuration has been received.
    std::shared_ptr<const Fleet::RoutingConfiguration> routingConfiguration;
    Fleet::Directory directory;
    /// Whether this instance reaches targets at all.
    Fleet::Connectivity connectivity;
    std::set<Core::DataCentreName> dataCentresOut;
    std::map<Core::ServiceName, std::shared_ptr<Fleet::ServiceState>> services;
    /// Empty where the slots of services are not shared by value.
    std::map<Core::ServiceName, std::shared_ptr<ServiceWaiters>> waiters;
    std::map<std::string, RouteState> routes;
    /// Returns nothing while no rollout splits the traffic of the service.
    std::function<std::optional<VersionSplit>(const Core::ServiceName &service, const std::string &route)> versionSplitFor;
    /// Called for each request that is sent to a target, when only its destination is known. The request keeps the result until it ends.
    std::function<std::shared_ptr<void>(const AttemptObservation &)> onSent;
    /// Called for each request to which a target has responded or which it has lost.
    std::function<void(const AttemptObservation &)> onObserved;
    /// Called once for each start of a target when a response tells this instance that the target is leaving.
    std::function<void(const std::string &target, std::int64_t startedAtMilliseconds)> onTargetLeaving;
    /// Called when peers should be told of a rate that a target states, or that it states none any more.
    std::function<void(const std::string &target, std::int64_t startedAtMilliseconds, std::optional<double> requestsPerSecond)>
        onTargetRate;
    /// Returns the caller address of a peer that takes a request which reaches no target from here, without the addresses given; nothing if
    /// there is none. Unset if requests are not forwarded.
    std::function<boost::asio::awaitable<std::optional<Core::TargetId>>(std::vector<std::string> excludedAddresses)> findPeer;
    /// Called for each request of a tenant that is sent to a target. The result takes the request back if it turns out not to have run.
    /// Unset if usage is not reported.
    std::function<std::function<void()>(const std::string &tenant)> countRequest;
    /// Losses of requests that count against a target's version only once any target has been heard after them.
    std::vector<AttemptObservation> unconfirmedLosses;
    /// Names of targets that are being asked whether they have ended.
    std::set<std::string> targetsInVerification;
    /// Additional round-trip time to a target in another data centre, compared with one in the same data centre.
    std::chrono::microseconds distance{2000};
    /// Cost of transferring one kibibyte of response between data centres, expressed as time that a caller waits.
    std::chrono::microseconds crossDataCentreCostPerKibibyte{6000};
    /// Prevents requests that break targets from breaking more of them; null if there is no such protection.
    Relay::RequestGuard *guard{nullptr};
    /// Number of running instances, including this one.
    std::size_t instances{1};
    Fleet::RateSharers rateSharers;
    Tenants::InstanceShares tenantShares;
    GatewayCounters counters;
    std::uint32_t callerConnections{0};
    std::uint32_t requestsInFlight{0};
    bool isStopping{false};
    /// This instance reports usage for all instances.
    bool holdsUsageDuty{false};
};

/// Runs a detached coroutine. An exception that leaves it is logged under the name, since no caller can receive it.
void spawn(GatewayState &state, std::string_view name, boost::asio::awaitable<void> coroutine);

/// Lets a part of the budget for bodies grow to the total. Closes stalled connections of callers if there is not enough left. False if that
/// does not suffice.
bool takeMemory(GatewayState &state, Core::ByteHold &hold, std::uint64_t total);

/// Updates the state of all services to match the routing configuration and the directory.
void updateServiceStates(GatewayState &state, Core::TimePoint now);

} // namespace Briarbend::Gateway
