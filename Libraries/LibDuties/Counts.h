#pragma once

#include <LibCore/Identifiers.h>
#include <LibDuties/Window.h>

#include <map>
#include <string>
#include <vector>

namespace Briarbend::Duties
{

/// Number of requests by tenant.
using Counts = std::map<std::string, std::uint64_t>;

/// The counts of one window that an instance sends; they replace those that it sent before.
struct WindowCounts {
    WindowIndex window{NO_WINDOW};
    Counts counts;

    bool operator==(const WindowCounts &) const = default;
};

/// What one instance counts itself.
struct LocalCounts {
    std::map<WindowIndex, Counts> counts;
    /// What has been sent of the counts.
    std::map<WindowIndex, Counts> sent;
};

void addRequest(LocalCounts &local, WindowIndex window, const std::string &tenant);

/// Takes back a request that was counted but did not run.
void removeRequest(LocalCounts &local, WindowIndex window, const std::string &tenant);

/// Which counts to send again although they have not changed since they were sent.
enum class Repetition {
    None,
    /// Those of the window before the running one, in case the message with its last counts was lost.
    LastWindow,
    /// All, for receivers that have none.
    All,
};

/// The counts of the running window and the two before it that are to be sent, and forgets older ones. They count as sent.
std::vector<WindowCounts> takeUnsent(LocalCounts &local, WindowIndex running, Repetition repetition);

/// The counts of all instances that a collector has received.
struct CountTable {
    struct Entry {
        std::uint64_t count{0};
        /// Sequence number of the message that the count came with.
        std::uint64_t sequence{0};
    };

    using ByTenant = std::map<std::string, Entry>;

    std::map<WindowIndex, std::map<Core::InstanceId, ByTenant>> windows;
    /// Whether any request has been counted since this process started.
    bool hasCounted{false};
};

/// Merges cumulative counts of an instance. Those of a message that was overtaken by a later one are ignored.
void merge(CountTable &table, const Core::InstanceId &instance, std::uint64_t sequence, const std::vector<WindowCounts> &windows);

/// The sum over all instances. Tenants without requests are left out.
Counts totalOf(const CountTable &table, WindowIndex window);

void forgetBefore(CountTable &table, WindowIndex oldest);

} // namespace Briarbend::Duties
