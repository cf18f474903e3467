#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationKeys.h>
#include <LibConfiguration/SectionReader.h>
#include <LibConfiguration/StoredSection.h>
#include <LibDocument/DocumentProblem.h>
#include <Tests/Golden/GoldenFile.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

namespace Briarbend::Configuration
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view AWKWARD_DOCUMENT{R"(# Head of the house.
[team.b.data_centre.x]
state = "in" # of b

# Speaks of a.
[[team.a.service.s.route]]
path = "/a/"
kind = "safe"
[team.a.rollout.s]
from = """
[team.b]
"""
to = "v2"
)"};

std::string problemsOf(const std::string &text)
{
    try {
        parseConfiguration(text, "house.toml");
    } catch (const Document::DocumentError &error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST(ConfigurationDocument, reportsEveryProblemTogetherWithFileLineKeyFoundAndAllowed)
{
    Testing::expectGolden("Tests/Golden/configuration/problems.txt",
                          problemsOf(Testing::readSource("Tests/Golden/configuration/problems.toml")) + "\n");
}

TEST(ConfigurationDocument, thePageIsWhatTheTablesOfKeysSay)
{
    Testing::expectGolden("docs/operators/configuration.md", configurationReference());
}

TEST(ConfigurationDocument, sectionsOfTheExamplesAreCutOutWithTheirComments)
{
    for (const auto *file : {"docs/examples/sfax.toml", "docs/examples/klang.toml"}) {
        const auto document = Testing::readSource(file);
        const auto sections = parseConfiguration(document, file);
        ASSERT_EQ(sections.size(), 3U);
        std::size_t onceRoutes = 0;
        for (const auto &[team, section] : sections) {
            const auto text = extractSectionText(document, team);
            EXPECT_EQ(parseSection(team, text, 0, file), section);
            EXPECT_TRUE(text.starts_with("#")) << text;
            EXPECT_EQ(text.find(document.substr(0, document.find('\n'))), std::string::npos) << "the head belongs to no team";
            for (const auto &service : section.services) {
                onceRoutes += static_cast<std::size_t>(std::ranges::count(service.routes, RouteKind::Once, &Route::kind));
            }
        }
        EXPECT_EQ(onceRoutes, 2U);
    }
}

RC_GTEST_PROP(ConfigurationDocument, aMutilatedDocumentIsRefusedWithProblemsOrCutIntoTheSameSections, ())
{
    auto document = Testing::readSource("docs/examples/sfax.toml");
    const auto start = *rc::gen::inRange<std::size_t>(0, document.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 60);
    document.replace(start, length, *rc::gen::element<std::string>("", "\"", "[", "'''", "\n[team.b]\n", "\xff"));
    try {
        for (const auto &[team, section] : parseConfiguration(document, "house.toml")) {
            RC_ASSERT(parseSection(team, extractSectionText(document, team), 0, "house.toml") == section);
        }
    } catch (const Document::DocumentError &error) {
        RC_ASSERT(!error.problems().empty());
    }
}

TEST(ConfigurationDocument, readsARolloutWithItsTimes)
{
    const auto section
        = parseSection({"a"},
                       "[[team.a.service.s.route]]\npath = \"/\"\nkind = \"once\"\n[team.a.rollout.s]\nfrom = \"v1.0\"\nto = \"v2\"\n"
                       "start = 2026-03-01T06:00:00+01:00\nfinish_by = 2026-03-01T07:00:00+01:00\n",
                       7,
                       "configuration/a");
    EXPECT_EQ(section.storeVersion, 7U);
    const auto start = Core::WallTime(std::chrono::sys_days(std::chrono::year(2026) / 3 / 1) + 5h);
    EXPECT_EQ(section.rollouts, (std::vector<Rollout>{{{"s"}, {"v1.0"}, {"v2"}, start, start + 1h, 0.01}}));
    EXPECT_THROW(parseSection({"b"}, "[team.a]\n", 7, "configuration/b"), Document::DocumentError);
}

TEST(SectionText, fallsBackToPrintingWhereLinesDoNotTellTheSections)
{
    const auto text = extractSectionText(AWKWARD_DOCUMENT, {"a"});
    EXPECT_NE(text.find("[team.b]"), std::string::npos) << "the text within a must stay";
    EXPECT_EQ(text.find("data_centre"), std::string::npos);
    EXPECT_EQ(extractSectionText(AWKWARD_DOCUMENT, {"c"}), "");
    const auto inlined = extractSectionText("team = { a = { data_centre = { x = { state = \"in\" } } }, b = {} }\n", {"a"});
    EXPECT_EQ(parseSection({"a"}, inlined, 0, "a").dataCentres.size(), 1U);
}

TEST(SectionText, changesTheStateOfOneDataCentreAndNothingElse)
{
    const std::string text = "# Why.\n[team.a.data_centre.x]\nstate = \"in\" # since Monday\n[team.a.data_centre.y]\nstate = \"in\"\n";
    const auto out = withDataCentreState(text, {"a"}, {"x"}, DataCentreState::Out);
    EXPECT_EQ(out, "# Why.\n[team.a.data_centre.x]\nstate = \"out\" # since Monday\n[team.a.data_centre.y]\nstate = \"in\"\n");
    EXPECT_EQ(withDataCentreState(out, {"a"}, {"x"}, DataCentreState::In), text);
    EXPECT_EQ(withDataCentreState(text, {"a"}, {"z"}, DataCentreState::Out), text + "\n[team.a.data_centre.z]\nstate = \"out\"\n");
    const auto inlined = withDataCentreState("team.a.data_centre = { x = { state = \"in\" } }\n", {"a"}, {"z"}, DataCentreState::Out);
    EXPECT_EQ(parseSection({"a"}, inlined, 0, "a").dataCentres.size(), 2U);
}

TEST(StoredSection, isReadBackAndRefusesAnythingElse)
{
    const StoredSection stored{.edit = "e-1", .text = "[team.a.data_centre.x]\nstate = \"out\"\n"};
    const auto value = formatStoredSection(stored);
    EXPECT_EQ(parseStoredSection(value, "configuration/a"), stored);
    EXPECT_EQ(readStoredSection(teamOfSectionKey(sectionKey({"a"})), value, 3).dataCentres.front().state, DataCentreState::Out);
    EXPECT_THROW(parseStoredSection("{\"edit\":1}", "configuration/a"), Document::DocumentError);
    EXPECT_THROW(teamOfSectionKey("rollouts/a"), std::invalid_argument);
}

} // namespace Briarbend::Configuration
