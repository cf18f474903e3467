#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <vector>

namespace Briarbend::Limits
{

/// Number of members that come before the instance in the target's rendezvous order.
std::size_t senderRank(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target);

/// True if the instance is one of the `count` members that may send to a target of which all instances together are to keep a limit: the
/// first by rendezvous hash. Views of the members that differ in a few select nearly the same senders.
bool isSender(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target, std::size_t count);

} // namespace Briarbend::Limits
