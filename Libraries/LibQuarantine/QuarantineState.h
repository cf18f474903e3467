#pragma once

#include <LibCore/Time.h>
#include <LibQuarantine/Reports.h>

#include <map>
#include <set>
#include <vector>

namespace Briarbend::Quarantine
{

struct Settings {
    /// Time for which a request that crashed two targets is refused. It doubles with each further target.
    std::chrono::milliseconds duration{std::chrono::minutes{5}};
    /// Time for which evidence is kept.
    std::chrono::milliseconds retention{std::chrono::hours{1}};
    /// Time after which a lost connection no longer counts, if no instance found the target to be gone.
    std::chrono::milliseconds provisionalLifetime{std::chrono::seconds{10}};
    /// Evidence counts only where fewer than `unexplainedLossLimit` targets crashed without the request within this time before and after.
    std::chrono::milliseconds correlationWindow{std::chrono::seconds{30}};
    std::uint32_t unexplainedLossLimit{2};
    /// A correlated failure is ongoing while the last `correlatedFailureStarts` targets crashed within `correlatedFailureSpan` and the last
    /// one less than `correlatedFailureQuietTime` ago.
    std::size_t correlatedFailureStarts{3};
    std::chrono::milliseconds correlatedFailureSpan{std::chrono::seconds{2}};
    std::chrono::milliseconds correlatedFailureQuietTime{1200};
    /// Time from the newest evidence to the first trial of a request that has not completed before.
    std::chrono::milliseconds trialDelay{100};
    /// Time from the latest evidence to a quarantine, in which reports of a correlated failure may arrive. The request waits meanwhile.
    std::chrono::milliseconds settlingTime{250};
    /// Time after which an announced trial expires.
    std::chrono::milliseconds trialLifetime{std::chrono::seconds{10}};
    /// Retry delay for the caller of a request that is on trial at another instance.
    std::chrono::milliseconds trialRetryAfter{std::chrono::seconds{1}};
    /// Minimum time for which a completed request counts in the request's favour. The maximum is twice this.
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
    /// Trials that any instance announced and that have not ended. The one with the smallest holder goes ahead.
    std::vector<Trial> trials;
};

/// Requests that recently completed without a crash. Two generations make expiry cheap.
struct CompletedRequests {
    std::set<Fingerprint> current;
    std::set<Fingerprint> previous;
    Core::TimePoint rotatedAt;
};

/// State of one instance. Merging the reports of all instances in any order, any number of times, yields the same suspicions.
struct QuarantineState {
    Settings settings;
    std::map<Fingerprint, Suspicion> suspicions;
    std::map<Core::TargetStartId, Core::TimePoint> lostStarts;
    CompletedRequests completedRequests;
};

/// Summary of all evidence about one request.
struct Assessment {
    /// Confirmed pieces of evidence that no correlated failure explains.
    std::size_t confirmed{0};
    /// Confirmed pieces of evidence that a correlated failure explains.
    std::size_t correlated{0};
    /// Lost connections whose targets are still being checked.
    std::size_t provisional{0};
    /// Time of the latest confirmed evidence.
    Core::TimePoint latest;
    /// Time of the latest evidence of any kind.
    Core::TimePoint newest;

    std::size_t total() const;
};

/// Weighs the evidence about one request.
///
/// Evidence from sends before any suspicion counts once for a request that had completed before, however many targets crashed: such a
/// request is popular and is on every target when several fail together. Evidence from trials always counts.
///
/// Evidence counts as correlated where at least Settings::unexplainedLossLimit targets crashed at about the same time without the request.
/// Two crashes that one other request explains are left out, because two poison requests must not hide each other. The trial of a request
/// that has not completed before waits until a correlated failure is over. Its evidence then counts in any case, together with the evidence
/// from before.
Assessment assess(const QuarantineState &state, const Suspicion &suspicion, Core::TimePoint now);

/// Time until which a request with this assessment is refused. It lies in the past where the request is not refused.
Core::TimePoint refusedUntil(const Assessment &assessment, const Settings &settings);

/// True where the request had completed before the evidence against it.
bool hadCompletedBefore(const Suspicion &suspicion);

/// True while several targets crash within a short time.
bool isCorrelatedFailureOngoing(const QuarantineState &state, Core::TimePoint now);

/// True where the evidence, including provisional evidence, is enough for a quarantine.
bool isAtThreshold(const Assessment &assessment);

} // namespace Briarbend::Quarantine
