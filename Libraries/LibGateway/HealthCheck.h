#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Time for connecting and an answer on the health path, after which the target counts as silent.
constexpr std::chrono::milliseconds HEALTH_TIMEOUT{250};
/// Answers to other requests that are skipped on a connection before it is given up.
constexpr std::size_t MOST_FOREIGN_ANSWERS = 3;

/// Asks one target for its load on its health path. Null where it could not be reached in time, or another target has the address.
boost::asio::awaitable<std::unique_ptr<Relay::TargetConnection>>
askHealth(GatewayState &state, std::shared_ptr<Fleet::ServiceState> book, std::string targetName);

/// Keeps a connection whose last answer came to a clean end, or closes it.
void keepConnection(GatewayState &state, std::unique_ptr<Relay::TargetConnection> connection, const Http::response_header<> &lastAnswer);

} // namespace Briarbend::Gateway
