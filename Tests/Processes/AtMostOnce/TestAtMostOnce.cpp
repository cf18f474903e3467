#include <Tests/Processes/Support/LoadRun.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <unistd.h>

namespace Briarbend::Processes
{

namespace
{

constexpr std::int64_t SECOND{1'000'000'000};

std::map<std::string, int> runsOf(const Cluster &cluster, const char *field)
{
    std::map<std::string, int> runs;
    for (const auto &run : cluster.history()) {
        ++runs[run.at(field).get<std::string>()];
    }
    return runs;
}

std::size_t keysRunTwice(const std::map<std::string, int> &runs)
{
    return static_cast<std::size_t>(std::ranges::count_if(runs, [](const auto &entry) {
        return entry.second > 1;
    }));
}

/// The keys or request identifiers of which every attempt was told that it had not run.
std::set<std::string> toldNotRun(const std::filesystem::path &history, const char *field)
{
    std::set<std::string> notRun;
    std::set<std::string> others;
    std::ifstream lines(history);
    for (std::string line; std::getline(lines, line);) {
        const auto event = nlohmann::json::parse(line);
        (event.at("outcome") == "not_run" ? notRun : others).insert(event.at(field).get<std::string>());
    }
    std::erase_if(notRun, [&others](const std::string &value) {
        return others.contains(value);
    });
    return notRun;
}

/// Load with repeated keys on one path while every kind of failure comes.
class AtMostOnce : public testing::Test
{
protected:
    void TearDown() override
    {
        std::error_code ignored;
        std::filesystem::remove(this->historyFile, ignored);
    }

    void loadUnderFailures(const std::string &route)
    {
        LoadRun load(this->cluster,
                     {"--rate",
                      "300",
                      "--duration",
                      "9",
                      "--timeout",
                      "3000",
                      "--duplicate",
                      "0.3",
                      "--resubmit",
                      "1",
                      "--route",
                      route,
                      "--history",
                      this->historyFile.string()});
        const auto begin = steadyNanoseconds();
        auto &killed = this->cluster.instances.front();
        auto &frozen = this->cluster.instances.back();
        waitUntil(begin + SECOND);
        killed.process->kill();
        waitUntil(begin + 2 * SECOND);
        killed.start();
        waitUntil(begin + 3 * SECOND);
        frozen.process->freeze();
        waitUntil(begin + 5 * SECOND);
        frozen.process->resume();
        this->cluster.controlStore({{"outage", true}});
        waitUntil(begin + 6 * SECOND);
        this->cluster.controlStore({{"outage", false}, {"lose_answers", 0.3}});
        waitUntil(begin + 7 * SECOND);
        this->cluster.controlStore({{"lose_answers", 0.0}});
        this->result = load.result();
    }

    // Some answers end in mid-body, so that callers resubmit what has run.
    Cluster cluster{{.instances = 4, .configuration = {}, .targetConditions = {{"close_mid_body", 0.05}}, .moreSettings = {}}};
    std::filesystem::path historyFile{std::filesystem::temp_directory_path() / ("at-most-once-" + std::to_string(::getpid()) + ".jsonl")};
    nlohmann::json result;
};

} // namespace

TEST_F(AtMostOnce, noKeyRunsTwiceAndNoneRunsThatAllCallersWereToldHadNotRun)
{
    this->loadUnderFailures("1,POST,/once/x,300,once");
    const auto runs = runsOf(this->cluster, "key");
    EXPECT_GT(runs.size(), 500U) << this->result;
    EXPECT_GT(this->result.at("resubmissions"), 0);
    EXPECT_FALSE(runs.contains("")) << "every run must have its key";
    EXPECT_EQ(keysRunTwice(runs), 0U) << this->result;
    for (const auto *field : {"key", "request_id"}) {
        const auto known = runsOf(this->cluster, field);
        EXPECT_TRUE(std::ranges::none_of(toldNotRun(this->historyFile, field),
                                         [&known](const std::string &value) {
                                             return known.contains(value);
                                         }))
            << field << this->result;
    }
}

TEST_F(AtMostOnce, theCheckerFindsKeysThatRanTwiceOnARouteWithoutProtection)
{
    this->loadUnderFailures("1,POST,/idempotent/x,300,once");
    EXPECT_GT(keysRunTwice(runsOf(this->cluster, "key")), 0U) << this->result;
}

} // namespace Briarbend::Processes
