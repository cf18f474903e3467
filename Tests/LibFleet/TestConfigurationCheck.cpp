#include <LibFleet/ConfigurationCheck.h>
#include <LibFleet/ConfigurationDifference.h>

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <type_traits>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;
using Configuration::RouteKind;
using enum ConfigurationField;

/// A document without findings.
ConfigurationDocument document()
{
    ConfigurationDocument result;
    auto &configuration = result.configuration;
    configuration.version = 7;
    configuration.services[{"desk"}] = {};
    configuration.routes = {{.name = "orders",
                             .host = "a.example",
                             .pathPrefix = "/orders/",
                             .kind = RouteKind::Once,
                             .timeout = 1500ms,
                             .objective = 800ms,
                             .maximumSends = 2,
                             .priority = 1,
                             .services = {{{"desk"}, 1}}}};
    result.tenants.emplace();
    result.tenants->push_back({.name = "harbour", .keys = {"k1"}, .priority = {}});
    return result;
}

using Edit = std::function<void(ConfigurationDocument &)>;

struct FaultyDocument {
    std::string name;
    Severity severity;
    EntryKind kind;
    ConfigurationField field;
    Edit edit;
};

RouteConfiguration &route(ConfigurationDocument &document)
{
    return document.configuration.routes.front();
}

template<typename Value>
Edit onRoute(Value RouteConfiguration::*member, std::type_identity_t<Value> value)
{
    return [member, value](ConfigurationDocument &edited) {
        route(edited).*member = value;
    };
}

template<typename Value>
Edit onService(Value ServiceConfiguration::*member, std::type_identity_t<Value> value)
{
    return [member, value](ConfigurationDocument &edited) {
        edited.configuration.services.at({"desk"}).*member = value;
    };
}

template<typename Value>
Edit onLimits(Value CallerLimits::*member, std::type_identity_t<Value> value)
{
    return [member, value](ConfigurationDocument &edited) {
        edited.configuration.limits.*member = value;
    };
}

Edit withTenant(const std::string &name, const std::vector<std::string> &keys)
{
    return [name, keys](ConfigurationDocument &edited) {
        edited.tenants->push_back({.name = name, .keys = keys, .priority = {}});
    };
}

void addUnusedService(ConfigurationDocument &edited)
{
    edited.configuration.services[{"unused"}] = {};
}

const std::vector<FaultyDocument> FAULTY_DOCUMENTS{
    {"emptyHost", Severity::Warning, EntryKind::Route, Host, onRoute(&RouteConfiguration::host, "")},
    {"hostWithPort", Severity::Warning, EntryKind::Route, Host, onRoute(&RouteConfiguration::host, "a.example:80")},
    {"relativePrefix", Severity::Warning, EntryKind::Route, PathPrefix, onRoute(&RouteConfiguration::pathPrefix, "orders")},
    {"prefixWithQuery", Severity::Warning, EntryKind::Route, PathPrefix, onRoute(&RouteConfiguration::pathPrefix, "/a?b")},
    {"noService", Severity::Error, EntryKind::Route, Services, onRoute(&RouteConfiguration::services, {{{"absent"}, 1}})},
    {"weightZero", Severity::Error, EntryKind::Route, Services, onRoute(&RouteConfiguration::services, {{{"desk"}, 0}})},
    {"partWithWeightZero",
     Severity::Warning,
     EntryKind::Route,
     Services,
     onRoute(&RouteConfiguration::services, {{{"desk"}, 1}, {{"desk"}, 0}})},
    {"weightNegative", Severity::Error, EntryKind::Route, Services, onRoute(&RouteConfiguration::services, {{{"desk"}, -1}})},
    {"timeoutNegative", Severity::Error, EntryKind::Route, Timeout, onRoute(&RouteConfiguration::timeout, -1ms)},
    {"timeoutBelowObjective", Severity::Warning, EntryKind::Route, Timeout, onRoute(&RouteConfiguration::timeout, 799ms)},
    {"timeoutFarAboveObjective", Severity::Warning, EntryKind::Route, Timeout, onRoute(&RouteConfiguration::timeout, 8001ms)},
    {"objectiveZero", Severity::Error, EntryKind::Route, Objective, onRoute(&RouteConfiguration::objective, 0ms)},
    {"noSend", Severity::Error, EntryKind::Route, MaximumSends, onRoute(&RouteConfiguration::maximumSends, 0)},
    {"negativeSends", Severity::Error, EntryKind::Route, MaximumSends, onRoute(&RouteConfiguration::maximumSends, ~0U)},
    {"manySendsAtMostOnce", Severity::Warning, EntryKind::Route, MaximumSends, onRoute(&RouteConfiguration::maximumSends, 4)},
    {"negativePriority", Severity::Error, EntryKind::Route, Priority, onRoute(&RouteConfiguration::priority, ~0U)},
    {"healthPath", Severity::Error, EntryKind::Service, HealthPath, onService(&ServiceConfiguration::healthPath, "healthz")},
    {"noConnection", Severity::Error, EntryKind::Service, ConnectionsPerTarget, onService(&ServiceConfiguration::connectionsPerTarget, 0)},
    {"coldRateZero",
     Severity::Warning,
     EntryKind::Service,
     ColdRequestsPerSecond,
     onService(&ServiceConfiguration::coldRequestsPerSecond, 0)},
    {"coldRateNegative",
     Severity::Error,
     EntryKind::Service,
     ColdRequestsPerSecond,
     onService(&ServiceConfiguration::coldRequestsPerSecond, -1)},
    {"unusedService", Severity::Warning, EntryKind::Service, None, addUnusedService},
    {"headerTimeout", Severity::Warning, EntryKind::Limits, HeaderTimeout, onLimits(&CallerLimits::idleTimeout, 2999ms)},
    {"noHeaderBytes", Severity::Error, EntryKind::Limits, HeaderBytes, onLimits(&CallerLimits::headerBytes, 0)},
    {"idleTimeout", Severity::Error, EntryKind::Limits, IdleTimeout, onLimits(&CallerLimits::idleTimeout, 0ms)},
    {"noKey", Severity::Warning, EntryKind::Tenant, ApiKeys, withTenant("other", {})},
    {"sharedKey", Severity::Error, EntryKind::Tenant, ApiKeys, withTenant("other", {"k1"})},
    {"repeatedKey", Severity::Warning, EntryKind::Tenant, ApiKeys, withTenant("other", {"k2", "k2"})},
};

