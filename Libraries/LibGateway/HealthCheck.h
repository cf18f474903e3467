#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Time for connecting and for a response on the health path. After it the target counts as silent.
constexpr std::chrono::milliseconds HEALTH_CHECK_TIMEOUT{250};
/// Responses to other requests that are skipped on a connection before it is closed.
constexpr std::size_t MAXIMUM_FOREIGN_RESPONSES = 3;

/// Requests the load of one target on its health path. Returns null if the target could not be reached in time or another target has the
/// address.
boost::asio::awaitable<std::unique_ptr<Relay::TargetConnection>>
checkHealth(GatewayState &state, std::shared_ptr<Fleet::ServiceState> service, std::string targetName);

/// Returns a connection to the pool after a complete response, or closes it if unexpected bytes follow.
void returnConnection(GatewayState &state,
                      std::unique_ptr<Relay::TargetConnection> connection,
                      const Http::response_header<> &lastResponse);

} // namespace Briarbend::Gateway
