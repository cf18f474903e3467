#pragma once

#include <LibCore/Time.h>
#include <LibNetwork/Endpoint.h>
#include <LibNetwork/Http.h>

#include <concepts>
#include <nlohmann/json.hpp>
#include <string>

namespace Briarbend::Processes
{

constexpr std::chrono::seconds EXCHANGE_TIMEOUT{10};

/// Sends one request on a connection of its own and waits for the answer. Throws boost::system::system_error.
Network::Response exchange(const Network::Endpoint &endpoint, Network::Request request, Core::Duration timeout = EXCHANGE_TIMEOUT);
/// The JSON body of a GET. Throws std::runtime_error for another status than 200.
nlohmann::json getJson(const Network::Endpoint &endpoint, const std::string &target);
/// Posts JSON. Throws std::runtime_error for another status than 200, which a control endpoint answers to a field it does not know.
void postJson(const Network::Endpoint &endpoint, const std::string &target, const nlohmann::json &json);

/// An endpoint of the loopback address that nobody listens on, below the range of ports from which connections take theirs, so that a
/// program can be started on it again later.
Network::Endpoint unusedEndpoint();

/// The time between two checks of eventually().
void pauseBetweenChecks();

/// Asks every few milliseconds until the condition holds; false when the time is over first.
bool eventually(const std::predicate auto &condition, Core::Duration timeout)
{
    const auto end = Core::Clock::now() + timeout;
    while (!condition()) {
        if (Core::Clock::now() >= end) {
            return false;
        }
        pauseBetweenChecks();
    }
    return true;
}

} // namespace Briarbend::Processes
