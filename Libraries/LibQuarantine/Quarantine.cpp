#include <LibQuarantine/Quarantine.h>

#include <algorithm>
#include <tuple>

namespace Briarbend::Quarantine
{

namespace
{

std::chrono::milliseconds ageAt(Core::TimePoint seenAt, Core::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - seenAt);
}

bool isUnexpired(const Trial &trial, const Settings &settings, Core::TimePoint now)
{
    return now - trial.announcedAt <= settings.trialLifetime;
}

bool isCleared(const Suspicion &suspicion)
{
    return std::ranges::all_of(suspicion.evidence, [](const auto &entry) {
        return entry.second.state == EvidenceState::Cleared;
    });
}

/// Evicts one suspicion where the limit is reached: a cleared one, or else the one with the least evidence.
void evictWeakestSuspicion(QuarantineState &state)
{
    if (state.suspicions.size() < state.settings.suspicionLimit) {
        return;
    }
    const auto least = std::ranges::min_element(state.suspicions, {}, [](const auto &entry) {
        return isCleared(entry.second) ? 0 : entry.second.evidence.size();
    });
    state.suspicions.erase(least);
}

Suspicion &suspicionOf(QuarantineState &state, const Fingerprint &fingerprint)
{
    if (!state.suspicions.contains(fingerprint)) {
        evictWeakestSuspicion(state);
    }
    return state.suspicions[fingerprint];
}

/// Adds evidence, or merges it into known evidence, which keeps the time of the first report. Returns true where the evidence is new or its
/// state advanced.
bool addEvidence(QuarantineState &state, const Fingerprint &fingerprint, const Core::TargetStartId &start, const Evidence &added)
{
    auto &evidence = suspicionOf(state, fingerprint).evidence;
    const auto found = evidence.find(start);
    if (found != evidence.end()) {
        auto &known = found->second;
        const auto isChanged = added.state > known.state;
        known.state = std::max(known.state, added.state);
        known.isTrial = known.isTrial || added.isTrial;
        known.hadCompletedBefore = known.hadCompletedBefore || added.hadCompletedBefore;
        return isChanged;
    }
    if (evidence.size() >= state.settings.evidenceLimit) {
        return false;
    }
    evidence.emplace(start, added);
    return true;
}

EvidenceReport reportOf(const Fingerprint &fingerprint, const Core::TargetStartId &start, const Evidence &evidence, Core::TimePoint now)
{
    return {.fingerprint = fingerprint,
            .start = start,
            .state = evidence.state,
            .isTrial = evidence.isTrial,
            .hadCompletedBefore = evidence.hadCompletedBefore,
            .age = ageAt(evidence.seenAt, now)};
}

void recordCompletion(QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint now)
{
    auto &completed = state.completedRequests;
    if (completed.current.size() >= state.settings.completedRequestLimit
        || now - completed.rotatedAt > state.settings.completedRequestLifetime) {
        completed.previous = std::move(completed.current);
        completed.current.clear();
        completed.rotatedAt = now;
    }
    completed.current.insert(fingerprint);
}

bool hasCompletedBefore(const QuarantineState &state, const Fingerprint &fingerprint)
{
    return state.completedRequests.current.contains(fingerprint) || state.completedRequests.previous.contains(fingerprint);
}

void recordLostStart(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint seenAt)
{
    if (state.lostStarts.size() < state.settings.lostStartLimit) {
        state.lostStarts.emplace(start, seenAt);
    }
}

/// Advances the state of all evidence about one start and returns reports of what changed.
Reports advanceEvidence(QuarantineState &state, const Core::TargetStartId &start, EvidenceState to, Core::TimePoint now)
{
    Reports reports;
    for (auto &[fingerprint, suspicion] : state.suspicions) {
        const auto found = suspicion.evidence.find(start);
        if (found != suspicion.evidence.end() && found->second.state < to) {
            found->second.state = to;
            reports.evidence.push_back(reportOf(fingerprint, start, found->second, now));
        }
    }
    return reports;
}

} // namespace

