#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Random.h>
#include <LibRollout/ChangeDetection.h>
#include <LibRollout/Evidence.h>
#include <LibRollout/LatencyBaseline.h>
#include <LibRollout/Status.h>
#include <LibRollout/Verdict.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

/// Shifts the traffic of one service from one version to another by a given time, and rolls back at once if the new version is worse.
namespace Briarbend::Rollout
{

/// How a trial uses what a bad version may receive.
struct ExposureSettings {
    /// What it may receive, as a fraction of the requests between start and finish of the rollout.
    double allowed{0};
    /// Parts of it for the trial until its regular end and beyond; the rest is for requests in flight and for traffic that varies.
    double trialPart{0.65};
    double extensionPart{0.15};
    /// Factor on the share while all targets of the new version are cold, when only failures can be told.
    double coldFactor{0.25};
    /// Bounds the share outside of bursts.
    double largestShare{0.5};
    /// Bounds the share within bursts. A service with little traffic needs all of it to load one target.
    double largestBurstShare{1.0};
    /// Bounds the part of the exposure that bursts take, and their part of the time.
    double burstPart{0.35};
    double largestBurstFraction{0.3};
};

struct Settings {
    /// Length of one interval in which both versions are compared.
    std::chrono::milliseconds intervalLength{250};
    /// Intervals that are kept and sent to peers.
    IntervalIndex retainedIntervals{12};
    /// Fraction of the time between start and finish that is spent at the trial share.
    double trialFraction{0.8};
    /// Fraction of that time after which the share grows even with little evidence, so that the rollout finishes in time.
    double forcedRampFraction{0.9};
    /// Fraction of that time after which the new version gets all traffic.
    double doneFraction{0.99};
    /// Shares of the new version while it ramps. The last one leaves some traffic with the old version for comparison.
    std::vector<double> steps{0.1, 0.25, 0.5, 0.98};
    /// Minimum successes of the new version for a segment to be proven.
    std::uint64_t minimumSuccesses{100};
    /// Fraction of the old version's successes above which a segment must be proven before the share grows.
    double relevantTrafficFraction{0.02};
    /// Targets of each version that are sampled. The trial share goes to the sampled targets of the new version.
    std::size_t sampledTargets{3};
    /// Time after which other targets are sampled.
    std::chrono::milliseconds sampleLifetime{std::chrono::seconds{24}};
    /// Within each period, each sampled target in turn gets all trial traffic for one burst, so that faults which show only under load show
    /// while the share is small.
    std::chrono::milliseconds burstPeriod{3000};
    std::chrono::milliseconds burstLength{300};
    /// Factor on the trial share outside of bursts. The bursts compensate, so that the mean is the trial share.
    double betweenBurstsShareFactor{0.75};
    /// Factor on the trial share for suspect routes, so that the suspicion is resolved soon. The share is limited to `largestSuspectShare`.
    double suspectShareFactor{4};
    double largestSuspectShare{0.1};
    /// Time for which a route stays under suspicion.
    std::chrono::milliseconds suspicionLifetime{1000};
    /// Factor on the share between bursts while the new version has received more than the trial share, because of suspicions.
    double overspentShareFactor{0.5};
    /// Minimum time between two urgent evidence messages.
    std::chrono::milliseconds minimumUrgentInterval{50};
    /// Minimum time between two evaluations, which take time in proportion to the number of instances whose evidence is known.
    std::chrono::milliseconds minimumEvaluationInterval{5};
    std::chrono::microseconds evaluationIntervalPerMember{500};
    DetectionSettings detection;
    /// The share grows only once an evaluator has found the new version proven, whatever time has passed. Both versions are compared until
    /// the rollout ends.
    bool requiresProof{false};
    VerdictSettings verdict;
    std::chrono::milliseconds verdictInterval{250};
    /// The same for an instance that judges by its own evidence.
    std::chrono::milliseconds ownVerdictInterval{1000};
    /// Age from which a request counts, answered or not. A slow version would otherwise show its fast answers first.
    std::chrono::milliseconds maturity{1000};
    /// Fraction of the time between start and finish after which a trial is not extended any more.
    double finalVerdictFraction{0.85};
    /// Set where the trial share follows from what may be exposed rather than from the configured share.
    std::optional<ExposureSettings> exposure;
};

/// Settings of a rollout that has to end by a binding deadline, after a proof. There are few targets and few requests per instance, so
/// evidence is kept for ten seconds.
Settings deadlineSettings();

/// One response, or its absence, as seen by the instance that sent the request.
struct Observation {
    TrafficSegment segment;
    VersionRole role{VersionRole::Old};
    Core::TargetId target;
    /// No response in time, a malformed response, a lost connection, or a server error. Lost connections of one target start count once.
    bool isFailure{false};
    std::chrono::microseconds latency{};
    /// The target was cold when the request was sent: its latency says nothing about the version.
    bool isCold{false};
    /// Few slots of the target were free when the request was sent, or no faster target could be chosen: that alone may lengthen its
    /// latency.
    bool isBusy{false};
    /// Another target answered first, or the caller's short time was up: the latency is only known to be longer.
    bool isCutShort{false};
    /// Latency above which the response counts as slow. Where it is not set, twice the median of this instance's responses of the old
    /// version is used, which takes tens of responses a second to be known.
    std::optional<std::chrono::microseconds> slowThreshold{};
};

/// A request that has not been answered yet.
struct PendingRequest {
    AnswerGroup group;
    Core::WallTime sentAt;
    bool isBusy{false};
};

/// The requests of this instance that wait for answers of warm targets, by a number that names one of them.
struct PendingRequests {
    std::map<std::uint64_t, PendingRequest> requests;
    std::uint64_t lastNumber{0};
};

/// An answer without failure to a request that does not count yet.
struct RecentAnswer {
    AnswerGroup group;
    Core::WallTime sentAt;
    LatencyBucket bucket{0};
};

/// Whose answers an instance knows when it judges a trial. A fault shows in the answers of a few instances as it does in all; that there is
/// none shows only in those of all.
enum class EvidenceScope {
    /// Its own alone.
    Own,
    /// Those of the instances that it reaches. Others may be alive.
    Reached,
    /// Those of all instances that are alive.
    All,
};

/// The name in logs.
constexpr const char *nameOf(EvidenceScope scope)
{
    switch (scope) {
    case EvidenceScope::Own:
        return "own";
    case EvidenceScope::Reached:
        return "reached";
    case EvidenceScope::All:
        return "all";
    }
    return "";
}

struct EvidenceCoverage {
    EvidenceScope scope{EvidenceScope::Own};
    /// Instances that judge by evidence of this scope, each of which may be wrong by chance.
    std::size_t judges{1};
};

/// State of one rollout at one instance.
struct RolloutState {
    RolloutState(Configuration::Rollout configuredRollout, Core::InstanceId instance, Settings rolloutSettings);

