#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Random.h>
#include <LibRollout/ChangeDetection.h>
#include <LibRollout/Evidence.h>
#include <LibRollout/LatencyBaseline.h>
#include <LibRollout/Status.h>

#include <map>
#include <optional>
#include <vector>

/// Moves the traffic of one service from one version to another by a stated time, and back at once if the new one is worse.
namespace Briarbend::Rollout
{

struct Settings {
    /// Span of time in which both versions are compared.
    std::chrono::milliseconds intervalLength{250};
    /// Blocks that are kept and spread.
    IntervalIndex retainedIntervals{12};
    /// Part of the time between start and finish that is spent at the trial share.
    double trialFraction{0.8};
    /// Part of that time after which the share grows even where the evidence is thin, so that the move ends by its time.
    double forcedRampFraction{0.9};
    /// Part of that time after which the new version gets everything.
    double doneFraction{0.99};
    /// Shares of the new version while it grows. The last one leaves some traffic with the old version to compare with.
    std::vector<double> steps{0.1, 0.25, 0.5, 0.98};
    /// ResponseMix of the new version that prove a segment.
    std::uint64_t minimumSuccesses{100};
    /// Part of the old version's share of responses in time that a proven version has at least. A bad version fails or is slow for a third
    /// of its requests or more; a good one with a few tens of responses stays above by chance.
    double minimumFastShareRatio{0.7};
    /// Part of the old version's responses above which a segment must be proven before the share grows.
    double relevantTrafficFraction{0.02};
    /// Targets of each version that are sampled, and that the trial share goes to.
    std::size_t sampledTargets{3};
    std::size_t evaluatorCount{2};
    /// Time after which other targets are sampled.
    std::chrono::milliseconds sampleLifetime{std::chrono::seconds{24}};
    /// Within each period, each sampled target in turn gets the whole trial traffic for one burst, so that faults which show only
    /// under load show while the share is small.
    std::chrono::milliseconds burstPeriod{3000};
    std::chrono::milliseconds burstLength{300};
    /// Share outside of bursts, against the trial share. The bursts make up for it, so that the mean is the trial share.
    double betweenBurstsShareFactor{0.75};
    /// Factor on the trial share for routes under suspicion, so that the suspicion is settled soon; the share stays below
    /// `largestSuspectShare`.
    double suspectShareFactor{4};
    double largestSuspectShare{0.1};
    /// Time for which a route stays under suspicion.
    std::chrono::milliseconds suspicionLifetime{1000};
    /// Factor on the share between bursts while suspicions have used up more than the trial share.
    double overspentShareFactor{0.5};
    /// Shortest time between two urgent messages of evidence.
    std::chrono::milliseconds minimumUrgentInterval{50};
    DetectionSettings detection;
};

/// One answer, or its absence, as seen by the instance that sent the request.
struct Observation {
    TrafficSegment segment;
    VersionRole role{VersionRole::Old};
    Core::TargetId target;
    /// No answer in time, a broken answer, a lost connection, or a server error. Lost connections of one start count once.
    bool isFailure{false};
    std::chrono::microseconds latency{};
    /// The target was cold when the request was sent: its latency says nothing about the version.
    bool isCold{false};
    /// Latency above which the answer counts as slow. Where it is not stated, twice the median of this instance's responses of the old
    /// version, which takes tens of responses a second to be known.
    std::optional<std::chrono::microseconds> slowThreshold{};
};

/// State of one move at one instance.
struct RolloutState {
    RolloutState(Configuration::Rollout configuredRollout, Core::InstanceId instance, Settings rolloutSettings);

    Configuration::Rollout rollout;
    Core::InstanceId self;
    Settings settings;
    Status status;
    MemberEvidence ownEvidence;
    std::map<Core::InstanceId, MemberEvidence> peerEvidence;
    std::map<std::string, LatencyBaseline> latencyBaselines;
    std::vector<Core::TargetId> sampledOld;
    std::vector<Core::TargetId> sampledNew;
    /// ResponseMix of all instances, for each segment, as of the last decision.
    std::map<TrafficSegment, ResponseCounts> responses;
    /// End of the suspicion for routes on which the new version may be worse; the empty route stands for all.
    std::map<std::string, Core::WallTime> suspectRoutes;
    /// End of the latest suspicion of failures.
    Core::WallTime failuresSuspectUntil;
    /// Requests seen here since the move began, and those of them that went to the new version.
    std::uint64_t requests{0};
    std::uint64_t requestsToNew{0};
    /// True where the new version failed since the evidence was last sent urgently.
    bool hasUnreportedFailure{false};
    Core::WallTime nextUrgentAt;
};

/// Tells which targets run which version. Call when they change and about once a second.
void setTargets(RolloutState &state,
                const std::vector<Core::TargetId> &oldTargets,
                const std::vector<Core::TargetId> &newTargets,
                Core::WallTime now);

/// Share of the requests of a segment that goes to the new version now, in [0, 1]. The segment's level is that of the service as a whole.
double newVersionShare(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now);

/// The version for one request. A request whose version has no usable target goes to the other one, but never to the new version
/// where the share is zero.
VersionRole chooseVersion(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now, Core::Random &random);

/// Targets of the new version that may be chosen now; nothing where all may. A suspicion of failures is settled on all of them, since
/// the sampled ones may be cold and bear little. Cold targets' limits apply besides.
std::optional<std::vector<Core::TargetId>> allowedTargets(const RolloutState &state, Core::WallTime now);

/// Counts one observation.
void observe(RolloutState &state, const Observation &observation, Core::WallTime now);

/// True where the evidence should go to the judges at once and not only by gossip: the new version failed here, or is under
/// suspicion. Ask after each observation of a failure and with each decision; a true answer counts as sent.
bool isEvidenceUrgent(RolloutState &state, Core::WallTime now);

/// The instances that get urgent evidence, a few by rendezvous hash. They call advanceRollout on its arrival. They only save time: every
/// instance judges what it knows.
std::vector<Core::InstanceId> evaluators(const RolloutState &state, const std::vector<Core::InstanceId> &members);

/// Moves on by time and evidence. Call every 100 ms or so, and after each failure of the new version. A changed status is returned:
/// push it to the peers, then write it to the store with merge on conflict.
std::optional<Status> advanceRollout(RolloutState &state, Core::WallTime now);

/// All responses of both versions, by the evidence of the last decision.
ResponseCounts totalResponses(const RolloutState &state);

/// True where the old version had traffic and the new one has not shown, by the evidence of the last decision, that it responses about as
/// well. Only an instance that has the evidence of the others can tell.
bool isUnproven(const RolloutState &state);

/// Takes the version back for a fault that was found outside of the comparison. The status to spread, nothing where the move has ended.
std::optional<Status> rollBack(RolloutState &state, Fault fault, Core::WallTime now);

/// This instance's evidence for gossip, with a new revision.
const MemberEvidence &nextEvidence(RolloutState &state);

/// Takes a peer's evidence; an older revision than the known one changes nothing.
void mergeEvidence(RolloutState &state, const Core::InstanceId &member, const MemberEvidence &evidence);

/// Takes a status from a peer or the store. Returns true where this instance's changed by it.
bool mergeStatus(RolloutState &state, const Status &status);

} // namespace Briarbend::Rollout
