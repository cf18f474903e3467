#include <LibFleet/OutcomeTable.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Briarbend::Fleet
{

namespace
{

/// Instances that must have reported failures, and failures in total, before a target is suspect.
constexpr std::size_t MINIMUM_REPORTERS = 2;
constexpr double MINIMUM_FAILURES = 1.5;
/// Failure share from which a target is suspect. It is well above the share of requests that a hedge overtakes at any target whose host is
/// occasionally slow.
constexpr double SUSPECT_FAILURE_SHARE = 0.3;
/// Largest number of suspects returned at once, those with the highest failure share. Under overload hedges overtake requests at many
/// targets, and listing all of them does not help to choose.
constexpr std::size_t MAXIMUM_SUSPECTS = 48;
/// Decayed number of outcomes below which an entry is removed.
constexpr double NEGLIGIBLE_OUTCOMES = 0.05;

void decay(OutcomeTable::Entry &entry, Core::TimePoint now)
{
    const auto weight = std::exp(-Core::milliseconds(now - entry.updatedAt) / Core::milliseconds(FAILURE_DECAY_TIME));
    entry.failed *= weight;
    entry.answered *= weight;
    entry.updatedAt = now;
    std::erase_if(entry.reporters, [now](const auto &reporter) {
        return now - reporter.second > FAILURE_DECAY_TIME;
    });
}

} // namespace

std::vector<TargetOutcomes> takeOutcomes(ServiceState &service)
{
    std::vector<TargetOutcomes> taken;
    for (auto &target : service.targets) {
        const auto outcomes = std::exchange(target.unreportedOutcomes, {});
        if (outcomes != OutcomeCounts{}) {
            taken.push_back({{target.record.name, target.record.startedAtMilliseconds}, outcomes});
        }
    }
    return taken;
}

void addOutcomes(OutcomeTable &table, const std::string &reporter, const std::vector<TargetOutcomes> &outcomes, Core::TimePoint now)
{
    for (const auto &[target, counts] : outcomes) {
        auto &entry = table.entries.try_emplace(target, OutcomeTable::Entry{.failed = 0, .answered = 0, .updatedAt = now, .reporters = {}})
                          .first->second;
        decay(entry, now);
        entry.failed += counts.failed;
        entry.answered += counts.answered;
        if (counts.failed > 0) {
            entry.reporters[reporter] = now;
        }
    }
}

std::vector<Suspect> findSuspects(OutcomeTable &table, Core::TimePoint now)
{
    std::vector<Suspect> suspects;
    for (auto &[target, entry] : table.entries) {
        decay(entry, now);
        const auto share = entry.failed / std::max(1.0, entry.failed + entry.answered);
        if (entry.reporters.size() >= MINIMUM_REPORTERS && entry.failed >= MINIMUM_FAILURES && share >= SUSPECT_FAILURE_SHARE) {
            suspects.push_back({target, share});
        }
    }
    std::erase_if(table.entries, [](const auto &entry) {
        return entry.second.failed + entry.second.answered < NEGLIGIBLE_OUTCOMES;
    });
    if (suspects.size() > MAXIMUM_SUSPECTS) {
        std::ranges::nth_element(suspects, suspects.begin() + MAXIMUM_SUSPECTS, std::ranges::greater{}, &Suspect::failureShare);
        suspects.resize(MAXIMUM_SUSPECTS);
    }
    return suspects;
}

void applySuspect(ServiceState &service, const Suspect &suspect, Core::TimePoint now)
{
    auto *target = findTarget(service, suspect.target.name);
    if (target != nullptr && target->record.startedAtMilliseconds == suspect.target.startedAtMilliseconds) {
        target->peerFailureShare = std::clamp(suspect.failureShare, 0.0, 1.0);
        target->peerFailureShareAt = now;
    }
}

} // namespace Briarbend::Fleet
