#pragma once

#include <LibFleet/Directory.h>
#include <LibFleet/RoutingConfiguration.h>
#include <LibFleet/SendBudget.h>

#include <deque>

namespace Briarbend::Fleet
{

/// What a target says about its own load, on an answer or on its health path.
struct LoadReport {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// How long work takes on the target's host at this moment, as a multiple of the usual.
    double slowness{1};

    bool operator==(const LoadReport &) const = default;
};

/// Time constant with which failures are forgotten: a faulty target is tried again a few times within the length of a usual fault.
constexpr std::chrono::milliseconds FAILURE_DECAY_TIME{3000};

/// How requests ended at a target, in numbers.
struct OutcomeCounts {
    std::uint32_t failed{0};
    std::uint32_t answered{0};

    bool operator==(const OutcomeCounts &) const = default;
};

/// Everything that one instance believes about one target.
struct TargetState {
    TargetRecord record;
    /// When the target came to a service that had others; long ago for those that the instance found at its start.
    Core::TimePoint joinedAt;
    /// Requests of this instance that the target holds.
    std::uint32_t ownInFlight{0};
    std::optional<LoadReport> loadReport;
    Core::TimePoint loadReportAt;
    /// Requests of this instance that were in flight when the load was stated.
    std::uint32_t ownInFlightAtReport{0};
    Core::TimePoint coldUntil;
    /// The target is left alone until then.
    Core::TimePoint ejectedUntil;
    std::uint32_t consecutiveEjections{0};
    /// Exponentially weighted share of requests that failed or were shed.
    double failureShare{0};
    Core::TimePoint failureShareAt;
    /// Share of requests that failed by the word of other instances.
    double peerFailureShare{0};
    Core::TimePoint peerFailureShareAt;
    /// Outcomes that the other instances have not been told of.
    OutcomeCounts unreportedOutcomes;
    /// The target itself said that it leaves.
    bool isLeaving{false};
    /// The target asked for nothing before then.
    Core::TimePoint quietUntil;
    /// The health path says that the target takes no work.
    bool failsHealthCheck{false};
    /// The target answers requests well, whatever its health path says.
    Core::TimePoint provenHealthyUntil;
    /// While the health path says that the target takes no work: when a request may show whether that is so, and the pause after it.
    Core::TimePoint nextTrialAt;
    std::chrono::milliseconds trialPause{0};
    /// Requests that this instance may send to the target while it is cold; below one none.
    double coldTokens{0};
    Core::TimePoint coldTokensAt;
    /// Kept connections to the target that no request uses, and until when the last of them is usable.
    std::uint32_t idleConnections{0};
    Core::TimePoint connectedUntil;
};

/// The targets of one service and what is typical of them.
struct ServiceState {
    Core::ServiceName name;
    ServiceConfiguration configuration;
    /// Sorted by name.
    std::vector<TargetState> targets;
    SendBudget budget;
    /// Answers of the service's targets name the attempt that they belong to.
    bool echoesAttemptIds{false};
    /// Requests that ask targets of which none answered lately.
    std::uint32_t searchesAmongEjected{0};
    /// Exponentially weighted speed over all statements, as a multiple of the usual. Work goes on at this rate on average.
    double typicalSpeed{1};
};

/// What is typical of the requests of one route.
struct RouteStatistics {
    /// Exponentially weighted time to an answer at usual speed.
    double workMilliseconds{200};
    /// Exponentially weighted length of an answer.
    double answerBytes{4096};
};

/// How a request at a target ended.
enum class SendOutcome {
    Success,
    /// An answer that shows a fault of the target.
    Failure,
    /// The target shed the request without running it.
    Shed,
    /// The same, although it said that it has free slots.
    ShedWithFreeSlots,
    /// The connection ended, or nothing came in time.
    Lost,
    /// Nothing had come when a second target, asked later, had answered.
    Overtaken,
};

/// The belief about the target that registered under the name, or null.
TargetState *findTarget(ServiceState &service, const std::string &name);

/// Takes over the targets of one service. Beliefs about a target stay for as long as its start stays the same.
void updateTargets(ServiceState &service, const std::vector<TargetRecord> &records, Core::TimePoint now, double initialColdTokens);

/// Takes over what the target said of itself; a report never takes back an earlier one.
void applySelfReport(TargetState &target, const SelfReport &report);

void recordLoadReport(ServiceState &service, TargetState &target, const LoadReport &load, Core::TimePoint now);
void recordCold(TargetState &target, std::chrono::milliseconds coldLeft, Core::TimePoint now);
/// Notes that the target could not be reached or did not answer its health path. Repeated trouble lengthens the time for which it is
/// avoided.
void ejectTarget(TargetState &target, Core::TimePoint now);
/// Notes an answer on the health path.
void recordHealth(TargetState &target, bool takesWork, Core::TimePoint now);
/// Notes that a request is sent to the target, so that one at a time shows whether a bad word of its health path is true.
void recordSent(TargetState &target, Core::TimePoint now);
void recordOutcome(TargetState &target, SendOutcome outcome, Core::TimePoint now);
void recordAnswer(RouteStatistics &route, const ServiceState &service, Core::Duration elapsed, std::size_t bytes);

/// How much longer than usual work takes on average.
double typicalSlowness(const ServiceState &service);

/// The share of requests that fail at the target by the word of other instances, forgotten with time; zero once it is negligible.
double peerFailureShare(const TargetState &target, Core::TimePoint now);

/// The share of requests that fail at the target, by this instance's own requests or the other instances', forgotten with time.
double failureShare(const TargetState &target, Core::TimePoint now);

/// True where the instance may send one request to the cold target; takes it from the instance's part of what the target bears.
bool takeColdToken(const ServiceConfiguration &configuration, TargetState &target, std::size_t instances, Core::TimePoint now);

} // namespace Briarbend::Fleet
