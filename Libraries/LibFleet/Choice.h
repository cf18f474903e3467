#pragma once

#include <LibCore/Random.h>
#include <LibFleet/ServiceState.h>

namespace Briarbend::Fleet
{

/// Candidates that are probed in parallel. Where a quarter of the hosts is slow, all three are slow in 1.5 % of the cases.
constexpr std::size_t PARALLEL_PROBES = 3;

/// Which targets of a service one request may be sent to, and what distant ones cost.
struct ChoiceInput {
    Core::DataCentreName ownDataCentre;
    std::set<Core::DataCentreName> dataCentresOut;
    /// Names of targets that the request was sent to already or is being sent to.
    std::vector<std::string> excluded;
    /// Set while a rollout splits the traffic: only targets of this version, or only those of other versions, may be chosen.
    std::optional<Core::VersionName> version;
    bool isVersionExcluded{false};
    /// Names of the targets that may be chosen; empty if all may.
    std::vector<std::string> sampled;
    /// The request may be repeated, so it may be sent as a trial to a target whose health checks fail.
    bool isTrialAllowed{false};
    /// Round trip to a target of another data centre, in excess of the round trip within the own one.
    std::chrono::microseconds distance{0};
    /// Cost of transferring one kibibyte of answer between data centres, expressed as time.
    std::chrono::microseconds transferCostPerKibibyte{0};
    /// The first batch of probes stays in the own data centre, however busy it is. For searches that may send a second batch.
    bool isOwnDataCentreFirst{false};
};

/// Whether a target may be chosen.
enum class Usability {
    Usable,
    /// The target is warming up and takes only few requests.
    Cold,
    /// The target is ejected or fails health checks: chosen only where no other target is left.
    LastResort,
    Unusable,
};

Usability usability(const TargetState &target, const ChoiceInput &input, Core::TimePoint now);

/// Time until the first eligible target accepts requests again; nothing if one accepts them now or none is eligible.
std::optional<Core::Duration> timeUntilFirstAcceptsRequests(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now);

/// Share of the slots in use at the data centre's targets, from recent load reports; zero if there is none.
double occupancy(const ServiceState &service, const Core::DataCentreName &dataCentre, Core::TimePoint now);

/// Names of the targets to probe, the most promising first. Targets of the own data centre come first; the busier it is, the more targets
/// of other data centres are mixed in.
std::vector<std::string> candidates(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now, Core::Random &random);

/// Expected time from now to the answer of a request with the route's typical work.
std::chrono::microseconds expectedAnswerTime(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now);

/// Expected answer time plus the cost of transfer between data centres and of the target's failures. The target with the lowest cost is
/// chosen.
std::chrono::microseconds sendCost(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now);

/// Slots of the target in all, at least one.
std::uint32_t slotsOf(const TargetState &target);

/// Slots of the target that no request occupies.
std::uint32_t freeSlots(const TargetState &target);

/// True if less than a third of the target's slots are free.
bool isBusy(const TargetState &target);

/// True if the target has about as many requests as it accepts before it sheds requests or resets connections.
bool isFull(const TargetState &target);

} // namespace Briarbend::Fleet
