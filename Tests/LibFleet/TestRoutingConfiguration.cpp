#include <LibFleet/RoutingConfiguration.h>

#include <gtest/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

RouteConfiguration route(std::string name, std::string host, std::string prefix)
{
    RouteConfiguration plan;
    plan.name = std::move(name);
    plan.host = std::move(host);
    plan.pathPrefix = std::move(prefix);
    plan.services = {{{"benches"}, 1}};
    return plan;
}

RoutingConfiguration samplePlan()
{
    RoutingConfiguration plan;
    plan.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")};
    return plan;
}

std::string nameOf(const RouteConfiguration *found)
{
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST(Plan, theLongestPrefixOfTheHostWins)
{
    const auto plan = samplePlan();
    EXPECT_EQ(nameOf(findRoute(plan, "a.example", "/x/y/z")), "long");
    EXPECT_EQ(nameOf(findRoute(plan, "a.example", "/x/z")), "short");
    EXPECT_EQ(nameOf(findRoute(plan, "b.example", "/x/y/z")), "other");
    EXPECT_EQ(nameOf(findRoute(plan, "a.example", "/x")), "none");
    EXPECT_EQ(nameOf(findRoute(plan, "c.example", "/x/y/z")), "none");
}

TEST(Plan, hostsAreComparedWithoutPortAndCase)
{
    const auto plan = samplePlan();
    EXPECT_EQ(nameOf(findRoute(plan, "A.Example:8080", "/x/y/")), "long");
    EXPECT_EQ(nameOf(findRoute(plan, "", "/x/y/")), "none");
}

TEST(Plan, aQueryIsNotPartOfThePath)
{
    const auto plan = samplePlan();
    EXPECT_EQ(nameOf(findRoute(plan, "a.example", "/x?next=/x/y/")), "none");
    EXPECT_EQ(nameOf(findRoute(plan, "a.example", "/x/?next=/x/y/")), "short");
}

TEST(Plan, servicesAreDrawnInProportionToTheirWeights)
{
    auto split = route("split", "a.example", "/x/");
    split.services = {{{"nine"}, 90}, {{"one"}, 10}, {{"never"}, 0}};
    Core::Random random{7};
    std::map<Core::ServiceName, int> drawn;
    constexpr int DRAWS = 10'000;
    for (int draw = 0; draw < DRAWS; ++draw) {
        ++drawn[drawService(split, random)];
    }
    EXPECT_NEAR(drawn[{"nine"}], 9000, 200);
    EXPECT_NEAR(drawn[{"one"}], 1000, 200);
    EXPECT_EQ(drawn[{"never"}], 0);
}

} // namespace Briarbend::Fleet
