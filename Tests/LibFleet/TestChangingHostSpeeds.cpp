#include <LibFleet/Choice.h>

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr double SLOW_SHARE = 0.25;
constexpr double SLOWNESS = 5;
constexpr std::chrono::milliseconds SPEED_CHANGE_INTERVAL{150};
constexpr std::chrono::milliseconds STEP{1};

/// Hosts whose speed changes at random every 150 ms, as under noisy neighbours. There is no network.
class NoisyHosts
{
public:
    NoisyHosts(std::size_t count, std::uint64_t seed)
        : random(seed)
        , slowness(count, 1)
        , phase(count)
    {
        std::ranges::generate(this->phase, [this] {
            return std::chrono::milliseconds(this->random.below(SPEED_CHANGE_INTERVAL.count()));
        });
    }

    double at(std::size_t host) const
    {
        return this->slowness[host];
    }

    void advance(std::chrono::milliseconds now)
    {
        for (std::size_t host = 0; host < this->slowness.size(); ++host) {
            if ((now + this->phase[host]) % SPEED_CHANGE_INTERVAL == 0ms) {
                this->slowness[host] = this->random.unit() < SLOW_SHARE ? SLOWNESS : 1;
            }
        }
    }

private:
    Core::Random random;
    std::vector<double> slowness;
    std::vector<std::chrono::milliseconds> phase;
};

/// Mean time, in milliseconds, of requests of 220 ms of work, each on a host picked by `choose`.
double meanTime(const std::function<std::size_t(const NoisyHosts &, Core::Random &)> &choose)
{
    constexpr std::size_t HOSTS = 20;
    constexpr double WORK_MS = 220;
    constexpr int REQUESTS = 4000;
    NoisyHosts hosts(HOSTS, 11);
    Core::Random random{12};
    struct Running {
        std::size_t host;
        double left;
        std::chrono::milliseconds since;
    };
    std::vector<Running> running;
    int started = 0;
    std::chrono::milliseconds total{0};
    for (std::chrono::milliseconds now{0}; started < REQUESTS || !running.empty(); now += STEP) {
        hosts.advance(now);
        if (started < REQUESTS && now % 10 == 0ms) {
            running.push_back({choose(hosts, random), WORK_MS, now});
            ++started;
        }
        std::ranges::for_each(running, [&hosts](Running &request) {
            request.left -= 1 / hosts.at(request.host);
        });
        std::erase_if(running, [&](const Running &request) {
            total += request.left <= 0 ? now - request.since : 0ms;
            return request.left <= 0;
        });
    }
    return static_cast<double>(total.count()) / REQUESTS;
}

} // namespace

// A host that is slow when a request arrives stays slow for half a change interval on average, 75 ms, in which 60 ms of work are lost. A
// quarter of the hosts is slow, so that a choice by known speeds saves up to 15 ms. Probing three of twenty hosts must save two thirds of
// that.
TEST(ChangingHostSpeeds, probingThreeHostsSavesTimeLostOnSlowHosts)
{
    constexpr double SAVED_MS = 10;
    const auto blind = meanTime([](const NoisyHosts &, Core::Random &random) {
        return random.below(20);
    });
    const auto probed = meanTime([](const NoisyHosts &hosts, Core::Random &random) {
        ServiceState service;
        std::vector<TargetRecord> records(3);
        std::vector<std::size_t> hostIndices(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = std::to_string(index);
            records[index].slots = 6;
            hostIndices[index] = random.below(20);
        }
        const Core::TimePoint now{100s};
        updateTargets(service, records, now);
        const RouteStatistics route{.workMilliseconds = 220, .answerBytes = 0};
        for (std::size_t index = 0; index < records.size(); ++index) {
            recordLoadReport(
                service, service.targets[index], {.running = 0, .waiting = 0, .slots = 6, .slowness = hosts.at(hostIndices[index])}, now);
        }
        const auto best = std::ranges::min_element(service.targets, {}, [&](const TargetState &target) {
            return sendCost(service, target, route, {}, now);
        });
        return hostIndices[static_cast<std::size_t>(best - service.targets.begin())];
    });
    EXPECT_LT(probed, blind - SAVED_MS) << "blind " << blind << ", probed " << probed;
}

} // namespace Briarbend::Fleet
