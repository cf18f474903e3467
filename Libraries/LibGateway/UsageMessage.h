#pragma once

#include <LibDuties/Counts.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// Counts of requests by window and tenant since the start of the reporter's process, for the collectors.
struct UsageCounts {
    Core::InstanceId reporter;
    /// Grows with each message of the reporter.
    std::uint64_t sequence{0};
    std::vector<Duties::WindowCounts> windows;

    bool operator==(const UsageCounts &) const = default;
};

/// Says that the sender holds the duty of usage reports.
struct UsageHolder {
    std::uint64_t token{0};
    /// The sender makes progress. Otherwise another instance may take over the duty.
    bool isActing{false};

    bool operator==(const UsageHolder &) const = default;
};

using UsageMessage = std::variant<UsageCounts, UsageHolder>;

std::string encodeUsage(const UsageMessage &message);

/// Throws std::exception if the bytes are not a message.
UsageMessage decodeUsage(std::string_view bytes);

} // namespace Briarbend::Gateway
