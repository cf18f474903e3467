#include <Tests/Processes/Support/Cluster.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::seconds LOAD_TIMEOUT{30};

} // namespace

TEST(AllInstances, answersEveryCallerThroughAllInstancesAndRunsOnceRequestsOnce)
{
    Cluster cluster({});
    Process load("briarload",
                 cluster.loadArguments(
                     {"--rate", "300", "--duration", "2", "--json", "--route", "9,GET,/x,1000", "--route", "1,POST,/once/x,300,once"}));
    const auto result = nlohmann::json::parse(load.readOutput(LOAD_TIMEOUT));
    EXPECT_EQ(load.waitForExit(LOAD_TIMEOUT), 0) << result;
    const auto runs = cluster.history();
    EXPECT_GE(runs.size(), result.at("attempts"));
    std::map<std::string, int> runsOfKey;
    for (const auto &run : runs) {
        if (run.at("path") == "/once/x") {
            ++runsOfKey[run.at("key").get<std::string>()];
        }
    }
    EXPECT_EQ(runsOfKey.size(), result.at("routes").at(1).at("attempts"));
    EXPECT_TRUE(std::ranges::all_of(runsOfKey, [](const auto &entry) {
        return !entry.first.empty() && entry.second == 1;
    }));
    EXPECT_EQ(cluster.sumOfCounter("violations"), 0U);
}

} // namespace Briarbend::Processes