AdmissionDecision admit(const QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint now)
{
    const auto found = state.suspicions.find(fingerprint);
    if (found == state.suspicions.end()) {
        return {.admission = Admission::Allow};
    }
    const auto &suspicion = found->second;
    const auto assessment = assess(state, suspicion, now);
    if (assessment.total() == 0) {
        return {.admission = Admission::Allow};
    }
    if (const auto until = refusedUntil(assessment, state.settings); until > now) {
        if (now < assessment.latest + state.settings.settlingTime) {
            return {.admission = Admission::WaitForTrial, .retryAfter = state.settings.trialRetryAfter};
        }
        return {.admission = Admission::Refuse, .retryAfter = std::chrono::ceil<std::chrono::milliseconds>(until - now)};
    }
    // The newest evidence decides about the quarantine once it is known whether the target was lost with its connection. Wait for that.
    const auto mayBeQuarantinedSoon = assessment.provisional > 0 && isAtThreshold(assessment);
    const auto isOnTrial = std::ranges::any_of(suspicion.trials, [&](const Trial &trial) {
        return isUnexpired(trial, state.settings, now);
    });
    const auto isNew = now < assessment.newest + state.settings.trialDelay;
    const auto isTooEarly = !hadCompletedBefore(suspicion) && (isNew || isCorrelatedFailureOngoing(state, now));
    if (mayBeQuarantinedSoon || isOnTrial || isTooEarly) {
        return {.admission = Admission::WaitForTrial, .retryAfter = state.settings.trialRetryAfter};
    }
    return {.admission = Admission::AnnounceTrial, .retryAfter = state.settings.trialRetryAfter};
}

bool hasTrial(const QuarantineState &state, const Core::TargetStartId &target, Core::TimePoint now)
{
    return std::ranges::any_of(state.suspicions, [&](const auto &entry) {
        return std::ranges::any_of(entry.second.trials, [&](const Trial &trial) {
            return trial.target == target && isUnexpired(trial, state.settings, now);
        });
    });
}

TrialAnnouncement announceTrial(QuarantineState &state,
                                const Fingerprint &fingerprint,
                                const Core::InstanceId &self,
                                const Core::TargetStartId &target,
                                Core::TimePoint now)
{
    TrialAnnouncement announcement{.fingerprint = fingerprint, .holder = self, .target = target, .isEnded = false};
    onTrialAnnouncement(state, announcement, now);
    return announcement;
}

bool confirmTrial(const QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self, Core::TimePoint now)
{
    const auto found = state.suspicions.find(fingerprint);
    if (found == state.suspicions.end()) {
        return false;
    }
    const auto assessment = assess(state, found->second, now);
    if (refusedUntil(assessment, state.settings) > now || (assessment.provisional > 0 && isAtThreshold(assessment))) {
        return false;
    }
    const auto own = std::ranges::find(found->second.trials, self, &Trial::holder);
    if (own == found->second.trials.end() || !isUnexpired(*own, state.settings, now)) {
        return false;
    }
    return std::ranges::none_of(state.suspicions, [&](const auto &entry) {
        return std::ranges::any_of(entry.second.trials, [&](const Trial &trial) {
            const auto isRival = entry.first == fingerprint || trial.target == own->target;
            const auto hasPrecedence = std::tie(trial.holder, entry.first) < std::tie(self, fingerprint);
            return isRival && hasPrecedence && isUnexpired(trial, state.settings, now);
        });
    });
}

TrialAnnouncement endTrial(QuarantineState &state, const Fingerprint &fingerprint, const Core::InstanceId &self)
{
    TrialAnnouncement announcement{.fingerprint = fingerprint, .holder = self, .target = {}, .isEnded = true};
    onTrialAnnouncement(state, announcement, {});
    return announcement;
}

void onTrialAnnouncement(QuarantineState &state, const TrialAnnouncement &trial, Core::TimePoint now)
{
    if (trial.isEnded && !state.suspicions.contains(trial.fingerprint)) {
        return;
    }
    auto &trials = suspicionOf(state, trial.fingerprint).trials;
    std::erase_if(trials, [&trial](const Trial &other) {
        return other.holder == trial.holder;
    });
    if (!trial.isEnded) {
        trials.push_back({trial.holder, trial.target, now});
    }
}

Reports onConnectionLost(
    QuarantineState &state, const Fingerprint &fingerprint, const Core::TargetStartId &start, bool isTrial, Core::TimePoint now)
{
    const auto isKnownLost = state.lostStarts.contains(start);
    const Evidence evidence{.state = isKnownLost ? EvidenceState::Confirmed : EvidenceState::Provisional,
                            .isTrial = isTrial,
                            .hadCompletedBefore = hasCompletedBefore(state, fingerprint),
                            .seenAt = now};
    if (!addEvidence(state, fingerprint, start, evidence)) {
        return {};
    }
    return {.evidence = {reportOf(fingerprint, start, evidence, now)}, .lostStarts = {}};
}

