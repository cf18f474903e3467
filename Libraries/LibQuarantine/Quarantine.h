#pragma once

#include <LibQuarantine/QuarantineState.h>

/// Limits a poison request, which crashes every target that runs it, to crashing at most two of them.
namespace Briarbend::Quarantine
{

enum class Admission {
    /// The request is not under suspicion.
    Allow,
    /// One target may have crashed because of the request. Announce a trial, wait for the peers' acknowledgements, then call confirmTrial.
    AnnounceTrial,
    /// The request is on trial here or at another instance. Wait within the request's deadline and call admit again, or refuse.
    WaitForTrial,
    /// Refuse with Rejection::Reason::Quarantined.
    Refuse,
};

struct AdmissionDecision {
    Admission admission{Admission::Allow};
    /// Time after which the caller may retry a refused request.
    std::chrono::milliseconds retryAfter{};
};

/// Decides whether a request may be sent. Call it before each send of a request to a target, including this instance's own retries.
AdmissionDecision admit(const QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint now);

/// True where a suspect request is on trial at this start of a target. If the target crashed with two such requests on it, the cause could
/// not be determined.
bool hasTrial(const QuarantineState &state, const Core::TargetStartId &target, Core::TimePoint now);

/// Records this instance's trial on a target that has none, and returns the message for all live peers.
TrialAnnouncement announceTrial(QuarantineState &state,
                                const Fingerprint &fingerprint,
                                const Core::InstanceId &self,
                                const Core::TargetStartId &target,
                                Core::TimePoint now);

/// Call this once every live peer has acknowledged the announcement or the time for that has passed. Returns true where the request may now
/// be sent to the announced target. Returns false where another instance has a trial of the request or on the target, or where the request
/// was quarantined meanwhile: then call endTrial and call admit again.
///
/// Two instances never both get true if each received the other's announcement before its own acknowledgement, which holds on an ordered
/// connection.
bool confirmTrial(const QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self, Core::TimePoint now);

/// Ends this instance's trial after the request's outcome was recorded, and returns the message for all live peers.
TrialAnnouncement endTrial(QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self);

/// Applies a peer's announcement. Acknowledge it to the peer only afterwards.
void onTrialAnnouncement(QuarantineState &state, const TrialAnnouncement &trial, Core::TimePoint now);

/// Call this where the connection to this start of a target was lost with the request on it. The reports go to all live peers. Neither
/// retry the request nor answer the caller before the peers have acknowledged them or the time for that has passed, because the caller may
/// retry at once through another instance. `isTrial` tells that the request was sent after confirmTrial.
Reports onConnectionLost(
    QuarantineState &state, const Fingerprint &fingerprint, const Core::TargetStartId &start, bool isTrial, Core::TimePoint now);

/// Call this where the start of a target was found to be gone: it refuses connections, or responds as another start.
Reports onStartLost(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now);

/// Call this where the start of a target was found to be alive after connections to it were lost.
Reports onStartAlive(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now);

/// Call this for every request that a target answered, with the time at which it was sent. A poison request would have crashed this target,
/// so evidence from before the send is cleared.
Reports onCompleted(QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint sentAt, Core::TimePoint now);

/// Merges the reports of a peer. Late and repeated reports are allowed.
void merge(QuarantineState &state, const Reports &reports, Core::TimePoint now);

/// Returns the newest reports for gossip, at most `limit` of each kind.
Reports recentReports(const QuarantineState &state, std::size_t limit, Core::TimePoint now);

/// Removes expired state. Call about once a second.
void expire(QuarantineState &state, Core::TimePoint now);

} // namespace Briarbend::Quarantine
