#include <LibGateway/Reflector.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Time for which relaxed reads are avoided after a replica was found to be stale.
constexpr std::chrono::milliseconds STALE_REPLICA_PERIOD{500};
/// A catch-up fetches the changes that exist and does not wait for more.
constexpr std::chrono::milliseconds CATCH_UP_WAIT{1};
/// How often a reflector that sends no requests checks its mode.
constexpr std::chrono::milliseconds IDLE_POLL_INTERVAL{100};
/// Delay after changes, so that one request returns several and one message to each instance of the data centre carries them. A small part
/// of the 2 s within which changes must be in force.
constexpr std::chrono::milliseconds BATCHING_DELAY{200};
/// Backoff after a failure, doubled up to the maximum, with random jitter of up to half of it added.
constexpr std::chrono::milliseconds INITIAL_BACKOFF{100};
constexpr std::chrono::milliseconds MAXIMUM_BACKOFF{400};
constexpr std::uint32_t MAXIMUM_BACKOFF_DOUBLINGS = 2;
/// Time after lost history in which reads are linearizable, as they also are while requests fail: replicas of a store in trouble may be
/// seconds behind. As long as the history that the platform keeps.
constexpr std::chrono::seconds LINEARIZABLE_READ_PERIOD{20};
/// Age up to which removals are remembered. Copies from which the store is restored are some seconds old.
constexpr std::chrono::seconds REMOVAL_RETENTION{60};

} // namespace

std::string_view nameOf(ChangeSource source)
{
    switch (source) {
    case ChangeSource::Listing:
        return "listing";
    case ChangeSource::Watch:
        return "watch";
    case ChangeSource::Peer:
        return "peer";
    case ChangeSource::Snapshot:
        return "snapshot";
    }
    return "";
}

Reflector::Reflector(Asio::io_context &ioContext,
                     PlatformStore &platformStore,
                     Core::Random &randomSource,
                     ObjectKind objectKind,
                     std::chrono::milliseconds longestWatch,
                     Callbacks eventCallbacks)
    : context(ioContext)
    , store(platformStore)
    , random(randomSource)
    , kind(objectKind)
    , watchWait(longestWatch)
    , callbacks(std::move(eventCallbacks))
    , wakeTimer(ioContext)
    , watchBegins(ioContext, Core::TimePoint::max())
{
}

Revision Reflector::syncedRevision() const
{
    return this->revision;
}

void Reflector::advanceTo(Revision newRevision)
{
    if (newRevision.era == this->revision.era) {
        this->revision = std::max(this->revision, newRevision);
    }
}

void Reflector::requestRelist()
{
    this->needsListing = true;
}

bool Reflector::isCurrent() const
{
    return !this->needsListing;
}

Asio::awaitable<void> Reflector::follow()
{
    while (true) {
        const auto mode = this->callbacks.mode(this->revision);
        bool isDone = false;
        if (mode == ReflectorMode::Suspend) {
            co_await this->idle();
            continue;
        }
        if (this->needsListing) {
            isDone = co_await this->list();
        } else if (mode == ReflectorMode::Watch || mode == ReflectorMode::WatchReplica) {
            const auto freshness = mode == ReflectorMode::WatchReplica ? Freshness::Relaxed : Freshness::Linearizable;
            this->pendingWatch = freshness;
            this->watchBegins.cancel();
            // A store that was restored may wait with its answer as long as a watch lasts: the first one after a failure is short.
            isDone = co_await this->watch(this->consecutiveFailures > 0 ? CATCH_UP_WAIT : this->watchWait, freshness);
            this->pendingWatch.reset();
        } else if (mode == ReflectorMode::Probe || mode == ReflectorMode::CatchUp) {
            isDone = co_await this->watch(CATCH_UP_WAIT, mode == ReflectorMode::Probe ? Freshness::Linearizable : Freshness::Relaxed);
        } else {
            co_await this->idle();
            continue;
        }
        if (isDone) {
            this->consecutiveFailures = 0;
            co_await this->finishCall();
            continue;
        }
        const auto doublings = std::min(this->consecutiveFailures, MAXIMUM_BACKOFF_DOUBLINGS);
        const auto longest = std::min(MAXIMUM_BACKOFF, INITIAL_BACKOFF * (1U << doublings));
        ++this->consecutiveFailures;
        co_await this->pause(longest + std::chrono::milliseconds(this->random.below(static_cast<std::size_t>(longest.count() / 2 + 1))));
    }
}

