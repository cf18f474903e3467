#pragma once

#include <LibConfiguration/Model.h>
#include <LibDocument/TableReader.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Briarbend::Configuration
{

/// Reads the tables below [team.<name>] into a section, adding every problem to the list of the reader. The section's team is the last part
/// of the table's path.
Section readSection(const Document::TableReader &teamTable);

/// Reads a section's text as the store holds it: a document with this team's section and nothing else. The name is used in problems only.
/// Throws Document::DocumentError with every problem.
Section parseSection(const Core::TeamName &team, std::string_view text, std::uint64_t storeVersion, const std::string &name);

} // namespace Briarbend::Configuration
