#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/Status.h>

#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Daemon
{

/// One member's evidence about a move, for its judges.
struct RolloutEvidence {
    Core::ServiceName service;
    Core::WallTime start;
    Core::InstanceId member;
    Rollout::MemberEvidence evidence;
};

using RolloutMessage = std::variant<RolloutEvidence, Rollout::Status>;

/// CBOR (RFC 8949).
std::string encodeRolloutMessage(const RolloutMessage &message);

/// Throws std::exception where the bytes are no such message.
RolloutMessage decodeRolloutMessage(std::string_view bytes);

} // namespace Briarbend::Daemon
