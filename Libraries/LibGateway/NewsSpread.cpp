#include <LibGateway/NewsSpread.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <map>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// Watchers of each data centre: one reads the store, which is priced by the call, and the other stands by.
constexpr std::size_t WATCHERS_PER_DATA_CENTRE = 2;
constexpr std::chrono::milliseconds HEARTBEAT{500};
constexpr std::chrono::milliseconds MEMBERSHIP_TICK{200};
/// How often a peer is asked for what the store does not give. Answers have some ten kibibytes and come within a few round trips.
constexpr std::chrono::milliseconds ASKING{300};
/// Silence of all watchers after which an instance watches itself: two heartbeats and a late one, well within the 2 s for changes.
constexpr std::chrono::milliseconds WATCHER_SILENCE{1200};
/// Silence of another data centre's reader after which it is told what changed: a heartbeat and half of one.
constexpr std::chrono::milliseconds FAR_READER_SILENCE{750};
/// Time in which an instance that has just started hears of the others.
constexpr std::chrono::milliseconds JOINING_TIME{3000};
/// Time for a change that is known of to arrive by itself before the store is asked.
constexpr std::chrono::milliseconds DELIVERY_TIME{250};
/// The same for a configuration, which may be long and take a busy instance some hundred milliseconds. With a late heartbeat and a slow
/// store still within the 2 s for changes.
constexpr std::chrono::milliseconds PLAN_DELIVERY_TIME{500};

std::size_t indexOf(ObjectKind kind)
{
    return static_cast<std::size_t>(kind);
}

/// The watchers of each data centre, the reader first: by rendezvous hash over its live members with the widest links. They send each
/// configuration, which may have hundreds of kibibytes, to all others there.
std::map<Core::DataCentreName, std::vector<std::string>> watchersOf(const Membership::State &members)
{
    std::map<Core::DataCentreName, std::vector<std::string>> names;
    for (const auto &id : Membership::aliveMembers(members)) {
        names[Membership::find(members, id)->update.dataCentre].push_back(id.value);
    }
    const auto width = [&members](const std::string &name) {
        return Membership::find(members, {name})->update.linkMegabits;
    };
    for (auto &[dataCentre, candidates] : names) {
        candidates = Core::rendezvousOrder(candidates, "watchers", candidates.size());
        std::ranges::stable_sort(candidates, std::ranges::greater{}, width);
        candidates.resize(std::min(candidates.size(), WATCHERS_PER_DATA_CENTRE));
    }
    return names;
}

} // namespace

