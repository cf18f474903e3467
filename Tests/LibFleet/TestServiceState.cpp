#include <LibFleet/ServiceState.h>

#include <LibCore/Random.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

TargetRecord record(std::string name, std::int64_t startedAt = 1)
{
    TargetRecord target;
    target.name = std::move(name);
    target.startedAtMilliseconds = startedAt;
    target.slots = 6;
    return target;
}

} // namespace

TEST(ServiceState, targetStateIsKeptUntilTheTargetRestarts)
{
    const Core::TimePoint now{100s};
    ServiceState service;
    updateTargets(service, {record("one"), record("two")}, now);
    ejectTarget(*findTarget(service, "one"), now);
    ejectTarget(*findTarget(service, "two"), now);
    updateTargets(service, {record("one"), record("two", 2)}, now);
    EXPECT_EQ(findTarget(service, "one")->consecutiveEjections, 1U);
    EXPECT_EQ(findTarget(service, "two")->consecutiveEjections, 0U);
    EXPECT_EQ(findTarget(service, "three"), nullptr);
}

TEST(ServiceState, changedRecordOfTheSameStartUpdatesTheColdTime)
{
    const Core::TimePoint now{100s};
    ServiceState service;
    auto cold = record("one");
    cold.coldLeft = 3s;
    updateTargets(service, {cold}, now);
    EXPECT_EQ(findTarget(service, "one")->coldUntil, now + 3s);
    updateTargets(service, {cold}, now + 1s);
    EXPECT_EQ(findTarget(service, "one")->coldUntil, now + 3s) << "the same entry says nothing new";
    updateTargets(service, {record("one")}, now + 1s);
    EXPECT_LE(findTarget(service, "one")->coldUntil, now + 1s);
}

TEST(ServiceState, consecutiveEjectionsLengthenTheEjectionUpToALimit)
{
    const Core::TimePoint now{100s};
    TargetState target;
    ejectTarget(target, now);
    const auto first = target.ejectedUntil - now;
    ejectTarget(target, now);
    EXPECT_EQ(target.ejectedUntil - now, 2 * first);
    for (int repeat = 0; repeat < 20; ++repeat) {
        ejectTarget(target, now);
    }
    EXPECT_LE(target.ejectedUntil - now, 2s);
    recordHealth(target, true, now);
    EXPECT_LE(target.ejectedUntil, now);
}

TEST(ServiceState, failureShareDecays)
{
    const Core::TimePoint now{100s};
    TargetState target;
    recordOutcome(target, SendOutcome::Failure, now);
    recordOutcome(target, SendOutcome::Lost, now);
    EXPECT_NEAR(failureShare(target, now), 0.51, 0.01);
    EXPECT_LT(failureShare(target, now + 10s), 0.05);
}

TEST(ServiceState, typicalSlownessIsTheInverseOfTheMeanSpeed)
{
    ServiceState service;
    TargetState target;
    const Core::TimePoint now{100s};
    // A quarter of the hosts is five times as slow: the mean speed is 0.8, so that work takes 1.25 times as long.
    for (int statement = 0; statement < 4000; ++statement) {
        recordLoadReport(service, target, {.running = 0, .waiting = 0, .slots = 6, .slowness = statement % 4 == 0 ? 5.0 : 1.0}, now);
    }
    EXPECT_NEAR(typicalSlowness(service), 1.25, 0.05);
}

namespace
{

constexpr double COLD_RATE = 7.8;

/// Instances that want to send to one cold target as often as they may.
struct ColdSenders {
    struct View {
        RateSharers sharers;
        TargetState target;
    };

    std::vector<View> views;
    std::vector<Core::TimePoint> sent;

    void send(Core::TimePoint from, Core::TimePoint until)
    {
        const ServiceConfiguration configuration{.healthPath = "/", .connectionsPerTarget = 1, .coldRequestsPerSecond = COLD_RATE};
        for (auto now = from; now < until; now += 5ms) {
            for (auto &view : this->views) {
                if (takeColdPermit(configuration, view.target, view.sharers, now)) {
                    this->sent.push_back(now);
                }
            }
        }
    }

    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (const auto from : this->sent) {
            const auto within = std::ranges::count_if(this->sent, [from](Core::TimePoint time) {
                return time >= from && time < from + 1s;
            });
            most = std::max(most, static_cast<std::size_t>(within));
        }
        return most;
    }
};

