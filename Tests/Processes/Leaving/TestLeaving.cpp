#include <Tests/Processes/Support/LoadRun.h>

#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Processes
{

namespace
{

constexpr std::int64_t SECOND{1'000'000'000};
constexpr std::int64_t BOUND{2 * SECOND};

/// One target leaves a cluster of nine under load.
class Leaving : public testing::Test
{
protected:
    void leaves(const std::function<void(const TargetGroup &)> &leave) const
    {
        const auto &leaving = this->cluster.targetGroups.back();
        LoadRun load(this->cluster, {"--rate", "300", "--duration", "6"});
        const auto isUsed = [&leaving] {
            return lastNewWork(leaving) > 0;
        };
        ASSERT_TRUE(eventually(isUsed, EXCHANGE_TIMEOUT));
        leave(leaving);
        const auto left = steadyNanoseconds();
        const auto result = load.result();
        EXPECT_GT(steadyNanoseconds(), left + BOUND + SECOND) << "the load must outlast the bound";
        EXPECT_LE(lastNewWork(leaving) - left, BOUND);
        EXPECT_EQ(failedCalls(result), 0U) << result;
    }

    Cluster cluster{
        {.dataCentres = {"sfax-1", "sfax-2", "sfax-3", "sfax-4"}, .targetsPerDataCentre = 1, .configuration = {}, .moreSettings = {}}};
};

} // namespace

TEST_F(Leaving, aTargetListedAsLeavingGetsNoNewWorkAfterTwoSeconds)
{
    this->leaves([this](const TargetGroup &group) {
        this->cluster.listTarget(group, group.targets.front(), "leaving");
    });
}

TEST_F(Leaving, aTargetThatDrainsByItselfGetsNoNewWorkAfterTwoSeconds)
{
    this->leaves([](const TargetGroup &group) {
        group.apply({{"drain", true}});
    });
}

TEST_F(Leaving, aTargetListedAsLeavingOfWhichOneInstanceKnowsWhenTheStoreGoesDownGetsNoNewWorkAfterTwoSeconds)
{
    this->leaves([this](const TargetGroup &group) {
        this->cluster.listTarget(group, group.targets.front(), "leaving");
        const auto isSeen = [this] {
            return getJson(this->cluster.instances.front().operators, "/dump").dump().find("\"leaving\":true") != std::string::npos;
        };
        ASSERT_TRUE(eventually(isSeen, EXCHANGE_TIMEOUT));
        this->cluster.controlStore({{"outage", true}, {"list_outage", true}});
    });
}

} // namespace Briarbend::Processes
