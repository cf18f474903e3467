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
    this->revision = std::max(this->revision, newRevision);
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
        } else if (mode == ReflectorMode::Watch) {
            this->isWatchPending = true;
            this->watchBegins.cancel();
            isDone = co_await this->watch(this->watchWait);
            this->isWatchPending = false;
        } else if (mode == ReflectorMode::CatchUp) {
            isDone = co_await this->watch(CATCH_UP_WAIT);
        } else {
            co_await this->idle();
            continue;
        }
        if (isDone) {
            this->consecutiveFailures = 0;
            this->callbacks.onResponse();
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
        if (!this->isWatchPending) {
            boost::system::error_code ignored;
            co_await this->watchBegins.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
            continue;
        }
        co_await this->pause(IDLE_POLL_INTERVAL);
        if (!this->isWatchPending || this->callbacks.mode(this->revision) != ReflectorMode::CatchUp) {
            continue;
        }
        this->linearizableReadsUntil = std::max(this->linearizableReadsUntil, Core::Clock::now() + STALE_REPLICA_PERIOD);
        const bool isDone = this->needsListing ? co_await this->list() : co_await this->watch(CATCH_UP_WAIT);
        if (isDone) {
            this->callbacks.onResponse();
        }
    }
}

Asio::awaitable<bool> Reflector::list()
{
    // Cleared before the call, so that a requestRelist during it is not lost.
    this->needsListing = false;
    const bool needsLinearizableRead = Core::Clock::now() < this->linearizableReadsUntil || this->consecutiveFailures > 0;
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
        this->linearizableReadsUntil = Core::Clock::now() + STALE_REPLICA_PERIOD;
        co_return true;
    }
    auto newer = this->difference(listing);
    this->adoptListing(listing);
    auto all = changesAfter(previous, listing, newer);
    this->callbacks.onChanges({.source = ChangeSource::Listing, .previous = previous, .all = std::move(all), .newer = std::move(newer)});
    co_return true;
}

Changes Reflector::difference(const Listing &listing) const
{
    Changes changes{.changes = {}, .revision = listing.revision};
    std::set<std::string_view> listed;
    for (const auto &object : listing.objects) {
        listed.insert(object.name);
        const auto found = this->knownRevisions.find(object.name);
        if (found == this->knownRevisions.end() || object.revision > found->second) {
            changes.changes.push_back({object, false});
        }
    }
    for (const auto &[name, revisionOfObject] : this->knownRevisions) {
        if (!listed.contains(name) && revisionOfObject <= listing.revision) {
            changes.changes.push_back(
                {{.name = name, .revision = listing.revision, .content = Unreadable{"missing in the listing"}}, true});
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
            all.changes.push_back({object, false});
        }
    }
    return all;
}

void Reflector::adoptListing(const Listing &listing)
{
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

Asio::awaitable<bool> Reflector::watch(std::chrono::milliseconds wait)
{
    const bool needsLinearizableRead = Core::Clock::now() < this->linearizableReadsUntil || this->consecutiveFailures > 0;
    auto result = co_await this->store.watch(
        this->kind, this->revision, wait, needsLinearizableRead ? Freshness::Linearizable : Freshness::Relaxed);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    if (std::holds_alternative<HistoryGone>(result)) {
        this->needsListing = true;
        this->linearizableReadsUntil = Core::Clock::now() + LINEARIZABLE_READ_PERIOD;
        co_return true;
    }
    auto &changes = std::get<Changes>(result);
    const auto previous = this->revision;
    if (wait == CATCH_UP_WAIT && changes.changes.empty() && !needsLinearizableRead) {
        // The replica does not yet have the changes that peers announced.
        this->linearizableReadsUntil = Core::Clock::now() + STALE_REPLICA_PERIOD;
    }
    auto newer = this->applyNewer(changes);
    const bool hasNewer = !newer.changes.empty();
    // A relaxed response may come from a stale replica.
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.changes.empty()) {
        this->callbacks.onChanges(
            {.source = ChangeSource::Watch, .previous = previous, .all = std::move(changes), .newer = std::move(newer)});
    }
    if (hasNewer || wait == CATCH_UP_WAIT) {
        co_await this->pause(BATCHING_DELAY);
    }
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
        }
    }
    return newer;
}

bool Reflector::applyPeerChanges(Revision previous, Changes changes)
{
    auto newer = this->applyNewer(changes);
    const bool hasNewer = !newer.changes.empty();
    if (previous <= this->revision && !changes.changes.empty()) {
        this->revision = std::max(this->revision, changes.revision);
    }
    if (hasNewer) {
        this->callbacks.onChanges(
            {.source = ChangeSource::Peer, .previous = previous, .all = std::move(changes), .newer = std::move(newer)});
    }
    this->wakeTimer.cancel();
    return hasNewer;
}

void Reflector::applySnapshot(const Listing &listing)
{
    if (listing.revision < this->revision) {
        // The peer lacks changes that are known here, so an object that it does not hold may exist.
        return;
    }
    auto newer = this->difference(listing);
    this->adoptListing(listing);
    this->callbacks.onChanges({.source = ChangeSource::Snapshot, .previous = 0, .all = {}, .newer = std::move(newer)});
}

Revision Reflector::revisionOf(const std::string &name) const
{
    const auto found = this->knownRevisions.find(name);
    return found == this->knownRevisions.end() ? 0 : found->second;
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
