#include <LibSettings/EndpointType.h>

namespace Briarbend::Settings
{

Document::ValueType<Network::Endpoint> listenerType()
{
    return {.allowed = "an IP number and a port from 0 to 65535, such as \"10.0.0.7:8080\"; port 0 takes a free one",
            .read =
                [](const toml::node &node) {
                    return Network::parseEndpoint(node.value_exact<std::string>().value_or(""));
                },
            .print =
                [](const Network::Endpoint &endpoint) {
                    return "\"" + endpoint.text() + "\"";
                }};
}

Document::ValueType<Network::Endpoint> remoteType()
{
    auto type = listenerType();
    type.allowed = "an IP number and a port from 1 to 65535, such as \"10.0.0.7:8080\"";
    type.read = [](const toml::node &node) {
        const auto endpoint = Network::parseEndpoint(node.value_exact<std::string>().value_or(""));
        return endpoint && endpoint->port != 0 ? endpoint : std::nullopt;
    };
    return type;
}

} // namespace Briarbend::Settings
