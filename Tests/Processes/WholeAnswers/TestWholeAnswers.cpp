#include <Tests/Processes/Support/LoadRun.h>

#include <gtest/gtest.h>

namespace Briarbend::Processes
{

TEST(WholeAnswers, noCallerTakesAWrongOrCutAnswerForAWholeOne)
{
    constexpr std::uint64_t REQUESTS = 20'000;
    Cluster cluster({});
    const auto &groups = cluster.targetGroups;
    groups.front().apply({{"truncate", 0.02}, {"late", 0.02}, {"late_ms", 300}});
    std::next(groups.begin())->apply({{"trailing", 0.05}, {"late", 0.02}, {"late_ms", 300}});
    groups.back().apply({{"close_mid_body", 0.05}});
    LoadRun load(cluster,
                 {"--rate",
                  "1500",
                  "--duration",
                  "15",
                  "--timeout",
                  "2000",
                  "--route",
                  "8,GET,/a,2000",
                  "--route",
                  "1,GET,/b,200000",
                  "--route",
                  "1,POST,/once/x,300,once"});
    const auto result = load.result();
    const auto &outcomes = result.at("outcomes");
    EXPECT_GE(result.at("attempts").get<std::uint64_t>(), REQUESTS);
    EXPECT_EQ(outcomes.at("wrong_answer"), 0) << result;
    EXPECT_GT(outcomes.at("incomplete"), 0) << result;
    EXPECT_GT(outcomes.at("answered").get<std::uint64_t>(), REQUESTS / 2) << result;
}

// A target's second answer that comes when the next request of the kept connection is already on its way looks like the answer to it.
TEST(WholeAnswers, aSecondAnswerThatComesWithTheNextRequestIsTakenForNobodys)
{
    Cluster cluster({});
    for (const auto &group : cluster.targetGroups) {
        group.apply({{"trailing_with_next", 0.05}});
    }
    LoadRun load(
        cluster,
        {"--rate", "500", "--duration", "4", "--timeout", "2000", "--route", "3,GET,/a,2000", "--route", "1,POST,/once/x,300,once"});
    const auto result = load.result();
    const auto &outcomes = result.at("outcomes");
    EXPECT_EQ(outcomes.at("wrong_answer"), 0) << result;
    EXPECT_GT(outcomes.at("answered").get<std::uint64_t>(), result.at("attempts").get<std::uint64_t>() * 9 / 10) << result;
}

} // namespace Briarbend::Processes