NewsSpread::NewsSpread(Core::TimerService &timerService,
                       Coordination::PeerLink &peerLink,
                       Core::Random &randomSource,
                       Callbacks eventCallbacks)
    : timers(timerService)
    , peers(peerLink)
    , random(randomSource)
    , callbacks(std::move(eventCallbacks))
    , startedAt(timerService.now())
    , storeSeenAt(this->startedAt)
{
    this->peers.onMessage(Channel::News, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->subscriptions.push_back(this->timers.every(MEMBERSHIP_TICK, [this](Core::TimePoint) {
        this->updateWatchers();
    }));
    this->subscriptions.push_back(this->timers.every(ASKING, [this](Core::TimePoint) {
        this->askForLacking();
    }));
    this->subscriptions.push_back(this->timers.every(HEARTBEAT, [this](Core::TimePoint now) {
        this->sendHeartbeat(now);
    }));
}

FollowMode NewsSpread::modeFor(ObjectKind kind, Revision revision) const
{
    const auto now = this->timers.now();
    const bool hearsWatchers = this->heardAt && now - *this->heardAt < WATCHER_SILENCE;
    const bool isJoining = now - this->startedAt < JOINING_TIME;
    if (!hearsWatchers && isJoining && Membership::countAlive(this->peers.state().members) <= 1) {
        return FollowMode::Wait;
    }
    if (this->isReader() || (!hearsWatchers && !isJoining)) {
        return FollowMode::Watch;
    }
    const auto patience = kind == ObjectKind::Plan ? PLAN_DELIVERY_TIME : DELIVERY_TIME;
    const bool mayBeUnderWay = now - this->announcedAt[indexOf(kind)] < patience;
    return this->isBehind(kind, revision) && !mayBeUnderWay ? FollowMode::CatchUp : FollowMode::Wait;
}

bool NewsSpread::isBehind(ObjectKind kind, Revision revision) const
{
    return this->latest[indexOf(kind)] > revision;
}

void NewsSpread::publish(ObjectKind kind, Revision previous, const Changes &changes)
{
    this->noteChange(kind, changes.revision);
    if (!this->isWatching) {
        return;
    }
    this->tell({.kind = kind, .previous = previous, .changes = changes, .readIn = this->ownDataCentre()});
}

void NewsSpread::noteChange(ObjectKind kind, Revision revision)
{
    auto &known = this->latest[indexOf(kind)];
    if (revision <= known) {
        return;
    }
    // Whoever lacks an earlier change already has waited for it since that one.
    if (this->callbacks.position(kind) >= known) {
        this->announcedAt[indexOf(kind)] = this->timers.now();
    }
    known = revision;
}

void NewsSpread::noteStore(bool answers)
{
    this->doesStoreAnswer = answers;
}

bool NewsSpread::isWatcher() const
{
    return this->isWatching;
}

const Core::DataCentreName &NewsSpread::ownDataCentre() const
{
    const auto &members = this->peers.state().members;
    return members.members.at(members.self).update.dataCentre;
}

bool NewsSpread::isReader() const
{
    if (!this->isWatching || this->isFirstWatcher) {
        return this->isWatching;
    }
    const auto now = this->timers.now();
    const bool hearsReader = this->readerHeardAt && now - *this->readerHeardAt < WATCHER_SILENCE;
    // The store may refuse the reader while it serves others.
    return !hearsReader || now - this->storeSeenAt >= WATCHER_SILENCE;
}

const std::vector<std::string> &NewsSpread::ownWatchers() const
{
    return this->otherOwnWatchers;
}

const std::vector<std::string> &NewsSpread::audience() const
{
    return this->neighbours;
}

void NewsSpread::receive(std::string_view bytes)
{
    const auto message = decodeNews(bytes);
    if (const auto *news = std::get_if<ChangesNews>(&message)) {
        this->heardAt = this->timers.now();
        this->takeChanges(*news);
    } else if (const auto *heartbeat = std::get_if<NewsHeartbeat>(&message)) {
        this->heardAt = this->timers.now();
        this->takeHeartbeat(*heartbeat);
    } else if (const auto *request = std::get_if<SnapshotRequest>(&message)) {
        this->answer(*request);
    } else {
        const auto &snapshot = std::get<Snapshot>(message);
        this->callbacks.onSnapshot(snapshot.kind, snapshot.listing);
    }
}

void NewsSpread::answer(const SnapshotRequest &request)
{
    for (const auto kind : request.kinds) {
        if (auto listing = this->callbacks.snapshot(kind)) {
            this->peers.send(Channel::News, request.asker, encodeNews(Snapshot{kind, std::move(*listing)}));
        }
    }
}

void NewsSpread::askForLacking()
{
    auto kinds = this->callbacks.lacking();
    if (kinds.empty()) {
        return;
    }
    const auto &members = this->peers.state().members;
    auto others = Membership::aliveMembers(members);
    std::erase(others, members.self);
    if (others.empty()) {
        return;
    }
    const auto &peer = Membership::find(members, others[this->random.below(others.size())])->update;
    const auto &self = members.members.at(members.self).update;
    this->peers.send(
        Channel::News, peer.address.value, encodeNews(SnapshotRequest{.asker = self.address.value, .kinds = std::move(kinds)}));
}

void NewsSpread::takeChanges(const ChangesNews &news)
{
    const bool isNew = news.changes.revision > this->latest[indexOf(news.kind)];
    this->noteChange(news.kind, news.changes.revision);
    this->callbacks.onChanges(news.kind, news.previous, news.changes);
    const bool hasWhatOthersLack = news.kind == ObjectKind::Plan || !news.changes.changes.empty();
    if (isNew && hasWhatOthersLack && this->isWatching && news.readIn != this->ownDataCentre()) {
        // The store may refuse the reader here while it serves the one of another data centre, which tells all watchers itself.
        this->send(this->neighbours, encodeNews(news));
    }
}

void NewsSpread::takeHeartbeat(const NewsHeartbeat &heartbeat)
{
    const auto now = this->timers.now();
    if (heartbeat.readsFor == this->ownDataCentre()) {
        this->readerHeardAt = now;
    } else if (!heartbeat.readsFor.value.empty()) {
        this->farReadersHeardAt[heartbeat.readsFor] = now;
    }
    for (std::size_t index = 0; index < OBJECT_KINDS; ++index) {
        const auto kind = static_cast<ObjectKind>(index);
        this->noteChange(kind, heartbeat.latest[index]);
        if (this->callbacks.position(kind) >= this->latest[index]) {
            this->callbacks.onPosition(kind, heartbeat.positions[index]);
        }
    }
    this->storeSeenAt = std::max(this->storeSeenAt, now - heartbeat.storeSilence);
    this->callbacks.onStoreSeen(now - this->storeSeenAt < WATCHER_SILENCE);
}

void NewsSpread::sendHeartbeat(Core::TimePoint now)
{
    // An instance that does not read asks the store for nothing and cannot tell.
    const bool isReading = this->isReader();
    if (isReading && this->doesStoreAnswer) {
        this->storeSeenAt = now;
    }
    if (this->isWatching && !(this->neighbours.empty() && this->farWatchers.empty())) {
        NewsHeartbeat heartbeat{.latest = this->latest,
                                .positions = {},
                                .storeSilence = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->storeSeenAt),
                                .readsFor = {}};
        if (isReading && this->doesStoreAnswer) {
            heartbeat.readsFor = this->ownDataCentre();
        }
        for (std::size_t index = 0; index < OBJECT_KINDS; ++index) {
            heartbeat.positions[index] = this->callbacks.position(static_cast<ObjectKind>(index));
        }
        const auto bytes = encodeNews(heartbeat);
        this->send(this->neighbours, bytes);
        for (const auto &watcher : this->farWatchers) {
            this->peers.send(Channel::News, watcher.address, bytes);
        }
    }
}

