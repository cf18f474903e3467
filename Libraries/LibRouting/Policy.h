#pragma once

#include <LibCore/Random.h>
#include <LibRouting/TargetTable.h>

#include <span>

/// Policies that pick one target among candidates. Each takes indices into the table, at least one, and returns one of them.
namespace Briarbend::Routing
{

using Policy = std::size_t (*)(TargetTable &, std::span<const std::size_t> candidates, Core::TimePoint now, Core::Random &);

/// The function that implements a configured policy.
Policy policyFunction(Configuration::RoutingPolicy policy);

} // namespace Briarbend::Routing
