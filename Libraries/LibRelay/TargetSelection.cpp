#include <LibRelay/TargetSelection.h>

namespace Briarbend::Relay
{

namespace
{

Routing::Permission
permissionFor(const RelayState &relay, const ServiceState &service, const Routing::TargetState &target, Core::TimePoint now)
{
    const auto &id = target.record.id;
    const auto verdict = Limits::sendPermission(relay.coldGate, id, now);
    if (verdict == Limits::SendPermission::Refuse) {
        return Routing::Permission::RefusedCold;
    }
    const auto shares = service.shares.find(id);
    const bool hasRoom = shares != service.shares.end() && relay.pool.openCount(id) < shares->second.connections;
    if (!hasRoom && relay.pool.idleCount(id) == 0) {
        return Routing::Permission::RefusedConnections;
    }
    return verdict == Limits::SendPermission::TrialAllowed ? Routing::Permission::PermittedCold : Routing::Permission::Permitted;
}

} // namespace

Routing::Choice
selectTarget(RelayState &relay, ServiceState &service, const std::string &routePrefix, const std::vector<Core::TargetId> &tried)
{
    const auto now = Core::Clock::now();
    auto versions = service.chooseVersions ? service.chooseVersions(routePrefix) : VersionChoice{};
    versions.excluded.insert(versions.excluded.end(), tried.begin(), tried.end());
    const Routing::ChoiceInput input{
        .excluded = versions.excluded,
        .versions = versions.shares,
        .dataCentresOut = service.dataCentresOut,
        .permission =
            [&](const Routing::TargetState &target) {
                return permissionFor(relay, service, target, now);
            },
    };
    return Routing::chooseTarget(service.table, input, now, relay.random);
}

std::optional<Routing::Permission> permissionToSend(const RelayState &relay, const ServiceState &service, const Core::TargetId &target)
{
    const auto *state = Routing::findTarget(service.table, target);
    if (state == nullptr || !Routing::isEligible(*state, {.dataCentresOut = service.dataCentresOut})) {
        return std::nullopt;
    }
    const auto permission = permissionFor(relay, service, *state, Core::Clock::now());
    const bool isPermitted = permission == Routing::Permission::Permitted || permission == Routing::Permission::PermittedCold;
    return isPermitted ? std::optional(permission) : std::nullopt;
}

} // namespace Briarbend::Relay
