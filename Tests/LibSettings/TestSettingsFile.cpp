#include <LibDocument/DocumentProblem.h>
#include <LibSettings/SettingsFile.h>
#include <Tests/Golden/GoldenFile.h>

namespace Briarbend::Settings
{

namespace
{

using namespace std::chrono_literals;

/// The problems of a text, one a line; empty where there are none.
std::string problemsOf(const std::string &text)
{
    try {
        parseSettings(text, "briarbendd.toml");
    } catch (const Document::DocumentError &error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST(SettingsFile, takesTheExample)
{
    const auto settings = loadSettings(Testing::sourcePath("docs/examples/briarbendd.toml"));
    EXPECT_EQ(settings.instance.dataCentre.value, "sfax-1");
    EXPECT_EQ(settings.store.endpoints.front().text(), "127.0.0.1:9000");
    EXPECT_EQ(settings.limits.stopDeadline, 1h);
    ASSERT_EQ(settings.distances.size(), 3U);
    EXPECT_EQ(settings.distances.front().roundTrip, 1500us);
}

TEST(SettingsFile, reportsEveryProblemTogetherWithFileLineKeyFoundAndAllowed)
{
    Testing::expectGolden("Tests/Golden/settings/problems.txt",
                          problemsOf(Testing::readSource("Tests/Golden/settings/problems.toml")) + "\n");
}

TEST(SettingsFile, reportsRequiredKeysOfAnAbsentTableAndBadToml)
{
    EXPECT_NE(problemsOf("").find("briarbendd.toml: instance.data_centre: found nothing"), std::string::npos);
    EXPECT_EQ(problemsOf("[instance]\nname = ").find("briarbendd.toml:2: found "), 0U);
    EXPECT_THROW(loadSettings("/nowhere/briarbendd.toml"), Document::DocumentError);
}

TEST(SettingsFile, refusesListenersThatClashAndAddressesThatPeersCanNotReach)
{
    const std::string text = "[instance]\ndata_centre = \"a\"\ncaller_address = \"0.0.0.0:1\"\npeer_address = \"0.0.0.0:2\"\n"
                             "operator_address = \"0.0.0.0:1\"\n[store]\nendpoints = [\"127.0.0.1:9\"]\n";
    EXPECT_EQ(
        problemsOf(text),
        "briarbendd.toml:1: instance.advertised_peer_address: found an address that peers can not connect to, allowed: the IP number of "
        "this instance\n"
        "briarbendd.toml:5: instance.operator_address: found the address of another listener, allowed: an address of its own for each "
        "listener");
}

TEST(SettingsFile, thePageIsWhatTheTableOfKeysSays)
{
    Testing::expectGolden("docs/operators/settings.md", settingsReference());
}

} // namespace Briarbend::Settings
