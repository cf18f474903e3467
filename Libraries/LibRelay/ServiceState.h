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

/// A request that waits in the admission queue. Its coroutine waits on the timer, which the queue cancels when a turn comes.
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

/// Which versions a request may go to while traffic moves between two.
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

/// Everything that one instance decides from for one service. One thread owns it.
struct ServiceState {
    Configuration::Service service;
    Routing::TargetTable table;
    Limits::AdmissionControl admission;
    Limits::RetryBudget retryBudget;
    std::unordered_map<Core::TargetId, TargetShares> shares;
    std::unordered_map<std::uint64_t, std::shared_ptr<WaitingRequest>> waiting;
    /// Asked for each request of a route while a rollout moves traffic; empty where every version is equal.
    std::function<VersionChoice(const std::string &routePrefix)> chooseVersions;
    /// Data centres that are out by any team's section.
    std::vector<Core::DataCentreName> dataCentresOut;
};

/// What the settings say of this instance's place among all.
struct InstancePlacement {
    Core::InstanceId instance;
    Core::DataCentreName dataCentre;
    Limits::QuotaPartition shares;
    /// Round trip to another data centre, over that within the own one.
    std::chrono::microseconds distance{0};
    Core::TimePoint startedAt;
    /// Members that run now, at least one; decides how many targets each covers.
    std::size_t members{1};
};

/// Takes over the service's configuration and its targets. Requests in flight and what was learnt of known targets stay.
void updateService(ServiceState &state,
                   const Configuration::Service &service,
                   const std::vector<Routing::TargetRecord> &targets,
                   const InstancePlacement &place);

/// Lets waiting requests run or expire. Called when a request leaves a target and on each tick.
void wakeWaitingRequests(ServiceState &state, Core::TimePoint now);

} // namespace Briarbend::Relay
