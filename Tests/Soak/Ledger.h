#pragma once

#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Soak
{

/// One start of a target: its name, and when it started in milliseconds of the wall clock.
using TargetStart = std::pair<std::string, std::int64_t>;

/// What a target said of itself in an answer that an instance passed on.
struct PassedReport {
    TargetStart start;
    bool statesRate{false};
    bool isLeaving{false};
};

/// How a request ended, as its caller saw it.
struct CallerOutcome {
    std::string attemptId;
    std::size_t instance{0};
    bool mayRepeat{false};
    Core::TimePoint sentAt;
    Core::TimePoint endedAt;
    /// Nothing where the connection ended or the caller gave up waiting.
    std::optional<unsigned> status;
    bool isBodyRight{false};
    bool isOwnAnswer{false};
    /// The connection took the whole request.
    bool wasSent{false};
    /// The caller's time was over; it closed the connection itself.
    bool hasGivenUp{false};
    std::optional<PassedReport> report{};
};

/// One run of a request at a target.
struct Run {
    TargetStart start;
    Core::TimePoint at;
};

/// A time in which a fault may excuse what happens; without an instance all of them.
struct Disturbance {
    std::optional<std::size_t> instance;
    Core::TimePoint begin;
    std::optional<Core::TimePoint> end;
};

/// Takes down what callers and targets see, and tells which promises were broken.
class Ledger
{
public:
    void recordRun(const std::string &attemptId, Run run);
    void recordOutcome(CallerOutcome outcome);
    /// The store has accepted that the target leaves.
    void recordLeaving(const std::string &target, Core::TimePoint at);
    /// The store has accepted that a data centre with these targets is out.
    void recordOut(const std::vector<std::string> &targets, Core::TimePoint begin);
    void recordBack(const std::vector<std::string> &targets, Core::TimePoint end);
    /// A request on an added route that the instance did not know, asked after the route had to be in force.
    void recordUnknownRoute(std::size_t instance, const std::string &route, Core::TimePoint at);
    /// A target names how many requests a second it takes from all instances; it starts to, and no longer does.
    void recordRate(const TargetStart &start, double requestsPerSecond, Core::TimePoint begin);
    void recordRateEnd(const TargetStart &start, Core::TimePoint end);
    std::size_t begin(Disturbance disturbance);
    void end(std::size_t disturbance, Core::TimePoint at);
    /// A planned stop of an instance was ordered.
    void recordStop(std::size_t instance, Core::TimePoint at);

    /// One line for each broken promise. After the last outcome and the last run.
    std::vector<std::string> brokenPromises(Core::TimePoint faultsEnded) const;
    /// One line of totals.
    std::string summary() const;

private:
    struct OutTime {
        Core::TimePoint begin;
        std::optional<Core::TimePoint> end;
    };

    struct StatedRate {
        double requestsPerSecond{0};
        Core::TimePoint begin;
        std::optional<Core::TimePoint> end;
    };

    bool isCalm(std::size_t instance, Core::TimePoint from, Core::TimePoint until) const;
    /// As isCalm, for bounds that hold while the store is in trouble too.
    bool hasRun(std::size_t instance, Core::TimePoint from, Core::TimePoint until) const;
    using ToldTimes = std::map<std::pair<std::size_t, TargetStart>, std::vector<Core::TimePoint>>;

    /// When each instance passed on answers in which a start of a target said it, in order.
    ToldTimes toldTimes(bool PassedReport::*says) const;
    /// Whether the instance of a run was told by that time, and has run since.
    bool isBound(const ToldTimes &told, std::size_t instance, const Run &run, Core::TimePoint toldBy) const;
    void checkRuns(std::vector<std::string> &broken) const;
    void checkAnswers(std::vector<std::string> &broken) const;
    void checkPlacement(std::vector<std::string> &broken) const;
    void checkLeaving(std::vector<std::string> &broken) const;
    /// Requests that count against a stated rate: of instances that were told of it and have run since.
    std::vector<Core::TimePoint> limitedRuns(const ToldTimes &told, const TargetStart &start, const StatedRate &rate) const;
    void checkRates(std::vector<std::string> &broken) const;
    void checkStops(std::vector<std::string> &broken) const;
    void checkRecovery(std::vector<std::string> &broken, Core::TimePoint faultsEnded) const;

    std::map<std::string, std::vector<Run>> runs;
    std::map<std::string, CallerOutcome> outcomes;
    std::map<std::string, Core::TimePoint> leaving;
    std::multimap<std::string, OutTime> out;
    std::map<TargetStart, StatedRate> rates;
    std::vector<std::pair<std::size_t, Core::TimePoint>> stops;
    std::vector<std::string> unknownRoutes;
    std::vector<Disturbance> disturbances;
};

} // namespace Briarbend::Soak
