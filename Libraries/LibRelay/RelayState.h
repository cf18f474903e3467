#pragma once

#include <LibCore/Random.h>
#include <LibLimits/ColdGate.h>
#include <LibMetrics/LatencySummary.h>
#include <LibRejection/Reason.h>
#include <LibRelay/ClaimSubmitter.h>
#include <LibRelay/RequestGuard.h>
#include <LibRelay/ServiceState.h>
#include <LibRelay/TargetConnection.h>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace Briarbend::Relay
{

/// Counters of one instance since its start.
struct RelayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t retries{0};
    std::uint64_t hedges{0};
    std::uint64_t callersGone{0};
    std::uint64_t brokenOff{0};
    std::array<std::uint64_t, Rejection::REASON_COUNT> refusedByReason{};
};

/// Latencies of requests by stage.
struct RelayLatencies {
    /// From the request's head until it is sent: admission, claim and target selection.
    Metrics::LatencySummary beforeSending;
    /// From the last send to the head of the response, at the target and on the network.
    Metrics::LatencySummary atTarget;
};

/// Outcome of one request at one target, for the evaluator of versions.
struct ExchangeObservation {
    Core::ServiceName service;
    Core::TargetId target;
    Core::VersionName version;
    std::string routePrefix;
    bool isFailure{false};
    /// The target was cold when the request was sent.
    bool wasCold{false};
    Core::Duration timeToHead{0};
};

/// Operator settings for the traffic of callers.
struct RelayLimits {
    std::uint32_t callerConnections{10'000};
    std::uint32_t headerBytes{16 * 1024};
    std::uint64_t requestBodyBytes{4ULL * 1024 * 1024 * 1024};
    std::uint64_t claimedBodyBytes{256ULL * 1024};
    std::chrono::milliseconds idleTimeout{60'000};
};

/// The state that all callers' requests of one instance share. One thread owns it.
struct RelayState {
    RelayState(boost::asio::any_io_executor executor, std::uint64_t seed)
        : random(seed)
        , pool(std::move(executor))
    {
    }

    /// Name in Proxy-Status and log lines.
    std::string instanceName;
    RelayLimits limits;
    Core::InstanceId instance;
    /// Null if the instance serves no requests that run at most once.
    ClaimSubmitter *claims{nullptr};
    /// Null if requests that crash targets are not detected.
    RequestGuard *guard{nullptr};
    /// Null until a configuration has been received.
    std::shared_ptr<const Configuration::RouteTable> routes;
    std::unordered_map<Core::ServiceName, std::shared_ptr<ServiceState>> services;
    Limits::ColdGate coldGate;
    Core::Random random;
    TargetConnectionPool pool;
    /// Called after each exchange whose outcome says something about its target.
    std::function<void(const ExchangeObservation &)> onObserved;
    RelayCounters counters;
    RelayLatencies latencies;
    /// Requests that callers are still waiting for.
    std::uint32_t requestsInFlight{0};
    std::uint32_t callerConnections{0};
    /// True once a planned stop began: answers carry Connection: close.
    bool isStopping{false};
    /// False while this instance may be out of date: its process was suspended and has not confirmed its versions yet.
    std::function<bool()> isCurrent = [] {
        return true;
    };
};

} // namespace Briarbend::Relay
