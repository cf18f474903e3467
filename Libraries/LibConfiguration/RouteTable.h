#pragma once

#include <LibConfiguration/Model.h>

#include <set>
#include <string_view>

namespace Briarbend::Configuration
{

/// A route together with the service that it belongs to.
struct MatchedRoute {
    const Service *service{nullptr};
    const Route *route{nullptr};
};

/// Lookup tables derived from all sections. Rebuilt when a section changes, never edited.
class RouteTable
{
public:
    explicit RouteTable(Sections sections);
    /// The tables point into the sections they own.
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// The route with the longest prefix of the path; both pointers are null where none fits. The pointers live as long as the table.
    MatchedRoute match(std::string_view path) const;
    const Service *service(const Core::ServiceName &name) const;
    /// True where any section takes the data centre out: a doubt between teams must not send work to it.
    bool isOut(const Core::DataCentreName &name) const;
    const Sections &sections() const;

private:
    Sections ownedSections;
    std::vector<MatchedRoute> routesByPrefixLength;
    std::set<Core::DataCentreName> dataCentresOut;
};

} // namespace Briarbend::Configuration
