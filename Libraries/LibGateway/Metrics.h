#pragma once

#include <LibCoordination/ReceivedTraffic.h>
#include <LibCoordination/SentTraffic.h>
#include <LibGateway/GatewayState.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Briarbend::Gateway
{

/// Counters and latencies in the text format of Prometheus.
std::string formatMetrics(const GatewayState &state, const Coordination::SentTraffic &sent);

/// Counters of control traffic and of traffic between data centres, as the fields of a log line.
nlohmann::ordered_json
describeTraffic(const GatewayState &state, const Coordination::SentTraffic &sent, const Coordination::ReceivedTraffic &received);

/// Messages of other instances and the time that handling them took, as fields of a log line.
nlohmann::ordered_json describeReceived(const Coordination::ReceivedTraffic &received);

} // namespace Briarbend::Gateway
