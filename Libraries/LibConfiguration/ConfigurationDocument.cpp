#include <LibConfiguration/ConfigurationDocument.h>

#include <LibConfiguration/SectionReader.h>

#include <algorithm>

namespace Briarbend::Configuration
{

namespace
{

using Document::TableReader;

void reportClash(const TableReader &teamTable, const SectionClash &clash)
{
    const auto found = clash.text();
    const std::string allowed{"each service and path in one section"};
    const auto service = teamTable.subtable("service")->subtable(clash.service.value);
    if (clash.path.empty()) {
        service->report("", found, allowed);
        return;
    }
    const auto routes = service->tablesOf("route");
    const auto route = std::ranges::find_if(routes, [&clash](const TableReader &table) {
        return table.table()["path"] == clash.path;
    });
    route->report("path", found, allowed);
}

bool hasPath(const Section &section, const std::string &path)
{
    return std::ranges::any_of(section.services, [&path](const Service &service) {
        return std::ranges::find(service.routes, path, &Route::pathPrefix) != service.routes.end();
    });
}

} // namespace

std::string SectionClash::text() const
{
    const auto subject = this->path.empty() ? "the service " + this->service.value : "the path " + this->path;
    return subject + ", which team " + this->otherTeam.value + " has too";
}

Sections parseConfiguration(std::string_view text, const std::string &file)
{
    const auto document = Document::parseToml(text, file);
    Document::ProblemList problems(file);
    const TableReader root(document, "", problems);
    Sections sections;
    if (const auto teams = root.subtable("team")) {
        for (const auto &teamTable : teams->namedTables()) {
            auto section = readSection(teamTable);
            for (const auto &clash : findClashes(section, sections)) {
                reportClash(teamTable, clash);
            }
            sections.emplace(section.team, std::move(section));
        }
    }
    root.reportUnknownKeys({"team"});
    problems.throwIfAny();
    return sections;
}

std::optional<Section> parseTeamSection(std::string_view text, const std::string &file, const Core::TeamName &team)
{
    const auto document = Document::parseToml(text, file);
    Document::ProblemList problems(file);
    const TableReader root(document, "", problems);
    const auto teams = root.subtable("team");
    const auto table = teams ? teams->subtable(team.value) : std::nullopt;
    auto section = table ? std::optional(readSection(*table)) : std::nullopt;
    problems.throwIfAny();
    return section;
}

std::vector<SectionClash> findClashes(const Section &section, const Sections &others)
{
    std::vector<SectionClash> clashes;
    for (const auto &[team, other] : others) {
        if (team == section.team) {
            continue;
        }
        for (const auto &service : section.services) {
            if (std::ranges::find(other.services, service.name, &Service::name) != other.services.end()) {
                clashes.push_back({team, service.name, ""});
            }
            for (const auto &route : service.routes) {
                if (hasPath(other, route.pathPrefix)) {
                    clashes.push_back({team, service.name, route.pathPrefix});
                }
            }
        }
    }
    return clashes;
}

} // namespace Briarbend::Configuration
