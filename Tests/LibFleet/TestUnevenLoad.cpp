#include <LibFleet/Choice.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t TARGETS_PER_DATA_CENTRE = 10;
constexpr std::uint32_t SLOTS = 6;
constexpr std::chrono::milliseconds WORK{400};
/// The requests need four fifths of the slots of their data centre, so that its targets would mostly be nearly full.
constexpr std::chrono::milliseconds BETWEEN_REQUESTS{8};

struct Tally {
    int sends{0};
    int nearlyFull{0};
    int far{0};
};

/// Sends requests of one instance to the targets of two data centres and counts those sent to a target with at least five of its six slots
/// in use. Every request takes the same time.
Tally sendFromOneDataCentre(const std::function<std::vector<std::string>(const ServiceState &, Core::TimePoint, Core::Random &)> &choose)
{
    Core::Random random{5};
    ServiceState service;
    std::vector<TargetRecord> records;
    for (std::size_t index = 0; index < 2 * TARGETS_PER_DATA_CENTRE; ++index) {
        TargetRecord record;
        record.name = std::to_string(index);
        record.dataCentre = {index < TARGETS_PER_DATA_CENTRE ? "here" : "there"};
        record.slots = SLOTS;
        records.push_back(record);
    }
    Core::TimePoint now{100s};
    updateTargets(service, records, now);
    std::map<std::string, std::deque<Core::TimePoint>> ends;
    const RouteStatistics route{.workMilliseconds = static_cast<double>(WORK.count()), .answerBytes = 5000};
    ChoiceInput input;
    input.ownDataCentre = {"here"};
    input.distance = 2ms;
    input.transferCostPerKibibyte = 6ms;
    Tally tally;
    for (const auto end = now + 10s; now < end; now += BETWEEN_REQUESTS) {
        for (auto &[name, running] : ends) {
            std::erase_if(running, [now](Core::TimePoint ending) {
                return ending <= now;
            });
        }
        auto names = choose(service, now, random);
        names.resize(PARALLEL_PROBES);
        std::ranges::for_each(names, [&](const std::string &name) {
            const auto running = static_cast<std::uint32_t>(ends[name].size());
            recordLoadReport(
                service,
                *findTarget(service, name),
                {.running = std::min(running, SLOTS), .waiting = running - std::min(running, SLOTS), .slots = SLOTS, .slowness = 1},
                now);
        });
        const auto best = *std::ranges::min_element(names, {}, [&](const std::string &name) {
            return sendCost(service, *findTarget(service, name), route, input, now);
        });
        ++tally.sends;
        tally.nearlyFull += ends[best].size() + 1 >= SLOTS ? 1 : 0;
        tally.far += findTarget(service, best)->record.dataCentre.value == "there" ? 1 : 0;
        ends[best].push_back(now + WORK);
    }
    return tally;
}

} // namespace

// All callers are in one data centre. Its targets would be nearly full and slow down, while those of the other data centre are idle.
TEST(UnevenLoad, busyDataCentreSendsRequestsToFreeSlotsElsewhere)
{
    constexpr double FEW = 0.05;
    const auto ownFirst = sendFromOneDataCentre([](const ServiceState &service, Core::TimePoint, Core::Random &random) {
        std::vector<std::string> names;
        for (std::size_t index = 0; index < PARALLEL_PROBES; ++index) {
            names.push_back(service.targets[random.below(TARGETS_PER_DATA_CENTRE)].record.name);
        }
        return names;
    });
    const auto chosen = sendFromOneDataCentre([](const ServiceState &service, Core::TimePoint now, Core::Random &random) {
        ChoiceInput input;
        input.ownDataCentre = {"here"};
        return candidates(service, input, now, random);
    });
    EXPECT_GT(ownFirst.nearlyFull, FEW * ownFirst.sends) << "the load is too low to tell";
    EXPECT_LT(chosen.nearlyFull, FEW * chosen.sends) << "own data centre first: " << ownFirst.nearlyFull;
    EXPECT_LT(chosen.far, chosen.sends / 2) << "answers stay within the data centre where it has room";
}

} // namespace Briarbend::Fleet
