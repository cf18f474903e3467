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

/// Time for which a replica that was behind in a catch-up is not asked again.
constexpr std::chrono::milliseconds CATCH_UP_DOUBT{500};
/// A catch-up takes what is there and does not wait.
constexpr std::chrono::milliseconds CATCH_UP_WAIT{1};
/// How often a follower that hears from peers looks whether it still does.
constexpr std::chrono::milliseconds IDLE_POLL{100};
/// Pause after changes, so that one call brings several, and one message to each instance of the data centre. A small part of the 2 s
/// within which changes must be in force.
constexpr std::chrono::milliseconds GATHERING_PAUSE{200};
/// First pause after a failure, doubled up to the longest; both are stretched by up to half at random.
constexpr std::chrono::milliseconds FIRST_RETRY{100};
constexpr std::chrono::milliseconds LONGEST_RETRY{400};
constexpr std::uint32_t MOST_DOUBLINGS = 2;
/// Time after lost history or a failure in which relaxed answers are not trusted: replicas of a store in trouble may be seconds behind. As
/// long as the history that the platform keeps.
constexpr std::chrono::seconds DOUBT{20};

} // namespace

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
    , waking(ioContext)
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
            isDone = co_await this->watch(this->watchWait);
        } else if (mode == ReflectorMode::CatchUp) {
            isDone = co_await this->watch(CATCH_UP_WAIT);
        } else {
            co_await this->idle();
            continue;
        }
        if (isDone) {
            this->failuresInRow = 0;
            this->callbacks.onResponse();
            continue;
        }
        const auto doublings = std::min(this->failuresInRow, MOST_DOUBLINGS);
        const auto longest = std::min(LONGEST_RETRY, FIRST_RETRY * (1U << doublings));
        ++this->failuresInRow;
        co_await this->pause(longest + std::chrono::milliseconds(this->random.below(static_cast<std::size_t>(longest.count() / 2 + 1))));
    }
}

Asio::awaitable<bool> Reflector::list()
{
    // Set before the call, so that a requestRelist during it is not lost.
    this->needsListing = false;
    const bool isDoubtful = Core::Clock::now() < this->doubtfulUntil || this->failuresInRow > 0;
    const auto result = co_await this->store.list(this->kind, isDoubtful ? Freshness::Linearizable : Freshness::Relaxed);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->needsListing = true;
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    const auto &listing = std::get<Listing>(result);
    const auto previous = this->revision;
    if (listing.revision < previous) {
        // A replica that is behind may lack what is known already.
        this->needsListing = true;
        this->doubtfulUntil = Core::Clock::now() + CATCH_UP_DOUBT;
        co_return true;
    }
    const auto changes = this->difference(listing);
    this->revision = listing.revision;
    this->listedAt = listing.revision;
    this->known.clear();
    for (const auto &object : listing.objects) {
        this->known[object.name] = object.revision;
    }
    this->callbacks.onChanges(previous, changes);
    co_return true;
}

Changes Reflector::difference(const Listing &listing) const
{
    Changes changes{.changes = {}, .revision = listing.revision};
    std::set<std::string_view> listed;
    for (const auto &object : listing.objects) {
        listed.insert(object.name);
        const auto found = this->known.find(object.name);
        if (found == this->known.end() || object.revision > found->second) {
            changes.changes.push_back({object, false});
        }
    }
    for (const auto &[name, revisionOfObject] : this->known) {
        if (!listed.contains(name)) {
            changes.changes.push_back(
                {{.name = name, .revision = listing.revision, .content = Unreadable{"missing in the listing"}}, true});
        }
    }
    return changes;
}

Asio::awaitable<bool> Reflector::watch(std::chrono::milliseconds wait)
{
    const bool isDoubtful = Core::Clock::now() < this->doubtfulUntil || this->failuresInRow > 0;
    const auto result
        = co_await this->store.watch(this->kind, this->revision, wait, isDoubtful ? Freshness::Linearizable : Freshness::Relaxed);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    if (std::holds_alternative<HistoryGone>(result)) {
        this->needsListing = true;
        this->doubtfulUntil = Core::Clock::now() + DOUBT;
        co_return true;
    }
    const auto &changes = std::get<Changes>(result);
    const auto previous = this->revision;
    if (wait == CATCH_UP_WAIT && changes.changes.empty() && !isDoubtful) {
        // The replica does not have yet what peers know of.
        this->doubtfulUntil = Core::Clock::now() + CATCH_UP_DOUBT;
    }
    const auto newer = this->takeNewer(changes);
    // A relaxed answer may come from a replica that is behind.
    this->revision = std::max(this->revision, changes.revision);
    if (!newer.changes.empty()) {
        this->callbacks.onChanges(previous, newer);
    }
    if (!newer.changes.empty() || wait == CATCH_UP_WAIT) {
        co_await this->pause(GATHERING_PAUSE);
    }
    co_return true;
}

Changes Reflector::takeNewer(const Changes &changes)
{
    Changes newer{.changes = {}, .revision = changes.revision};
    for (const auto &change : changes.changes) {
        auto &revisionOfObject = this->known[change.object.name];
        if (change.object.revision > std::max(revisionOfObject, this->listedAt)) {
            revisionOfObject = change.object.revision;
            newer.changes.push_back(change);
        }
    }
    return newer;
}

bool Reflector::applyPeerChanges(Revision previous, const Changes &changes)
{
    const auto newer = this->takeNewer(changes);
    if (previous <= this->revision && !changes.changes.empty()) {
        this->revision = std::max(this->revision, changes.revision);
    }
    if (!newer.changes.empty()) {
        this->callbacks.onChanges(previous, newer);
    }
    this->waking.cancel();
    return !newer.changes.empty();
}

void Reflector::applySnapshot(const Listing &listing)
{
    Changes changes{.changes = {}, .revision = listing.revision};
    std::ranges::transform(listing.objects, std::back_inserter(changes.changes), [](const StoredObject &object) {
        return Change{object, false};
    });
    const auto newer = this->takeNewer(changes);
    this->advanceTo(listing.revision);
    this->callbacks.onChanges(0, newer);
}

Revision Reflector::revisionOf(const std::string &name) const
{
    const auto found = this->known.find(name);
    return found == this->known.end() ? 0 : found->second;
}

Asio::awaitable<void> Reflector::idle()
{
    this->waking.expires_after(IDLE_POLL);
    boost::system::error_code ignored;
    co_await this->waking.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> Reflector::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

} // namespace Briarbend::Gateway
