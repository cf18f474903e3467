#pragma once

#include <LibLoad/LatencyHistogram.h>
#include <LibLoad/LoadEvent.h>
#include <LibLoad/RouteMix.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Briarbend::Load
{

/// What callers saw of one route or of all.
struct Tally {
    std::array<std::uint64_t, OUTCOME_NAMES.size()> outcomes{};
    /// From the intended send time to the end of the answer, answered requests only.
    LatencyHistogram latency;
    /// From the intended send time to the sending: how far the generator itself was late.
    LatencyHistogram sendDelay;
    std::uint64_t resubmissions{0};
};

void record(Tally &tally, const LoadEvent &event);
void merge(Tally &tally, const Tally &other);
std::uint64_t attempts(const Tally &tally);
std::uint64_t count(const Tally &tally, Outcome outcome);
/// Latencies in microseconds, goodput in answered requests a second.
nlohmann::json toJson(const Tally &tally, Core::Duration duration);
/// A table with one row for every route and one for all.
std::string toTable(const std::vector<MixRoute> &mix, const std::vector<Tally> &routes, const Tally &all, Core::Duration duration);

} // namespace Briarbend::Load
