#include <Tests/StandIns/Target/TargetState.h>

#include <Tests/StandIns/Common/JsonFields.h>

namespace Briarbend::StandIns
{

namespace
{

std::int64_t nanoseconds(Core::TimePoint time)
{
    return time.time_since_epoch() / std::chrono::nanoseconds(1);
}

std::size_t inFlight(const TargetState &state)
{
    return state.running + state.queued;
}

bool isFaulty(const TargetState &state, std::string_view path)
{
    return path.starts_with(state.conditions.faultPath) && inFlight(state) >= state.conditions.faultInFlight;
}

/// Draws the neighbours' load for every shift that has passed since the last request.
void shiftSpeed(TargetState &state, Core::TimePoint now, Core::Random &random)
{
    const auto &conditions = state.conditions;
    if (conditions.shiftMaximumMilliseconds <= 0) {
        state.shiftFactor = 1;
        state.nextShift = now;
        return;
    }
    while (state.nextShift <= now) {
        const double span = conditions.shiftMaximumMilliseconds - conditions.shiftMinimumMilliseconds;
        const Milliseconds length(conditions.shiftMinimumMilliseconds + random.unit() * span);
        state.nextShift += std::chrono::duration_cast<Core::Duration>(length);
        state.shiftFactor = random.unit() < conditions.slowShare ? conditions.slowFactor : 1;
    }
}

} // namespace

void applyConditions(TargetConditions &conditions, const nlohmann::json &json)
{
    JsonFields fields(json);
    fields.read("slots", conditions.slots);
    fields.read("connections", conditions.maximumConnections);
    fields.read("shed_queue", conditions.shedQueue);
    fields.read("connect_ms", conditions.connectMilliseconds);
    fields.read("mean_ms", conditions.meanMilliseconds);
    fields.read("spread", conditions.spread);
    fields.read("speed", conditions.speed);
    fields.read("slow", conditions.slow);
    fields.read("cold_requests", conditions.coldRequests);
    fields.read("cold_completions", conditions.coldCompletions);
    fields.read("cold_ms", conditions.coldMilliseconds);
    fields.read("cold_factor", conditions.coldFactor);
    fields.read("fail_fast", conditions.failFast);
    fields.read("drain", conditions.drain);
    fields.read("freeze", conditions.freeze);
    fields.read("fail", conditions.fail);
    fields.read("fault_slow", conditions.faultSlow);
    fields.read("fault_path", conditions.faultPath);
    fields.read("fault_in_flight", conditions.faultInFlight);
    fields.read("late", conditions.late);
    fields.read("late_ms", conditions.lateMilliseconds);
    fields.read("truncate", conditions.truncate);
    fields.read("trailing", conditions.trailing);
    fields.read("trailing_with_next", conditions.trailingWithNext);
    fields.read("close_mid_body", conditions.closeMidBody);
    fields.read("report_lag_ms", conditions.reportLagMilliseconds);
    fields.read("reported_in_flight", conditions.reportedInFlight);
    fields.read("dead_ms", conditions.deadMilliseconds);
    nlohmann::json shift;
    if (fields.read("shift", shift)) {
        JsonFields shiftFields(shift);
        shiftFields.read("min_ms", conditions.shiftMinimumMilliseconds);
        shiftFields.read("max_ms", conditions.shiftMaximumMilliseconds);
        shiftFields.read("slow_factor", conditions.slowFactor);
        shiftFields.read("slow_share", conditions.slowShare);
        shiftFields.finish();
    }
    fields.finish();
}

void restart(TargetState &state, bool isCold, Core::TimePoint now)
{
    // The time makes starts of separate processes at the same address differ as well.
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch() / std::chrono::milliseconds(1));
    state.start = std::max(state.start + 1, time);
    state.running = 0;
    state.queued = 0;
    state.reportedAt = {};
    state.isCold = false;
    if (isCold) {
        turnCold(state, now);
    }
}

void turnCold(TargetState &state, Core::TimePoint now)
{
    state.isCold = true;
    state.coldCompleted = 0;
    state.coldSince = now;
}

