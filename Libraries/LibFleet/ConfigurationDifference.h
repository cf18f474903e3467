#pragma once

#include <LibFleet/ConfigurationDocument.h>

namespace Briarbend::Fleet
{

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

struct ConfigurationDifference {
    ChangeKind kind{ChangeKind::Changed};
    ConfigurationEntry entry;
    /// Set for changed entries, with the values before and after; one difference for each field.
    ConfigurationField field{ConfigurationField::None};
    std::string before;
    std::string after;

    bool operator==(const ConfigurationDifference &) const = default;
};

/// What the document changes, by entry and field, apart from its version.
std::vector<ConfigurationDifference> findDifferences(const ConfigurationDocument &inForce, const ConfigurationDocument &document);

/// Seconds with up to three decimals, such as "0.25 s".
std::string secondsText(std::chrono::milliseconds duration);

} // namespace Briarbend::Fleet