Reports onStartLost(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now)
{
    const auto isNewlyLost = !state.lostStarts.contains(start);
    recordLostStart(state, start, now);
    auto reports = advanceEvidence(state, start, EvidenceState::Confirmed, now);
    if (isNewlyLost) {
        reports.lostStarts.push_back({start, std::chrono::milliseconds{0}});
    }
    return reports;
}

Reports onStartAlive(QuarantineState &state, const Core::TargetStartId &start, Core::TimePoint now)
{
    return advanceEvidence(state, start, EvidenceState::Cleared, now);
}

Reports onCompleted(QuarantineState &state, const Fingerprint &fingerprint, Core::TimePoint sentAt, Core::TimePoint now)
{
    recordCompletion(state, fingerprint, now);
    const auto found = state.suspicions.find(fingerprint);
    if (found == state.suspicions.end()) {
        return {};
    }
    Reports reports;
    for (auto &[start, evidence] : found->second.evidence) {
        if (evidence.seenAt <= sentAt && evidence.state != EvidenceState::Cleared) {
            evidence.state = EvidenceState::Cleared;
            reports.evidence.push_back(reportOf(fingerprint, start, evidence, now));
        }
    }
    return reports;
}

void merge(QuarantineState &state, const Reports &reports, Core::TimePoint now)
{
    for (const auto &report : reports.lostStarts) {
        recordLostStart(state, report.start, now - report.age);
        advanceEvidence(state, report.start, EvidenceState::Confirmed, now);
    }
    for (const auto &report : reports.evidence) {
        const auto isLost = state.lostStarts.contains(report.start) && report.state == EvidenceState::Provisional;
        addEvidence(state,
                    report.fingerprint,
                    report.start,
                    {.state = isLost ? EvidenceState::Confirmed : report.state,
                     .isTrial = report.isTrial,
                     .hadCompletedBefore = report.hadCompletedBefore,
                     .seenAt = now - report.age});
    }
}

Reports recentReports(const QuarantineState &state, std::size_t limit, Core::TimePoint now)
{
    Reports reports;
    for (const auto &[fingerprint, suspicion] : state.suspicions) {
        for (const auto &[start, evidence] : suspicion.evidence) {
            reports.evidence.push_back(reportOf(fingerprint, start, evidence, now));
        }
    }
    for (const auto &[start, seenAt] : state.lostStarts) {
        reports.lostStarts.push_back({start, ageAt(seenAt, now)});
    }
    const auto keepNewest = [limit](auto &list) {
        const auto kept = std::min(limit, list.size());
        std::ranges::partial_sort(list, list.begin() + static_cast<std::ptrdiff_t>(kept), {}, [](const auto &report) {
            return report.age;
        });
        list.resize(kept);
    };
    keepNewest(reports.evidence);
    keepNewest(reports.lostStarts);
    return reports;
}

void expire(QuarantineState &state, Core::TimePoint now)
{
    const auto &settings = state.settings;
    for (auto &[fingerprint, suspicion] : state.suspicions) {
        std::erase_if(suspicion.evidence, [&](const auto &entry) {
            const auto &evidence = entry.second;
            const auto isProvisional = evidence.state == EvidenceState::Provisional;
            return now - evidence.seenAt > (isProvisional ? settings.provisionalLifetime : settings.retention);
        });
        std::erase_if(suspicion.trials, [&](const Trial &trial) {
            return !isUnexpired(trial, settings, now);
        });
    }
    // Cleared suspicions are kept for a while, so that late reports of the same evidence do not raise the suspicion again.
    std::erase_if(state.suspicions, [&](const auto &entry) {
        const auto isFresh = std::ranges::any_of(entry.second.evidence, [&](const auto &evidence) {
            return now - evidence.second.seenAt <= settings.correlationWindow;
        });
        return entry.second.trials.empty() && isCleared(entry.second) && !isFresh;
    });
    std::erase_if(state.lostStarts, [&](const auto &entry) {
        return now - entry.second > settings.retention;
    });
}

} // namespace Briarbend::Quarantine
