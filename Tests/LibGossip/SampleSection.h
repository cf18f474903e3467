#pragma once

#include "Fleet.h"

namespace Briarbend::Gossip
{

/// Creates a section from a text of `bytes` bytes. A rewritten section has little in common with its previous version.
inline SectionText sectionText(std::uint64_t version, std::size_t bytes, bool isRewritten = false)
{
    auto text = std::string(bytes, isRewritten ? static_cast<char>('a' + version % 26) : 'x');
    return {{"pleating"}, version, text + "\nversion = " + std::to_string(version) + "\n" + std::string(bytes / 4, 'y')};
}

inline std::uint64_t versionAt(const State &state)
{
    const auto found = state.sections.held.find({"pleating"});
    return found == state.sections.held.end() ? 0 : found->second.section.storeVersion;
}

} // namespace Briarbend::Gossip