Admission admit(TargetState &state, Core::TimePoint now)
{
    ++state.arrivals;
    state.lastNewWork = now;
    if (state.conditions.drain) {
        ++state.shed;
        return Admission::Draining;
    }
    if (state.conditions.failFast) {
        return Admission::FailFast;
    }
    const Milliseconds coldFor = now - state.coldSince;
    if (state.isCold && state.conditions.coldMilliseconds > 0 && coldFor.count() >= state.conditions.coldMilliseconds) {
        state.isCold = false;
    }
    if (state.isCold && inFlight(state) >= state.conditions.coldRequests) {
        ++state.violations;
        state.lastViolation = now;
        turnCold(state, now);
        return Admission::ColdExcess;
    }
    if (state.running < state.conditions.slots && state.queued == 0) {
        ++state.running;
        return Admission::Run;
    }
    if (state.queued >= state.conditions.shedQueue) {
        ++state.shed;
        return Admission::Shed;
    }
    return Admission::Queue;
}

void complete(TargetState &state, bool isOk, Core::TimePoint now)
{
    ++state.completed;
    if (!state.isCold || !isOk) {
        return;
    }
    ++state.coldCompleted;
    const Milliseconds coldFor = now - state.coldSince;
    const bool isTimeOver = state.conditions.coldMilliseconds > 0 && coldFor.count() >= state.conditions.coldMilliseconds;
    state.isCold = state.coldCompleted < state.conditions.coldCompletions && !isTimeOver;
}

Core::Duration serviceTime(const TargetState &state, std::string_view path, Core::Random &random)
{
    const auto &conditions = state.conditions;
    const double coldFactor = state.isCold ? conditions.coldFactor : 1;
    const double faultFactor = isFaulty(state, path) ? conditions.faultSlow : 1;
    const double mean = conditions.meanMilliseconds * conditions.slow * coldFactor * faultFactor / conditions.speed;
    const double drawn = conditions.spread < 0 ? random.exponential(mean) : mean * (1 + conditions.spread * (2 * random.unit() - 1));
    return std::chrono::duration_cast<Core::Duration>(Milliseconds(drawn));
}

WorkSlice nextSlice(TargetState &state, Core::Duration work, Core::TimePoint now, Core::Random &random)
{
    shiftSpeed(state, now, random);
    const auto needed = std::chrono::duration_cast<Core::Duration>(work * state.shiftFactor);
    const bool isShifting = state.conditions.shiftMaximumMilliseconds > 0;
    if (!isShifting || now + needed <= state.nextShift) {
        return {needed, work};
    }
    const auto untilShift = state.nextShift - now;
    return {untilShift, std::chrono::duration_cast<Core::Duration>(untilShift / state.shiftFactor)};
}

bool failsByFault(const TargetState &state, std::string_view path, Core::Random &random)
{
    return state.conditions.fail > 0 && isFaulty(state, path) && random.unit() < state.conditions.fail;
}

const nlohmann::json &loadReport(TargetState &state, Core::TimePoint now)
{
    const Milliseconds age = now - state.reportedAt;
    if (age.count() < state.conditions.reportLagMilliseconds) {
        return state.report;
    }
    state.reportedAt = now;
    const auto claimed = state.conditions.reportedInFlight;
    const auto count = claimed < 0 ? inFlight(state) : static_cast<std::size_t>(claimed);
    state.report = {{"named_metrics",
                     {{"in_flight", count},
                      {"slots", state.conditions.slots},
                      {"cold", state.isCold ? 1 : 0},
                      {"leaving", state.conditions.drain ? 1 : 0},
                      {"start", state.start}}}};
    return state.report;
}

nlohmann::json counters(const TargetState &state)
{
    return {{"start", state.start},
            {"cold", state.isCold},
            {"cold_since_ns", nanoseconds(state.coldSince)},
            {"in_flight", inFlight(state)},
            {"requests", state.arrivals},
            {"completed", state.completed},
            {"violations", state.violations},
            {"last_violation_ns", nanoseconds(state.lastViolation)},
            {"shed", state.shed},
            {"cancelled", state.cancelled},
            {"expired", state.expired},
            {"connections", state.connections},
            {"connections_peak", state.connectionsPeak},
            {"connections_refused", state.connectionsRefused},
            {"probes", state.probes.total},
            {"probes_peak_per_second", state.probes.peak},
            {"last_new_work_ns", nanoseconds(state.lastNewWork)},
            {"crashes", state.crashes}};
}

} // namespace Briarbend::StandIns
