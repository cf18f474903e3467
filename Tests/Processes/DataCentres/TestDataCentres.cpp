#include <Tests/Processes/Support/LoadRun.h>

#include <gtest/gtest.h>
#include <sstream>

namespace Briarbend::Processes
{

namespace
{

constexpr std::int64_t SECOND{1'000'000'000};
constexpr std::int64_t BOUND{2 * SECOND};
const std::vector<std::string> LOAD{"--rate", "300", "--duration", "7"};

std::string configurationWithout(const ClusterPlan &plan, const std::string &dataCentreOut)
{
    std::ostringstream text;
    text << "[[team.operators.service." << plan.service << ".route]]\npath = \"/\"\nkind = \"idempotent\"\n";
    for (const auto &dataCentre : plan.dataCentres) {
        text << "[team.operators.data_centre." << dataCentre << "]\nstate = \"" << (dataCentre == dataCentreOut ? "out" : "in") << "\"\n";
    }
    return text.str();
}

bool isUsed(const TargetGroup &group, std::int64_t since)
{
    const auto hasNewWork = [&group, since] {
        return lastNewWork(group) > since;
    };
    return eventually(hasNewWork, EXCHANGE_TIMEOUT);
}

enum class StoreAfterChange {
    Up,
    DownOnceAnInstanceHasIt,
    DownAtOnce,
};

class DataCentres : public testing::Test
{
protected:
    /// The time at which the store had accepted the change.
    std::int64_t takeOut(const std::string &dataCentre, StoreAfterChange change) const
    {
        const auto document = configurationWithout({}, dataCentre);
        const bool isAtOnce = change == StoreAfterChange::DownAtOnce;
        const auto version = isAtOnce ? this->cluster.applyAsOperator(document) : this->cluster.applyConfiguration(document);
        const auto accepted = steadyNanoseconds();
        if (change == StoreAfterChange::DownOnceAnInstanceHasIt) {
            EXPECT_TRUE(eventually(
                [this, version] {
                    return versionInForce(this->cluster.instances.back(), "operators") >= version;
                },
                EXCHANGE_TIMEOUT));
        }
        if (change != StoreAfterChange::Up) {
            this->cluster.controlStore({{"outage", true}});
        }
        return accepted;
    }

    void leavesUnderLoad(StoreAfterChange change)
    {
        const auto &leaving = this->cluster.targetGroups.front();
        LoadRun load(this->cluster, LOAD);
        ASSERT_TRUE(isUsed(leaving, 0));
        const auto accepted = this->takeOut(leaving.dataCentre, change);
        const auto result = load.result();
        EXPECT_GT(steadyNanoseconds(), accepted + BOUND + SECOND) << "the load must outlast the bound";
        EXPECT_LE(lastNewWork(leaving) - accepted, BOUND);
        EXPECT_GT(lastNewWork(this->cluster.targetGroups.back()), accepted + BOUND);
        EXPECT_EQ(failedCalls(result), 0U) << result;
    }

    void leavesOverAFreeze(StoreAfterChange change)
    {
        const auto &leaving = this->cluster.targetGroups.front();
        auto &frozen = this->cluster.instances.front();
        LoadRun frozenLoad({&frozen}, LOAD);
        LoadRun runningLoad({&*std::next(this->cluster.instances.begin()), &this->cluster.instances.back()}, LOAD);
        ASSERT_TRUE(isUsed(leaving, 0));
        frozen.process->freeze();
        const auto accepted = this->takeOut(leaving.dataCentre, change);
        waitUntil(accepted + BOUND);
        const auto whileFrozen = lastNewWork(leaving);
        EXPECT_LE(whileFrozen - accepted, BOUND);
        const auto resumed = steadyNanoseconds();
        frozen.process->resume();
        const auto result = runningLoad.result();
        const auto frozenResult = frozenLoad.result();
        EXPECT_GT(steadyNanoseconds(), resumed + BOUND + SECOND) << "the load must outlast the bound";
        EXPECT_LE(lastNewWork(leaving) - resumed, BOUND);
        EXPECT_GT(frozenResult.at("outcomes").at("answered"), 0);
        EXPECT_EQ(failedCalls(result), 0U) << result;
    }

    Cluster cluster{{}};
};

} // namespace

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterTheyAreTakenOutWithTheStoreUp)
{
    this->leavesUnderLoad(StoreAfterChange::Up);
}

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterAnInstanceThawedWithTheStoreUp)
{
    this->leavesOverAFreeze(StoreAfterChange::Up);
}

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterTheyAreTakenOutWithTheStoreDownOnceAnInstanceHasIt)
{
    this->leavesUnderLoad(StoreAfterChange::DownOnceAnInstanceHasIt);
}

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterAnInstanceThawedWithTheStoreDownOnceAnInstanceHasIt)
{
    this->leavesOverAFreeze(StoreAfterChange::DownOnceAnInstanceHasIt);
}

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterTheyAreTakenOutWithTheStoreDownAtOnce)
{
    this->leavesUnderLoad(StoreAfterChange::DownAtOnce);
}

TEST_F(DataCentres, getNoNewWorkTwoSecondsAfterAnInstanceThawedWithTheStoreDownAtOnce)
{
    this->leavesOverAFreeze(StoreAfterChange::DownAtOnce);
}

} // namespace Briarbend::Processes
