#include <Tests/LibRollout/DeadlineSimulation.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

/// Prints what share of good versions is completed and of bad ones is found in time, over the portion of bad answers, the length of the
/// rollout and the traffic: rollout_table [ROLLOUTS_EACH]
namespace
{

using namespace Briarbend::Rollout;
using namespace std::chrono_literals;

constexpr std::array PORTIONS{0.05, 0.1, 0.2, 0.3, 0.6};
constexpr std::array RATES{26.0, 43.0, 92.0, 300.0};
constexpr std::array LENGTHS{6000ms, 8000ms, 12'000ms, 16'000ms, 20'000ms};

/// Share of the rollouts whose outcome counts.
std::string shareOf(const DeadlineScenario &scenario, int rollouts, const std::function<bool(const DeadlineOutcome &)> &isCounted)
{
    int count = 0;
    for (int seed = 0; seed < rollouts; ++seed) {
        count += isCounted(DeadlineSimulation{scenario, static_cast<std::uint64_t>(seed)}.run()) ? 1 : 0;
    }
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), " %5.2f", static_cast<double>(count) / rollouts);
    return text.data();
}

bool isCompleted(const DeadlineOutcome &outcome)
{
    return outcome.status.phase == Phase::Done;
}

void printRow(const std::string &name, DeadlineScenario scenario, int rollouts)
{
    std::string row;
    const bool isGood = scenario.kind == BadKind::None;
    for (const auto rate : RATES) {
        for (const auto length : LENGTHS) {
            scenario.requestsPerSecond = rate;
            scenario.length = length;
            row += shareOf(
                scenario, rollouts, isGood ? isCompleted : [](const DeadlineOutcome &outcome) {
                    return !isExposed(outcome);
                });
        }
        row += " |";
    }
    std::printf("%-28s %4.2f%s\n", name.c_str(), scenario.portion, row.c_str());
}

} // namespace

int main(int argc, char **argv)
{
    const auto rollouts = argc > 1 ? std::max(1, std::atoi(argv[1])) : 20;
    std::puts("Share of good versions that are completed, and of bad ones that stay within the allowed exposure.\n"
              "Columns: 26, 43, 92, 300 requests a second, each with 6, 8, 12, 16, 20 s.");
    printRow("good", {}, rollouts);
    printRow("good, burst", {.burstAt = 4s}, rollouts);
    printRow("good, a fifth of old slow", {.slowOldShare = 0.2}, rollouts);
    for (const auto portion : PORTIONS) {
        printRow("errors", {.kind = BadKind::Errors, .portion = portion}, rollouts);
        for (const auto times : {2.0, 4.0, 8.0}) {
            printRow("slow, times " + std::to_string(static_cast<int>(times)),
                     {.kind = BadKind::Slow, .portion = portion, .timesSlower = times},
                     rollouts);
        }
        for (const auto kind : {BadKind::ErrorsUnderLoad, BadKind::ErrorsOnOneRoute, BadKind::ErrorsLater}) {
            printRow(nameOf(kind), {.kind = kind, .portion = portion}, rollouts);
        }
    }
    return 0;
}
