#include "ServiceUpdater.h"

#include <LibNetwork/Endpoint.h>

#include <algorithm>

namespace Briarbend::Daemon
{

namespace
{

std::vector<Routing::TargetRecord> targetsOfService(const Core::ServiceName &service, const std::vector<Store::ListedInstance> &list)
{
    std::vector<Routing::TargetRecord> targets;
    for (const auto &instance : list) {
        if (instance.service == service && Network::parseEndpoint(instance.address)) {
            targets.push_back({.id = {instance.address},
                               .dataCentre = instance.dataCentre,
                               .version = instance.version,
                               .isLeaving = instance.state == Store::InstanceState::Leaving});
        }
    }
    return targets;
}

std::vector<Core::DataCentreName> dataCentresOut(const Configuration::RouteTable &routes)
{
    std::set<Core::DataCentreName> out;
    for (const auto &[team, section] : routes.sections()) {
        for (const auto &dataCentre : section.dataCentres) {
            if (routes.isOut(dataCentre.name)) {
                out.insert(dataCentre.name);
            }
        }
    }
    return {out.begin(), out.end()};
}

/// Targets of services that no section names yet are told to the gate as well: sections come into force one by one, and the targets of
/// a later one would pass for new and cold.
void updateColdGate(Relay::RelayState &relay, const std::vector<Store::ListedInstance> &list)
{
    std::vector<Limits::WarmupLimits> limits;
    for (const auto &instance : list) {
        if (!relay.services.contains(instance.service) && instance.service.value != Store::ENTRY_SERVICE) {
            limits.push_back({.target = {instance.address}});
        }
    }
    for (const auto &[name, service] : relay.services) {
        std::ranges::transform(
            service->table.targets, std::back_inserter(limits), [&service = *service](const Routing::TargetState &target) {
                const auto &targetLimits = service.service.limits;
                return Limits::WarmupLimits{target.record.id, targetLimits.coldRequests, targetLimits.warmAfterRequests};
            });
    }
    Limits::updateTargetList(relay.coldGate, limits);
}

} // namespace

void updateServices(Relay::RelayState &relay,
                    const Configuration::Sections &sections,
                    const std::vector<Store::ListedInstance> &list,
                    const Relay::InstancePlacement &place)
{
    if (sections.empty()) {
        return;
    }
    auto routes = std::make_shared<const Configuration::RouteTable>(sections);
    const auto out = dataCentresOut(*routes);
    std::set<Core::ServiceName> present;
    for (const auto &[team, section] : sections) {
        for (const auto &service : section.services) {
            present.insert(service.name);
            auto &state = relay.services[service.name];
            if (!state) {
                state = std::make_shared<Relay::ServiceState>();
            }
            state->dataCentresOut = out;
            Relay::updateService(*state, service, targetsOfService(service.name, list), place);
        }
    }
    std::erase_if(relay.services, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
    relay.routes = std::move(routes);
    if (!list.empty()) {
        updateColdGate(relay, list);
    }
}

std::set<Core::TargetId> targetsOf(const Relay::RelayState &relay)
{
    std::set<Core::TargetId> targets;
    for (const auto &[name, service] : relay.services) {
        for (const auto &target : service->table.targets) {
            targets.insert(target.record.id);
        }
    }
    return targets;
}

} // namespace Briarbend::Daemon
