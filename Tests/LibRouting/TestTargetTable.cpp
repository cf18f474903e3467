#include <LibRouting/Choice.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace Briarbend::Routing
{

namespace
{

using namespace std::chrono_literals;

const Core::TimePoint START{100s};

std::vector<TargetRecord> recordsOf(std::size_t count)
{
    std::vector<TargetRecord> records;
    for (std::size_t number = 0; number < count; ++number) {
        records.push_back({{std::to_string(number)}, {"dc-" + std::to_string(number % 3)}, {"v1"}, false});
    }
    return records;
}

TargetTable tableOf(std::size_t count)
{
    TargetTable table;
    table.parameters.ownDataCentre = {"dc-0"};
    updateTargets(table, recordsOf(count));
    return table;
}

void completeRequest(TargetTable &table, const SentRequest &request, Core::TimePoint now, OutcomeKind kind = OutcomeKind::Success)
{
    recordAnswer(table, request, {.kind = kind, .report = std::nullopt}, now);
    recordFinished(table, request);
}

} // namespace

TEST(TargetTable, fastFailingTargetDoesNotAttractRequests)
{
    auto table = tableOf(2);
    // With two targets none may be ejected, so the cost alone must keep requests away.
    table.parameters.distance = 0us;
    Core::Random random{7};
    std::size_t sentToFailing = 0;
    std::vector<SentRequest> working;
    for (auto now = START; now < START + 5s; now += 1ms) {
        const auto sent = recordSent(table, *chooseTarget(table, {}, now, random).target, now);
        if (sent.target.value == "1") {
            ++sentToFailing;
            completeRequest(table, sent, now + 100us, OutcomeKind::Failure);
        } else {
            working.push_back(sent);
        }
        if (!working.empty() && now - working.front().sentAt >= 6ms) {
            completeRequest(table, working.front(), now);
            working.erase(working.begin());
        }
    }
    // Of the 5000 requests, a target that appears idle because it fails fast would receive nearly all.
    EXPECT_LT(sentToFailing, 250U);
    EXPECT_GT(sentToFailing, 0U);
}

TEST(TargetTable, sheddingTargetBecomesExpensiveButIsNotEjected)
{
    auto table = tableOf(10);
    for (int request = 0; request < 20; ++request) {
        completeRequest(table, recordSent(table, {"0"}, START), START, OutcomeKind::Shed);
    }
    const auto &target = *findTarget(table, {"0"});
    EXPECT_FALSE(isEjected(target, START));
    EXPECT_GT(sendCost(table, target, START), 5 * sendCost(table, *findTarget(table, {"3"}), START));
    completeRequest(table, recordSent(table, {"0"}, START), START, OutcomeKind::Failure);
    EXPECT_EQ(target.ejection.consecutiveFailures, 1U);
}

TEST(TargetTable, waitingRequestRaisesTheCostBeforeItsAnswer)
{
    auto table = tableOf(2);
    auto now = START;
    for (int request = 0; request < 50; ++request) {
        for (const auto *id : {"0", "1"}) {
            const auto sent = recordSent(table, {id}, now);
            completeRequest(table, sent, now + 2ms);
        }
        now += 3ms;
    }
    recordSent(table, {"0"}, now);
    const auto costAtOnce = sendCost(table, *findTarget(table, {"0"}), now);
    const auto costLater = sendCost(table, *findTarget(table, {"0"}), now + 30ms);
    EXPECT_GT(costLater, 3 * costAtOnce);
    // Without waiting requests the estimate returns to the typical time within a few time constants.
    EXPECT_LT(sendCost(table, *findTarget(table, {"1"}), now + 100ms), 2 * costAtOnce + 2000);
}

RC_GTEST_PROP(TargetTable, ejectedTargetsStayWithinTheirShareAndReturn, (std::uint64_t seed))
{
    Core::Random random{seed};
    const auto count = 1 + random.below(30);
    auto table = tableOf(count);
    auto now = START;
    const auto ejectedNow = [&] {
        return std::ranges::count_if(table.targets, [&](const TargetState &target) {
            return isEjected(target, now);
        });
    };
    for (int step = 0; step < 1000; ++step) {
        now += std::chrono::microseconds{random.below(2000)};
        const auto sent = recordSent(table, {std::to_string(random.below(count))}, now);
        completeRequest(table, sent, now, random.below(10) < 9 ? OutcomeKind::Failure : OutcomeKind::Success);
        RC_ASSERT(static_cast<double>(ejectedNow()) <= 0.3 * static_cast<double>(count));
    }
    now += 60s;
    RC_ASSERT(ejectedNow() == 0);
}

RC_GTEST_PROP(TargetTable, requestsInFlightAreCountedAcrossListUpdates, (std::uint64_t seed))
{
    Core::Random random{seed};
    auto table = tableOf(8);
    std::vector<SentRequest> inFlight;
    auto now = START;
    for (int step = 0; step < 300; ++step) {
        now += 1ms;
        const auto action = random.below(10);
        if (action == 0) {
            // A removed target is dropped together with its requests.
            const auto kept = recordsOf(4 + random.below(5));
            updateTargets(table, kept);
            std::erase_if(inFlight, [&](const SentRequest &request) {
                return !findTarget(table, request.target);
            });
        } else if (action < 6) {
            inFlight.push_back(recordSent(table, table.targets[random.below(table.targets.size())].record.id, now));
        } else if (!inFlight.empty()) {
            const auto finished = inFlight.begin() + static_cast<std::ptrdiff_t>(random.below(inFlight.size()));
            completeRequest(table, *finished, now, static_cast<OutcomeKind>(random.below(4)));
            inFlight.erase(finished);
        }
        for (const auto &target : table.targets) {
            const auto expected = std::ranges::count(inFlight, target.record.id, &SentRequest::target);
            RC_ASSERT(static_cast<std::ptrdiff_t>(target.ownInFlight) == expected);
            RC_ASSERT(static_cast<std::ptrdiff_t>(target.waiting.size()) == expected);
        }
    }
}

TEST(TargetTable, subsetsCoverEveryTargetWithSeveralInstances)
{
    const auto all = recordsOf(600);
    constexpr std::size_t INSTANCES = 200;
    const auto size = subsetSize(all.size(), INSTANCES, 10, 20);
    EXPECT_EQ(size, 30U);
    std::map<std::string, std::size_t> senders;
    for (std::size_t instance = 0; instance < INSTANCES; ++instance) {
        const auto subset = subsetOf(all, {"instance-" + std::to_string(instance)}, size);
        EXPECT_EQ(subset.size(), size);
        std::ranges::for_each(subset, [&](const TargetRecord &record) {
            ++senders[record.id.value];
        });
    }
    EXPECT_EQ(senders.size(), all.size());
    EXPECT_EQ(subsetSize(20, 13, 10, 20), 20U);
    EXPECT_EQ(subsetOf(recordsOf(20), {"a"}, 20), recordsOf(20));
}

TEST(TargetTable, hedgeDelayTracksTheAnswerTimeQuantile)
{
    auto table = tableOf(1);
    Core::Random random{3};
    auto now = START;
    for (int request = 0; request < 20'000; ++request) {
        const auto sent = recordSent(table, {"0"}, now);
        now += std::chrono::microseconds{1 + random.below(10'000)};
        completeRequest(table, sent, now);
    }
    EXPECT_GT(hedgeDelay(table), 9ms);
    EXPECT_LT(hedgeDelay(table), 11ms);
}

} // namespace Briarbend::Routing
