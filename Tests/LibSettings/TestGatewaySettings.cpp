#include <LibSettings/GatewaySettings.h>

#include <LibDocument/DocumentProblem.h>

#include <Tests/Golden/GoldenFile.h>
#include <gtest/gtest.h>

namespace Briarbend::Settings
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view INSTANCE{R"(
[instance]
name = "front-1"
data_centre = "Sfax_North"
caller_address = "10.1.0.18:8381"
ready_address = "10.1.0.18:8388"
peer_address = "10.1.0.18:8382"
metrics_address = "10.1.0.18:9100"
)"};

std::string problemsOf(const std::string &text)
{
    try {
        parseGatewaySettings(text, "settings.toml");
    } catch (const Document::DocumentError &error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST(GatewaySettings, secondsMayHaveFractionsAndWholeNumbersAreNumbersToo)
{
    const auto settings = parseGatewaySettings(std::string(INSTANCE)
                                                   + "[store]\nendpoint = \"10.200.1.7:8384\"\n[stop]\ngrace = 1.5\n[budgets]\n"
                                                     "extra_send_share = 1\nextra_send_window = 10\n",
                                               "settings.toml");
    EXPECT_EQ(settings.instance.dataCentre.value, "Sfax_North");
    EXPECT_EQ(settings.stop.grace, 1500ms);
    EXPECT_EQ(settings.budgets.extraSendShare, 1);
    EXPECT_EQ(settings.budgets.extraSendWindow, 10s);
    EXPECT_EQ(settings.store.endpoint.port, 8384);
}

TEST(GatewaySettings, allProblemsAreReportedTogether)
{
    const auto problems = problemsOf(std::string(INSTANCE) + "colour = 3\n[stop]\ngrace = \"soon\"\n[budgets]\nextra_send_share = -1\n");
    for (const auto *part : {"colour", "grace", "extra_send_share", "endpoint"}) {
        EXPECT_NE(problems.find(part), std::string::npos) << part << " in " << problems;
    }
}

TEST(GatewaySettings, theReferencePageIsWrittenFromTheKeys)
{
    Testing::expectGolden("docs/operators/gateway-settings.md", gatewaySettingsReference());
}

} // namespace Briarbend::Settings
