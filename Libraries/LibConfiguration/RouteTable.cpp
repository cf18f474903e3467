#include <LibConfiguration/RouteTable.h>

#include <algorithm>

namespace Briarbend::Configuration
{

RouteTable::RouteTable(Sections sections)
    : ownedSections(std::move(sections))
{
    for (const auto &[team, section] : this->ownedSections) {
        for (const auto &service : section.services) {
            for (const auto &route : service.routes) {
                this->routesByPrefixLength.push_back({&service, &route});
            }
        }
        for (const auto &dataCentre : section.dataCentres) {
            if (dataCentre.state == DataCentreState::Out) {
                this->dataCentresOut.insert(dataCentre.name);
            }
        }
    }
    std::ranges::stable_sort(this->routesByPrefixLength, std::ranges::greater{}, [](const MatchedRoute &matched) {
        return matched.route->pathPrefix.size();
    });
}

MatchedRoute RouteTable::match(std::string_view path) const
{
    const auto found = std::ranges::find_if(this->routesByPrefixLength, [path](const MatchedRoute &matched) {
        return path.starts_with(matched.route->pathPrefix);
    });
    return found == this->routesByPrefixLength.end() ? MatchedRoute{} : *found;
}

const Service *RouteTable::service(const Core::ServiceName &name) const
{
    const auto found = std::ranges::find_if(this->routesByPrefixLength, [&name](const MatchedRoute &matched) {
        return matched.service->name == name;
    });
    return found == this->routesByPrefixLength.end() ? nullptr : found->service;
}

bool RouteTable::isOut(const Core::DataCentreName &name) const
{
    return this->dataCentresOut.contains(name);
}

const Sections &RouteTable::sections() const
{
    return this->ownedSections;
}

} // namespace Briarbend::Configuration
