#include <LibGateway/ChangeDisseminator.h>

#include <algorithm>
#include <map>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// Watchers of each data centre: one reads the store, which is priced by the call, and the other is on standby.
constexpr std::size_t WATCHERS_PER_DATA_CENTRE = 2;
constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL{500};
constexpr std::chrono::milliseconds MEMBERSHIP_CHECK_INTERVAL{200};
/// How often a peer is asked for missing objects. Snapshots have some ten kibibytes and arrive within a few round trips.
constexpr std::chrono::milliseconds SNAPSHOT_REQUEST_INTERVAL{300};
/// How often in an era an instance asks for the facts of a kind that the store has lost. The first watcher may have started lately itself.
constexpr std::size_t MAXIMUM_LOST_FACTS_REQUESTS = 3;
/// Time without a message from any watcher after which an instance watches the store itself: two heartbeats and a late one, well within the
/// 2 s for changes.
constexpr std::chrono::milliseconds WATCHER_TIMEOUT{1200};
/// Time without a heartbeat of another data centre's active watcher after which changes are sent there with their content: one and a half
/// heartbeats.
constexpr std::chrono::milliseconds FAR_WATCHER_TIMEOUT{750};
/// Time that an instance which has just started allows for hearing from the others.
constexpr std::chrono::milliseconds JOIN_PERIOD{3000};
/// The same for the configuration. Where the watchers were killed at the same time, none of them sends to the instance for some seconds,
/// and changes must be in force within 2 s.
constexpr std::chrono::milliseconds CONFIGURATION_JOIN_PERIOD{1200};
/// Time allowed for a known change to arrive from a peer before it is requested from the store.
constexpr std::chrono::milliseconds DELIVERY_TIMEOUT{250};
/// The same for a configuration, which may be large and take a busy instance some hundred milliseconds. Together with a late heartbeat and
/// a slow store, still within the 2 s for changes.
constexpr std::chrono::milliseconds CONFIGURATION_DELIVERY_TIMEOUT{500};

std::size_t indexOf(ObjectKind kind)
{
    return static_cast<std::size_t>(kind);
}

/// Returns the watchers of each data centre, the preferred one first: the live members with the widest links, in rendezvous hash order.
/// They send each configuration, which may have hundreds of kibibytes, to all other instances of the data centre.
std::map<Core::DataCentreName, std::vector<Core::InstanceId>> watchersOf(const Membership::State &members)
{
    std::map<Core::DataCentreName, std::vector<Core::InstanceId>> watchers;
    for (const auto &id : Membership::aliveMembers(members)) {
        watchers[Membership::find(members, id)->update.dataCentre].push_back(id);
    }
    for (auto &[dataCentre, candidates] : watchers) {
        candidates = Membership::widestFirst(members, candidates, "watchers");
        candidates.resize(std::min(candidates.size(), WATCHERS_PER_DATA_CENTRE));
    }
    return watchers;
}

} // namespace

ChangeDisseminator::ChangeDisseminator(Core::TimerService &timerService,
                                       Coordination::PeerLink &peerLink,
                                       Core::Random &randomSource,
                                       Callbacks eventCallbacks)
    : timers(timerService)
    , peers(peerLink)
    , random(randomSource)
    , callbacks(std::move(eventCallbacks))
    , startedAt(timerService.now())
    , storeLastRespondedAt(this->startedAt)
{
    this->peers.onMessage(Channel::News, [this](const std::string &peer, std::string_view bytes) {
        this->receive(peer, bytes);
    });
    this->subscriptions.push_back(this->timers.every(MEMBERSHIP_CHECK_INTERVAL, [this](Core::TimePoint) {
        this->updateWatchers();
    }));
    this->subscriptions.push_back(this->timers.every(SNAPSHOT_REQUEST_INTERVAL, [this](Core::TimePoint) {
        this->requestMissingKinds();
        this->requestLostFacts();
    }));
    this->subscriptions.push_back(this->timers.every(HEARTBEAT_INTERVAL, [this](Core::TimePoint now) {
        this->sendHeartbeat(now);
    }));
}

