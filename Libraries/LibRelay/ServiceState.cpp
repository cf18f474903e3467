#include <LibRelay/ServiceState.h>

#include <algorithm>
#include <set>

namespace Briarbend::Relay
{

namespace
{

/// Instances that cover each target once the fleet is too large for each instance to cover every target.
constexpr std::size_t INSTANCES_PER_TARGET = 8;
/// Minimum number of targets that an instance covers, so that it still has several to choose from.
constexpr std::size_t MINIMUM_SUBSET_TARGETS = 24;
constexpr std::uint32_t MINIMUM_REQUESTS_IN_FLIGHT = 16;
constexpr std::uint32_t RESERVED_CONNECTIONS_PER_TARGET = 2;

void updateShares(ServiceState &state, const InstancePlacement &place)
{
    const auto &limits = state.service.limits;
    std::set<Core::TargetId> present;
    for (const auto &target : state.table.targets) {
        const auto &id = target.record.id;
        present.insert(id);
        const auto probes = Limits::instanceShare(limits.probesPerSecond, place.shares, id);
        const auto [entry, isNew] = state.shares.try_emplace(id);
        // The prober and the watch over the target's process use one connection of the share each.
        const auto connections = Limits::instanceShare(limits.connections, place.shares, id);
        entry->second.connections = connections > RESERVED_CONNECTIONS_PER_TARGET ? connections - RESERVED_CONNECTIONS_PER_TARGET : 0;
        if (isNew) {
            entry->second.probes = Limits::startRateQuota(probes, place.startedAt);
        } else {
            Limits::resizeRateQuota(entry->second.probes, probes);
        }
    }
    std::erase_if(state.shares, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

void wake(ServiceState &state, std::uint64_t number, WaitingRequest::Verdict verdict)
{
    const auto found = state.waiting.find(number);
    if (found == state.waiting.end()) {
        return;
    }
    found->second->verdict = verdict;
    found->second->timer.cancel();
    state.waiting.erase(found);
}

} // namespace

void updateService(ServiceState &state,
                   const Configuration::Service &service,
                   const std::vector<Routing::TargetRecord> &targets,
                   const InstancePlacement &place)
{
    state.service = service;
    auto &parameters = state.table.parameters;
    parameters.policy = service.policy;
    parameters.ownDataCentre = place.dataCentre;
    parameters.distance = place.distance;
    parameters.slots = service.limits.slots;
    const auto size = Routing::subsetSize(targets.size(), place.members, INSTANCES_PER_TARGET, MINIMUM_SUBSET_TARGETS);
    Routing::updateTargets(state.table, Routing::subsetOf(targets, place.instance, size));
    const auto slots = targets.size() * service.limits.slots;
    state.admission.parameters.inFlight = std::max(MINIMUM_REQUESTS_IN_FLIGHT, Limits::inFlightLimit(slots, place.members));
    updateShares(state, place);
}

void wakeWaitingRequests(ServiceState &state, Core::TimePoint now)
{
    for (const auto &request : Limits::dequeueExpired(state.admission, now)) {
        wake(state, request.ticket.number, WaitingRequest::Verdict::Expired);
    }
    while (const auto request = Limits::dequeueRunnable(state.admission, now)) {
        wake(state, request->ticket.number, WaitingRequest::Verdict::Run);
    }
}

} // namespace Briarbend::Relay
