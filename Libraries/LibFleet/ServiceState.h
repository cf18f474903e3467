#pragma once

#include <LibFleet/ColdShare.h>
#include <LibFleet/Directory.h>
#include <LibFleet/RoutingConfiguration.h>
#include <LibFleet/SendBudget.h>

#include <deque>
#include <memory>

namespace Briarbend::Fleet
{

/// The load that a target reports, with an answer to a request or to a health check.
struct LoadReport {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// Current run time of work on the target's host, as a multiple of the usual run time.
    double slowness{1};

    bool operator==(const LoadReport &) const = default;
};

/// Time constant with which failures decay. It lets a faulty target be tried again a few times while a fault of usual length lasts.
constexpr std::chrono::milliseconds FAILURE_DECAY_TIME{3000};

/// Numbers of requests to one target by outcome.
struct OutcomeCounts {
    std::uint32_t failed{0};
    std::uint32_t answered{0};

    bool operator==(const OutcomeCounts &) const = default;
};

/// Everything that one instance knows about one target.
struct TargetState {
    TargetRecord record;
    /// When the target joined a service that already had targets; the clock's epoch for targets listed when the instance started.
    Core::TimePoint joinedAt;
    /// Requests of this instance in flight at the target.
    std::uint32_t ownInFlight{0};
    std::optional<LoadReport> loadReport;
    Core::TimePoint loadReportAt;
    /// Requests of this instance that were in flight when the load report arrived.
    std::uint32_t ownInFlightAtReport{0};
    Core::TimePoint coldUntil;
    /// Until then the target is used only where no other is left.
    Core::TimePoint ejectedUntil;
    std::uint32_t consecutiveEjections{0};
    /// Exponentially weighted share of requests that failed or were shed.
    double failureShare{0};
    Core::TimePoint failureShareAt;
    /// Share of requests that failed as reported by other instances.
    double peerFailureShare{0};
    Core::TimePoint peerFailureShareAt;
    /// Outcomes that have not been reported to the other instances yet.
    OutcomeCounts unreportedOutcomes;
    /// The target itself reported that it leaves.
    bool isLeaving{false};
    /// Since when this instance has known that the target leaves, from the list or from the target.
    std::optional<Core::TimePoint> leavingSince;
    /// The target asked to receive no requests before then.
    Core::TimePoint quietUntil;
    /// The rate that the target states, and this instance's part of it; null while it states none.
    std::unique_ptr<RateLimit> rateLimit;
    /// The last health check was answered with a status other than success.
    bool failsHealthCheck{false};
    /// Until then a successful request outweighs failed health checks.
    Core::TimePoint provenHealthyUntil;
    /// While health checks fail: when the next trial request may be sent, and the pause after it.
    Core::TimePoint nextTrialAt;
    std::chrono::milliseconds trialPause{0};
    /// What this instance may send to the target while it is cold; null until it first wants to.
    std::unique_ptr<RateShare> coldShare;
    /// Pooled connections to the target that no request uses, and until when the last of them is usable.
    std::uint32_t idleConnections{0};
    Core::TimePoint connectedUntil;
};

/// The state of one service: its configuration, its targets and averages over them.
struct ServiceState {
    Core::ServiceName name;
    ServiceConfiguration configuration;
    /// Sorted by name.
    std::vector<TargetState> targets;
    SendBudget budget;
    /// The service's targets return the attempt's identifier in their answers.
    bool echoesAttemptIds{false};
    /// Requests that are probing targets of which all are ejected.
    std::uint32_t searchesAmongEjected{0};
    /// Exponentially weighted speed over all load reports, as a multiple of the usual: the average rate at which work proceeds.
    double typicalSpeed{1};
};

/// Averages over the requests of one route.
struct RouteStatistics {
    /// Exponentially weighted time to an answer at the usual speed.
    double workMilliseconds{200};
    /// Exponentially weighted length of an answer.
    double answerBytes{4096};
};

/// How a request at a target ended.
enum class SendOutcome {
    Success,
    /// The answer showed a fault of the target.
    Failure,
    /// The target shed the request without running it.
    Shed,
    /// The target shed the request although it had reported free slots.
    ShedWithFreeSlots,
    /// The connection ended, or no answer arrived in time.
    Lost,
    /// A second target, to which the request was sent later, answered first.
    Overtaken,
};

/// The state of the target that registered under the name, or null.
TargetState *findTarget(ServiceState &service, const std::string &name);

/// Replaces the targets of one service. The state of a target is kept as long as its start stays the same.
void updateTargets(ServiceState &service, const std::vector<TargetRecord> &records, Core::TimePoint now);

/// Applies a target's self-report. Leaving and quiet are never withdrawn, a stated rate is.
void applySelfReport(TargetState &target, const SelfReport &report);

/// Updates this instance's part of each stated rate to the members.
void updateQuotas(ServiceState &service, const RateSharers &sharers, Core::TimePoint now);

void recordLoadReport(ServiceState &service, TargetState &target, const LoadReport &load, Core::TimePoint now);
void recordCold(TargetState &target, std::chrono::milliseconds coldLeft, Core::TimePoint now);
/// Ejects a target that could not be reached or did not answer a health check. Each consecutive ejection lasts longer.
void ejectTarget(TargetState &target, Core::TimePoint now);
/// Drops what this instance concluded of the target while it reached none, after which it begins anew with cold targets.
void forgetUnreachable(TargetState &target, Core::TimePoint now);
/// Records the result of a health check.
void recordHealth(TargetState &target, bool takesWork, Core::TimePoint now);
/// Records that a request is sent to the target. While health checks fail, this keeps trial requests to one at a time; while the target is
/// cold, the permit that was taken with the choice counts from now.
void recordSent(TargetState &target, Core::TimePoint now);
void recordOutcome(TargetState &target, SendOutcome outcome, Core::TimePoint now);
void recordAnswer(RouteStatistics &route, const ServiceState &service, Core::Duration elapsed, std::size_t bytes);

/// Average run time of work, as a multiple of the usual run time.
double typicalSlowness(const ServiceState &service);

/// The decayed share of requests to the target that fail as reported by other instances; zero once it is negligible.
double peerFailureShare(const TargetState &target, Core::TimePoint now);

/// The decayed share of requests to the target that fail: the larger of this instance's own and the other instances' share.
double failureShare(const TargetState &target, Core::TimePoint now);

/// Whether the rate that the target states lets this instance send a request to it now, if only to try an outdated rate.
bool hasSendPermit(const TargetState &target, Core::TimePoint now);
/// Takes the permit for a request that is about to be sent. Returns false if there is none.
bool takeSendPermit(TargetState &target, Core::TimePoint now);

/// True if this instance may send one request to the cold target now, which counts from then on.
bool takeColdPermit(const ServiceConfiguration &configuration, TargetState &target, const RateSharers &sharers, Core::TimePoint now);

} // namespace Briarbend::Fleet
