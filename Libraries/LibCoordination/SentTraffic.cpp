#include <LibCoordination/SentTraffic.h>

#include <algorithm>

namespace Briarbend::Coordination
{

namespace
{

Reach reachOf(const Membership::State &members, const std::string &peer)
{
    const auto found = std::ranges::find_if(members.members, [&peer](const auto &entry) {
        return entry.second.update.address.value == peer;
    });
    if (found == members.members.end()) {
        return Reach::Unknown;
    }
    return found->second.update.dataCentre == members.members.at(members.self).update.dataCentre ? Reach::Near : Reach::Far;
}

} // namespace

void countSent(SentTraffic &traffic, const Membership::State &members, Channel channel, const std::string &peer, std::size_t bytes)
{
    auto known = traffic.reaches.find(peer);
    auto reach = known == traffic.reaches.end() ? reachOf(members, peer) : known->second;
    if (known == traffic.reaches.end() && reach != Reach::Unknown) {
        traffic.reaches.emplace(peer, reach);
    }
    auto &total = traffic.totals[{channel, reach}];
    ++total.messages;
    total.bytes += bytes;
}

std::string_view nameOf(Channel channel)
{
    switch (channel) {
    case Channel::Gossip:
        return "gossip";
    case Channel::Claims:
        return "claims";
    case Channel::InstanceList:
        return "instance_list";
    case Channel::Rollout:
        return "rollout";
    case Channel::Quarantine:
        return "quarantine";
    case Channel::News:
        return "news";
    case Channel::Targets:
        return "targets";
    case Channel::Forwarding:
        return "forwarding";
    case Channel::TenantShares:
        return "tenant_shares";
    case Channel::Usage:
        return "usage";
    }
    return "unknown";
}

std::string_view nameOf(Reach reach)
{
    switch (reach) {
    case Reach::Near:
        return "near";
    case Reach::Far:
        return "far";
    case Reach::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Briarbend::Coordination
