#pragma once

#include <LibCore/Time.h>
#include <LibQuarantine/Reports.h>

#include <map>
#include <set>
#include <vector>

namespace Briarbend::Quarantine
{

struct Settings {
    /// Time for which a request that broke two targets is refused; doubles with each further one.
    std::chrono::milliseconds duration{std::chrono::minutes{5}};
    /// Time for which evidence is remembered.
    std::chrono::milliseconds retention{std::chrono::hours{1}};
    /// Time after which a connection's death counts no more, if nobody found the target to be gone.
    std::chrono::milliseconds provisionalLifetime{std::chrono::seconds{10}};
    /// Evidence counts only where fewer than `unexplainedLossLimit` targets broke without the request, within this time before and after.
    std::chrono::milliseconds correlationWindow{std::chrono::seconds{30}};
    std::uint32_t unexplainedLossLimit{2};
    /// A wider failure goes on while the last `correlatedFailureStarts` targets broke within `correlatedFailureSpan` and the last one less
    /// than `correlatedFailureQuietTime` ago.
    std::size_t correlatedFailureStarts{3};
    std::chrono::milliseconds correlatedFailureSpan{std::chrono::seconds{2}};
    std::chrono::milliseconds correlatedFailureQuietTime{1200};
    /// Time from the newest evidence to the first trial of a request that has not run without harm before.
    std::chrono::milliseconds trialDelay{100};
    /// Time from the latest evidence to a quarantine, in which news of a wider failure may come in. The request waits meanwhile.
    std::chrono::milliseconds settlingTime{250};
    /// Time after which an announced trial is forgotten.
    std::chrono::milliseconds trialLifetime{std::chrono::seconds{10}};
    /// When a caller should come back whose request is on trial elsewhere.
    std::chrono::milliseconds trialRetryAfter{std::chrono::seconds{1}};
    /// Time for which a harmless run of a request speaks for it, at least; at most twice this.
    std::chrono::milliseconds completedRequestLifetime{std::chrono::minutes{5}};
    std::size_t completedRequestLimit{32768};
    std::size_t suspicionLimit{1024};
    std::size_t evidenceLimit{8};
    std::size_t lostStartLimit{1024};
};

struct Evidence {
    EvidenceState state{EvidenceState::Provisional};
    bool isTrial{false};
    bool hadCompletedBefore{false};
    Core::TimePoint seenAt;
};

struct Trial {
    Core::InstanceId holder;
    Core::TargetStartId target;
    Core::TimePoint announcedAt;
};

struct Suspicion {
    std::map<Core::TargetStartId, Evidence> evidence;
    /// Trials announced by any instance and not ended; one of them goes ahead, the one with the smallest holder.
    std::vector<Trial> trials;
};

/// Requests that lately ran without harm, in two generations so that forgetting costs nothing.
struct CompletedRequests {
    std::set<Fingerprint> current;
    std::set<Fingerprint> previous;
    Core::TimePoint rotatedAt;
};

/// State of one instance. Merging the reports of all instances in any order, any number of times, gives the same suspicions.
struct QuarantineState {
    Settings settings;
    std::map<Fingerprint, Suspicion> suspicions;
    std::map<Core::TargetStartId, Core::TimePoint> lostStarts;
    CompletedRequests completedRequests;
};

/// What all evidence about one request amounts to.
struct Assessment {
    /// Confirmed pieces of evidence that no wider failure explains.
    std::size_t confirmed{0};
    /// Confirmed pieces of evidence that come from a wider failure.
    std::size_t correlated{0};
    /// Deaths of connections whose targets are still being looked at.
    std::size_t provisional{0};
    /// Time of the latest confirmed evidence.
    Core::TimePoint latest;
    /// Time of the latest evidence of any kind.
    Core::TimePoint newest;

    std::size_t total() const;
};

/// Weighs the evidence about one request.
///
/// Evidence from sendings before any suspicion counts once for a request that had run without harm before, whatever number of
/// targets broke: such a request is popular and is on every target when several fail together. Evidence of trials always counts.
///
/// Evidence counts as correlated where at least Settings::unexplainedLossLimit targets broke at about the same time without the request,
/// not counting two that one other request explains: two poison requests must not cover for each other. The trial of a request that has not
/// run without harm before waits until a wider failure is over, and then counts in any case, together with what came before.
Assessment assess(const QuarantineState &state, const Suspicion &suspicion, Core::TimePoint now);

/// Time until which a request with this assessment is refused; in the past where it is not.
Core::TimePoint refusedUntil(const Assessment &assessment, const Settings &settings);

/// True where the request had run without harm before the evidence against it.
bool hadCompletedBefore(const Suspicion &suspicion);

/// True while targets keep breaking together.
bool isCorrelatedFailureOngoing(const QuarantineState &state, Core::TimePoint now);

/// True where the evidence suffices, with what is provisional counted in.
bool isAtThreshold(const Assessment &assessment);

} // namespace Briarbend::Quarantine
