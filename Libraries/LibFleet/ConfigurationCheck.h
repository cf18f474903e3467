#pragma once

#include <LibFleet/ConfigurationDocument.h>

namespace Briarbend::Fleet
{

enum class Severity {
    /// In force, but probably not what its writer means.
    Warning,
    /// Instances can't act on the entry, or would not take the document.
    Error,
};

struct ConfigurationFinding {
    Severity severity{Severity::Error};
    ConfigurationEntry entry;
    ConfigurationField field{ConfigurationField::None};
    std::string text;

    bool operator==(const ConfigurationFinding &) const = default;
};

/// Everything that is wrong or doubtful in the document, in the order of its entries: values that are out of range, entries that can never
/// match, and limits that contradict each other.
std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDocument &document);

/// What keeps the document from replacing the one in force: its version is not higher although it differs.
std::vector<ConfigurationFinding> checkSuccession(const ConfigurationDocument &inForce, const ConfigurationDocument &document);

} // namespace Briarbend::Fleet
