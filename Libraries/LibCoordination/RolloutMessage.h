#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/Status.h>

#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Coordination
{

/// One member's evidence about a rollout, for its evaluators.
struct RolloutEvidence {
    Core::ServiceName service;
    Core::WallTime start;
    Core::InstanceId member;
    Rollout::MemberEvidence evidence;
};

/// Confirms that a member sends no more requests to the old version and that those it had sent there have ended.
struct RolloutConfirmation {
    Core::ServiceName service;
    Core::WallTime start;
    Core::InstanceId member;
};

using RolloutMessage = std::variant<RolloutEvidence, Rollout::Status, RolloutConfirmation>;

/// Encodes the message as CBOR (RFC 8949).
std::string encodeRolloutMessage(const RolloutMessage &message);

/// Throws std::exception where the bytes are not a valid message.
RolloutMessage decodeRolloutMessage(std::string_view bytes);

} // namespace Briarbend::Coordination
