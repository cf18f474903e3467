#include "Dump.h"

#include <nlohmann/json.hpp>

namespace Briarbend::Daemon
{

namespace
{

using nlohmann::json;

std::int64_t millisecondsSince(Core::TimePoint then, Core::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

std::string_view nameOf(Limits::SendPermission verdict)
{
    switch (verdict) {
    case Limits::SendPermission::Warm:
        return "warm";
    case Limits::SendPermission::TrialAllowed:
        return "cold-may-try";
    case Limits::SendPermission::Refuse:
        return "cold";
    }
    return "unknown";
}

json dumpTarget(const Relay::RelayState &relay, const Relay::ServiceState &service, const Routing::TargetState &target, Core::TimePoint now)
{
    const auto &id = target.record.id;
    const auto shares = service.shares.find(id);
    json row{{"data_centre", target.record.dataCentre.value},
             {"version", target.record.version.value},
             {"leaving", target.record.isLeaving},
             {"in_flight", target.ownInFlight},
             {"estimated_in_flight", Routing::estimatedInFlight(service.table, target, now)},
             {"send_cost_us", Routing::sendCost(service.table, target, now)},
             {"ejected", Routing::isEjected(target, now)},
             {"warmth", nameOf(Limits::sendPermission(relay.coldGate, id, now))},
             {"connections_open", relay.pool.openCount(id)},
             {"connections_idle", relay.pool.idleCount(id)}};
    if (shares != service.shares.end()) {
        row["connections_share"] = shares->second.connections;
        row["probes_share"] = shares->second.probes.permits;
    }
    if (target.latestReport) {
        row["report_age_ms"] = millisecondsSince(target.latestReport->receivedAt, now);
        row["report_in_flight"] = target.latestReport->report.inFlight;
    }
    return row;
}

json dumpService(const Relay::RelayState &relay, const Relay::ServiceState &service, Core::TimePoint now)
{
    auto targets = json::object();
    for (const auto &target : service.table.targets) {
        targets[target.record.id.value] = dumpTarget(relay, service, target, now);
    }
    auto out = json::array();
    for (const auto &dataCentre : service.dataCentresOut) {
        out.push_back(dataCentre.value);
    }
    return {{"targets", targets}, {"waiting", service.waiting.size()}, {"data_centres_out", out}};
}

} // namespace

json dumpRelay(const Relay::RelayState &relay, Core::TimePoint now)
{
    auto services = json::object();
    for (const auto &[name, service] : relay.services) {
        services[name.value] = dumpService(relay, *service, now);
    }
    const auto &counters = relay.counters;
    return {{"services", services},
            {"requests_in_flight", relay.requestsInFlight},
            {"caller_connections", relay.callerConnections},
            {"counters",
             {{"requests", counters.requests},
              {"answered", counters.answered},
              {"refused", counters.refused},
              {"retries", counters.retries},
              {"hedges", counters.hedges},
              {"callers_gone", counters.callersGone},
              {"broken_off", counters.brokenOff}}}};
}

json dumpPeers(const Coordination::PeerLink &peers, Core::TimePoint now)
{
    auto members = json::object();
    for (const auto &[id, member] : peers.state().members.members) {
        json row{{"address", member.update.address.value},
                 {"data_centre", member.update.dataCentre.value},
                 {"state", nameOf(member.update.state)},
                 {"incarnation", member.update.incarnation}};
        if (member.lastHeard) {
            row["heard_ms_ago"] = millisecondsSince(*member.lastHeard, now);
        }
        members[id.value] = row;
    }
    const auto counters = peers.counters();
    return {{"members", members},
            {"confirmed", Gossip::isConfirmed(peers.state(), now)},
            {"control_bytes", peers.state().controlBudget.consumedBytes()},
            {"bulk_bytes", peers.state().bulkBudget.consumedBytes()},
            {"bytes_sent", counters.bytesSent},
            {"bytes_received", counters.bytesReceived},
            {"messages_dropped", counters.messagesDropped}};
}

json dumpVersions(const Configuration::Sections &sections)
{
    auto versions = json::object();
    for (const auto &[team, section] : sections) {
        versions[team.value] = section.storeVersion;
    }
    return versions;
}

} // namespace Briarbend::Daemon
