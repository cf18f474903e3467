#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibLimits/TargetWarmth.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Keeps the requests that all instances together send to a cold target within what the target bears.
///
/// A cold target's senders are the first `coldRequests` members by rendezvous hash, with one request in flight each. The bound holds
/// as long as:
/// 1. `MembershipView::expected` is the same number at all instances and at least the number that run, so that any two majorities
///    share an instance, and one informed instance remains through all replacements;
/// 2. a contact is a completed exchange, after which each side knows the members and the warmth statements of the other; it is dropped
///    when the connection closes, so that an ended instance never counts beside its replacement;
/// 3. a member stays listed for at least twice `contactTimeout` after the last exchange that any instance had with it;
/// 4. a request to a cold target ends within `maximumRequestDuration`: by its answer, its closed connection, or the deadline sent with it;
/// 5. an instance that counts a target as warm holds a connection open to it, and calls recordConnectionLost when it closes, before any
///    further verdict unless the process has been stopped for longer than `maximumUnnoticedPause`;
/// 6. clocks run at the same rate.
/// A target that turns cold without ending its process is known as cold with its next report, statement or slow answers; requests sent
/// before that are not counted.
namespace Briarbend::Limits
{

struct ColdGateParameters {
    /// A peer counts as heard for this long after a completed exchange. Long enough for exchanges with more than half of the fleet in
    /// the normal course, best by taking the peers in a shuffled cycle; otherwise the majority is lost again and again.
    std::chrono::milliseconds contactTimeout{2000};
    /// Longest time that a request occupies a cold target.
    std::chrono::milliseconds maximumRequestDuration{2000};
    /// A longer time between two calls of updateMembership counts as a freeze of the process.
    std::chrono::milliseconds maximumUnnoticedPause{500};
    /// Answers in a row that are slow with few requests in flight, after which a target counts as cold.
    std::uint32_t slowAnswersToSuspect{3};
    /// A time above this multiple of the target's usual time is slow.
    double slowFactor{8};
    /// Largest share of the targets that slowness alone may make cold.
    double maximumSuspectedShare{0.3};
};

/// Time that an instance holds a sender's place before it uses it: two hearing windows until every other holder knows of this
/// instance, then the end of the other's last request, then the pauses of both that go unnoticed.
Core::Duration settlingTime(const ColdGateParameters &parameters);

/// The last completed exchange with a peer.
struct PeerContact {
    Core::InstanceId peer;
    Core::TimePoint lastExchange;
    /// What the peer said of itself: `ColdGate::isInformed`.
    bool isInformed{false};
};

/// The instances, in this instance's opinion.
struct MembershipView {
    Core::InstanceId self;
    /// Running instances, this one included.
    std::vector<Core::InstanceId> members;
    /// Number of instances over which a majority is counted, this one included.
    std::size_t expected{1};
    /// Peers with an open connection; this instance is not among them.
    std::vector<PeerContact> contacts;
};

enum class SendPermission {
    Warm,
    /// Cold, and this instance may send one request now.
    TrialAllowed,
    /// Cold or unknown, and this instance may not send.
    Refuse,
};

struct ColdGate {
    ColdGateParameters parameters;
    std::unordered_map<Core::TargetId, TargetWarmth> targets;
    MembershipView view;
    /// Since when a majority has been heard without a break.
    std::optional<Core::TimePoint> majoritySince;
    std::optional<Core::TimePoint> lastUpdate;
    /// Since when the members have been the same.
    Core::TimePoint membersUnchangedSince;
    /// Since when the peers in contact have been the same.
    Core::TimePoint contactsUnchangedSince;
    /// This instance knows what the fleet knows of targets: from an informed peer, or because every instance is new.
    bool isInformed{false};
    /// Counts the changes of what peers are told.
    std::uint64_t revision{0};
    /// The first instance list has been taken over; targets that come later are new.
    bool hasInitialTargets{false};
};

/// Limits of one target, from its service.
struct WarmupLimits {
    Core::TargetId target;
    std::uint32_t coldRequests{1};
    std::uint32_t warmAfterRequests{50};
};

/// Takes over the list of all targets that this instance may send to, now or once their service is configured. Targets of the first list
/// that is not empty are unknown, later ones cold. Call it after the first updateMembership.
void updateTargetList(ColdGate &gate, const std::vector<WarmupLimits> &targets);

/// Takes over the membership and contacts; call it several times within each `maximumUnnoticedPause`, also when nothing changed.
void updateMembership(ColdGate &gate, MembershipView view, Core::TimePoint now);

/// Whether a request may go to the target now.
SendPermission sendPermission(const ColdGate &gate, const Core::TargetId &target, Core::TimePoint now);

/// Notes a request that is about to be written, whatever the verdict was.
void recordRequestSent(ColdGate &gate, const Core::TargetId &target);

/// Notes that a request noted with recordRequestSent no longer occupies the target.
void recordRequestFinished(ColdGate &gate, const Core::TargetId &target);

/// Notes a successful answer. Enough of them make a cold target warm; slow ones with few requests in flight make it cold.
void recordSuccessfulAnswer(ColdGate &gate, const Core::TargetId &target, std::chrono::microseconds elapsed, bool hadFewInFlight);

/// Notes a load report, of an answer or a probe: its start and whether it says cold.
void recordReport(ColdGate &gate, const Core::TargetId &target, const std::optional<Core::TargetStartId> &start, bool isCold);

/// Notes that the target refused, broke or closed a connection, also an idle one: it may have restarted. Its warmth is lost until a report
/// shows the same start.
void recordConnectionLost(ColdGate &gate, const Core::TargetId &target);

/// Takes over what a peer states.
void applyWarmthUpdate(ColdGate &gate, const WarmthUpdate &update);

/// Statements that changed after a revision, and the revision up to which they reach.
struct WarmthDelta {
    std::vector<WarmthUpdate> updates;
    std::uint64_t revision{0};
};

/// What to tell a peer that has been told everything up to a revision; zero for a new connection. At most one statement for each target.
WarmthDelta warmthDeltaSince(const ColdGate &gate, std::uint64_t revision);

} // namespace Briarbend::Limits
