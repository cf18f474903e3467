#include <LibGateway/Metrics.h>

#include <array>
#include <sstream>

namespace Briarbend::Gateway
{

namespace
{

struct Counter {
    std::string_view name;
    std::string_view help;
    std::uint64_t GatewayCounters::*value;
};

constexpr std::array COUNTERS{
    Counter{"requests_total", "Requests read from callers.", &GatewayCounters::requests},
    Counter{"answered_total", "Requests answered with a target's answer.", &GatewayCounters::answered},
    Counter{"refused_total", "Requests refused as not run.", &GatewayCounters::refused},
    Counter{"failed_total", "Requests answered with a server error.", &GatewayCounters::failed},
    Counter{"callers_gone_total", "Requests whose caller went away.", &GatewayCounters::callersGone},
    Counter{"callers_cut_total", "Connections closed because their callers took or sent no bytes.", &GatewayCounters::callersCut},
    Counter{"probes_total", "Health checks sent to targets.", &GatewayCounters::probes},
    Counter{"sends_total", "Requests sent to targets.", &GatewayCounters::sends},
    Counter{"resends_total", "Requests sent again after a failure.", &GatewayCounters::resends},
    Counter{"forwarded_total", "Requests sent to a peer because this instance reached no target.", &GatewayCounters::forwarded},
    Counter{"taken_for_peers_total", "Requests that peers sent here because they reached no target.", &GatewayCounters::takenForPeers},
    Counter{"hedges_total", "Requests sent to a second target because the first was late.", &GatewayCounters::hedges},
    Counter{"foreign_answers_total", "Answers of targets that belonged to no waiting request.", &GatewayCounters::unmatchedResponses},
    Counter{"connections_opened_total", "Connections opened to targets.", &GatewayCounters::connectionsOpened},
    Counter{"far_sends_total", "Requests sent to targets of other data centres.", &GatewayCounters::farSends},
    Counter{"far_probes_total", "Health checks sent to targets of other data centres.", &GatewayCounters::farProbes},
    Counter{"far_answer_bytes_total", "Bytes of bodies that came from other data centres.", &GatewayCounters::farResponseBytes},
    Counter{"rollout_evaluations_total", "Comparisons of the versions of a rollout.", &GatewayCounters::rolloutEvaluations},
    Counter{"unauthenticated_total", "Requests refused for want of a valid API key.", &GatewayCounters::unauthenticated},
    Counter{"tenant_over_share_total", "Requests refused beyond the fair share of their tenant.", &GatewayCounters::overShare},
    Counter{"store_failures_total", "Calls to the store without a usable answer.", &GatewayCounters::storeFailures},
    Counter{"usage_reports_total", "Usage reports that the platform accepted.", &GatewayCounters::usageReports},
    Counter{"usage_reports_refused_total", "Calls with a usage report that were not accepted.", &GatewayCounters::usageReportsRefused},
    Counter{"usage_reports_late_total", "Usage reports that were accepted late or given up.", &GatewayCounters::usageReportsLate},
};

double inSeconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

void formatLatency(std::ostringstream &text, const std::string &route, const Metrics::LatencySummary &latency)
{
    for (const auto quantile : {0.5, 0.9, 0.99}) {
        text << "briarbend_answer_seconds{route=\"" << route << "\",quantile=\"" << quantile << "\"} "
             << inSeconds(latency.quantile(quantile)) << '\n';
    }
    text << "briarbend_answer_seconds_sum{route=\"" << route << "\"} " << inSeconds(latency.mean()) * static_cast<double>(latency.count())
         << "\nbriarbend_answer_seconds_count{route=\"" << route << "\"} " << latency.count() << '\n';
}

void formatPeerTraffic(std::ostringstream &text, const Coordination::SentTraffic &sent)
{
    text << "# HELP briarbend_peer_bytes_sent_total Bytes sent to other instances, by channel and data centre.\n"
            "# TYPE briarbend_peer_bytes_sent_total counter\n# TYPE briarbend_peer_messages_sent_total counter\n";
    for (const auto &[key, total] : sent.totals) {
        std::ostringstream labels;
        labels << "{channel=\"" << Coordination::nameOf(key.first) << "\",reach=\"" << Coordination::nameOf(key.second) << "\"} ";
        text << "briarbend_peer_bytes_sent_total" << labels.str() << total.bytes << "\nbriarbend_peer_messages_sent_total" << labels.str()
             << total.messages << '\n';
    }
}

void formatAdmission(std::ostringstream &text, const GatewayCounters &counters)
{
    text << "# HELP briarbend_admission_total Requests by priority where slots are shared by value.\n"
            "# TYPE briarbend_admission_total counter\n";
    for (std::size_t priority = 0; priority < counters.admission.size(); ++priority) {
        const auto &entry = counters.admission.at(priority);
        const auto format = [&text, priority](std::string_view decision, std::uint64_t value) {
            text << "briarbend_admission_total{priority=\"" << priority << "\",decision=\"" << decision << "\"} " << value << '\n';
        };
        if (entry.arrived > 0) {
            format("arrived", entry.arrived);
            format("queued", entry.queued);
            format("refused", entry.refused);
        }
    }
}

} // namespace

std::string formatMetrics(const GatewayState &state, const Coordination::SentTraffic &sent)
{
    std::ostringstream text;
    for (const auto &counter : COUNTERS) {
        text << "# HELP briarbend_" << counter.name << ' ' << counter.help << "\n# TYPE briarbend_" << counter.name
             << " counter\nbriarbend_" << counter.name << ' ' << state.counters.*counter.value << '\n';
    }
    text << "# HELP briarbend_answer_seconds Time from arrival to the answer, by route.\n# TYPE briarbend_answer_seconds summary\n";
    for (const auto &[name, route] : state.routes) {
        formatLatency(text, name, route.latency);
    }
    formatPeerTraffic(text, sent);
    if (state.settings.admission.byValue) {
        formatAdmission(text, state.counters);
    }
    text << "# TYPE briarbend_requests_in_flight gauge\nbriarbend_requests_in_flight " << state.requestsInFlight
         << "\n# TYPE briarbend_caller_connections gauge\nbriarbend_caller_connections " << state.callerConnections
         << "\n# TYPE briarbend_instances_known gauge\nbriarbend_instances_known " << state.instances
         << "\n# TYPE briarbend_usage_duty_held gauge\nbriarbend_usage_duty_held " << (state.holdsUsageDuty ? 1 : 0)
         << "\n# TYPE briarbend_configuration_version gauge\nbriarbend_configuration_version "
         << (state.routingConfiguration ? state.routingConfiguration->version : 0)
         << "\n# TYPE briarbend_log_lines_dropped_total counter\nbriarbend_log_lines_dropped_total " << state.log.droppedLines() << '\n';
    return text.str();
}

nlohmann::ordered_json describeReceived(const Coordination::ReceivedTraffic &received)
{
    auto values = nlohmann::ordered_json::object();
    for (const auto &[channel, total] : received) {
        const auto name = std::string(Coordination::nameOf(channel)) + "_received";
        values[name + "_messages"] = total.messages;
        values[name + "_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(total.handling).count();
    }
    return values;
}

nlohmann::ordered_json
describeTraffic(const GatewayState &state, const Coordination::SentTraffic &sent, const Coordination::ReceivedTraffic &received)
{
    const auto &counters = state.counters;
    nlohmann::ordered_json values{{"sends", counters.sends},
                                  {"far_sends", counters.farSends},
                                  {"probes", counters.probes},
                                  {"far_probes", counters.farProbes},
                                  {"connections", counters.connectionsOpened},
                                  {"far_answer_bytes", counters.farResponseBytes},
                                  {"instances_known", state.instances},
                                  {"rollout_evaluations", counters.rolloutEvaluations}};
    for (const auto &[key, total] : sent.totals) {
        const auto name = std::string(Coordination::nameOf(key.first)) + "_" + std::string(Coordination::nameOf(key.second));
        values[name + "_messages"] = total.messages;
        values[name + "_bytes"] = total.bytes;
    }
    values.update(describeReceived(received));
    return values;
}

} // namespace Briarbend::Gateway
