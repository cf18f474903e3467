#pragma once

#include <LibCore/Random.h>
#include <LibRouting/TargetTable.h>

#include <span>

/// The ways to pick one target among candidates. Each takes indices into the table, at least one, and returns one of them.
namespace Briarbend::Routing
{

using Policy = std::size_t (*)(TargetTable &, std::span<const std::size_t> candidates, Core::TimePoint now, Core::Random &);

/// The function that carries out a policy of the configuration.
Policy policyFunction(Configuration::RoutingPolicy policy);

} // namespace Briarbend::Routing