void NewsSpread::updateWatchers()
{
    const auto &members = this->peers.state().members;
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (std::exchange(this->membersSeen, fingerprint) == fingerprint) {
        return;
    }
    const auto watchers = watchersOf(members);
    const auto &dataCentre = this->ownDataCentre();
    const auto own = watchers.find(dataCentre);
    this->isWatching = own != watchers.end() && std::ranges::find(own->second, members.self.value) != own->second.end();
    this->isFirstWatcher = this->isWatching && own->second.front() == members.self.value;
    this->neighbours.clear();
    this->farWatchers.clear();
    this->otherOwnWatchers.clear();
    if (own != watchers.end()) {
        for (const auto &name : own->second) {
            if (name != members.self.value) {
                this->otherOwnWatchers.push_back(Membership::find(members, {name})->update.address.value);
            }
        }
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
        } else if (std::ranges::find(theirs, id.value) != theirs.end()) {
            this->farWatchers.push_back({update.address.value, update.dataCentre});
        }
    }
}

void NewsSpread::tell(const ChangesNews &news)
{
    const auto bytes = encodeNews(news);
    this->send(this->neighbours, bytes);
    const Changes withoutContent{.changes = {}, .revision = news.changes.revision};
    const auto announcement
        = encodeNews(ChangesNews{.kind = news.kind, .previous = news.previous, .changes = withoutContent, .readIn = news.readIn});
    for (const auto &watcher : this->farWatchers) {
        // A configuration is long, and every watcher reads it itself: bytes between data centres are dear.
        const bool needsContent = news.kind != ObjectKind::Plan && !this->readsForItself(watcher.dataCentre);
        this->peers.send(Channel::News, watcher.address, needsContent ? bytes : announcement);
    }
}

bool NewsSpread::readsForItself(const Core::DataCentreName &dataCentre) const
{
    const auto heard = this->farReadersHeardAt.find(dataCentre);
    return heard != this->farReadersHeardAt.end() && this->timers.now() - heard->second < FAR_READER_SILENCE;
}

void NewsSpread::send(const std::vector<std::string> &audience, const std::string &bytes)
{
    std::ranges::for_each(audience, [this, &bytes](const std::string &peer) {
        this->peers.send(Channel::News, peer, bytes);
    });
}

} // namespace Briarbend::Gateway
