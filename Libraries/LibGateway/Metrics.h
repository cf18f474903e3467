#pragma once

#include <LibGateway/GatewayState.h>

#include <string>

namespace Briarbend::Gateway
{

/// Counters and latencies in the text format of Prometheus.
std::string formatMetrics(const GatewayState &state);

} // namespace Briarbend::Gateway
