#include <LibConfiguration/RouteTable.h>

#include <gtest/gtest.h>

namespace Briarbend::Configuration
{

namespace
{

Section sectionOf(std::string team, std::vector<Service> services, std::vector<DataCentre> dataCentres)
{
    return Section{.team = {std::move(team)},
                   .storeVersion = 1,
                   .services = std::move(services),
                   .dataCentres = std::move(dataCentres),
                   .rollouts = {}};
}

} // namespace

TEST(RouteTable, longestPrefixWins)
{
    const Service service{.name = {"pattern"}, .routes = {{.pathPrefix = "/pattern/"}, {.pathPrefix = "/pattern/bulk/"}}, .limits = {}};
    const RouteTable table(Sections{{{"benches"}, sectionOf("benches", {service}, {})}});
    EXPECT_EQ(table.match("/pattern/bulk/7").route->pathPrefix, "/pattern/bulk/");
    EXPECT_EQ(table.match("/pattern/7").route->pathPrefix, "/pattern/");
    EXPECT_EQ(table.match("/other").route, nullptr);
}

TEST(RouteTable, oneTeamTakingADataCentreOutSuffices)
{
    const RouteTable table(Sections{
        {{"a"}, sectionOf("a", {}, {{.name = {"sfax-1"}, .state = DataCentreState::Out}})},
        {{"b"}, sectionOf("b", {}, {{.name = {"sfax-1"}, .state = DataCentreState::In}})},
    });
    EXPECT_TRUE(table.isOut({"sfax-1"}));
    EXPECT_FALSE(table.isOut({"sfax-2"}));
}

} // namespace Briarbend::Configuration
