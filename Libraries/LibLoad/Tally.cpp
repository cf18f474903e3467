#include <LibLoad/Tally.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace Briarbend::Load
{

namespace
{

struct Percentile {
    const char *name;
    double share;
};

constexpr std::array<Percentile, 5> PERCENTILES{{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"p99.99", 0.9999}}};
constexpr int NAME_WIDTH = 28;
constexpr int NUMBER_WIDTH = 10;

double microseconds(Core::Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

double goodput(const Tally &tally, Core::Duration duration)
{
    return static_cast<double>(count(tally, Outcome::Answered)) / std::chrono::duration<double>(duration).count();
}

nlohmann::json toJson(const LatencyHistogram &histogram)
{
    nlohmann::json json{{"max", microseconds(histogram.maximum())}};
    for (const auto &percentile : PERCENTILES) {
        json[percentile.name] = microseconds(histogram.quantile(percentile.share));
    }
    return json;
}

void appendRow(std::ostringstream &table, const std::string &name, const Tally &tally, Core::Duration duration)
{
    const auto failed = attempts(tally) - count(tally, Outcome::Answered);
    table << std::left << std::setw(NAME_WIDTH) << name << std::right << std::setw(NUMBER_WIDTH) << attempts(tally);
    table << std::setw(NUMBER_WIDTH) << failed << std::setw(NUMBER_WIDTH) << std::setprecision(1) << goodput(tally, duration);
    table << std::setprecision(3);
    for (const auto &percentile : PERCENTILES) {
        table << std::setw(NUMBER_WIDTH) << microseconds(tally.latency.quantile(percentile.share)) / 1000;
    }
    table << '\n';
}

} // namespace

void record(Tally &tally, const LoadEvent &event)
{
    ++tally.outcomes.at(static_cast<std::size_t>(event.outcome));
    tally.sendDelay.record(event.sent - event.intended);
    tally.resubmissions += event.attempt > 1 ? 1 : 0;
    if (event.outcome == Outcome::Answered) {
        tally.latency.record(event.done - event.intended);
    }
}

void merge(Tally &tally, const Tally &other)
{
    std::ranges::transform(tally.outcomes, other.outcomes, tally.outcomes.begin(), std::plus());
    tally.latency.merge(other.latency);
    tally.sendDelay.merge(other.sendDelay);
    tally.resubmissions += other.resubmissions;
}

std::uint64_t attempts(const Tally &tally)
{
    return std::accumulate(tally.outcomes.begin(), tally.outcomes.end(), std::uint64_t{0});
}

std::uint64_t count(const Tally &tally, Outcome outcome)
{
    return tally.outcomes.at(static_cast<std::size_t>(outcome));
}

nlohmann::json toJson(const Tally &tally, Core::Duration duration)
{
    nlohmann::json outcomes;
    for (std::size_t index = 0; index < OUTCOME_NAMES.size(); ++index) {
        outcomes[OUTCOME_NAMES.at(index)] = tally.outcomes.at(index);
    }
    return {{"attempts", attempts(tally)},
            {"outcomes", outcomes},
            {"goodput", goodput(tally, duration)},
            {"resubmissions", tally.resubmissions},
            {"latency_us", toJson(tally.latency)},
            {"send_delay_us", toJson(tally.sendDelay)}};
}

std::string toTable(const std::vector<MixRoute> &mix, const std::vector<Tally> &routes, const Tally &all, Core::Duration duration)
{
    std::ostringstream table;
    table << std::fixed << std::left << std::setw(NAME_WIDTH) << "route (latency in ms)" << std::right;
    for (const auto *column : {"attempts", "failed", "good/s"}) {
        table << std::setw(NUMBER_WIDTH) << column;
    }
    for (const auto &percentile : PERCENTILES) {
        table << std::setw(NUMBER_WIDTH) << percentile.name;
    }
    table << '\n';
    for (std::size_t index = 0; index < mix.size(); ++index) {
        appendRow(table, mix[index].method + " " + mix[index].path, routes[index], duration);
    }
    appendRow(table, "all", all, duration);
    for (std::size_t index = 1; index < OUTCOME_NAMES.size(); ++index) {
        if (all.outcomes.at(index) != 0) {
            table << "  " << OUTCOME_NAMES.at(index) << ": " << all.outcomes.at(index) << '\n';
        }
    }
    return table.str();
}

} // namespace Briarbend::Load