ReflectorMode ChangeDisseminator::modeFor(ObjectKind kind, Revision revision) const
{
    const auto now = this->timers.now();
    const bool hearsWatchers = this->heardAt && now - *this->heardAt < WATCHER_TIMEOUT;
    const auto joinPeriod = kind == ObjectKind::RoutingConfiguration ? CONFIGURATION_JOIN_PERIOD : JOIN_PERIOD;
    const bool isJoining = now - this->startedAt < joinPeriod;
    if (!hearsWatchers && isJoining && Membership::countAlive(this->peers.state().members) <= 1) {
        return ReflectorMode::AwaitPeers;
    }
    const auto deliveryTimeout = kind == ObjectKind::RoutingConfiguration ? CONFIGURATION_DELIVERY_TIMEOUT : DELIVERY_TIMEOUT;
    const bool mayBeInTransit = now - this->missingSince[indexOf(kind)] < deliveryTimeout;
    if (this->isBehind(kind, revision) && !mayBeInTransit) {
        return ReflectorMode::CatchUp;
    }
    if (this->isActiveWatcher() && hearsWatchers && !this->readsLinearizably()) {
        return ReflectorMode::WatchReplica;
    }
    return this->isActiveWatcher() || (!hearsWatchers && !isJoining) ? ReflectorMode::Watch : ReflectorMode::AwaitPeers;
}

bool ChangeDisseminator::readsLinearizably() const
{
    const auto now = this->timers.now();
    return std::ranges::none_of(this->farActiveWatchers, [this, now](const auto &entry) {
        const auto &[dataCentre, watcher] = entry;
        return dataCentre < this->ownDataCentre() && watcher.isLinearizable && now - watcher.heardAt < FAR_WATCHER_TIMEOUT;
    });
}

bool ChangeDisseminator::isBehind(ObjectKind kind, Revision revision) const
{
    return this->latest[indexOf(kind)] > revision;
}

void ChangeDisseminator::publish(ObjectKind kind, Revision previous, const Changes &changes)
{
    this->recordLatestRevision(kind, changes.revision);
    if (!this->isWatching) {
        return;
    }
    this->notify({.kind = kind, .previous = previous, .changes = changes, .sourceDataCentre = this->ownDataCentre()});
}

void ChangeDisseminator::publishListing(ObjectKind kind, const Listing &listing)
{
    this->recordLatestRevision(kind, listing.revision);
    if (this->isWatching && !this->neighbours.empty()) {
        this->send(this->neighbours, encodeChangeDissemination(Snapshot{.kind = kind, .listing = listing, .isAsListed = true}));
    }
}

void ChangeDisseminator::recordLatestRevision(ObjectKind kind, Revision revision)
{
    auto &known = this->latest[indexOf(kind)];
    if (revision <= known) {
        return;
    }
    // If an earlier change is already missing, the delivery timeout keeps running from that change.
    if (this->callbacks.syncedRevision(kind) >= known) {
        this->missingSince[indexOf(kind)] = this->timers.now();
    }
    known = revision;
}

void ChangeDisseminator::recordStoreAvailability(bool isAvailable)
{
    this->isStoreAvailable = isAvailable;
}

bool ChangeDisseminator::isWatcher() const
{
    return this->isWatching;
}

const Core::DataCentreName &ChangeDisseminator::ownDataCentre() const
{
    const auto &members = this->peers.state().members;
    return members.members.at(members.self).update.dataCentre;
}

bool ChangeDisseminator::isActiveWatcher() const
{
    if (!this->isWatching || this->isPreferredWatcher) {
        return this->isWatching;
    }
    const auto now = this->timers.now();
    const bool hearsActiveWatcher = this->activeWatcherHeardAt && now - *this->activeWatcherHeardAt < WATCHER_TIMEOUT;
    // The store may refuse the active watcher while it serves others.
    return !hearsActiveWatcher || now - this->storeLastRespondedAt >= WATCHER_TIMEOUT;
}

Core::Duration ChangeDisseminator::timeSinceStoreResponse() const
{
    return this->timers.now() - this->storeLastRespondedAt;
}

const std::vector<std::string> &ChangeDisseminator::watcherPeers() const
{
    return this->watcherPeerAddresses;
}

const std::vector<std::string> &ChangeDisseminator::dataCentrePeers() const
{
    return this->neighbours;
}