class ConfigurationCheckTest : public testing::TestWithParam<FaultyDocument>
{
};

} // namespace

// A faulty entry that the check passes is found out by callers.
TEST_P(ConfigurationCheckTest, findsTheFaultAndNamesItsField)
{
    auto edited = document();
    ASSERT_TRUE(checkConfiguration(edited).empty());
    GetParam().edit(edited);
    const auto findings = checkConfiguration(edited);
    EXPECT_TRUE(std::ranges::any_of(findings, [](const ConfigurationFinding &finding) {
        return finding.severity == GetParam().severity && finding.entry.kind == GetParam().kind && finding.field == GetParam().field;
    }));
    EXPECT_TRUE(std::ranges::none_of(findings, [](const ConfigurationFinding &finding) {
        return finding.text.find("k1") != std::string::npos || finding.text.find("k2") != std::string::npos;
    })) << "a key is secret";
}

INSTANTIATE_TEST_SUITE_P(Faults, ConfigurationCheckTest, testing::ValuesIn(FAULTY_DOCUMENTS), [](const auto &fault) {
    return fault.param.name;
});

// Of two routes with one host and prefix, the check would name the one that gets the requests.
TEST(ConfigurationCheck, namesTheRouteThatFindRouteNeverReturns)
{
    auto edited = document();
    edited.configuration.routes.push_back(route(edited));
    edited.configuration.routes.back().name = "orders-2";
    const auto findings = checkConfiguration(edited);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].entry.name, "orders-2");
    EXPECT_EQ(findRoute(edited.configuration, "a.example", "/orders/1")->name, "orders");
}

// A document that no instance takes would pass for the next version.
TEST(ConfigurationCheck, versionMustRiseWhereSomethingChanges)
{
    const auto inForce = document();
    auto next = document();
    EXPECT_TRUE(checkSuccession(inForce, next).empty());
    route(next).priority = 2;
    EXPECT_EQ(checkSuccession(inForce, next).size(), 1U);
    next.configuration.version = 6;
    EXPECT_EQ(checkSuccession(inForce, next).size(), 1U);
    next.configuration.version = 8;
    EXPECT_TRUE(checkSuccession(inForce, next).empty());
}

// A changed field that is not told goes into force unseen; a key that is shown is no secret any more.
TEST(ConfigurationDifference, tellsEveryChangedFieldAndNoKey)
{
    const auto inForce = document();
    auto next = document();
    EXPECT_TRUE(findDifferences(inForce, next).empty());
    route(next).timeout = 250ms;
    next.configuration.services = {{{"other"}, {}}};
    next.configuration.limits.bodyBytes = 1;
    next.tenants->front().keys = {"k2"};
    const auto change = [](EntryKind kind, const std::string &name, ConfigurationField field, const auto *before, const auto *after) {
        return ConfigurationDifference{ChangeKind::Changed, {kind, name}, field, before, after};
    };
    const std::vector<ConfigurationDifference> expected{change(EntryKind::Route, "orders", Timeout, "1.5 s", "0.25 s"),
                                                        {ChangeKind::Removed, {EntryKind::Service, "desk"}, None, "", ""},
                                                        {ChangeKind::Added, {EntryKind::Service, "other"}, None, "", ""},
                                                        change(EntryKind::Limits, "", BodyBytes, "67108864", "1"),
                                                        change(EntryKind::Tenant, "harbour", ApiKeys, "1 key", "1 key")};
    EXPECT_EQ(findDifferences(inForce, next), expected);
    next = document();
    next.tenants.reset();
    EXPECT_EQ(findDifferences(inForce, next).size(), 2U) << "without the table no request needs a key";
}

} // namespace Briarbend::Fleet
