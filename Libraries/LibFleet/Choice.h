#pragma once

#include <LibCore/Random.h>
#include <LibFleet/ServiceState.h>

namespace Briarbend::Fleet
{

/// Candidates that are asked at once: of three hosts of which a quarter is slow, one and a half in a hundred times all are.
constexpr std::size_t PARALLEL_PROBES = 3;

/// Which targets of a service one request may go to.
struct ChoiceInput {
    Core::DataCentreName ownDataCentre;
    std::set<Core::DataCentreName> dataCentresOut;
    /// Names of targets that the request was sent to or that are being tried for it.
    std::vector<std::string> excluded;
    /// Set while a rollout splits the traffic: only targets of this version, or only those of others.
    std::optional<Core::VersionName> version;
    bool isVersionExcluded{false};
    /// Names of the only targets of the version that may be chosen; empty where all may.
    std::vector<std::string> sampled;
    /// The request may be repeated, so that it may show whether a target that says it takes no work is well.
    bool isTrialAllowed{false};
    /// Round trip to a target of another data centre beyond that to one of the own.
    std::chrono::microseconds distance{0};
    /// Time that one kibibyte of answer between data centres is worth.
    std::chrono::microseconds transferCostPerKibibyte{0};
};

/// Why a target may or may not be chosen.
enum class Usability {
    Usable,
    /// Bears only few requests.
    Cold,
    /// Could not be reached lately or refuses work: only where nothing else is left.
    LastResort,
    Unusable,
};

Usability usability(const TargetState &target, const ChoiceInput &input, Core::TimePoint now);

/// Time until the first of the targets that may be chosen wants requests again; nothing where one of them does now, or there is none.
std::optional<Core::Duration> timeUntilFirstAcceptsRequests(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now);

/// Share of the slots in use at the data centre's targets, by what they stated lately; zero where none did.
double occupancy(const ServiceState &service, const Core::DataCentreName &dataCentre, Core::TimePoint now);

/// Targets worth asking for their load, the most promising first: those of the own data centre, with the more of others among them the
/// busier it is.
std::vector<std::string> candidates(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now, Core::Random &random);

/// Expected time from now to the answer of a request with the route's typical work.
std::chrono::microseconds expectedAnswerTime(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now);

/// Expected time raised by what the crossing between data centres and the target's failures cost; the choice is for the lowest.
std::chrono::microseconds sendCost(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now);

/// Slots of the target that no request takes.
std::uint32_t freeSlots(const TargetState &target);

/// True where the target has about as many requests as it takes before it sheds or resets.
bool isFull(const TargetState &target);

} // namespace Briarbend::Fleet
