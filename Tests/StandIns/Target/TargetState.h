#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <Tests/StandIns/Common/SlidingWindow.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Briarbend::StandIns
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// What POST /control sets, with the field's name in JSON where it differs. Probabilities are in [0, 1].
struct TargetConditions {
    std::size_t slots{6};
    std::size_t maximumConnections{250};
    /// Queue length from which work is shed with 503.
    std::size_t shedQueue{60};
    double connectMilliseconds{1};
    /// Mean of the service time at speed 1.
    double meanMilliseconds{1};
    /// Service times are uniform within this part of the mean around it; exponential where negative.
    double spread{-1};
    double speed{1};
    /// Factor on the service time.
    double slow{1};
    /// With an upper bound above zero, the neighbours' load is drawn anew after a uniform time between the two: with probability
    /// slowShare the service time is multiplied by slowFactor.
    double shiftMinimumMilliseconds{5};
    double shiftMaximumMilliseconds{0};
    double slowFactor{4};
    double slowShare{0.3};
    std::size_t coldRequests{1};
    /// A cold start ends after this many completed requests, or after the time where it is above zero.
    std::size_t coldCompletions{50};
    double coldMilliseconds{0};
    double coldFactor{4};
    bool failFast{false};
    bool drain{false};
    bool freeze{false};
    /// A bad version: probability of a 500 and factor on the service time, for paths with the prefix, from that many requests in flight.
    double fail{0};
    double faultSlow{1};
    std::string faultPath;
    std::size_t faultInFlight{0};
    /// Probability that a finished answer is held back for lateMilliseconds.
    double late{0};
    double lateMilliseconds{0};
    /// Probability that the last byte of a body is never sent, that a second answer follows, or that the connection ends in mid-body.
    double truncate{0};
    double trailing{0};
    /// Probability that a second answer is held back until the connection's next request has come.
    double trailingWithNext{0};
    double closeMidBody{0};
    double reportLagMilliseconds{0};
    /// Requests in flight that load reports claim; negative for the truth.
    int reportedInFlight{-1};
    double deadMilliseconds{500};
};

/// Throws std::invalid_argument for an unknown field, nlohmann::json::exception for a wrong type. The commands are left to the caller.
void applyConditions(TargetConditions &conditions, const nlohmann::json &json);

enum class Admission {
    Run,
    Queue,
    ColdExcess,
    Draining,
    Shed,
    FailFast,
};

struct TargetState {
    TargetConditions conditions;
    std::uint64_t start{0};
    bool isCold{false};
    std::size_t coldCompleted{0};
    Core::TimePoint coldSince;
    std::size_t running{0};
    std::size_t queued{0};
    Core::TimePoint nextShift;
    double shiftFactor{1};
    nlohmann::json report;
    Core::TimePoint reportedAt;

    std::size_t connections{0};
    std::size_t connectionsPeak{0};
    std::size_t connectionsRefused{0};
    std::size_t arrivals{0};
    std::size_t completed{0};
    std::size_t shed{0};
    std::size_t violations{0};
    std::size_t cancelled{0};
    std::size_t expired{0};
    Core::TimePoint lastNewWork;
    Core::TimePoint lastViolation;
    SlidingWindow probes;
    std::map<std::string, std::size_t> crashes;
};

/// Begins a new start of the target: cold or warm, with nothing in flight.
void restart(TargetState &state, bool isCold, Core::TimePoint now);
/// Turns the present start cold.
void turnCold(TargetState &state, Core::TimePoint now);
/// Decides about one new request and counts it; Run takes a slot.
Admission admit(TargetState &state, Core::TimePoint now);
/// Counts a request that was run to its end, which may end the cold start.
void complete(TargetState &state, bool isOk, Core::TimePoint now);
Core::Duration serviceTime(const TargetState &state, std::string_view path, Core::Random &random);

/// A stretch of work at one speed.
struct WorkSlice {
    Core::Duration duration{0};
    /// What of the work, counted at full speed, is done in it.
    Core::Duration work{0};
};

/// The next stretch: to the end of the work, or to the next shift of the target's speed.
WorkSlice nextSlice(TargetState &state, Core::Duration work, Core::TimePoint now, Core::Random &random);
/// Whether a request of the path fails because of the version's fault.
bool failsByFault(const TargetState &state, std::string_view path, Core::Random &random);
/// The load report, as old as the conditions let it be.
const nlohmann::json &loadReport(TargetState &state, Core::TimePoint now);
nlohmann::json counters(const TargetState &state);

} // namespace Briarbend::StandIns
