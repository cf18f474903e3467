#include <LibDocument/DocumentProblem.h>
#include <LibSettings/GatewaySettings.h>

#include <Tests/Support/TemplateRenderer.h>
#include <platform/Contracts.h>

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace Briarbend::Platform
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

/// All fields of a process that the template may use.
json allFields()
{
    return {{"node", "front-1"},
            {"zone", "north"},
            {"ip", "10.1.0.18"},
            {"limits", {{"maxFds", 4100}, {"linkMbps", 10.0}, {"memoryMb", 160}, {"cpuShare", 0.1}}},
            {"listen", {{"front", "10.1.0.18:8381"}, {"ready", "10.1.0.18:8388"}, {"control", "10.1.0.18:8382"}}},
            {"contracts", {"base", "pressure"}},
            {"seeds", {"10.1.0.18:8382", "10.2.0.34:8382"}},
            {"platform", {{"address", "10.200.1.7:8384"}, {"historyS", 20}}},
            {"cloud", {{"address", "10.200.0.178:8585"}, {"dutyPerS", 50.0}}},
            {"bounds",
             {{"graceS", 6},
              {"retryBudget", 0.2},
              {"budgetExtra", 64},
              {"budgetWindowS", 10},
              {"exposeShare", 0.1},
              {"exposeSlack", 50},
              {"fencing", true},
              {"leaseS", 3},
              {"thawS", 0.3},
              {"reportWindowS", 5},
              {"usageLateS", 10},
              {"probesPerS", 42}}}};
}

Settings::GatewaySettings settingsFrom(const json &fields)
{
    std::ifstream file(std::string(BRIARBEND_SOURCE_FOLDER) + "/deploy/settings.template.toml");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    auto settings = Settings::parseGatewaySettings(Testing::renderTemplate(text, fields), "settings.toml");
    applyContracts(settings);
    return settings;
}

} // namespace

// Guards against a deployment on which no process starts because the template takes an optional bound for granted.
TEST(SettingsTemplate, eachBoundAndLimitMayBeAbsent)
{
    for (const std::string group : {"bounds", "limits"}) {
        for (const auto &[name, value] : allFields()[group].items()) {
            auto fields = allFields();
            fields[group].erase(name);
            EXPECT_NO_THROW(settingsFrom(fields)) << group << "." << name;
        }
    }
    auto fields = allFields();
    fields.erase("bounds");
    fields.erase("limits");
    fields.erase("cloud");
    fields.erase("contracts");
    fields["platform"].erase("historyS");
    fields["seeds"] = json::array();
    const auto settings = settingsFrom(fields);
    const Settings::GatewaySettings defaults;
    EXPECT_EQ(settings.rollouts.exposedShare, defaults.rollouts.exposedShare);
    EXPECT_EQ(settings.budgets.extraSendAllowance, defaults.budgets.extraSendAllowance);
    EXPECT_TRUE(settings.peers.seeds.empty());
    EXPECT_FALSE(settings.admission.byValue);
    EXPECT_FALSE(settings.usage.endpoint);
}

// Guards against features that stay off, or come on, whatever the deployment asks for.
TEST(SettingsTemplate, featuresFollowWhatTheDeploymentStates)
{
    const auto settings = settingsFrom(allFields());
    EXPECT_TRUE(settings.admission.byValue);
    ASSERT_TRUE(settings.usage.endpoint);
    EXPECT_EQ(settings.usage.endpoint->port, 8585);
    EXPECT_EQ(settings.usage.window, 5s);
    EXPECT_EQ(settings.usage.lease, 3s);
    auto fields = allFields();
    fields["contracts"] = {"base"};
    EXPECT_FALSE(settingsFrom(fields).admission.byValue);
}

// Guards against exit code 78 where a bound scaled to a smaller deployment is no whole number.
TEST(SettingsTemplate, boundsMayBeFractions)
{
    auto fields = allFields();
    fields["bounds"]["budgetExtra"] = 21.67;
    fields["bounds"]["exposeSlack"] = 12.5;
    fields["bounds"]["graceS"] = 2.5;
    const auto settings = settingsFrom(fields);
    EXPECT_DOUBLE_EQ(settings.budgets.extraSendAllowance, 21.67);
    EXPECT_DOUBLE_EQ(settings.rollouts.exposedRequests, 12.5);
    EXPECT_EQ(settings.stop.grace, 2500ms);
}

TEST(SettingsTemplate, boundsMayBeAtTheirEnds)
{
    auto fields = allFields();
    for (const std::string name : {"retryBudget", "budgetExtra", "exposeShare", "exposeSlack"}) {
        fields["bounds"][name] = 0;
    }
    const auto settings = settingsFrom(fields);
    EXPECT_EQ(settings.budgets.extraSendShare, 0);
    EXPECT_EQ(settings.rollouts.exposedShare, 0);
    fields["bounds"]["exposeShare"] = 1;
    EXPECT_EQ(settingsFrom(fields).rollouts.exposedShare, 1);
}

} // namespace Briarbend::Platform
