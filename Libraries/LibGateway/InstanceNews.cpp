#include <LibGateway/Instance.h>

#include <LibGateway/TargetReports.h>

#include <algorithm>
#include <iterator>

/// What an instance and its peers tell each other.
namespace Briarbend::Gateway
{

namespace
{

std::vector<Fleet::TargetOutcomes> takeEvidence(GatewayState &state)
{
    std::vector<Fleet::TargetOutcomes> evidence;
    for (const auto &[name, book] : state.services) {
        std::ranges::move(Fleet::takeOutcomes(*book), std::back_inserter(evidence));
    }
    return evidence;
}

bool isListedInUse(const Fleet::Directory &directory, const Fleet::TargetStart &target)
{
    const auto found = directory.entries.find(target.name);
    return found != directory.entries.end() && !found->second.record.isLeaving;
}

} // namespace

void Instance::makeNews()
{
    this->news = std::make_unique<ChangeDisseminator>(this->timers,
                                                      *this->peers,
                                                      this->state.random,
                                                      ChangeDisseminator::Callbacks{
                                                          .onChanges =
                                                              [this](ObjectKind kind, Revision previous, const Changes &changes) {
                                                                  this->followerOf(kind).applyPeerChanges(previous, changes);
                                                              },
                                                          .onSyncedRevision =
                                                              [this](ObjectKind kind, Revision position) {
                                                                  this->followerOf(kind).advanceTo(position);
                                                              },
                                                          .onStoreAvailability =
                                                              [this](bool answers) {
                                                                  (answers ? Fleet::recordStoreAnswer : Fleet::recordStoreFailure)(
                                                                      this->state.directory, this->timers.now());
                                                              },
                                                          .syncedRevision =
                                                              [this](ObjectKind kind) {
                                                                  return this->followerOf(kind).syncedRevision();
                                                              },
                                                          .missingKinds =
                                                              [this] {
                                                                  return this->lackingKinds();
                                                              },
                                                          .snapshot =
                                                              [this](ObjectKind kind) {
                                                                  return this->snapshotOf(kind);
                                                              },
                                                          .onSnapshot =
                                                              [this](ObjectKind kind, const Listing &listing) {
                                                                  this->takeSnapshot(kind, listing);
                                                              },
                                                      });
}

void Instance::makeTargetNews()
{
    this->targetNews
        = std::make_unique<TargetDisseminator>(this->timers,
                                               *this->peers,
                                               this->state.random,
                                               TargetDisseminator::Callbacks{
                                                   .takeOutcomes =
                                                       [this] {
                                                           return takeEvidence(this->state);
                                                       },
                                                   .onSuspect =
                                                       [this](const Fleet::Suspect &suspect) {
                                                           for (const auto &[name, book] : this->state.services) {
                                                               Fleet::applySuspect(*book, suspect, this->timers.now());
                                                           }
                                                       },
                                                   .onLeavingTarget =
                                                       [this](const Fleet::TargetStart &target) {
                                                           return takeLeaving(this->state, target.name, target.startedAtMilliseconds);
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
                                                           return this->news->isActiveWatcher();
                                                       },
                                               });
    this->state.onLeaving = [this](const std::string &target, std::int64_t startedAtMilliseconds) {
        this->targetNews->reportLeaving({target, startedAtMilliseconds});
    };
}

} // namespace Briarbend::Gateway