    Configuration::Rollout rollout;
    Core::InstanceId self;
    Settings settings;
    Status status;
    MemberEvidence ownEvidence;
    /// Shared with those who send the requests.
    std::shared_ptr<PendingRequests> pending{std::make_shared<PendingRequests>()};
    std::vector<RecentAnswer> recentAnswers;
    std::map<Core::InstanceId, MemberEvidence> peerEvidence;
    std::map<std::string, LatencyBaseline> latencyBaselines;
    std::vector<Core::TargetId> sampledOld;
    std::vector<Core::TargetId> sampledNew;
    /// Responses of all instances for each segment, as of the last call of advanceRollout.
    std::map<TrafficSegment, ResponseCounts> responses;
    /// End of the suspicion for each route on which the new version may be worse. The empty route stands for all routes together.
    std::map<std::string, Core::WallTime> suspectRoutes;
    /// End of the latest suspicion of failures.
    Core::WallTime failuresSuspectUntil;
    /// Requests sent by this instance since the rollout began, and those of them that went to the new version.
    std::uint64_t requests{0};
    std::uint64_t requestsToNew{0};
    /// True where the new version failed since the evidence was last sent urgently.
    bool hasUnreportedFailure{false};
    /// True where a response was observed since the evidence was last sent.
    bool hasUnreportedResponse{false};
    Core::WallTime nextUrgentAt;
    /// Earliest time of the next evaluation.
    Core::WallTime nextEvaluationAt;
    /// Earliest time of the next verdict.
    Core::WallTime nextVerdictAt;
    Verdict verdict;
    /// When this instance began to track the rollout: a restarted one does not know what was exposed before.
    std::optional<Core::WallTime> trackedSince;
    /// When the new version first had a warm target.
    std::optional<Core::WallTime> warmSince;
    /// Share of the service's requests that occupies most slots of one target.
    double loadingShare{0};
};

/// Samples the targets of both versions. Call when targets change and about once a second.
void setTargets(RolloutState &state,
                const std::vector<Core::TargetId> &oldTargets,
                const std::vector<Core::TargetId> &newTargets,
                Core::WallTime now);

/// Share of the segment's requests that goes to the new version now, in [0, 1]. The segment's load level is that of the whole service.
double newVersionShare(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now);

/// The version for one request. Where that version has no usable target, the request goes to the other one, but never to the new version
/// while its share is zero.
VersionRole chooseVersion(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now, Core::Random &random);

/// Targets of the new version that may be chosen now; empty where all may. A suspicion of failures is resolved on all targets, since the
/// sampled ones may be cold and able to take few requests. Limits for cold targets apply in addition.
std::optional<std::vector<Core::TargetId>> allowedTargets(const RolloutState &state, Core::WallTime now);

/// Share of a service's requests that occupies most slots of one target, if all of them occupy `running` slots.
double loadingShareOf(double slotsPerTarget, std::uint32_t running);

/// Counts one observation.
void observe(RolloutState &state, const Observation &observation, Core::WallTime now);

/// True where the evidence should be sent to the evaluators at once and not only by gossip: the new version failed here, or is under
/// suspicion and there is new evidence. Call after each observed failure and after each call of advanceRollout. A result of true counts as
/// sent.
bool isEvidenceUrgent(RolloutState &state, Core::WallTime now);

/// True where enough time has passed since the last call of advanceRollout. Messages of evidence become more frequent with the number of
/// instances, and evaluations take longer.
bool isEvaluationDue(const RolloutState &state, Core::WallTime now);

/// Advances the rollout by time and evidence. Call about every 100 ms, and after new evidence, if an evaluation is due. Returns the status
/// if its phase or step changed: push it to the peers, then write it to the store with merge on conflict.
std::optional<Status> advanceRollout(RolloutState &state, Core::WallTime now);

/// Sum of the responses of both versions over all segments, as of the last call of advanceRollout.
ResponseCounts totalResponses(const RolloutState &state);

/// Judges the new version by the answers that are known, if a verdict is due: rolls it back as soon as it is worse. With the answers of all
/// instances it also finds it proven from the end of the trial on, or rolls it back when the trial can't be extended any more. Without a
/// proof by the rollout's finish every instance rolls it back. Call regularly. Returns the status to push to all peers, if it changed.
std::optional<Status> judgeTrial(RolloutState &state, Core::WallTime now, const EvidenceCoverage &coverage);

/// Takes over from a peer's status of the same rollout that the version was rolled back or is proven. Its phase and step follow from the
/// time. Returns true where this instance's status changed.
bool adoptDecision(RolloutState &state, const Status &status);

/// Rolls back the new version because of a fault that was found outside of the comparison. Returns the status to push, or nothing where the
/// rollout has ended.
std::optional<Status> rollBack(RolloutState &state, Fault fault, Core::WallTime now);

/// This instance's evidence for gossip, with an incremented revision. Requests that have waited for long count as answered now.
MemberEvidence nextEvidence(RolloutState &state, Core::WallTime now);

/// Records a request, of which only its destination is known, until the result is destroyed. Empty where its answer does not count.
std::shared_ptr<void> trackPending(RolloutState &state, const Observation &request, Core::WallTime now);

/// Stores a peer's evidence. An older revision than the known one is ignored.
void mergeEvidence(RolloutState &state, const Core::InstanceId &member, const MemberEvidence &evidence);

/// Merges a status from a peer or the store. Returns true where this instance's status changed.
bool mergeStatus(RolloutState &state, const Status &status);

} // namespace Briarbend::Rollout
