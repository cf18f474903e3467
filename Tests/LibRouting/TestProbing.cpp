#include <LibLimits/RateQuota.h>
#include <LibRouting/Probing.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace Briarbend::Routing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t INSTANCES = 19;
constexpr std::uint32_t PROBES_PER_SECOND = 50;

struct Prober {
    TargetTable table;
    std::map<Core::TargetId, Limits::RateQuota> budgets;
    Core::TimePoint frozenUntil;
};

Prober startProber(std::uint32_t slot, Core::TimePoint now)
{
    Prober prober;
    updateTargets(prober.table, {{{"a"}, {"dc"}, {"v"}, false}, {{"b"}, {"dc"}, {"v"}, false}, {{"c"}, {"dc"}, {"v"}, false}});
    for (const auto &target : prober.table.targets) {
        const auto &id = target.record.id;
        const auto units = Limits::instanceShare(PROBES_PER_SECOND, {.maximumInstances = INSTANCES, .instanceSlot = slot}, id);
        prober.budgets.emplace(id, Limits::startRateQuota(units, now));
    }
    return prober;
}

} // namespace

TEST(Probing, probesOfAllInstancesStayWithinTheTargetsBudgetThroughFreezesAndRestarts)
{
    Core::Random random{42};
    std::vector<Prober> probers;
    for (std::uint32_t slot = 0; slot < INSTANCES; ++slot) {
        probers.push_back(startProber(slot, Core::TimePoint{0s}));
    }
    std::map<Core::TargetId, std::vector<Core::TimePoint>> sent;
    for (Core::TimePoint now{0s}; now < Core::TimePoint{60s}; now += 5ms) {
        for (std::uint32_t slot = 0; slot < INSTANCES; ++slot) {
            auto &prober = probers[slot];
            if (random.below(4000) == 0) {
                prober = startProber(slot, now);
            }
            if (random.below(4000) == 0) {
                prober.frozenUntil = now + std::chrono::milliseconds{random.below(4000)};
            }
            if (now < prober.frozenUntil) {
                continue;
            }
            const auto isPermitted = [&](const TargetState &target) {
                return hasFreePermit(prober.budgets.at(target.record.id), now);
            };
            for (const auto &id : chooseProbes(prober.table, isPermitted, 3, now, random)) {
                ASSERT_TRUE(reservePermit(prober.budgets.at(id), now));
                confirmPermit(prober.budgets.at(id), now);
                recordProbeSent(prober.table, id, now);
                sent[id].push_back(now);
            }
        }
    }
    for (const auto &[id, times] : sent) {
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end = std::upper_bound(first, times.end(), *first + 1s);
            ASSERT_LE(std::distance(first, end), PROBES_PER_SECOND);
        }
        // Without traffic there are no reports, so most of the probe budget is used.
        EXPECT_GT(times.size(), 60 * PROBES_PER_SECOND * 3 / 4);
    }
}

TEST(Probing, onlyTargetsWithoutRecentReportsAreProbedAndUnansweredProbesAreLost)
{
    auto prober = startProber(0, Core::TimePoint{0s});
    auto &table = prober.table;
    Core::Random random{1};
    const Core::TimePoint now{10s};
    const auto isPermitted = [](const TargetState &) {
        return true;
    };
    recordLoadReport(table, {"a"}, {.inFlight = 1}, now - table.parameters.probeAfter);
    recordLoadReport(table, {"b"}, {.inFlight = 1}, now - table.parameters.probeAfter + 1ms);
    const std::vector<Core::TargetId> expected{{"c"}, {"a"}};
    EXPECT_EQ(chooseProbes(table, isPermitted, 9, now, random), expected);

    findTarget(table, {"b"})->wasCold = true;
    EXPECT_EQ(chooseProbes(table, isPermitted, 9, now, random).size(), 3U);
    findTarget(table, {"b"})->wasCold = false;

    recordProbeSent(table, {"c"}, now);
    recordProbeAnswer(table, {"a"}, {.inFlight = 2}, now);
    EXPECT_TRUE(chooseProbes(table, isPermitted, 9, now, random).empty());
    const auto late = now + table.parameters.probeTimeout;
    EXPECT_EQ(chooseProbes(table, isPermitted, 1, late, random), std::vector<Core::TargetId>{{"c"}});
    EXPECT_EQ(findTarget(table, {"c"})->probe.consecutiveLosses, 1U);
}

} // namespace Briarbend::Routing
