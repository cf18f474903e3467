#pragma once

#include <LibConfiguration/Model.h>

#include <optional>
#include <string>
#include <string_view>

namespace Briarbend::Configuration
{

/// Reads and checks a whole document of one or several teams' sections, also against each other. Their store versions are zero. Throws
/// Document::DocumentError with every problem.
Sections parseConfiguration(std::string_view text, const std::string &file);

/// Reads and checks one team's section of a document and passes over the others, which may be half written; nothing where the document has
/// no such section. Problems carry the document's own lines. Throws Document::DocumentError with every problem of the section.
std::optional<Section> parseTeamSection(std::string_view text, const std::string &file, const Core::TeamName &team);

/// One service or path that two teams' sections claim.
struct SectionClash {
    Core::TeamName otherTeam;
    /// The service of the section that clashes.
    Core::ServiceName service;
    /// The path of the route that clashes; empty where the service itself does.
    std::string path;

    bool operator==(const SectionClash &) const = default;

    /// Such as "the path /pattern/, which team benches has too".
    std::string text() const;
};

/// What a section claims that other teams' sections claim already. The team's own entry in the others is passed over.
std::vector<SectionClash> findClashes(const Section &section, const Sections &others);

/// The text of one team's section with its comments, as the store holds it; empty where the document has none. The document must be TOML.
std::string extractSectionText(std::string_view document, const Core::TeamName &team);

/// The section's text with the state of one data centre changed or added, and everything else as it was. The text must be one that
/// parseSection takes.
std::string withDataCentreState(std::string_view sectionText,
                                const Core::TeamName &team,
                                const Core::DataCentreName &dataCentre,
                                DataCentreState state);

} // namespace Briarbend::Configuration
