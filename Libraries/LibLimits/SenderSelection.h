#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <vector>

namespace Briarbend::Limits
{

/// True if the instance is one of the `count` members that may send to a target of which all instances together are to keep a limit: the
/// first by rendezvous hash. Views of the members that differ in a few select nearly the same senders.
bool isSender(const Core::InstanceId &self, const std::vector<Core::InstanceId> &members, const Core::TargetId &target, std::size_t count);

} // namespace Briarbend::Limits
