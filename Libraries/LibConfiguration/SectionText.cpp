#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationKeys.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <ranges>
#include <sstream>
#include <stdexcept>
#include <toml++/toml.h>

namespace Briarbend::Configuration
{

namespace
{

/// A line of the document and the team whose section it belongs to, empty before the first header and under headers of no team.
struct OwnedLine {
    std::string text;
    std::string owner;
};

std::vector<std::string> linesOf(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    return std::accumulate(lines.begin(), lines.end(), std::string{}, [](std::string text, const std::string &line) {
        return std::move(text) + line + "\n";
    });
}

bool isHeader(std::string_view line)
{
    const auto start = line.find_first_not_of(" \t");
    return start != std::string_view::npos && line[start] == '[';
}

bool isComment(std::string_view line)
{
    const auto start = line.find_first_not_of(" \t");
    return start != std::string_view::npos && line[start] == '#';
}

/// Takes the text from the front where it is there, with spaces and tabs before it.
bool skip(std::string_view &line, std::string_view text)
{
    const auto rest = line.substr(std::min(line.find_first_not_of(" \t"), line.size()));
    if (!rest.starts_with(text)) {
        return false;
    }
    line = rest.substr(text.size());
    return true;
}

/// The team of a header such as [team.benches.service.pattern], empty for any other.
std::string teamOfHeader(std::string_view line)
{
    constexpr std::string_view NAME_CHARACTERS{"abcdefghijklmnopqrstuvwxyz0123456789-"};
    skip(line, "[");
    skip(line, "[");
    if (!skip(line, "team") || !skip(line, ".")) {
        return {};
    }
    skip(line, "");
    return std::string(line.substr(0, line.find_first_not_of(NAME_CHARACTERS)));
}

std::vector<OwnedLine> ownedLines(std::string_view document)
{
    std::vector<OwnedLine> lines;
    std::string owner;
    for (auto &line : linesOf(document)) {
        if (isHeader(line)) {
            owner = teamOfHeader(line);
            // Comments directly above a header speak of what follows it.
            for (auto &above : lines | std::views::reverse | std::views::take_while([](const OwnedLine &candidate) {
                                   return isComment(candidate.text);
                               })) {
                above.owner = owner;
            }
        }
        lines.push_back({std::move(line), owner});
    }
    return lines;
}

std::string cutByLines(std::string_view document, const std::string &team)
{
    std::vector<std::string> cut;
    for (auto &line : ownedLines(document)) {
        if (line.owner == team) {
            cut.push_back(std::move(line.text));
        }
    }
    while (!cut.empty() && cut.back().empty()) {
        cut.pop_back();
    }
    return joinLines(cut);
}

const toml::table *sectionTable(const toml::table &document, const std::string &team)
{
    return document["team"][team].as_table();
}

/// The section written anew from its parsed form, without comments.
std::string printSection(const toml::table &section, const std::string &team)
{
    const toml::table document{{"team", toml::table{{team, section}}}};
    std::ostringstream text;
    text << toml::toml_formatter(document) << "\n";
    return text.str();
}

bool holdsExactly(const std::string &text, const toml::table &section, const std::string &team)
{
    try {
        const auto document = toml::parse(text);
        const auto *found = sectionTable(document, team);
        return found != nullptr && *found == section && document.size() == 1 && document["team"].as_table()->size() == 1;
    } catch (const toml::parse_error &) {
        return false;
    }
}

/// Replaces what a node covers in the text. Nothing where the node spans lines.
std::optional<std::string> replaceNode(std::string_view text, const toml::source_region &region, const std::string &value)
{
    auto lines = linesOf(text);
    if (region.begin.line != region.end.line || region.begin.line > lines.size()) {
        return std::nullopt;
    }
    auto &line = lines[region.begin.line - 1];
    line.replace(region.begin.column - 1, region.end.column - region.begin.column, value);
    return joinLines(lines);
}

} // namespace

std::string extractSectionText(std::string_view document, const Core::TeamName &team)
{
    const auto parsed = toml::parse(document);
    const auto *section = sectionTable(parsed, team.value);
    if (section == nullptr) {
        return {};
    }
    // Cutting by lines keeps comments, but inline tables and texts of several lines can defeat it.
    auto cut = cutByLines(document, team.value);
    return holdsExactly(cut, *section, team.value) ? cut : printSection(*section, team.value);
}

std::string
withDataCentreState(std::string_view sectionText, const Core::TeamName &team, const Core::DataCentreName &dataCentre, DataCentreState state)
{
    const auto value = dataCentreStateType().print(state);
    auto document = toml::parse(sectionText);
    auto *section = document["team"][team.value].as_table();
    if (section == nullptr) {
        throw std::invalid_argument("the text has no section of team " + team.value);
    }
    const auto stateNode = std::as_const(*section)["data_centre"][dataCentre.value]["state"];
    auto edited = stateNode
        ? replaceNode(sectionText, stateNode.node()->source(), value)
        : std::string(sectionText) + "\n[team." + team.value + ".data_centre." + dataCentre.value + "]\nstate = " + value + "\n";
    section->emplace<toml::table>("data_centre");
    auto &dataCentres = *section->get_as<toml::table>("data_centre");
    dataCentres.emplace<toml::table>(dataCentre.value);
    dataCentres.get_as<toml::table>(dataCentre.value)->insert_or_assign("state", value.substr(1, value.size() - 2));
    return edited && holdsExactly(*edited, *section, team.value) ? *edited : printSection(*section, team.value);
}

} // namespace Briarbend::Configuration
