#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/LoadReport.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Choice of a target for each request, from this instance's own observations.
namespace Briarbend::Routing
{

/// One target as described by the instance list.
struct TargetRecord {
    Core::TargetId id;
    Core::DataCentreName dataCentre;
    Core::VersionName version;
    /// The target receives no new work; requests in flight finish.
    bool isLeaving{false};

    bool operator==(const TargetRecord &) const = default;
};

/// The share of a service's requests that a version receives. Shares are zero or more and relative to their sum.
struct VersionShare {
    Core::VersionName version;
    double share{0};
};

struct RoutingParameters {
    Configuration::RoutingPolicy policy{Configuration::RoutingPolicy::ProbePool};
    Core::DataCentreName ownDataCentre;
    /// Round trip to a target of another data centre, in excess of the round trip within the own one.
    std::chrono::microseconds distance{1500};
    /// Requests that a target runs at once, if it does not report them.
    std::uint32_t slots{6};
    /// Time constant with which answer times decay; about the time for which a target's speed stays the same.
    std::chrono::microseconds answerDecayTime{10'000};
    /// Time constant with which the requests of other instances in a load report decay to their typical number.
    std::chrono::microseconds reportDecayTime{20'000};
    /// A target is probed only if its latest report is at least this old.
    std::chrono::milliseconds probeAfter{1000};
    /// The same for a target that is refused as cold: only a report can show that it has become warm.
    std::chrono::milliseconds probeAfterCold{100};
    /// Time after which an unanswered probe counts as lost.
    std::chrono::milliseconds probeTimeout{50};
    /// Largest share of the targets that may be ejected at once.
    double maximumEjectedShare{0.3};
    /// Consecutive failures that eject a target.
    std::uint32_t failuresToEject{5};
    /// Duration of the first ejection. Each consecutive one lasts twice as long, up to 32 times this duration.
    std::chrono::milliseconds baseEjectionTime{1000};
    /// Share of the requests that may be sent to a cold target while warm ones are available.
    double coldTrialShare{0.05};
};

/// The latest load report of a target, and the load of other instances derived from it.
struct ReceivedLoadReport {
    LoadReport report;
    Core::TimePoint receivedAt;
    /// Requests in the report that are from other instances.
    double peerInFlight{0};
};

struct EjectionState {
    std::optional<Core::TimePoint> until;
    /// Ejections without a success between them.
    std::uint32_t consecutiveEjections{0};
    std::uint32_t consecutiveFailures{0};
};

struct ProbeState {
    std::optional<Core::TimePoint> outstandingSince;
    /// Consecutive probes without an answer.
    std::uint32_t consecutiveLosses{0};
};

/// Everything that one instance knows about one target.
struct TargetState {
    TargetRecord record;
    /// Requests of this instance that have not finished.
    std::uint32_t ownInFlight{0};
    /// Send times of the requests without an answer yet, oldest first.
    std::vector<Core::TimePoint> waiting;
    AnswerTimeEstimate answerTime;
    FailureEstimate failures;
    std::optional<ReceivedLoadReport> latestReport;
    EjectionState ejection;
    ProbeState probe;
    /// The last permission query reported the target as cold.
    bool wasCold{false};
};

/// The targets of one service, as observed by one instance.
struct TargetTable {
    RoutingParameters parameters;
    std::vector<TargetState> targets;
    std::unordered_map<Core::TargetId, std::size_t> indexById;
    /// Exponentially weighted time to an answer over all targets, in microseconds; zero before the first answer.
    double typicalAnswerTime{0};
    /// Exponentially weighted number of other instances' requests in load reports.
    double typicalPeerInFlight{0};
    /// Time, in microseconds, within which nearly all answers arrive. A safe request that takes longer may be hedged.
    StreamingQuantile answerTimeQuantile;
    /// Index at which the round robin policy continues.
    std::size_t nextRoundRobinIndex{0};
};

/// A request in flight, as returned by recordSent.
struct SentRequest {
    Core::TargetId target;
    Core::TimePoint sentAt;
};

enum class OutcomeKind {
    Success,
    /// The answer showed a fault of the target, the connection ended, or no answer arrived in time.
    Failure,
    /// The target shed the request without running it.
    Shed,
    /// The caller disconnected or another send answered first; the outcome says nothing about the target.
    Cancelled,
};

/// The outcome of a request and the load report in its answer, if any.
struct Outcome {
    OutcomeKind kind{OutcomeKind::Success};
    std::optional<LoadReport> report;
};

/// The size of the subset of targets that each instance uses, so that about `sendersPerTarget` instances use each target and no subset is
/// smaller than `minimumSize`. With few instances the subset contains all targets.
std::size_t subsetSize(std::size_t targets, std::size_t instances, std::size_t sendersPerTarget, std::size_t minimumSize);

/// The subset of targets that an instance uses: a proportional share of each data centre, by highest rendezvous hash weight.
std::vector<TargetRecord> subsetOf(const std::vector<TargetRecord> &all, const Core::InstanceId &instance, std::size_t size);

/// Applies a new instance list. Known targets keep their state; requests in flight to removed targets are no longer tracked.
void updateTargets(TargetTable &table, const std::vector<TargetRecord> &records);

/// The state of a target, or null if it is not in the table.
TargetState *findTarget(TargetTable &table, const Core::TargetId &id);
const TargetState *findTarget(const TargetTable &table, const Core::TargetId &id);

/// Estimated requests at the target, including those of other instances. Without a recent report, their typical number is assumed.
double estimatedInFlight(const TargetTable &table, const TargetState &target, Core::TimePoint now);

/// Cost of sending a request to the target now, in microseconds: the estimated time to an answer, increased by the load of the target, its
/// failure share and the distance.
double sendCost(const TargetTable &table, const TargetState &target, Core::TimePoint now);

/// Records that a request has been sent to the target.
SentRequest recordSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// Records the head of the answer, or the failure. Call it once for each sent request, before recordFinished.
void recordAnswer(TargetTable &table, const SentRequest &request, const Outcome &outcome, Core::TimePoint now);

/// Records a load report that did not arrive with the answer to a request.
void recordLoadReport(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now);

/// Records that the request no longer occupies the target: the last byte has arrived or the connection is closed.
void recordFinished(TargetTable &table, const SentRequest &request);

/// The 97th percentile of the answer time, after which a request may be hedged.
std::chrono::microseconds hedgeDelay(const TargetTable &table);

/// True if the target has few enough requests for a hedge to overtake the first send: fewer than four per slot.
bool hasRoomForHedge(const TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// True if the target is ejected now.
bool isEjected(const TargetState &target, Core::TimePoint now);

} // namespace Briarbend::Routing
