#pragma once

#include <LibQuarantine/QuarantineState.h>

/// Keeps a request that breaks every target that runs it from breaking more than two of them.
namespace Briarbend::Quarantine
{

enum class Admission {
    /// The request is not under suspicion.
    Allow,
    /// One target may have broken by the request. Announce a trial, wait for the peers' acknowledgements, then ask confirmTrial.
    AnnounceTrial,
    /// The request is on trial, here or elsewhere: wait within the request's deadline and ask again, or refuse.
    WaitForTrial,
    /// Refuse with Rejection::Reason::Quarantined.
    Refuse,
};

struct AdmissionDecision {
    Admission admission{Admission::Allow};
    /// When to come back, where the request is refused.
    std::chrono::milliseconds retryAfter{};
};

/// Must be asked before each sending of a request to a target, repeats by this instance included.
AdmissionDecision admit(const QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint now);

/// True where a suspect request is on trial at this start of a target. Two of them on one target could not be told apart if it broke.
bool hasTrial(const QuarantineState &state, const Core::TargetStartId &target, Core::TimePoint now);

/// Notes this instance's trial on a target that has none, and gives the message for all live peers.
TrialAnnouncement announceTrial(QuarantineState &state,
                                const Fingerprint &fingerprint,
                                const Core::InstanceId &self,
                                const Core::TargetStartId &target,
                                Core::TimePoint now);

/// To be asked when every live peer acknowledged the announcement or its time to do so has passed. True where the request may be
/// sent to the announced target now. False where another instance has a trial of the request or on the target, or the request was
/// quarantined meanwhile: announce the end and ask admit again.
///
/// Two instances never both get true if each received the other's announcement before its own acknowledgement, which holds on an
/// ordered connection.
bool confirmTrial(const QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self, Core::TimePoint now);

/// Ends this instance's trial, after the request's outcome was noted, and gives the message for all live peers.
TrialAnnouncement endTrial(QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self);

/// Takes a peer's announcement. Acknowledge it to the peer afterwards, not before.
void onTrialAnnouncement(QuarantineState &state, const TrialAnnouncement &trial, Core::TimePoint now);

/// The connection to this start of a target died while the request was on it. The reports go to all live peers, and neither a repeat
/// nor an answer to the caller before they acknowledged or had the time to: the caller may send again at once through another
/// instance.
/// `isTrial` tells that the request was sent after confirmTrial.
Reports onConnectionLost(
    QuarantineState &state, const Fingerprint &fingerprint, const Core::TargetStartId &start, bool isTrial, Core::TimePoint now);

/// The start of a target was found to be gone: it refuses connections, or answers as another start.
Reports onStartLost(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now);

/// The start of a target was found to live after connections to it had died.
Reports onStartAlive(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now);

/// The target answered a request that was sent at the given time. What breaks every target would have broken this one, so that
/// evidence from before the sending is cleared. Call for every answered request.
Reports onCompleted(QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint sentAt, Core::TimePoint now);

/// Takes the reports of a peer, also late and repeated.
void merge(QuarantineState &state, const Reports &reports, Core::TimePoint now);

/// The newest reports for gossip, at most `limit` of each kind.
Reports recentReports(const QuarantineState &state, std::size_t limit, Core::TimePoint now);

/// Forgets what has expired. Call about once a second.
void expire(QuarantineState &state, Core::TimePoint now);

} // namespace Briarbend::Quarantine
