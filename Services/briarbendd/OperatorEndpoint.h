#pragma once

#include <LibNetwork/HttpServer.h>

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Daemon
{

/// What operators and the platform's balancer ask an instance: /health/ready, /health/live, /dump, /metrics. PUT /sections/<team> takes
/// a section that the store has just accepted from whoever wrote it, in case the store fails before an instance has read it.
class OperatorEndpoint
{
public:
    /// Readings are taken when asked for.
    struct Readings {
        std::function<bool()> isReady;
        std::function<nlohmann::json()> dump;
        std::function<std::string()> metrics;
        /// Takes a section that the store has accepted. Throws std::exception where it is not allowed.
        std::function<void(const std::string &team, std::uint64_t version, const std::string &text)> takeSection;
    };

    OperatorEndpoint(boost::asio::io_context &context, const Network::Endpoint &endpoint, Readings readings);

    Network::Endpoint endpoint() const;

private:
    Network::Response takeSection(const std::string &team, const std::string &body) const;
    Network::Response answer(const Network::Request &request) const;

    Readings readings;
    Network::HttpServer server;
};

} // namespace Briarbend::Daemon
