/// Measures the cost of the decisions for one request, by the number of targets in the table, and the cost of applying an instance list.

#include <LibLimits/ColdGate.h>
#include <LibRouting/Choice.h>

#include <benchmark/benchmark.h>

using namespace Briarbend;
using namespace std::chrono_literals;

namespace
{

std::vector<Routing::TargetRecord> recordsOf(std::int64_t count)
{
    std::vector<Routing::TargetRecord> records;
    for (std::int64_t number = 0; number < count; ++number) {
        records.push_back({{"10.0.0." + std::to_string(number) + ":8080"}, {"dc-" + std::to_string(number % 3)}, {"v1"}, false});
    }
    return records;
}

/// Choice of a target, cold verdict, send, answer with a load report, and end of one request.
void decideRequest(benchmark::State &state)
{
    Core::Random random{1};
    Core::TimePoint now{100s};
    Routing::TargetTable table;
    table.parameters.ownDataCentre = {"dc-0"};
    updateTargets(table, recordsOf(state.range(0)));
    Limits::ColdGate gate;
    std::vector<Limits::WarmupLimits> limits;
    std::ranges::transform(table.targets, std::back_inserter(limits), [](const Routing::TargetState &target) {
        return Limits::WarmupLimits{.target = target.record.id};
    });
    updateTargetList(gate, limits);
    updateMembership(gate, {.self = {"a"}, .members = {{"a"}}, .expected = 1, .contacts = {}}, now);
    std::ranges::for_each(limits, [&](const Limits::WarmupLimits &entry) {
        recordReport(gate, entry.target, Core::TargetStartId{"1"}, false);
    });
    const Routing::ChoiceInput input{.permission = [&](const Routing::TargetState &target) {
        const auto verdict = sendPermission(gate, target.record.id, Core::TimePoint{100s});
        return verdict == Limits::SendPermission::Warm ? Routing::Permission::Permitted : Routing::Permission::RefusedCold;
    }};
    for ([[maybe_unused]] auto iteration : state) {
        now += 100us;
        const auto choice = chooseTarget(table, input, now, random);
        const auto sent = recordSent(table, *choice.target, now);
        const Routing::LoadReport report{.inFlight = 3, .slots = 6};
        recordAnswer(table, sent, {.kind = Routing::OutcomeKind::Success, .report = report}, now + 50us);
        recordFinished(table, sent);
    }
}

/// Computes the subset of a service's targets and updates the table with it.
void takeOverList(benchmark::State &state)
{
    const auto all = recordsOf(state.range(0));
    Routing::TargetTable table;
    for ([[maybe_unused]] auto iteration : state) {
        updateTargets(table, subsetOf(all, {"instance"}, 20));
    }
}

void readReport(benchmark::State &state)
{
    const auto value = Routing::formatLoadReport({.inFlight = 3, .slots = 6, .isCold = false, .start = Core::TargetStartId{"12345"}});
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(Routing::parseLoadReport(value));
    }
}

BENCHMARK(decideRequest)->Arg(8)->Arg(20)->Arg(32)->Arg(64)->Arg(200);
BENCHMARK(takeOverList)->Arg(20)->Arg(200)->Arg(2000)->Arg(6700);
BENCHMARK(readReport);

} // namespace
