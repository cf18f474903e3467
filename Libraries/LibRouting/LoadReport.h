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

/// The load that a target reports about itself. It is stale on arrival and may be wrong.
struct LoadReport {
    /// Requests at the target, running and queued.
    std::uint32_t inFlight{0};
    /// Requests that the target runs at once; zero if it is not reported.
    std::uint32_t slots{0};
    bool isCold{false};
    /// The target is draining: it takes no new requests, whatever the instance list says.
    bool isLeaving{false};
    /// The start of the target process that wrote the report.
    std::optional<Core::TargetStartId> start{};
    std::optional<double> requestsPerSecond{};
    /// Share of the target's capacity in use; 1 is full, more is overload.
    std::optional<double> utilization{};

    bool operator==(const LoadReport &) const = default;
};

/// Parses the JSON form of the field's value, `JSON {...}`. Returns nothing unless it is a well-formed report with a plausible `in_flight`.
std::optional<LoadReport> parseLoadReport(std::string_view value);

/// Formats the field's value for parseLoadReport. A start identifier that is not a decimal number is omitted.
std::string formatLoadReport(const LoadReport &report);

} // namespace Briarbend::Routing
