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

/// Choice of a target for each request, from what this instance has seen itself.
namespace Briarbend::Routing
{

/// One target as the instance list describes it.
struct TargetRecord {
    Core::TargetId id;
    Core::DataCentreName dataCentre;
    Core::VersionName version;
    /// The target receives no new work; requests in flight finish.
    bool isLeaving{false};

    bool operator==(const TargetRecord &) const = default;
};

/// The share, zero or more, of a service's requests that a version receives. Shares are relative to their sum.
struct VersionShare {
    Core::VersionName version;
    double share{0};
};

struct RoutingParameters {
    Configuration::RoutingPolicy policy{Configuration::RoutingPolicy::ProbePool};
    Core::DataCentreName ownDataCentre;
    /// Round trip to a target of another data centre, over that to one of the own.
    std::chrono::microseconds distance{1500};
    /// Requests that a target runs at once, where its report does not say.
    std::uint32_t slots{6};
    /// Time constant with which answer times are forgotten; about the time for which a target keeps its speed.
    std::chrono::microseconds answerDecayTime{10'000};
    /// Time constant with which the requests of other instances in a load report are forgotten.
    std::chrono::microseconds reportDecayTime{20'000};
    /// Reports younger than this make a probe needless.
    std::chrono::milliseconds probeAfter{1000};
    /// The same for a target that limits refuse as cold: only a report can show that it no longer is.
    std::chrono::milliseconds probeAfterCold{100};
    /// Time after which a probe without an answer is taken as lost.
    std::chrono::milliseconds probeTimeout{50};
    /// Largest share of the targets that may be ejected at once.
    double maximumEjectedShare{0.3};
    /// Failures in a row that eject a target.
    std::uint32_t failuresToEject{5};
    /// First ejection; each further one in a row is twice as long, up to 32 times.
    std::chrono::milliseconds baseEjectionTime{1000};
    /// Share of the requests that may go to a cold target while warm ones are free.
    double coldTrialShare{0.05};
};

/// What the newest load report of a target tells about other instances.
struct ReceivedLoadReport {
    LoadReport report;
    Core::TimePoint receivedAt;
    /// Requests in the report that are not this instance's.
    double peerInFlight{0};
};

struct EjectionState {
    std::optional<Core::TimePoint> until;
    /// Ejections in a row without a success between them.
    std::uint32_t consecutiveEjections{0};
    std::uint32_t consecutiveFailures{0};
};

struct ProbeState {
    std::optional<Core::TimePoint> outstandingSince;
    /// Probes in a row without an answer.
    std::uint32_t consecutiveLosses{0};
};

/// Everything that one instance knows of one target.
struct TargetState {
    TargetRecord record;
    /// Requests of this instance that have not finished.
    std::uint32_t ownInFlight{0};
    /// Send times of the requests that have no answer yet, oldest first.
    std::vector<Core::TimePoint> waiting;
    AnswerTimeEstimate answerTime;
    FailureEstimate failures;
    std::optional<ReceivedLoadReport> latestReport;
    EjectionState ejection;
    ProbeState probe;
    /// The permission last asked for said that the target is cold.
    bool wasCold{false};
};

/// The targets of one service, as one instance sees them.
struct TargetTable {
    RoutingParameters parameters;
    std::vector<TargetState> targets;
    std::unordered_map<Core::TargetId, std::size_t> indexById;
    /// Exponentially weighted time to an answer over all targets, in microseconds; zero before the first answer.
    double typicalAnswerTime{0};
    /// Exponentially weighted requests of other instances in load reports.
    double typicalPeerInFlight{0};
    /// Time, in microseconds, within which nearly all answers come. A safe request that takes longer is worth a hedge.
    StreamingQuantile answerTimeQuantile;
    /// Position of the round robin policy.
    std::size_t nextRoundRobinIndex{0};
};

/// A request on its way, as recordSent returned it.
struct SentRequest {
    Core::TargetId target;
    Core::TimePoint sentAt;
};

enum class OutcomeKind {
    Success,
    /// An answer that shows a fault of the target, a broken connection, or none in time.
    Failure,
    /// The target shed the request unrun.
    Shed,
    /// The caller went away; says nothing about the target.
    Cancelled,
};

/// What came back for a request.
struct Outcome {
    OutcomeKind kind{OutcomeKind::Success};
    std::optional<LoadReport> report;
};

/// The size of the subset that each instance covers, so that about `sendersPerTarget` instances cover each target and no subset
/// is smaller than `smallest`. All targets where instances are few.
std::size_t subsetSize(std::size_t targets, std::size_t instances, std::size_t sendersPerTarget, std::size_t minimumSize);

/// The targets that an instance covers: of each data centre its proportional part, heaviest by rendezvous hash first.
std::vector<TargetRecord> subsetOf(const std::vector<TargetRecord> &all, const Core::InstanceId &instance, std::size_t size);

/// Takes over a new instance list. Known targets keep their state; requests in flight to removed ones are forgotten.
void updateTargets(TargetTable &table, const std::vector<TargetRecord> &records);

/// The state of a target, or null where it is not in the table.
TargetState *findTarget(TargetTable &table, const Core::TargetId &id);
const TargetState *findTarget(const TargetTable &table, const Core::TargetId &id);

/// Estimated requests at the target, those of other instances included. Without a recent report the others are taken as typical.
double estimatedInFlight(const TargetTable &table, const TargetState &target, Core::TimePoint now);

/// Cost of sending a request to the target now, in microseconds: the estimated time to an answer, raised by the requests at the
/// target, the share that fails, and the distance.
double sendCost(const TargetTable &table, const TargetState &target, Core::TimePoint now);

/// Notes that a request has been written to the target.
SentRequest recordSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// Notes the head of the answer, or the failure. Call once for each sent request, before recordFinished.
void recordAnswer(TargetTable &table, const SentRequest &request, const Outcome &outcome, Core::TimePoint now);

/// Takes over a load report that came outside an answer.
void recordLoadReport(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now);

/// Notes that the request no longer occupies the target: the last byte has come or the connection is closed.
void recordFinished(TargetTable &table, const SentRequest &request);

/// Time after which an answer is later than nearly all others: 97 in 100.
std::chrono::microseconds hedgeDelay(const TargetTable &table);

/// True where the target has few enough requests for a hedge to be faster than the first send: under four for each slot.
bool hasRoomForHedge(const TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// True where the target is ejected now.
bool isEjected(const TargetState &target, Core::TimePoint now);

} // namespace Briarbend::Routing
