#include "SampleSection.h"

#include <ctime>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>

namespace Briarbend::Gossip
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Maximum of the control bytes that a node sent in any window of three seconds, sampled every 100 ms.
struct WindowMeter {
    std::deque<std::uint64_t> samples;
    std::uint64_t maxBytes{0};

    void sample(std::uint64_t total)
    {
        this->samples.push_back(total);
        constexpr std::size_t SAMPLES_IN_WINDOW = 31;
        if (this->samples.size() > SAMPLES_IN_WINDOW) {
            this->samples.pop_front();
        }
        this->maxBytes = std::max(this->maxBytes, total - this->samples.front());
    }
};

RequestStatsRecord requestStats(const Core::InstanceId &member, const std::string &version, std::uint64_t sequence)
{
    RequestStatsRecord record;
    record.key = {{{"pattern"}, {version}, "/lookup", 1}, Membership::memberHash(member)};
    record.sequence = sequence;
    record.requests = sequence * 100;
    record.latencyCounts.fill(static_cast<std::uint32_t>(sequence * 8));
    return record;
}

enum class Load {
    Idle,
    /// A section changes every 4.5 s, which is about 19,000 times a day.
    Changes,
    /// Every instance publishes request statistics of two versions each second.
    RequestStats,
};

struct Traffic {
    std::uint64_t bytesPerSecond;
    std::uint64_t maxBytesInThreeSeconds;
    double processorShare;
};

void applyLoad(Fleet &fleet, Load load, std::uint64_t tenth)
{
    auto &first = *fleet.nodes.begin();
    if (load == Load::Changes && tenth % 45 == 0) {
        fleet.send(first.first, publishSection(first.second.state, sectionText(tenth + 1, 20'000), fleet.loop.now, first.second.random));
    }
    if (load != Load::RequestStats || tenth % 10 != 0) {
        return;
    }
    for (auto &[address, node] : fleet.nodes) {
        for (const std::string version : {"old", "new"}) {
            fleet.send(address,
                       publish(node.state, requestStats(node.state.members.self, version, tenth + 1), fleet.loop.now, node.random));
        }
    }
}

Traffic measure(std::size_t size, Load load)
{
    Fleet fleet{size, 20261204};
    fleet.settle();
    constexpr std::uint64_t SECONDS = 60;
    std::map<std::string, WindowMeter> meters;
    const auto sentBytes = [&fleet] {
        return std::accumulate(fleet.nodes.begin(), fleet.nodes.end(), std::uint64_t{0}, [](auto sum, const auto &item) {
            return sum + item.second.bytesSent;
        });
    };
    const auto before = sentBytes();
    const auto clock = std::clock();
    for (std::uint64_t tenth = 0; tenth < SECONDS * 10; ++tenth) {
        applyLoad(fleet, load, tenth);
        for (const auto &[address, node] : fleet.nodes) {
            meters[address].sample(node.state.controlBudget.consumedBytes());
        }
        fleet.run(milliseconds{100});
    }
    const auto processor = static_cast<double>(std::clock() - clock) / CLOCKS_PER_SEC;
    Traffic traffic{(sentBytes() - before) / SECONDS / size, 0, processor / static_cast<double>(SECONDS * size)};
    for (const auto &[address, meter] : meters) {
        traffic.maxBytesInThreeSeconds = std::max(traffic.maxBytesInThreeSeconds, meter.maxBytes);
    }
    return traffic;
}

} // namespace

TEST(Traffic, controlBytesStayWithinTheBudgetInEveryWindow)
{
    for (const std::size_t size : {4U, 8U, 16U, 19U, 32U}) {
        const std::map<Load, std::string> loads{
            {Load::Idle, "idle"}, {Load::Changes, "changes"}, {Load::RequestStats, "request statistics"}};
        for (const auto &[load, name] : loads) {
            const auto traffic = measure(size, load);
            std::cout << size << " instances, " << name << ": " << traffic.bytesPerSecond << " bytes/s sent, at most "
                      << traffic.maxBytesInThreeSeconds << " bytes in three seconds, " << traffic.processorShare * 100 << "% of a core\n";
            EXPECT_LE(traffic.maxBytesInThreeSeconds, 9000U);
            EXPECT_LE(traffic.bytesPerSecond, load == Load::Idle ? 1500U : 3000U) << "as many bytes are received as are sent";
        }
    }
}

TEST(Traffic, requestStatsPublishedEachSecondAreMostlyFresh)
{
    constexpr std::uint64_t ROUNDS = 30;
    Fleet fleet{19, 5};
    fleet.settle();
    std::vector<std::uint64_t> lags;
    for (std::uint64_t round = 1; round <= ROUNDS; ++round) {
        for (auto &[address, node] : fleet.nodes) {
            for (const std::string version : {"old", "new"}) {
                fleet.send(address,
                           publish(node.state, requestStats(node.state.members.self, version, round), fleet.loop.now, node.random));
            }
        }
        fleet.run(seconds{1});
        for (const auto &[address, node] : fleet.nodes) {
            std::ranges::transform(node.state.requestStats.entries, std::back_inserter(lags), [round](const auto &item) {
                return round - item.second.record.sequence;
            });
        }
    }
    EXPECT_TRUE(fleet.all([](const State &state) {
        return state.requestStats.entries.size() == std::size_t{2} * 19;
    }));
    std::ranges::sort(lags);
    std::cout << "lag of request statistics behind the newest: " << lags[lags.size() / 2] << " s median, " << lags[lags.size() * 9 / 10]
              << " s 90th percentile, " << lags.back() << " s maximum\n";
    EXPECT_LE(lags[lags.size() * 9 / 10], 5U);
}

} // namespace Briarbend::Gossip
