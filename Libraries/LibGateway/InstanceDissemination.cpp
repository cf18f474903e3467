#include <LibGateway/Instance.h>

#include <LibGateway/TargetReports.h>

#include <algorithm>
#include <iterator>

/// Dissemination of store changes and target states between an instance and its peers.
namespace Briarbend::Gateway
{

namespace
{

std::vector<Fleet::TargetOutcomes> takeEvidence(GatewayState &state)
{
    std::vector<Fleet::TargetOutcomes> evidence;
    if (Fleet::mayBeCutOff(state.connectivity)) {
        // Kept until a target is heard, dropped if this instance turns out to be cut off.
        return evidence;
    }
    for (const auto &[name, service] : state.services) {
        std::ranges::move(Fleet::takeOutcomes(*service), std::back_inserter(evidence));
    }
    return evidence;
}

bool isListedInUse(const Fleet::Directory &directory, const Fleet::TargetStart &target)
{
    const auto found = directory.entries.find(target.name);
    return found != directory.entries.end() && !found->second.record.isLeaving;
}

} // namespace

void Instance::makeStoreDissemination()
{
    this->news = std::make_unique<ChangeDisseminator>(
        this->timers,
        *this->peers,
        this->state.random,
        ChangeDisseminator::Callbacks{
            .onChanges =
                [this](ObjectKind kind, Revision previous, const Changes &changes, const std::string &peer) {
                    this->followerOf(kind).applyPeerChanges(previous, changes, peer);
                },
            .onSyncedRevision =
                [this](ObjectKind kind, Revision position) {
                    this->followerOf(kind).advanceTo(position);
                },
            .onStoreAvailability =
                [this](bool isResponsive) {
                    this->recordReportedAvailability(isResponsive);
                },
            .syncedRevision =
                [this](ObjectKind kind) {
                    return this->followerOf(kind).syncedRevision();
                },
            .missingKinds =
                [this] {
                    return this->kindsNeedingSnapshot();
                },
            .snapshot =
                [this](ObjectKind kind) {
                    return this->snapshotOf(kind);
                },
            .onSnapshot =
                [this](const Snapshot &snapshot, const std::string &peer) {
                    this->applySnapshot(snapshot, peer);
                },
            .kindsAheadOfStore =
                [this] {
                    return this->kindsAheadOfStore();
                },
        });
}

void Instance::makeTargetDissemination()
{
    this->targetNews = std::make_unique<TargetDisseminator>(
        this->timers,
        *this->peers,
        this->state.random,
        TargetDisseminator::Callbacks{
            .takeOutcomes =
                [this] {
                    return takeEvidence(this->state);
                },
            .onSuspect =
                [this](const Fleet::Suspect &suspect) {
                    for (const auto &[name, service] : this->state.services) {
                        Fleet::applySuspect(*service, suspect, this->timers.now());
                    }
                },
            .onLeavingTarget =
                [this](const Fleet::TargetStart &target) {
                    return markLeaving(this->state, target.name, target.startedAtMilliseconds);
                },
            .onRate =
                [this](const TargetRate &rate) {
                    applyPeerRate(this->state, rate.target.name, rate.target.startedAtMilliseconds, rate.requestsPerSecond);
                },
            .leavingTargets =
                [this] {
                    return Fleet::leavingTargets(this->state.directory);
                },
            .isListedInUse =
                [this](const Fleet::TargetStart &target) {
                    return isListedInUse(this->state.directory, target);
                },
            .aggregators =
                [this] {
                    return this->news->watcherPeers();
                },
            .digestRecipients =
                [this] {
                    return this->news->dataCentrePeers();
                },
            .isAggregator =
                [this] {
                    return this->news->isWatcher() && this->news->isActiveWatcher();
                },
        });
    this->state.onTargetLeaving = [this](const std::string &target, std::int64_t startedAtMilliseconds) {
        this->targetNews->reportLeaving({target, startedAtMilliseconds});
    };
    this->state.onTargetRate
        = [this](const std::string &target, std::int64_t startedAtMilliseconds, std::optional<double> requestsPerSecond) {
              this->targetNews->reportRate({{target, startedAtMilliseconds}, requestsPerSecond});
          };
}

} // namespace Briarbend::Gateway
