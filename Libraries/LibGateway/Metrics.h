#pragma once

#include <LibCoordination/SentTraffic.h>
#include <LibGateway/GatewayState.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Briarbend::Gateway
{

/// Counters and latencies in the text format of Prometheus.
std::string formatMetrics(const GatewayState &state, const Coordination::SentTraffic &sent);

/// The counters of control and of what crosses between data centres, as a log line's values.
nlohmann::ordered_json describeTraffic(const GatewayState &state, const Coordination::SentTraffic &sent);

} // namespace Briarbend::Gateway
