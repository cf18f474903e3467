#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Time for connecting and an answer on the health path, after which the target counts as silent.
constexpr std::chrono::milliseconds HEALTH_CHECK_TIMEOUT{250};
/// Answers to other requests that are skipped on a connection before it is given up.
constexpr std::size_t MAXIMUM_FOREIGN_RESPONSES = 3;

/// Asks one target for its load on its health path. Null where it could not be reached in time, or another target has the address.
boost::asio::awaitable<std::unique_ptr<Relay::TargetConnection>>
checkHealth(GatewayState &state, std::shared_ptr<Fleet::ServiceState> service, std::string targetName);

/// Keeps a connection whose last answer came to a clean end, or closes it.
void returnConnection(GatewayState &state,
                      std::unique_ptr<Relay::TargetConnection> connection,
                      const Http::response_header<> &lastResponse);

} // namespace Briarbend::Gateway
