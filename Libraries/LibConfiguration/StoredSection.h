#pragma once

#include <LibConfiguration/Model.h>

#include <string>
#include <string_view>

namespace Briarbend::Configuration
{

/// Prefix of the store's objects that hold one team's section each.
constexpr std::string_view SECTION_KEY_PREFIX{"configuration/"};

/// The value of a section's store object, written as JSON {"edit": ..., "text": ...}.
struct StoredSection {
    /// Unique to one edit, so that an editor whose answer was lost can tell its own write by reading.
    std::string edit;
    /// The section as TOML.
    std::string text;

    bool operator==(const StoredSection &) const = default;
};

/// The store's key of a team's section.
std::string sectionKey(const Core::TeamName &team);
/// The team whose section the key holds. Throws std::invalid_argument for a key outside SECTION_KEY_PREFIX.
Core::TeamName teamOfSectionKey(std::string_view key);

std::string formatStoredSection(const StoredSection &section);
/// Throws Document::DocumentError where the value is not one that formatStoredSection writes. The name is used in problems only.
StoredSection parseStoredSection(std::string_view value, const std::string &name);

/// The checked section of a store object. Throws Document::DocumentError with every problem.
Section readStoredSection(const Core::TeamName &team, std::string_view value, std::uint64_t storeVersion);

} // namespace Briarbend::Configuration
