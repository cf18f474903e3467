#include <LibConfiguration/SectionReader.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationKeys.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Configuration
{

namespace
{

using Document::TableReader;

std::vector<TableReader> namedTablesBelow(const TableReader &team, std::string_view key)
{
    const auto table = team.subtable(key);
    return table ? table->namedTables() : std::vector<TableReader>{};
}

/// Reads one route; its path must not be among those that the section has already, and joins them.
Route readRoute(const TableReader &table, std::vector<std::string> &paths)
{
    Route route;
    Document::readTable(table, routeKeys(), route);
    if (!route.pathPrefix.empty() && std::ranges::find(paths, route.pathPrefix) != paths.end()) {
        table.report("path", "the path " + route.pathPrefix + " a second time", "each path once in a section");
    }
    paths.push_back(route.pathPrefix);
    return route;
}

Service readService(const TableReader &table, std::vector<std::string> &paths)
{
    Service service{.name = {table.name()}, .routes = {}, .limits = {}};
    Document::readTable(table, serviceKeys(), service, {"limits", "route"});
    if (const auto limits = table.subtable("limits")) {
        Document::readTable(*limits, limitKeys(), service.limits);
        if (service.limits.coldRequests > service.limits.slots) {
            limits->report("cold_requests",
                           std::to_string(service.limits.coldRequests) + " with " + std::to_string(service.limits.slots) + " slots",
                           "at most the number of slots");
        }
    }
    const auto routes = table.tablesOf("route");
    if (routes.empty() && table.find("route") == nullptr) {
        table.reportMissing("route", "at least one [[" + table.path() + ".route]]");
    }
    std::ranges::transform(routes, std::back_inserter(service.routes), [&paths](const TableReader &routeTable) {
        return readRoute(routeTable, paths);
    });
    return service;
}

Rollout readRollout(const TableReader &table, const std::vector<Service> &services)
{
    Rollout rollout{.service = {table.name()}, .from = {}, .to = {}, .start = {}, .finishBy = {}};
    Document::readTable(table, rolloutKeys(), rollout);
    if (std::ranges::find(services, rollout.service, &Service::name) == services.end()) {
        table.report("", "a service that the section does not have", "a service of the same section");
    }
    const bool hasTimes = table.find("start") != nullptr && table.find("finish_by") != nullptr;
    if (hasTimes && rollout.finishBy <= rollout.start) {
        table.report("finish_by", Document::formatTime(rollout.finishBy), "a time after start, " + Document::formatTime(rollout.start));
    }
    if (!rollout.to.value.empty() && rollout.from == rollout.to) {
        table.report("to", "the same version as from", "another version than from");
    }
    return rollout;
}

} // namespace

Section readSection(const TableReader &teamTable)
{
    Section section{.team = {teamTable.name()}, .services = {}, .dataCentres = {}, .rollouts = {}};
    std::vector<std::string> paths;
    for (const auto &table : namedTablesBelow(teamTable, "service")) {
        section.services.push_back(readService(table, paths));
    }
    for (const auto &table : namedTablesBelow(teamTable, "data_centre")) {
        DataCentre dataCentre{.name = {table.name()}};
        Document::readTable(table, dataCentreKeys(), dataCentre);
        section.dataCentres.push_back(std::move(dataCentre));
    }
    for (const auto &table : namedTablesBelow(teamTable, "rollout")) {
        section.rollouts.push_back(readRollout(table, section.services));
    }
    teamTable.reportUnknownKeys({"service", "data_centre", "rollout"});
    return section;
}

Section parseSection(const Core::TeamName &team, std::string_view text, std::uint64_t storeVersion, const std::string &name)
{
    auto sections = parseConfiguration(text, name);
    const auto found = sections.find(team);
    if (found == sections.end() || sections.size() != 1) {
        throw Document::DocumentError(
            {{name, 0, "team", std::to_string(sections.size()) + " teams", "the section of " + team.value + " alone"}});
    }
    found->second.storeVersion = storeVersion;
    return std::move(found->second);
}

} // namespace Briarbend::Configuration
