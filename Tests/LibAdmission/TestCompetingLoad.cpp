#include <Tests/LibAdmission/SimulatedService.h>

#include <gtest/gtest.h>

/// How the slots of a simulated service are shared under different loads. Each test compares the shares with those of first come, first
/// served.
namespace Briarbend::Admission
{

namespace
{

constexpr std::size_t TARGETS = 20;
constexpr std::uint32_t URGENT = 0;
constexpr std::uint32_t CHEAP = 2;

Load urgent(double factor = 1)
{
    return {.priority = URGENT, .perSecond = 120 * factor, .work = 90ms, .objective = 250ms};
}

Load cheap(double factor = 1)
{
    return {.priority = CHEAP, .perSecond = 50 * factor, .work = 560ms, .objective = 3000ms};
}

struct Outcomes {
    Outcome urgent;
    Outcome cheap;
};

/// The outcomes of seven seconds of the load, after the usual one.
Outcomes simulate(bool isByValue, const std::vector<Load> &loads)
{
    SimulatedService service(TARGETS, isByValue);
    service.run(20s, {urgent(), cheap()});
    service.outcomes.clear();
    service.run(7s, loads);
    return {service.outcomes[URGENT], service.outcomes[CHEAP]};
}

} // namespace

// Long cheap work at 2.4 times its usual rate took the slots that short urgent work needed.
TEST(CompetingLoad, floodOfLongCheapWorkLeavesSlotsToShortUrgentWork)
{
    const auto before = simulate(false, {urgent(), cheap(2.4)});
    const auto after = simulate(true, {urgent(), cheap(2.4)});
    EXPECT_LT(before.urgent.inTimeShare(), 0.9) << "the load is too low to tell";
    EXPECT_GT(after.urgent.inTimeShare(), 0.95);
    EXPECT_GT(after.cheap.sent, before.cheap.sent * 2 / 3) << "one of three slots of a target is reserved at most";
    EXPECT_GT(after.cheap.inTime, after.cheap.sent * 95 / 100) << "what is sent late is sent in vain";
    EXPECT_LT(after.cheap.refusedLate, after.cheap.arrived / 5) << "what cannot be served is refused early";
}

// A flood of the urgent kind itself drove out all other work, and served few of its own in time since they queued at targets.
TEST(CompetingLoad, floodOfUrgentWorkServesMoreOfItInTimeAndLeavesTheOthersTheirFloor)
{
    const auto before = simulate(false, {urgent(6), cheap()});
    const auto after = simulate(true, {urgent(6), cheap()});
    EXPECT_GT(after.urgent.inTime, before.urgent.inTime);
    EXPECT_GT(after.cheap.sent, SEND_FLOOR * after.cheap.arrived) << "the others keep a quarter of what they usually send";
    EXPECT_EQ(after.urgent.refusedLate, 0) << "urgent requests wait for an eighth of their objective at most";
}

// The remaining targets cannot serve the usual load.
TEST(CompetingLoad, lossOfAThirdOfTheTargetsCostsTheLeastUrgent)
{
    const auto run = [](bool isByValue) {
        SimulatedService service(TARGETS, isByValue);
        service.run(5s, {urgent(), cheap()});
        service.outcomes.clear();
        service.keepTargets(TARGETS * 2 / 3);
        service.run(7s, {urgent(), cheap()});
        return Outcomes{service.outcomes[URGENT], service.outcomes[CHEAP]};
    };
    EXPECT_LT(run(false).urgent.inTimeShare(), 0.9) << "the load is too low to tell";
    const auto after = run(true);
    EXPECT_GT(after.urgent.inTimeShare(), 0.9);
    EXPECT_GT(after.cheap.inTimeShare(), 0.5);
}

// Targets that shed requests for another reason than their load must not look contended: waiting for their free slots gains nothing.
TEST(CompetingLoad, targetsThatShedWithFreeSlotsReserveAndQueueNothing)
{
    SimulatedService service(TARGETS, true);
    service.shedShare = 0.5;
    service.run(6s, {urgent(), cheap()});
    EXPECT_EQ(service.reservedShare(CHEAP), 0);
    EXPECT_EQ(service.queued, 0);
    EXPECT_GT(service.outcomes[CHEAP].sent, service.outcomes[CHEAP].arrived / 3);
}

// Urgent work that overflows to another service needs a reserve there while it comes, and none afterwards.
TEST(CompetingLoad, serviceReservesSlotsWhileItIsTheOverflowOfAnother)
{
    SimulatedService service(TARGETS, true);
    const auto own = cheap(1.9);
    service.run(6s, {own});
    EXPECT_EQ(service.reservedShare(CHEAP), 0);
    service.run(1s, {own, urgent(0.5)});
    EXPECT_GT(service.reservedShare(CHEAP), 0);
    service.outcomes.clear();
    service.run(4s, {own, urgent(0.5)});
    EXPECT_GT(service.outcomes[URGENT].inTimeShare(), 0.95);
    service.run(15s, {own});
    EXPECT_EQ(service.reservedShare(CHEAP), 0);
}

} // namespace Briarbend::Admission