/// Instances in `sides` groups that do not know each other.
ColdSenders makeColdSenders(std::size_t instances, std::size_t sides)
{
    std::vector<std::vector<Core::InstanceId>> members(sides);
    for (std::size_t index = 0; index < instances; ++index) {
        members[index % sides].push_back({"instance-" + std::to_string(index)});
    }
    ColdSenders senders;
    senders.views.resize(instances);
    for (std::size_t index = 0; index < instances; ++index) {
        auto &view = senders.views[index];
        view.sharers = {.self = {"instance-" + std::to_string(index)},
                        .members = members[index % sides],
                        .neighbours = {},
                        .fingerprint = index % sides,
                        .isComplete = true,
                        .completeSince = {},
                        .known = instances};
        view.target.record.name = "cold";
    }
    return senders;
}

} // namespace

// Guards against instances that have each saved up one request: as soon as a target was cold, all of them sent it, which it did not bear.
RC_GTEST_PROP(ServiceState, allInstancesTogetherStayWithinTheRateOfAColdTargetInEachSecond, (std::uint64_t seed))
{
    Core::Random random{seed};
    const auto instances = 2 + random.below(500);
    auto senders = makeColdSenders(instances, 1 + random.below(std::min<std::size_t>(3, instances)));
    const Core::TimePoint start{100s};
    // Each instance may miss one of the members that the others know.
    for (auto &view : senders.views) {
        auto &members = view.sharers.members;
        const auto index = random.below(members.size());
        if (random.below(2) == 0 && members[index] != view.sharers.self) {
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
            view.sharers.fingerprint = 100 + index;
        }
    }
    senders.send(start, start + 3s);
    RC_ASSERT(static_cast<double>(senders.mostInOneSecond()) <= COLD_RATE * 1.5 + 5);
}

TEST(ServiceState, instancesThatStartInSeriesStayWithinTheRateOfAColdTarget)
{
    constexpr std::size_t INSTANCES = 19;
    auto senders = makeColdSenders(INSTANCES, 1);
    const Core::TimePoint start{100s};
    auto now = start;
    for (auto &view : senders.views) {
        // The instance ends and starts again: it knows nothing, then the others.
        view.target.coldShare.reset();
        view.sharers.isComplete = false;
        senders.send(now, now + 100ms);
        view.sharers.isComplete = true;
        view.sharers.completeSince = now + 100ms;
        senders.send(now + 100ms, now + 200ms);
        now += 200ms;
    }
    EXPECT_LE(static_cast<double>(senders.mostInOneSecond()), COLD_RATE * 1.5 + 5);
}

// Callers gain from a cold target that takes what it bears.
TEST(ServiceState, coldTargetReceivesHalfOfItsRate)
{
    auto senders = makeColdSenders(19, 1);
    const Core::TimePoint start{100s};
    senders.send(start, start + 10s);
    EXPECT_GE(static_cast<double>(senders.sent.size()), 10 * COLD_RATE * 0.45);
    auto single = makeColdSenders(1, 1);
    single.send(start, start + 10s);
    EXPECT_GE(static_cast<double>(single.sent.size()), 10 * COLD_RATE * 0.45);
}

// The request leaves after a health check, which may take most of a second.
TEST(ServiceState, coldPermitCountsFromTheSend)
{
    auto senders = makeColdSenders(1, 1);
    auto &view = senders.views.front();
    view.sharers.known = 100;
    const ServiceConfiguration configuration{.healthPath = "/", .connectionsPerTarget = 1, .coldRequestsPerSecond = COLD_RATE};
    const Core::TimePoint start{100s};
    view.target.coldUntil = start + 1h;
    EXPECT_TRUE(takeColdPermit(configuration, view.target, view.sharers, start));
    recordSent(view.target, start + 900ms);
    EXPECT_FALSE(takeColdPermit(configuration, view.target, view.sharers, start + 1900ms));
    EXPECT_TRUE(takeColdPermit(configuration, view.target, view.sharers, start + 2100ms));
}

} // namespace Briarbend::Fleet
