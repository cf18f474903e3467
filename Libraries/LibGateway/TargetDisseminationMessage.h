#pragma once

#include <LibFleet/OutcomeTable.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// What targets showed and said to one instance, for the relays of its data centre.
struct TargetReport {
    /// Peer address of the sender.
    std::string reporter;
    std::vector<Fleet::TargetOutcomes> targetOutcomes;
    /// Targets that said that they leave, of which the list does not say so.
    std::vector<Fleet::TargetStart> leaving;
};

/// What a relay tells the instances of its data centre.
struct TargetDigest {
    std::vector<Fleet::Suspect> suspects;
    std::vector<Fleet::TargetStart> leaving;
};

/// Asks a peer for all targets that it knows to leave.
struct LeavingTargetsRequest {
    /// Peer address to answer to.
    std::string requester;
};

using TargetDisseminationMessage = std::variant<TargetReport, TargetDigest, LeavingTargetsRequest>;

/// CBOR (RFC 8949).
std::string encodeTargetDissemination(const TargetDisseminationMessage &message);

/// Throws std::exception where the bytes are no such message.
TargetDisseminationMessage decodeTargetDissemination(std::string_view bytes);

} // namespace Briarbend::Gateway
