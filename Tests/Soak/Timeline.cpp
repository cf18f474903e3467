#include "Timeline.h"

#include <algorithm>
#include <array>

namespace Briarbend::Soak
{

namespace
{

constexpr std::array<std::string_view, FAULT_KINDS> NAMES{
    "instance frozen",       "instance killed",      "instance stopped", "instance reloaded",    "store refuses", "store closes",
    "store silent",          "store slow",           "link delayed",     "link reset",           "link silent",   "link one way",
    "target crashed",        "target slow",          "target garbles",   "target leaves",        "route added",   "data centre out",
    "target says it leaves", "target states a rate", "store restored",   "all instances killed",
};
/// Kinds that are drawn with equal shares. Later ones come from a sequence of their own, so that seeds keep their faults.
constexpr std::size_t COMMON_KINDS = static_cast<std::size_t>(FaultKind::TargetStatesRate) + 1;
constexpr std::uint64_t RESTORE_SEQUENCE = 0x7265'7374;
constexpr std::uint64_t KILL_SEQUENCE = 0x6b69'6c6c;
/// A run has fewer restores than this, and fewer ends of all instances.
constexpr std::size_t MOST_RESTORES = 3;
constexpr std::size_t MOST_KILLS_OF_ALL = 3;
/// Faults of a run at the least, and how many more there may be.
constexpr std::size_t FEWEST_FAULTS = 4;
constexpr std::size_t MORE_FAULTS = 7;
/// One in so many faults comes again, twice, in short succession.
constexpr std::size_t SERIES_EVERY = 3;
constexpr std::chrono::milliseconds SERIES_GAP{700};
constexpr std::chrono::milliseconds SHORTEST{200};
constexpr std::chrono::milliseconds LONGEST{2500};

} // namespace

std::string_view nameOf(FaultKind kind)
{
    return NAMES.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length)
{
    Core::Random random{seed};
    const auto below = [&random](std::chrono::milliseconds bound) {
        return std::chrono::milliseconds(random.below(static_cast<std::size_t>(bound.count())));
    };
    std::vector<Fault> faults;
    const auto count = FEWEST_FAULTS + random.below(MORE_FAULTS);
    for (std::size_t index = 0; index < count; ++index) {
        Fault fault{.kind = static_cast<FaultKind>(random.below(COMMON_KINDS)),
                    .at = below(length),
                    .duration = SHORTEST + below(LONGEST - SHORTEST),
                    .subject = random.below(100)};
        const std::size_t repeats = random.below(SERIES_EVERY) == 0 ? 3 : 1;
        for (std::size_t repeat = 0; repeat < repeats; ++repeat) {
            faults.push_back(fault);
            fault.at += SERIES_GAP;
            ++fault.subject;
        }
    }
    Core::Random restores{seed ^ RESTORE_SEQUENCE};
    for (auto left = restores.below(MOST_RESTORES); left > 0; --left) {
        faults.push_back(
            {.kind = FaultKind::StoreRestored,
             .at = std::chrono::milliseconds(restores.below(static_cast<std::size_t>(length.count()))),
             .duration = SHORTEST + std::chrono::milliseconds(restores.below(static_cast<std::size_t>((LONGEST - SHORTEST).count()))),
             .subject = 0});
    }
    Core::Random kills{seed ^ KILL_SEQUENCE};
    for (auto left = kills.below(MOST_KILLS_OF_ALL); left > 0; --left) {
        const std::chrono::milliseconds at{kills.below(static_cast<std::size_t>(length.count()))};
        faults.push_back({.kind = FaultKind::AllInstancesKilled, .at = at, .duration = SHORTEST, .subject = 0});
    }
    std::ranges::stable_sort(faults, {}, &Fault::at);
    return faults;
}

} // namespace Briarbend::Soak
