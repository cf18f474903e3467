#pragma once

#include <LibFleet/OutcomeTable.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// A rate that a target states for the requests of all instances together; nothing once it states none.
struct TargetRate {
    Fleet::TargetStart target;
    std::optional<double> requestsPerSecond;
};

/// Request outcomes and leaving targets that one instance observed, for the aggregators of its data centre.
struct TargetReport {
    /// Peer address of the sender.
    std::string reporter;
    std::vector<Fleet::TargetOutcomes> targetOutcomes;
    /// Targets that have announced that they are leaving, while the store's list does not say so.
    std::vector<Fleet::TargetStart> leaving;
    std::vector<TargetRate> rates;
};

/// Suspect and leaving targets, sent by an aggregator to the instances of its data centre.
struct TargetDigest {
    std::vector<Fleet::Suspect> suspects;
    std::vector<Fleet::TargetStart> leaving;
    std::vector<TargetRate> rates;
};

/// Asks a peer for all targets that it knows to be leaving.
struct LeavingTargetsRequest {
    /// Peer address to which the response is sent.
    std::string requester;
};

using TargetDisseminationMessage = std::variant<TargetReport, TargetDigest, LeavingTargetsRequest>;

/// CBOR (RFC 8949).
std::string encodeTargetDissemination(const TargetDisseminationMessage &message);

/// Throws std::exception if the bytes are not a valid message.
TargetDisseminationMessage decodeTargetDissemination(std::string_view bytes);

} // namespace Briarbend::Gateway
