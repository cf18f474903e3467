#include <LibFleet/OutcomeTable.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Briarbend::Fleet
{

namespace
{

/// Instances whose requests must have failed, and failures in all, before a target is suspect.
constexpr std::size_t FEWEST_WITNESSES = 2;
constexpr double FEWEST_FAILURES = 1.5;
/// Share of failures from which a target is suspect. Well above the share of requests that are overtaken at any target whose host is slow
/// now and then.
constexpr double SUSPECT_SHARE = 0.3;
/// Targets that are named suspect at once, the worst first. Under overload many are overtaken, and naming them all helps no choice.
constexpr std::size_t MOST_SUSPECTS = 48;
/// Weight of what is left of a sum below which it is forgotten.
constexpr double NEGLIGIBLE = 0.05;

void forget(OutcomeTable::Sum &sum, Core::TimePoint now)
{
    const auto kept = std::exp(-Core::milliseconds(now - sum.summedAt) / Core::milliseconds(FAILURE_MEMORY));
    sum.failed *= kept;
    sum.answered *= kept;
    sum.summedAt = now;
    std::erase_if(sum.witnesses, [now](const auto &witness) {
        return now - witness.second > FAILURE_MEMORY;
    });
}

} // namespace

std::vector<TargetOutcomes> takeOutcomes(ServiceState &book)
{
    std::vector<TargetOutcomes> evidence;
    for (auto &target : book.targets) {
        const auto outcomes = std::exchange(target.untold, {});
        if (outcomes != OutcomeCounts{}) {
            evidence.push_back({{target.record.name, target.record.startedAtMilliseconds}, outcomes});
        }
    }
    return evidence;
}

void addOutcomes(OutcomeTable &table, const std::string &witness, const std::vector<TargetOutcomes> &evidence, Core::TimePoint now)
{
    for (const auto &one : evidence) {
        auto &sum = table.sums.try_emplace(one.target, OutcomeTable::Sum{.failed = 0, .answered = 0, .summedAt = now, .witnesses = {}})
                        .first->second;
        forget(sum, now);
        sum.failed += one.outcomes.failed;
        sum.answered += one.outcomes.answered;
        if (one.outcomes.failed > 0) {
            sum.witnesses[witness] = now;
        }
    }
}

std::vector<Suspect> findSuspects(OutcomeTable &table, Core::TimePoint now)
{
    std::vector<Suspect> suspects;
    for (auto &[target, sum] : table.sums) {
        forget(sum, now);
        const auto share = sum.failed / std::max(1.0, sum.failed + sum.answered);
        if (sum.witnesses.size() >= FEWEST_WITNESSES && sum.failed >= FEWEST_FAILURES && share >= SUSPECT_SHARE) {
            suspects.push_back({target, share});
        }
    }
    std::erase_if(table.sums, [](const auto &entry) {
        return entry.second.failed + entry.second.answered < NEGLIGIBLE;
    });
    if (suspects.size() > MOST_SUSPECTS) {
        std::ranges::nth_element(suspects, suspects.begin() + MOST_SUSPECTS, std::ranges::greater{}, &Suspect::failureShare);
        suspects.resize(MOST_SUSPECTS);
    }
    return suspects;
}

void applySuspect(ServiceState &book, const Suspect &suspect, Core::TimePoint now)
{
    auto *target = findTarget(book, suspect.target.name);
    if (target != nullptr && target->record.startedAtMilliseconds == suspect.target.startedAtMilliseconds) {
        target->sharedShare = std::clamp(suspect.failureShare, 0.0, 1.0);
        target->sharedShareAt = now;
    }
}

} // namespace Briarbend::Fleet
