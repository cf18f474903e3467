#include <LibGateway/ChangeDisseminator.h>

#include <algorithm>
#include <map>
#include <ranges>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// Watchers of each data centre: one reads the store, which is priced by the call, and the other is on standby.
constexpr std::size_t WATCHERS_PER_DATA_CENTRE = 2;
constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL{500};
/// Least time between heartbeats after responses of the store, and between such a heartbeat and a regular one.
constexpr std::chrono::milliseconds MINIMUM_HEARTBEAT_GAP{300};
constexpr std::chrono::milliseconds MEMBERSHIP_CHECK_INTERVAL{200};
/// How often a peer is asked for missing objects. Snapshots have some ten kibibytes and arrive within a few round trips.
constexpr std::chrono::milliseconds SNAPSHOT_REQUEST_INTERVAL{300};
/// How often in an era an instance asks for the facts of a kind that the store has lost. The first watcher may have started lately itself.
constexpr std::size_t MAXIMUM_LOST_FACTS_REQUESTS = 3;
/// Time without a message from any watcher after which an instance watches the store itself: two heartbeats and a late one, well within the
/// 2 s for changes.
constexpr std::chrono::milliseconds WATCHER_TIMEOUT{1200};
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

/// Returns the live members of each data centre in the order in which they are preferred as readers of the store: those with the widest
/// links first, in rendezvous hash order among equals. Readers send each configuration, which may have hundreds of kibibytes, to all other
/// instances of the data centre.
std::map<Core::DataCentreName, std::vector<Core::InstanceId>> readerCandidates(const Membership::State &members)
{
    std::map<Core::DataCentreName, std::vector<Core::InstanceId>> readers;
    for (const auto &id : Membership::aliveMembers(members)) {
        readers[Membership::find(members, id)->update.dataCentre].push_back(id);
    }
    for (auto &[dataCentre, candidates] : readers) {
        candidates = Membership::widestFirst(members, candidates, "watchers");
    }
    return readers;
}

/// The watchers of a data centre, of its candidates in order of preference.
auto watchersAmong(const auto &candidates)
{
    return candidates | std::views::take(WATCHERS_PER_DATA_CENTRE);
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
    this->election.unreadSince = this->startedAt + JOIN_PERIOD;
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
        if ((this->isWatching || this->isActiveWatcher()) && now - this->lastHeartbeatAt >= MINIMUM_HEARTBEAT_GAP) {
            this->sendHeartbeat(now);
        }
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
    if (!this->isActiveWatcher()) {
        return !hearsWatchers && !isJoining ? ReflectorMode::Watch : ReflectorMode::AwaitPeers;
    }
    if (!isReading(this->election, now)) {
        // One reflector finds out whether the store responds to this instance.
        return kind == ObjectKind::RoutingConfiguration ? ReflectorMode::Probe : ReflectorMode::AwaitPeers;
    }
    // Only watchers are told what other data centres read.
    return this->isWatching && hearsWatchers && !this->readsLinearizably() ? ReflectorMode::WatchReplica : ReflectorMode::Watch;
}

bool ChangeDisseminator::readsLinearizably() const
{
    const auto now = this->timers.now();
    return std::ranges::none_of(this->farActiveWatchers, [this, now](const auto &entry) {
        const auto &[dataCentre, watcher] = entry;
        return dataCentre < this->ownDataCentre() && watcher.isLinearizable && now - watcher.respondedAt < READING_TIMEOUT;
    });
}

bool ChangeDisseminator::isBehind(ObjectKind kind, Revision revision) const
{
    return this->latest[indexOf(kind)] > revision;
}

void ChangeDisseminator::publish(ObjectKind kind, Revision previous, const Changes &changes)
{
    this->recordLatestRevision(kind, changes.revision);
    if (!this->isWatching && !this->isActiveWatcher()) {
        return;
    }
    this->notify({.kind = kind, .previous = previous, .changes = changes, .sourceDataCentre = this->ownDataCentre()});
}

