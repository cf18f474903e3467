#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibLimits/TargetWarmth.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Limits the requests in flight that all instances together send to a cold target to the `coldRequests` of its service.
///
/// The senders of a cold target are the first `coldRequests` members by rendezvous hash, with one request in flight each. The limit
/// holds as long as:
/// 1. `MembershipView::expected` is the same at all instances and at least the number of running instances, so that any two majorities
///    share an instance, and at least one informed instance remains throughout all replacements;
/// 2. a contact is a completed exchange, after which each side knows the members and the warmth updates of the other; it is dropped
///    when the connection closes, so that an instance that has ended is never counted together with its replacement;
/// 3. a member stays listed for at least twice `contactTimeout` after the last exchange that any instance had with it;
/// 4. a request to a cold target ends within `maximumRequestDuration`: by its answer, its closed connection, or the deadline sent with it;
/// 5. an instance that counts a target as warm holds a connection open to it, and calls recordConnectionLost when it closes, before any
///    further verdict unless the process has been stopped for longer than `maximumUnnoticedPause`;
/// 6. clocks run at the same rate.
/// A target that turns cold without ending its process is recognised as cold by its next report, by a peer's update or by slow answers;
/// the limit does not cover requests sent before that.
namespace Briarbend::Limits
{

struct ColdGateParameters {
    /// A peer counts towards the majority for this long after a completed exchange. It must be long enough for exchanges with more than
    /// half of the fleet in normal operation, preferably in a shuffled round robin over the peers; otherwise the majority is lost
    /// repeatedly.
    std::chrono::milliseconds contactTimeout{2000};
    /// Longest time for which a request occupies a cold target.
    std::chrono::milliseconds maximumRequestDuration{2000};
    /// A longer interval between two calls of updateMembership counts as a freeze of the process.
    std::chrono::milliseconds maximumUnnoticedPause{500};
    /// Number of consecutive slow answers with few requests in flight after which a target is suspected to be cold.
    std::uint32_t slowAnswersToSuspect{3};
    /// An answer is slow if it takes longer than this multiple of the target's smoothed latency.
    double slowFactor{8};
    /// Largest share of the targets that may count as cold because of slowness alone.
    double maximumSuspectedShare{0.3};
};

/// Time for which an instance must have been a sender before it sends: two contact timeouts until every other sender knows of this
/// instance, plus the longest duration of another sender's last request, plus one unnoticed pause of each of the two.
Core::Duration settlingTime(const ColdGateParameters &parameters);

/// The last completed exchange with a peer.
struct PeerContact {
    Core::InstanceId peer;
    Core::TimePoint lastExchange;
    /// `ColdGate::isInformed` as the peer reported it.
    bool isInformed{false};
};

/// The instances, as this instance sees them.
struct MembershipView {
    Core::InstanceId self;
    /// Running instances, this one included.
    std::vector<Core::InstanceId> members;
    /// Number of instances of which a majority is required, this one included.
    std::size_t expected{1};
    /// Peers with an open connection, without this instance.
    std::vector<PeerContact> contacts;
};

/// Whether this instance may send a request to a target.
enum class SendPermission {
    /// Warm: this gate sets no limit.
    Warm,
    /// Cold, and this instance may send one request now.
    TrialAllowed,
    /// Cold or unknown, and this instance may not send.
    Refuse,
};

/// What one instance knows about the warmth of all targets and about the fleet.
struct ColdGate {
    ColdGateParameters parameters;
    std::unordered_map<Core::TargetId, TargetWarmth> targets;
    MembershipView view;
    /// Since when this instance has been in contact with a majority without interruption.
    std::optional<Core::TimePoint> majoritySince;
    std::optional<Core::TimePoint> lastUpdate;
    /// Time of the last change of the members.
    Core::TimePoint membersUnchangedSince;
    /// Time of the last change of the set of peers in contact.
    Core::TimePoint contactsUnchangedSince;
    /// This instance has the fleet's knowledge of the targets: received from an informed peer, or because every instance is new.
    bool isInformed{false};
    /// Number of changes to published warmth updates.
    std::uint64_t revision{0};
    /// The first target list that is not empty has been applied; targets that are added later are new.
    bool hasInitialTargets{false};
};

/// Warm-up limits of one target, as its service configures them.
struct WarmupLimits {
    Core::TargetId target;
    std::uint32_t coldRequests{1};
    std::uint32_t warmAfterRequests{50};
};

/// Sets the list of all targets that this instance may send to, now or once their service is configured. Targets of the first list that is
/// not empty start as unknown, targets added later as cold. Call it after the first updateMembership.
void updateTargetList(ColdGate &gate, const std::vector<WarmupLimits> &targets);

/// Sets the membership and contacts. Call it several times within each `maximumUnnoticedPause`, also if nothing has changed.
void updateMembership(ColdGate &gate, MembershipView view, Core::TimePoint now);

/// Whether a request may go to the target now.
SendPermission sendPermission(const ColdGate &gate, const Core::TargetId &target, Core::TimePoint now);

/// Records a request that is about to be written, whatever sendPermission returned.
void recordRequestSent(ColdGate &gate, const Core::TargetId &target);

/// Records that a request that was recorded with recordRequestSent no longer occupies the target.
void recordRequestFinished(ColdGate &gate, const Core::TargetId &target);

/// Records a successful answer. Enough of them make a cold target warm; slow answers with few requests in flight make a warm one cold.
void recordSuccessfulAnswer(ColdGate &gate, const Core::TargetId &target, std::chrono::microseconds elapsed, bool hadFewInFlight);

/// Records a load report from an answer or a probe: the target's start, and whether the target reports itself as cold.
void recordReport(ColdGate &gate, const Core::TargetId &target, const std::optional<Core::TargetStartId> &start, bool isCold);

/// Records that the target refused, broke or closed a connection, including an idle one: it may have restarted. The target does not count
/// as warm until a report shows the same start.
void recordConnectionLost(ColdGate &gate, const Core::TargetId &target);

/// Merges a warmth update from a peer.
void applyWarmthUpdate(ColdGate &gate, const WarmthUpdate &update);

/// The updates that changed after a revision, and the revision up to which they are complete.
struct WarmthDelta {
    std::vector<WarmthUpdate> updates;
    std::uint64_t revision{0};
};

/// The updates to send to a peer that has received everything up to the given revision, which is zero for a new connection. At most one
/// update per target.
WarmthDelta warmthDeltaSince(const ColdGate &gate, std::uint64_t revision);

} // namespace Briarbend::Limits
