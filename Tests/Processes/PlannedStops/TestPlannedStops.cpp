#include <Tests/Processes/Support/LoadRun.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::seconds STOP_TIMEOUT{70};

} // namespace

TEST(PlannedStops, cutNoRequestOfAnyInstance)
{
    // Targets hold each answer for a time, so that every instance has requests in flight when it is told to stop.
    Cluster cluster({.configuration = {},
                     .targetConditions = {{"late", 1.0}, {"late_ms", 200}},
                     .moreSettings = "[limits]\nstop_grace = \"500ms\"\nstop_deadline = \"60s\"\n"});
    const auto isCut = [](const nlohmann::json &result) {
        const auto &outcomes = result.at("outcomes");
        return outcomes.at("connection_lost").get<int>() + outcomes.at("incomplete").get<int>() + outcomes.at("wrong_answer").get<int>()
            > 0;
    };
    for (auto &instance : cluster.instances) {
        const auto begin = steadyNanoseconds();
        LoadRun load({&instance}, {"--rate", "100", "--duration", "2", "--timeout", "20000"});
        LoadRun download({&instance}, {"--rate", "5", "--duration", "1", "--timeout", "30000", "--route", "1,GET,/long,60000000"});
        const auto isDownloading = [&cluster, begin] {
            return std::ranges::any_of(cluster.history(), [begin](const nlohmann::json &run) {
                return run.at("path") == "/long" && run.at("begin_ns") > begin;
            });
        };
        ASSERT_TRUE(eventually(isDownloading, EXCHANGE_TIMEOUT));
        instance.process->terminate();
        EXPECT_EQ(instance.process->waitForExit(STOP_TIMEOUT), 0);
        const auto result = load.result();
        EXPECT_FALSE(isCut(result)) << result;
        const auto downloaded = download.result();
        EXPECT_FALSE(isCut(downloaded)) << downloaded;
        EXPECT_GT(downloaded.at("outcomes").at("answered"), 0) << downloaded;
        instance.start();
    }
}

} // namespace Briarbend::Processes
