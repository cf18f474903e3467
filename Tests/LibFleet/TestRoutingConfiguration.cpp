#include <LibFleet/RoutingConfiguration.h>

#include <gtest/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

RouteConfiguration route(std::string name, std::string host, std::string prefix)
{
    RouteConfiguration configuration;
    configuration.name = std::move(name);
    configuration.host = std::move(host);
    configuration.pathPrefix = std::move(prefix);
    configuration.services = {{{"benches"}, 1}};
    return configuration;
}

RoutingConfiguration sampleConfiguration()
{
    RoutingConfiguration configuration;
    configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")};
    return configuration;
}

std::string nameOf(const RouteConfiguration *found)
{
    return found == nullptr ? "none" : found->name;
}

} // namespace

// Guards against a revoked key that an older version brings back, and against a version without its tenants from an older build that stays.
TEST(RoutingConfiguration, onlyALaterOrMoreCompleteVersionIsTaken)
{
    const auto version = [](std::uint64_t number, bool hasTenants) {
        RoutingConfiguration configuration;
        configuration.version = number;
        configuration.tenants = hasTenants ? std::make_shared<const Tenants::TenantTable>() : nullptr;
        return configuration;
    };
    EXPECT_TRUE(supersedes(version(8, false), version(7, true)));
    EXPECT_TRUE(supersedes(version(7, true), version(7, false)));
    for (const bool hasTenants : {false, true}) {
        EXPECT_FALSE(supersedes(version(7, hasTenants), version(7, true)));
        EXPECT_FALSE(supersedes(version(6, true), version(7, hasTenants)));
    }
}

TEST(RoutingConfiguration, longestPathPrefixOfTheHostIsFound)
{
    const auto configuration = sampleConfiguration();
    EXPECT_EQ(nameOf(findRoute(configuration, "a.example", "/x/y/z")), "long");
    EXPECT_EQ(nameOf(findRoute(configuration, "a.example", "/x/z")), "short");
    EXPECT_EQ(nameOf(findRoute(configuration, "b.example", "/x/y/z")), "other");
    EXPECT_EQ(nameOf(findRoute(configuration, "a.example", "/x")), "none");
    EXPECT_EQ(nameOf(findRoute(configuration, "c.example", "/x/y/z")), "none");
}

TEST(RoutingConfiguration, hostsAreComparedWithoutPortAndCase)
{
    const auto configuration = sampleConfiguration();
    EXPECT_EQ(nameOf(findRoute(configuration, "A.Example:8080", "/x/y/")), "long");
    EXPECT_EQ(nameOf(findRoute(configuration, "", "/x/y/")), "none");
}

TEST(RoutingConfiguration, queryIsNotPartOfThePath)
{
    const auto configuration = sampleConfiguration();
    EXPECT_EQ(nameOf(findRoute(configuration, "a.example", "/x?next=/x/y/")), "none");
    EXPECT_EQ(nameOf(findRoute(configuration, "a.example", "/x/?next=/x/y/")), "short");
}

TEST(RoutingConfiguration, servicesAreDrawnInProportionToTheirWeights)
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
