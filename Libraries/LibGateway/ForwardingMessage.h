#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Gateway
{

/// Asks a peer whether it takes requests for the sender, which reaches no target.
struct ForwardingRequest {
    /// Peer address to which the response is sent.
    std::string requester;
};

/// The sender reaches targets and takes requests of others at its address for callers.
struct ForwardingOffer {
    /// Peer address of the sender.
    std::string peer;
    std::string callerAddress;
    std::uint32_t requestsInFlight{0};
};

using ForwardingMessage = std::variant<ForwardingRequest, ForwardingOffer>;

/// CBOR (RFC 8949).
std::string encodeForwarding(const ForwardingMessage &message);

/// Throws std::exception if the bytes are not a valid message.
ForwardingMessage decodeForwarding(std::string_view bytes);

} // namespace Briarbend::Gateway
