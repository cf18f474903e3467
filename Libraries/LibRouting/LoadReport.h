#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Briarbend::Routing
{

/// Name of the header field that carries a load report on an answer. Source: Open Request Cost Aggregation (ORCA).
constexpr std::string_view LOAD_REPORT_FIELD{"endpoint-load-metrics"};

/// What a target says about its own load. It is stale on arrival and may be wrong.
struct LoadReport {
    /// Requests that the target holds, running and queued.
    std::uint32_t inFlight{0};
    /// Requests that it runs at once; zero where it does not say.
    std::uint32_t slots{0};
    bool isCold{false};
    /// The target drains: it wants no new work, whatever the instance list says.
    bool isLeaving{false};
    /// The start of the target process that wrote the report.
    std::optional<Core::TargetStartId> start{};
    std::optional<double> requestsPerSecond{};
    /// Share of the target's capacity in use; 1 is full, more is overload.
    std::optional<double> utilization{};

    bool operator==(const LoadReport &) const = default;
};

/// Reads the JSON form of the field's value, `JSON {...}`. Nothing where it is not a well-formed report with a plausible `in_flight`.
std::optional<LoadReport> parseLoadReport(std::string_view value);

/// Writes the field's value in the form that parseLoadReport reads. A start identifier that is not a decimal number is left out.
std::string formatLoadReport(const LoadReport &report);

} // namespace Briarbend::Routing
