#include <LibDuties/Counts.h>

#include <algorithm>

namespace Briarbend::Duties
{

namespace
{

/// Windows before the running one whose counts are sent. Responses that say that a request did not run arrive until then.
constexpr WindowIndex EARLIER_WINDOWS_SENT = 2;

} // namespace

void addRequest(LocalCounts &local, WindowIndex window, const std::string &tenant)
{
    ++local.counts[window][tenant];
}

void removeRequest(LocalCounts &local, WindowIndex window, const std::string &tenant)
{
    const auto counts = local.counts.find(window);
    if (counts == local.counts.end()) {
        return;
    }
    const auto count = counts->second.find(tenant);
    if (count != counts->second.end() && count->second > 0) {
        // The entry stays at zero, so that the collectors learn of it.
        --count->second;
    }
}

std::vector<WindowCounts> takeUnsent(LocalCounts &local, WindowIndex running, Repetition repetition)
{
    const auto isOld = [running](const auto &entry) {
        return entry.first < running - EARLIER_WINDOWS_SENT;
    };
    std::erase_if(local.counts, isOld);
    std::erase_if(local.sent, isOld);
    std::vector<WindowCounts> unsent;
    for (const auto &[window, counts] : local.counts) {
        const bool isWhole = repetition == Repetition::All || (repetition == Repetition::LastWindow && window == running - 1);
        auto &sent = local.sent[window];
        WindowCounts changed{.window = window, .counts = {}};
        std::ranges::copy_if(counts, std::inserter(changed.counts, changed.counts.end()), [&sent, isWhole](const auto &entry) {
            const auto known = sent.find(entry.first);
            return isWhole || known == sent.end() || known->second != entry.second;
        });
        if (!changed.counts.empty()) {
            unsent.push_back(std::move(changed));
        }
        sent = counts;
    }
    return unsent;
}

void merge(CountTable &table, const Core::InstanceId &instance, std::uint64_t sequence, const std::vector<WindowCounts> &windows)
{
    for (const auto &[window, counts] : windows) {
        auto &byTenant = table.windows[window][instance];
        for (const auto &[tenant, count] : counts) {
            auto &entry = byTenant[tenant];
            if (sequence >= entry.sequence) {
                entry = {.count = count, .sequence = sequence};
            }
            table.hasCounted = table.hasCounted || count > 0;
        }
    }
}

Counts totalOf(const CountTable &table, WindowIndex window)
{
    Counts total;
    if (const auto found = table.windows.find(window); found != table.windows.end()) {
        for (const auto &[instance, byTenant] : found->second) {
            std::ranges::for_each(byTenant, [&total](const auto &entry) {
                total[entry.first] += entry.second.count;
            });
        }
    }
    std::erase_if(total, [](const auto &entry) {
        return entry.second == 0;
    });
    return total;
}

void forgetBefore(CountTable &table, WindowIndex oldest)
{
    table.windows.erase(table.windows.begin(), table.windows.lower_bound(oldest));
}

} // namespace Briarbend::Duties
