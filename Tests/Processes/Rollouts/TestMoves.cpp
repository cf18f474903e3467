#include <Tests/Processes/Support/Cluster.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <iomanip>
#include <sstream>

namespace Briarbend::Processes
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds MOVE_TIME{12};
/// A bad version gets at most this share of the requests before its fault shows.
constexpr double LARGEST_BAD_SHARE = 0.02;
/// A bad version gets nothing from this time after its fault shows.
constexpr std::chrono::nanoseconds TAKEN_BACK_WITHIN = 2s;
constexpr std::chrono::seconds LOAD_TIMEOUT{60};

std::string offsetDateTime(std::chrono::system_clock::time_point time)
{
    const auto seconds = std::chrono::system_clock::to_time_t(time);
    std::ostringstream text;
    text << std::put_time(std::gmtime(&seconds), "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

std::string configurationWithMove()
{
    const auto start = std::chrono::system_clock::now();
    return "[[team.operators.service.pattern.route]]\npath = \"/\"\nkind = \"idempotent\"\n"
           "[team.operators.rollout.pattern]\nfrom = \"v1\"\nto = \"v2\"\nstart = "
        + offsetDateTime(start) + "\nfinish_by = " + offsetDateTime(start + MOVE_TIME) + "\ntrial_share = 0.01\n";
}

nlohmann::json statusOf(const Cluster &cluster)
{
    return getJson(cluster.storeEndpoint(), "/objects/rollouts/pattern");
}

/// Runs load on a cluster whose new version behaves as the conditions say, while its move goes on.
void moveUnderLoad(Cluster &cluster, const nlohmann::json &conditions)
{
    cluster.addTargets("sfax-1", "v2", 3).apply(conditions);
    cluster.applyConfiguration(configurationWithMove());
    Process load("briarload", cluster.loadArguments({"--rate", "400", "--duration", "13", "--json", "--route", "1,GET,/x,100"}));
    load.waitForExit(LOAD_TIMEOUT);
}

std::vector<std::int64_t> beginningsAt(const Cluster &cluster, const std::string &version)
{
    std::vector<std::int64_t> beginnings;
    for (const auto &group : cluster.targetGroups) {
        if (group.version != version) {
            continue;
        }
        for (const auto &run : group.history()) {
            beginnings.push_back(run.at("begin_ns").get<std::int64_t>());
        }
    }
    std::ranges::sort(beginnings);
    return beginnings;
}

} // namespace

TEST(Moves, aVersionThatFailsIsTakenBackWithinTwoSeconds)
{
    Cluster cluster({});
    moveUnderLoad(cluster, {{"fail", 1.0}});
    const auto ofNew = beginningsAt(cluster, "v2");
    const auto ofOld = beginningsAt(cluster, "v1");
    ASSERT_FALSE(ofNew.empty()) << "the new version got nothing: the test shows nothing";
    EXPECT_LE(ofNew.back() - ofNew.front(), TAKEN_BACK_WITHIN.count()) << ofNew.size() << " requests to the bad version";
    EXPECT_LE(static_cast<double>(ofNew.size()), LARGEST_BAD_SHARE * static_cast<double>(ofNew.size() + ofOld.size()));
    EXPECT_EQ(statusOf(cluster).at("phase"), "taken back") << statusOf(cluster);
}

TEST(Moves, aGoodVersionCarriesAllTrafficByItsTimeWithASlowStore)
{
    Cluster cluster({});
    cluster.controlStore({{"delay_ms", 20}});
    moveUnderLoad(cluster, nlohmann::json::object());
    const auto isDone = [&cluster] {
        return statusOf(cluster).at("phase") == "done";
    };
    EXPECT_TRUE(eventually(isDone, 5s)) << statusOf(cluster);
    const auto ofNew = beginningsAt(cluster, "v2");
    const auto ofOld = beginningsAt(cluster, "v1");
    ASSERT_FALSE(ofNew.empty());
    EXPECT_GT(ofNew.back(), ofOld.back()) << "the last requests go to the new version";
}

} // namespace Briarbend::Processes
