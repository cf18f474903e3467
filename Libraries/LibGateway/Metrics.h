#pragma once

#include <LibCoordination/SentTraffic.h>
#include <LibGateway/GatewayState.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Briarbend::Gateway
{

/// Counters and latencies in the text format of Prometheus.
std::string formatMetrics(const GatewayState &state, const Coordination::SentTraffic &sent);

/// Counters of control traffic and of traffic between data centres, as the fields of a log line.
nlohmann::ordered_json describeTraffic(const GatewayState &state, const Coordination::SentTraffic &sent);

} // namespace Briarbend::Gateway