void ChangeDisseminator::receive(const std::string &peer, std::string_view bytes)
{
    const auto message = decodeChangeDissemination(bytes);
    if (const auto *news = std::get_if<ChangeNotification>(&message)) {
        this->heardAt = this->timers.now();
        this->handleChanges(*news, peer);
    } else if (const auto *heartbeat = std::get_if<WatcherHeartbeat>(&message)) {
        this->heardAt = this->timers.now();
        this->handleHeartbeat(*heartbeat);
    } else if (const auto *request = std::get_if<SnapshotRequest>(&message)) {
        this->respond(*request);
    } else {
        const auto &snapshot = std::get<Snapshot>(message);
        this->recordLatestRevision(snapshot.kind, snapshot.listing.revision);
        this->callbacks.onSnapshot(snapshot, peer);
    }
}

void ChangeDisseminator::respond(const SnapshotRequest &request)
{
    for (const auto kind : request.kinds) {
        if (auto listing = this->callbacks.snapshot(kind)) {
            this->peers.send(Channel::News,
                             request.requester,
                             encodeChangeDissemination(Snapshot{.kind = kind, .listing = std::move(*listing), .isAsListed = false}));
        }
    }
}

void ChangeDisseminator::requestMissingKinds()
{
    auto kinds = this->callbacks.missingKinds();
    if (kinds.empty()) {
        return;
    }
    const auto &members = this->peers.state().members;
    auto others = Membership::aliveMembers(members);
    std::erase(others, members.self);
    if (others.empty()) {
        return;
    }
    this->requestSnapshots(Membership::find(members, others[this->random.below(others.size())])->update.address.value, std::move(kinds));
}

void ChangeDisseminator::requestSnapshots(const std::string &peer, std::vector<ObjectKind> kinds)
{
    const auto &members = this->peers.state().members;
    const auto &self = members.members.at(members.self).update;
    this->peers.send(
        Channel::News, peer, encodeChangeDissemination(SnapshotRequest{.requester = self.address.value, .kinds = std::move(kinds)}));
}

void ChangeDisseminator::requestLostFacts()
{
    auto kinds = this->kindsWatchersKnowMoreOf;
    const auto ownKinds = this->callbacks.kindsAheadOfStore();
    std::erase_if(kinds, [this, &ownKinds](ObjectKind kind) {
        auto &requests = this->lostFactsRequests[indexOf(kind)];
        const auto era = this->latest[indexOf(kind)].era;
        requests = requests.era == era ? requests : LostFactsRequests{.era = era, .count = 0};
        const bool isKnown = std::ranges::find(ownKinds, kind) != ownKinds.end();
        return isKnown || ++requests.count > MAXIMUM_LOST_FACTS_REQUESTS;
    });
    if (kinds.empty() || this->watcherPeerAddresses.empty()) {
        return;
    }
    this->kindsWatchersKnowMoreOf.clear();
    this->requestSnapshots(this->watcherPeerAddresses[this->random.below(this->watcherPeerAddresses.size())], std::move(kinds));
}

void ChangeDisseminator::handleChanges(const ChangeNotification &news, const std::string &peer)
{
    const bool isNew = news.changes.revision > this->latest[indexOf(news.kind)];
    this->recordLatestRevision(news.kind, news.changes.revision);
    this->callbacks.onChanges(news.kind, news.previous, news.changes, peer);
    const bool hasContentToForward = news.kind == ObjectKind::RoutingConfiguration || !news.changes.changes.empty();
    if (isNew && hasContentToForward && this->isWatching && news.sourceDataCentre != this->ownDataCentre()) {
        // The store may refuse the active watcher here while it serves that of another data centre, which sends changes to all watchers
        // itself.
        this->send(this->neighbours, encodeChangeDissemination(news));
    }
}

void ChangeDisseminator::handleHeartbeat(const WatcherHeartbeat &heartbeat)
{
    const auto now = this->timers.now();
    if (heartbeat.activeForDataCentre == this->ownDataCentre()) {
        this->activeWatcherHeardAt = now;
        this->kindsWatchersKnowMoreOf = heartbeat.kindsAheadOfStore;
    } else if (!heartbeat.activeForDataCentre.value.empty()) {
        this->farActiveWatchers[heartbeat.activeForDataCentre] = {.heardAt = now, .isLinearizable = heartbeat.isLinearizable};
    }
    for (std::size_t index = 0; index < OBJECT_KIND_COUNT; ++index) {
        const auto kind = static_cast<ObjectKind>(index);
        this->recordLatestRevision(kind, heartbeat.latest[index]);
        if (this->callbacks.syncedRevision(kind) >= this->latest[index]) {
            this->callbacks.onSyncedRevision(kind, heartbeat.positions[index]);
        }
    }
    this->storeLastRespondedAt = std::max(this->storeLastRespondedAt, now - heartbeat.timeSinceStoreResponse);
    this->callbacks.onStoreAvailability(now - this->storeLastRespondedAt < WATCHER_TIMEOUT);
}

