#pragma once

#include <LibNetwork/HttpServer.h>

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Daemon
{

/// What operators and the platform's balancer ask an instance. /health/ready, /health/live, /dump, /metrics.
class OperatorEndpoint
{
public:
    /// Readings are taken when asked for.
    struct Readings {
        std::function<bool()> isReady;
        std::function<nlohmann::json()> dump;
        std::function<std::string()> metrics;
    };

    OperatorEndpoint(boost::asio::io_context &context, const Network::Endpoint &endpoint, Readings readings);

    Network::Endpoint endpoint() const;

private:
    Network::Response answer(const Network::Request &request) const;

    Readings readings;
    Network::HttpServer server;
};

} // namespace Briarbend::Daemon
