#include <LibRouting/LoadReport.h>

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Briarbend::Routing
{

namespace
{

constexpr std::string_view JSON_PREFIX{"JSON "};
constexpr std::size_t MAXIMUM_REPORT_BYTES = 4096;
constexpr double MAXIMUM_COUNT = 1'000'000;
/// Largest integer below which every integer has its own double.
constexpr double LARGEST_EXACT_INTEGER = 9'007'199'254'740'992;

std::optional<double> numberAt(const nlohmann::json &object, const char *key, double largest)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number()) {
        return std::nullopt;
    }
    const auto number = found->get<double>();
    if (!std::isfinite(number) || number < 0 || number > largest) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> decimalOf(const std::string &text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || static_cast<double>(number) > LARGEST_EXACT_INTEGER) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<LoadReport> parseLoadReport(std::string_view value)
{
    if (value.size() > MAXIMUM_REPORT_BYTES || !value.starts_with(JSON_PREFIX)) {
        return std::nullopt;
    }
    value.remove_prefix(JSON_PREFIX.size());
    const auto document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    const auto metrics = document.find("named_metrics");
    if (metrics == document.end() || !metrics->is_object()) {
        return std::nullopt;
    }
    const auto inFlight = numberAt(*metrics, "in_flight", MAXIMUM_COUNT);
    if (!inFlight) {
        return std::nullopt;
    }

    LoadReport report;
    report.inFlight = static_cast<std::uint32_t>(*inFlight);
    report.slots = static_cast<std::uint32_t>(numberAt(*metrics, "slots", MAXIMUM_COUNT).value_or(0));
    report.isCold = numberAt(*metrics, "cold", MAXIMUM_COUNT).value_or(0) > 0;
    report.isLeaving = numberAt(*metrics, "leaving", MAXIMUM_COUNT).value_or(0) > 0;
    if (const auto start = numberAt(*metrics, "start", LARGEST_EXACT_INTEGER)) {
        report.start = Core::TargetStartId{std::to_string(static_cast<std::uint64_t>(*start))};
    }
    report.requestsPerSecond = numberAt(document, "rps_fractional", LARGEST_EXACT_INTEGER);
    report.utilization = numberAt(document, "application_utilization", MAXIMUM_COUNT);
    return report;
}

std::string formatLoadReport(const LoadReport &report)
{
    nlohmann::json metrics{{"in_flight", report.inFlight}, {"slots", report.slots}, {"cold", report.isCold ? 1 : 0}};
    if (report.isLeaving) {
        metrics["leaving"] = 1;
    }
    if (report.start) {
        if (const auto number = decimalOf(report.start->value)) {
            metrics["start"] = *number;
        }
    }
    nlohmann::json document{{"named_metrics", std::move(metrics)}};
    if (report.requestsPerSecond) {
        document["rps_fractional"] = *report.requestsPerSecond;
    }
    if (report.utilization) {
        document["application_utilization"] = *report.utilization;
    }
    return std::string(JSON_PREFIX) + document.dump();
}

} // namespace Briarbend::Routing