void ChangeDisseminator::sendHeartbeat(Core::TimePoint now)
{
    // An instance that does not read the store does not know whether the store responds.
    const bool isReading = this->isActiveWatcher();
    if (isReading && this->isStoreAvailable) {
        this->storeLastRespondedAt = now;
    }
    if (this->isWatching && !(this->neighbours.empty() && this->farWatchers.empty())) {
        WatcherHeartbeat heartbeat{.latest = this->latest,
                                   .positions = {},
                                   .timeSinceStoreResponse
                                   = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->storeLastRespondedAt),
                                   .activeForDataCentre = {},
                                   .kindsAheadOfStore = this->callbacks.kindsAheadOfStore(),
                                   .isLinearizable = false};
        if (isReading && this->isStoreAvailable) {
            heartbeat.activeForDataCentre = this->ownDataCentre();
            heartbeat.isLinearizable = this->readsLinearizably();
        }
        for (std::size_t index = 0; index < OBJECT_KIND_COUNT; ++index) {
            heartbeat.positions[index] = this->callbacks.syncedRevision(static_cast<ObjectKind>(index));
        }
        const auto bytes = encodeChangeDissemination(heartbeat);
        this->send(this->neighbours, bytes);
        for (const auto &watcher : this->farWatchers) {
            this->peers.send(Channel::News, watcher.address, bytes);
        }
    }
}

void ChangeDisseminator::updateWatchers()
{
    const auto &members = this->peers.state().members;
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (std::exchange(this->membersFingerprint, fingerprint) == fingerprint) {
        return;
    }
    const auto watchers = watchersOf(members);
    const auto &dataCentre = this->ownDataCentre();
    const auto own = watchers.find(dataCentre);
    this->isWatching = own != watchers.end() && std::ranges::find(own->second, members.self) != own->second.end();
    this->isPreferredWatcher = this->isWatching && own->second.front() == members.self;
    this->neighbours.clear();
    this->farWatchers.clear();
    this->watcherPeerAddresses.clear();
    if (own != watchers.end()) {
        this->watcherPeerAddresses = Membership::addressesOf(members, own->second);
    }
    if (!this->isWatching) {
        return;
    }
    for (const auto &id : Membership::aliveMembers(members)) {
        const auto &update = Membership::find(members, id)->update;
        const auto &theirs = watchers.at(update.dataCentre);
        if (id == members.self) {
            continue;
        }
        if (update.dataCentre == dataCentre) {
            this->neighbours.push_back(update.address.value);
        } else if (std::ranges::find(theirs, id) != theirs.end()) {
            this->farWatchers.push_back({update.address.value, update.dataCentre});
        }
    }
}

void ChangeDisseminator::notify(const ChangeNotification &news)
{
    const auto bytes = encodeChangeDissemination(news);
    this->send(this->neighbours, bytes);
    const Changes withoutContent{.changes = {}, .revision = news.changes.revision};
    const auto announcement = encodeChangeDissemination(ChangeNotification{
        .kind = news.kind, .previous = news.previous, .changes = withoutContent, .sourceDataCentre = news.sourceDataCentre});
    for (const auto &watcher : this->farWatchers) {
        // Traffic between data centres is expensive, and a configuration is large: every active watcher reads it from the store itself.
        const bool needsContent = news.kind != ObjectKind::RoutingConfiguration && !this->hasActiveWatcher(watcher.dataCentre);
        this->peers.send(Channel::News, watcher.address, needsContent ? bytes : announcement);
    }
}

bool ChangeDisseminator::hasActiveWatcher(const Core::DataCentreName &dataCentre) const
{
    const auto heard = this->farActiveWatchers.find(dataCentre);
    return heard != this->farActiveWatchers.end() && this->timers.now() - heard->second.heardAt < FAR_WATCHER_TIMEOUT;
}

void ChangeDisseminator::send(const std::vector<std::string> &audience, const std::string &bytes)
{
    std::ranges::for_each(audience, [this, &bytes](const std::string &peer) {
        this->peers.send(Channel::News, peer, bytes);
    });
}

} // namespace Briarbend::Gateway