void ChangeDisseminator::publishListing(ObjectKind kind, const Listing &listing)
{
    this->recordLatestRevision(kind, listing.revision);
    if ((this->isWatching || this->isActiveWatcher()) && !this->neighbours.empty()) {
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
    const auto now = this->timers.now();
    const bool wasReading = this->readsForDataCentre(now);
    (isAvailable ? recordOwnResponse : recordOwnFailure)(this->election, now);
    const bool isReading = this->readsForDataCentre(now);
    // The others wait for this instance only as long as they know that the store responds to it.
    if (wasReading != isReading || (isReading && now - this->lastHeartbeatAt >= MINIMUM_HEARTBEAT_GAP)) {
        this->sendHeartbeat(now);
    }
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
    return isReader(this->election, this->timers.now());
}

bool ChangeDisseminator::readsForDataCentre(Core::TimePoint now) const
{
    return isReader(this->election, now) && isReading(this->election, now);
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
    if (news.sourceDataCentre == this->ownDataCentre()) {
        // Large changes delay the heartbeats that are sent after them. They do not say who sent them.
        const auto now = this->timers.now();
        recordReportedResponse(this->election, std::string{}, now, now);
    }
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
    const auto respondedAt = now - heartbeat.timeSinceStoreResponse;
    this->recordReader(heartbeat, respondedAt, now);
    if (heartbeat.activeForDataCentre == this->ownDataCentre()) {
        this->kindsWatchersKnowMoreOf = heartbeat.kindsAheadOfStore;
    }
    for (std::size_t index = 0; index < OBJECT_KIND_COUNT; ++index) {
        const auto kind = static_cast<ObjectKind>(index);
        this->recordLatestRevision(kind, heartbeat.latest[index]);
        if (this->callbacks.syncedRevision(kind) >= this->latest[index]) {
            this->callbacks.onSyncedRevision(kind, heartbeat.positions[index]);
        }
    }
    this->storeLastRespondedAt = std::max(this->storeLastRespondedAt, respondedAt);
    this->callbacks.onStoreAvailability(now - this->storeLastRespondedAt < WATCHER_TIMEOUT);
}

void ChangeDisseminator::recordReader(const WatcherHeartbeat &heartbeat, Core::TimePoint respondedAt, Core::TimePoint now)
{
    const auto &dataCentre = heartbeat.activeForDataCentre;
    if (dataCentre == this->ownDataCentre()) {
        recordReportedResponse(this->election, heartbeat.sender, respondedAt, now);
    } else if (!dataCentre.value.empty()) {
        this->farActiveWatchers[dataCentre]
            = {.address = heartbeat.sender, .respondedAt = respondedAt, .isLinearizable = heartbeat.isLinearizable};
    } else if (!heartbeat.sender.empty()) {
        recordReportedFailure(this->election, heartbeat.sender, now);
        std::erase_if(this->farActiveWatchers, [&heartbeat](const auto &entry) {
            return entry.second.address == heartbeat.sender;
        });
    }
}

void ChangeDisseminator::sendHeartbeat(Core::TimePoint now)
{
    this->lastHeartbeatAt = now;
    const bool isReading = this->readsForDataCentre(now);
    if (isReading) {
        this->storeLastRespondedAt = std::max(this->storeLastRespondedAt, this->election.own->lastResponseAt);
    }
    if (this->neighbours.empty() && this->farWatchers.empty()) {
        return;
    }
    const auto lastResponseAt = isReading ? this->election.own->lastResponseAt : this->storeLastRespondedAt;
    const auto &members = this->peers.state().members;
    WatcherHeartbeat heartbeat{.latest = this->latest,
                               .positions = {},
                               .timeSinceStoreResponse = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastResponseAt),
                               .activeForDataCentre = isReading ? this->ownDataCentre() : Core::DataCentreName{},
                               .kindsAheadOfStore = this->callbacks.kindsAheadOfStore(),
                               .isLinearizable = isReading && this->readsLinearizably(),
                               .sender = members.members.at(members.self).update.address.value};
    for (std::size_t index = 0; index < OBJECT_KIND_COUNT; ++index) {
        heartbeat.positions[index] = this->callbacks.syncedRevision(static_cast<ObjectKind>(index));
    }
    const auto bytes = encodeChangeDissemination(heartbeat);
    this->send(this->neighbours, bytes);
    for (const auto &watcher : this->farWatchers) {
        this->peers.send(Channel::News, watcher.address, bytes);
    }
}

void ChangeDisseminator::updateWatchers()
{
    const auto &members = this->peers.state().members;
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (std::exchange(this->membersFingerprint, fingerprint) == fingerprint) {
        return;
    }
    const auto candidates = readerCandidates(members);
    const auto &self = members.members.at(members.self).update;
    this->isWatching = false;
    this->neighbours.clear();
    this->farWatchers.clear();
    this->watcherPeerAddresses.clear();
    std::vector<std::string> ownCandidates;
    for (const auto &[dataCentre, ids] : candidates) {
        if (dataCentre == self.dataCentre) {
            std::ranges::transform(ids, std::back_inserter(ownCandidates), [&members](const Core::InstanceId &id) {
                return Membership::find(members, id)->update.address.value;
            });
            this->neighbours = Membership::addressesOf(members, ids);
            const auto watchers = watchersAmong(ids);
            this->watcherPeerAddresses = Membership::addressesOf(members, {watchers.begin(), watchers.end()});
            this->isWatching = std::ranges::find(watchers, members.self) != watchers.end();
        } else {
            std::ranges::transform(watchersAmong(ids), std::back_inserter(this->farWatchers), [&](const Core::InstanceId &id) {
                return FarWatcher{Membership::find(members, id)->update.address.value, dataCentre};
            });
        }
    }
    updateCandidates(this->election, std::move(ownCandidates), self.address.value);
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
    return heard != this->farActiveWatchers.end() && this->timers.now() - heard->second.respondedAt < READING_TIMEOUT;
}

void ChangeDisseminator::send(const std::vector<std::string> &audience, const std::string &bytes)
{
    std::ranges::for_each(audience, [this, &bytes](const std::string &peer) {
        this->peers.send(Channel::News, peer, bytes);
    });
}

} // namespace Briarbend::Gateway