Asio::awaitable<void> Reflector::overtakeWatches()
{
    while (true) {
        if (!this->pendingWatch) {
            boost::system::error_code ignored;
            co_await this->watchBegins.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
            continue;
        }
        co_await this->pause(IDLE_POLL_INTERVAL);
        const auto mode = this->callbacks.mode(this->revision);
        // The watcher whose announcements the pending watch relies on has ended or does not reach the store.
        const bool isUncovered = this->pendingWatch == Freshness::Relaxed && mode == ReflectorMode::Watch
            && Core::Clock::now() >= this->linearizableReadsUntil;
        if (!this->pendingWatch || (!this->needsListing && mode != ReflectorMode::CatchUp && !isUncovered)) {
            continue;
        }
        this->readLinearizablyFor(STALE_REPLICA_PERIOD);
        const bool isDone = this->needsListing ? co_await this->list() : co_await this->watch(CATCH_UP_WAIT, Freshness::Linearizable);
        if (isDone) {
            co_await this->finishCall();
        }
    }
}

Asio::awaitable<void> Reflector::finishCall()
{
    this->callbacks.onResponse();
    if (std::exchange(this->isBatching, false)) {
        co_await this->pause(BATCHING_DELAY);
    }
}

Asio::awaitable<bool> Reflector::list()
{
    // Cleared before the call, so that a requestRelist during it is not lost.
    this->needsListing = false;
    const bool needsLinearizableRead = this->needsLinearizableReads();
    const auto result = co_await this->store.list(this->kind, needsLinearizableRead ? Freshness::Linearizable : Freshness::Relaxed);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->needsListing = true;
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    const auto &listing = std::get<Listing>(result);
    this->callbacks.onListing(listing);
    const auto previous = this->revision;
    if (listing.revision < previous) {
        // A stale replica may lack objects that are already known.
        this->needsListing = true;
        this->readLinearizablyFor(STALE_REPLICA_PERIOD);
        co_return !needsLinearizableRead;
    }
    const bool isRestored = this->beginsEra(listing);
    if (isRestored && !needsLinearizableRead) {
        // A replica may still show what the restored store has lost.
        this->needsListing = true;
        this->readLinearizablyFor(LINEARIZABLE_READ_PERIOD);
        co_return true;
    }
    auto newer = this->difference(listing);
    this->adoptListing(listing);
    auto all = changesAfter(isRestored ? Revision{} : previous, listing, newer);
    this->callbacks.onChanges({.source = ChangeSource::Listing,
                               .previous = isRestored ? Revision{} : previous,
                               .all = std::move(all),
                               .newer = std::move(newer),
                               .isRestored = isRestored,
                               .peer = {}});
    co_return true;
}

bool Reflector::beginsEra(const Listing &listing) const
{
    return this->revision.isKnown() && listing.revision.era > this->revision.era;
}

void Reflector::readLinearizablyFor(Core::Duration period)
{
    this->linearizableReadsUntil = std::max(this->linearizableReadsUntil, Core::Clock::now() + period);
}

bool Reflector::needsLinearizableReads() const
{
    return Core::Clock::now() < this->linearizableReadsUntil || this->consecutiveFailures > 0;
}

std::optional<Revision> Reflector::lastChangeOf(const std::string &name) const
{
    std::optional<Revision> last;
    if (const auto known = this->knownRevisions.find(name); known != this->knownRevisions.end()) {
        last = known->second;
    }
    if (const auto removal = this->removals.find(name); removal != this->removals.end()) {
        last = std::max(last.value_or(Revision{}), removal->second.revision);
    }
    return last;
}

Changes Reflector::difference(const Listing &listing) const
{
    Changes changes{.changes = {}, .revision = listing.revision};
    std::set<std::string_view> listed;
    for (const auto &object : listing.objects) {
        listed.insert(object.name);
        const auto last = this->lastChangeOf(object.name);
        if (!last || object.revision > *last) {
            const bool mayBeOutdated = last && last->era < object.revision.era && object.revision.number <= last->number;
            changes.changes.push_back({.object = object, .isRemoved = false, .mayBeOutdated = mayBeOutdated});
        }
    }
    for (const auto &[name, revisionOfObject] : this->knownRevisions) {
        if (!listed.contains(name) && revisionOfObject <= listing.revision) {
            changes.changes.push_back(
                {.object = {.name = name, .revision = listing.revision, .content = Unreadable{"missing in the listing"}},
                 .isRemoved = true,
                 .mayBeOutdated = revisionOfObject.era < listing.revision.era});
        }
    }
    return changes;
}

Changes Reflector::changesAfter(Revision previous, const Listing &listing, const Changes &difference)
{
    Changes all{.changes = {}, .revision = listing.revision};
    std::ranges::copy_if(difference.changes, std::back_inserter(all.changes), &Change::isRemoved);
    for (const auto &object : listing.objects) {
        if (object.revision > previous) {
            all.changes.push_back({.object = object});
        }
    }
    return all;
}

