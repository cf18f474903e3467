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
    /// The target is cold and can take one more request of this instance.
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
    /// There is no target, or all are excluded, leaving, in drained data centres, or of versions without a share.
    NoneEligible,
    /// This instance's share of the connections to the remaining targets is used up.
    Connections,
    /// The remaining targets are cold and can take no more requests now.
    Cold,
};

struct Choice {
    std::optional<Core::TargetId> target;
    ChoiceFailure failure{ChoiceFailure::None};
    /// The request is counted against the limit of the cold target.
    bool isColdTrial{false};
};

/// False if the target is leaving or excluded, or its data centre is out.
bool isEligible(const TargetState &target, const ChoiceInput &input);

/// Chooses the target for one request by the table's policy. The cost grows with the size of the table's subset, not of the service.
Choice chooseTarget(TargetTable &table, const ChoiceInput &input, Core::TimePoint now, Core::Random &random);

} // namespace Briarbend::Routing
