#pragma once

#include <LibConfiguration/RouteTable.h>
#include <LibLimits/Admission.h>
#include <LibLimits/RateQuota.h>
#include <LibLimits/RetryBudget.h>
#include <LibRouting/TargetTable.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Briarbend::Relay
{

/// A request that waits in the admission queue. Its coroutine waits on the timer, which is cancelled when the request may run or expires.
struct WaitingRequest {
    explicit WaitingRequest(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    enum class Verdict {
        Waiting,
        Run,
        Expired,
    };

    boost::asio::steady_timer timer;
    Verdict verdict{Verdict::Waiting};
};

/// Versions and targets that a request may go to during a rollout.
struct VersionChoice {
    std::vector<Routing::VersionShare> shares;
    /// Targets that the request must not go to.
    std::vector<Core::TargetId> excluded;
};

/// The instance's share of one target's divisible budgets.
struct TargetShares {
    std::uint32_t connections{0};
    Limits::RateQuota probes;
};

/// The state from which one instance makes its decisions for one service. One thread owns it.
struct ServiceState {
    Configuration::Service service;
    Routing::TargetTable table;
    Limits::AdmissionControl admission;
    Limits::RetryBudget retryBudget;
    std::unordered_map<Core::TargetId, TargetShares> shares;
    std::unordered_map<std::uint64_t, std::shared_ptr<WaitingRequest>> waiting;
    /// Called for each request of a route during a rollout; empty if all versions are treated alike.
    std::function<VersionChoice(const std::string &routePrefix)> chooseVersions;
    /// Data centres that any team's section takes out of service.
    std::vector<Core::DataCentreName> dataCentresOut;
};

/// This instance's identity, location and share among all instances.
struct InstancePlacement {
    Core::InstanceId instance;
    Core::DataCentreName dataCentre;
    Limits::QuotaPartition shares;
    /// Round trip to another data centre in excess of that within the own one.
    std::chrono::microseconds distance{0};
    Core::TimePoint startedAt;
    /// Members that run now, at least one; determines how many targets each one covers.
    std::size_t members{1};
};

/// Applies the service's configuration and its targets. Keeps requests in flight and the state of known targets.
void updateService(ServiceState &state,
                   const Configuration::Service &service,
                   const std::vector<Routing::TargetRecord> &targets,
                   const InstancePlacement &place);

/// Admits or expires waiting requests. Called when an admitted request ends and on each tick.
void wakeWaitingRequests(ServiceState &state, Core::TimePoint now);

} // namespace Briarbend::Relay
