#pragma once

#include <LibCore/Random.h>
#include <LibRouting/TargetTable.h>

#include <functional>
#include <optional>
#include <span>

namespace Briarbend::Routing
{

/// Whether limits outside the table let a request go to a target now.
enum class Permission {
    Permitted,
    /// The target is cold and bears one more request of this instance.
    PermittedCold,
    RefusedCold,
    RefusedConnections,
};

using PermissionQuery = std::function<Permission(const TargetState &)>;

/// What a choice depends on besides the table.
struct ChoiceInput {
    /// Targets that the request has been sent to already.
    std::span<const Core::TargetId> excluded{};
    /// Versions that may be chosen; every version where empty.
    std::span<const VersionShare> versions{};
    std::span<const Core::DataCentreName> dataCentresOut{};
    PermissionQuery permission{};
};

/// Why no target could be chosen.
enum class ChoiceFailure {
    None,
    /// No target, or all excluded, leaving, in data centres that are out, or of versions without a share.
    NoneEligible,
    /// Those left are at this instance's share of their connections.
    Connections,
    /// Those left are cold and bear no more now.
    Cold,
};

struct Choice {
    std::optional<Core::TargetId> target;
    ChoiceFailure failure{ChoiceFailure::None};
    /// The request takes one of the target's cold places.
    bool isColdTrial{false};
};

/// Chooses the target for one request by the table's policy. The work grows with the table's subset, not with the service.
Choice chooseTarget(TargetTable &table, const ChoiceInput &input, Core::TimePoint now, Core::Random &random);

} // namespace Briarbend::Routing
