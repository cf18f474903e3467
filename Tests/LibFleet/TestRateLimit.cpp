#include <LibFleet/RateLimit.h>

#include <LibCore/Random.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

const Core::TargetId TARGET{"target"};
constexpr Core::TimePoint START{100s};
constexpr auto COUNTED_SPAN = 4s;

/// What the platform allows a target within COUNTED_SPAN.
double allowedWithinSpan(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * 4 + 5;
}

std::vector<Core::InstanceId> makeMembers(std::size_t count)
{
    std::vector<Core::InstanceId> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back({"front-" + std::to_string(index)});
    }
    return members;
}

/// One instance that sends whenever it may.
struct EagerInstance {
    RateLimit limit;
    RateSharers sharers;

    void step(std::vector<Core::TimePoint> &sent, Core::TimePoint now)
    {
        updateQuota(this->limit, TARGET, this->sharers, now);
        while (Limits::reservePermit(this->limit.quota, now)) {
            Limits::confirmPermit(this->limit.quota, now);
            sent.push_back(now);
        }
    }
};

std::vector<EagerInstance> makeInstances(std::size_t count, double requestsPerSecond)
{
    const auto members = makeMembers(count);
    std::vector<EagerInstance> instances(count);
    for (std::size_t index = 0; index < count; ++index) {
        instances[index].limit.rate = {.requestsPerSecond = requestsPerSecond, .statedAt = START, .sharedAt = {}};
        instances[index].sharers = {.self = members[index], .members = members, .fingerprint = 1};
    }
    return instances;
}

/// The instance no longer knows some of the others, never itself.
void forgetMembers(EagerInstance &instance, double share, Core::Random &random)
{
    std::erase_if(instance.sharers.members, [&](const Core::InstanceId &member) {
        return member != instance.sharers.self && random.unit() < share;
    });
    ++instance.sharers.fingerprint;
}

std::size_t mostWithinSpan(const std::vector<Core::TimePoint> &sent)
{
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto end = std::upper_bound(first, sent.end(), *first + COUNTED_SPAN);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

} // namespace

// Any number of instances, rates far below and above one request an instance, and views of the members that differ in a tenth.
RC_GTEST_PROP(RateLimit, allInstancesTogetherStayWithinAStatedRate, (std::uint64_t seed))
{
    Core::Random random{seed};
    const double rate = random.unit() < 0.5 ? 0.1 + random.unit() : random.unit() * 40;
    auto instances = makeInstances(1 + random.below(200), rate);
    std::ranges::for_each(instances, [&random](EagerInstance &instance) {
        forgetMembers(instance, 0.1, random);
    });
    std::vector<Core::TimePoint> sent;
    for (auto now = START; now < START + 12s; now += 20ms) {
        for (auto &instance : instances) {
            // A pause lets permits accumulate at all instances.
            if (now < START + 3s || now > START + 6s) {
                instance.step(sent, now);
            }
        }
    }
    RC_ASSERT(static_cast<double>(mostWithinSpan(sent)) <= allowedWithinSpan(rate));
}

// Changes of the members move the permits of some targets to other instances.
RC_GTEST_PROP(RateLimit, changesOfTheMembersKeepTheRate, (std::uint64_t seed))
{
    Core::Random random{seed};
    const double rate = 0.2 + random.unit() * 10;
    auto instances = makeInstances(5 + random.below(60), rate);
    std::vector<Core::TimePoint> sent;
    auto next = START + 1s;
    for (auto now = START; now < START + 10s; now += 20ms) {
        if (now >= next && instances.size() > 2) {
            next += 1s;
            instances.erase(instances.begin() + static_cast<std::ptrdiff_t>(random.below(instances.size())));
            std::vector<Core::InstanceId> members;
            std::ranges::transform(instances, std::back_inserter(members), [](const EagerInstance &instance) {
                return instance.sharers.self;
            });
            for (auto &instance : instances) {
                instance.sharers.members = members;
                ++instance.sharers.fingerprint;
            }
        }
        for (auto &instance : instances) {
            instance.step(sent, now);
        }
    }
    RC_ASSERT(static_cast<double>(mostWithinSpan(sent)) <= allowedWithinSpan(rate));
}

TEST(RateLimit, steadyDemandUsesMostOfTheRate)
{
    for (const auto rate : {0.4, 2.8, 12.0, 500.0}) {
        auto instances = makeInstances(19, rate);
        std::vector<Core::TimePoint> sent;
        for (auto now = START; now < START + 60s; now += 1ms) {
            for (auto &instance : instances) {
                instance.step(sent, now);
            }
        }
        EXPECT_GE(static_cast<double>(sent.size()), 0.8 * rate * 60) << rate;
        EXPECT_LE(static_cast<double>(sent.size()), rate * 60) << rate;
    }
}

TEST(RateLimit, aRateOfZeroGivesNoPermit)
{
    auto instances = makeInstances(3, 0);
    std::vector<Core::TimePoint> sent;
    for (auto now = START; now < START + 10s; now += 20ms) {
        for (auto &instance : instances) {
            instance.step(sent, now);
        }
    }
    EXPECT_TRUE(sent.empty());
    EXPECT_EQ(nextSendAt(instances[0].limit, START), START + RATE_LIMIT_LIFETIME);
}

TEST(RateLimit, aNewRateAppliesToPastSends)
{
    auto instances = makeInstances(1, 10);
    std::vector<Core::TimePoint> sent;
    auto now = START;
    for (; now < START + 3s; now += 20ms) {
        instances[0].step(sent, now);
    }
    instances[0].limit.rate.requestsPerSecond = 1;
    const auto before = sent.size();
    for (; now < START + 7s; now += 20ms) {
        instances[0].step(sent, now);
    }
    EXPECT_LE(sent.size() - before, 5U);
    EXPECT_GE(sent.size() - before, 3U);
}

TEST(RateLimit, aRateThatIsNotStatedAgainIsOutdated)
{
    const StatedRate rate{.requestsPerSecond = 1, .statedAt = START, .sharedAt = {}};
    EXPECT_FALSE(isOutdated(rate, START + RATE_LIMIT_LIFETIME - 1ms));
    EXPECT_TRUE(isOutdated(rate, START + RATE_LIMIT_LIFETIME));
}

} // namespace Briarbend::Fleet