void Reflector::adoptListing(const Listing &listing)
{
    const auto now = Core::Clock::now();
    std::erase_if(this->removals, [now](const auto &removal) {
        return now - removal.second.at >= REMOVAL_RETENTION;
    });
    std::set<std::string_view> listed;
    std::ranges::transform(listing.objects, std::inserter(listed, listed.end()), &StoredObject::name);
    for (const auto &[name, known] : this->knownRevisions) {
        // An object that only a restored store lacks was not removed.
        if (!listed.contains(name) && known.era == listing.revision.era) {
            this->removals.try_emplace(name, Removal{.revision = listing.revision, .at = now});
        }
    }
    this->revision = listing.revision;
    this->listedRevision = listing.revision;
    std::erase_if(this->knownRevisions, [&listing](const auto &known) {
        return known.second <= listing.revision;
    });
    for (const auto &object : listing.objects) {
        auto &known = this->knownRevisions[object.name];
        known = std::max(known, object.revision);
    }
}

Asio::awaitable<bool> Reflector::watch(std::chrono::milliseconds wait, Freshness freshness)
{
    // A replica may be seconds behind without any sign of it.
    const bool needsLinearizableRead = freshness == Freshness::Linearizable || this->needsLinearizableReads();
    const auto after = this->revision;
    auto result = co_await this->store.watch(this->kind, after, wait, needsLinearizableRead ? Freshness::Linearizable : Freshness::Relaxed);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    if (std::holds_alternative<HistoryGone>(result)) {
        this->needsListing = true;
        this->readLinearizablyFor(LINEARIZABLE_READ_PERIOD);
        co_return true;
    }
    auto &changes = std::get<Changes>(result);
    if (changes.revision.era != after.era || this->revision.era != after.era) {
        // Changes after a revision of another era leave out what happened between the eras.
        this->needsListing = this->needsListing || changes.revision.era > this->revision.era;
        this->readLinearizablyFor(LINEARIZABLE_READ_PERIOD);
        co_return this->needsListing || this->revision.era != after.era || !needsLinearizableRead;
    }
    const auto previous = this->revision;
    if (wait == CATCH_UP_WAIT && changes.changes.empty() && !needsLinearizableRead) {
        // The replica does not yet have the changes that peers announced.
        this->readLinearizablyFor(STALE_REPLICA_PERIOD);
    }
    auto newer = this->applyNewer(changes);
    const bool hasNewer = !newer.changes.empty();
    // A relaxed response may come from a stale replica.
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.changes.empty()) {
        this->callbacks.onChanges({.source = ChangeSource::Watch,
                                   .previous = previous,
                                   .all = std::move(changes),
                                   .newer = std::move(newer),
                                   .isRestored = false,
                                   .peer = {}});
    }
    this->isBatching = hasNewer || wait == CATCH_UP_WAIT;
    co_return true;
}

Changes Reflector::applyNewer(const Changes &changes)
{
    Changes newer{.changes = {}, .revision = changes.revision};
    for (const auto &change : changes.changes) {
        auto &revisionOfObject = this->knownRevisions[change.object.name];
        if (change.object.revision > std::max(revisionOfObject, this->listedRevision)) {
            revisionOfObject = change.object.revision;
            newer.changes.push_back(change);
            if (change.isRemoved) {
                this->removals[change.object.name] = {.revision = change.object.revision, .at = Core::Clock::now()};
            } else {
                this->removals.erase(change.object.name);
            }
        }
    }
    return newer;
}

bool Reflector::applyPeerChanges(Revision previous, Changes changes, const std::string &peer)
{
    auto newer = this->applyNewer(changes);
    const bool hasNewer = !newer.changes.empty();
    const bool isOfKnownEra = previous.era == this->revision.era && changes.revision.era == this->revision.era;
    if (isOfKnownEra && previous <= this->revision && !changes.changes.empty()) {
        this->revision = std::max(this->revision, changes.revision);
    }
    if (hasNewer) {
        this->callbacks.onChanges({.source = ChangeSource::Peer,
                                   .previous = previous,
                                   .all = std::move(changes),
                                   .newer = std::move(newer),
                                   .isRestored = false,
                                   .peer = peer});
    }
    this->wakeTimer.cancel();
    return hasNewer;
}

void Reflector::applySnapshot(const Listing &listing, const std::string &peer)
{
    if (listing.revision < this->revision) {
        // The peer lacks changes that are known here, so an object that it does not hold may exist.
        return;
    }
    const bool isRestored = this->beginsEra(listing);
    auto newer = this->difference(listing);
    this->adoptListing(listing);
    this->callbacks.onChanges(
        {.source = ChangeSource::Snapshot, .previous = {}, .all = {}, .newer = std::move(newer), .isRestored = isRestored, .peer = peer});
}

Revision Reflector::revisionOf(const std::string &name) const
{
    const auto found = this->knownRevisions.find(name);
    return found == this->knownRevisions.end() ? Revision{} : found->second;
}

Asio::awaitable<void> Reflector::idle()
{
    this->wakeTimer.expires_after(IDLE_POLL_INTERVAL);
    boost::system::error_code ignored;
    co_await this->wakeTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> Reflector::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

} // namespace Briarbend::Gateway
