#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/Status.h>

#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Coordination
{

/// One member's evidence about a move, for its judges.
struct RolloutEvidence {
    Core::ServiceName service;
    Core::WallTime start;
    Core::InstanceId member;
    Rollout::MemberEvidence evidence;
};

/// A member sends nothing more to the old version, and what it had sent there has ended.
struct RolloutConfirmation {
    Core::ServiceName service;
    Core::WallTime start;
    Core::InstanceId member;
};

using RolloutMessage = std::variant<RolloutEvidence, Rollout::Status, RolloutConfirmation>;

/// CBOR (RFC 8949).
std::string encodeRolloutMessage(const RolloutMessage &message);

/// Throws std::exception where the bytes are no such message.
RolloutMessage decodeRolloutMessage(std::string_view bytes);

} // namespace Briarbend::Coordination
