#include <LibGateway/Follower.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Length of one watch: just below the longest that the platform allows, since each call is paid for.
constexpr std::chrono::milliseconds WATCH_WAIT{28'000};
/// Pause after changes, so that one call brings several. A small part of the 2 s within which changes must be in force.
constexpr std::chrono::milliseconds GATHERING_PAUSE{100};
/// First pause after a failure, doubled up to the longest; both are stretched by up to half at random.
constexpr std::chrono::milliseconds FIRST_RETRY{100};
constexpr std::chrono::milliseconds LONGEST_RETRY{800};
constexpr std::uint32_t MOST_DOUBLINGS = 3;
/// Time after lost history or a failure in which relaxed answers are not trusted: replicas of a store in trouble may be seconds behind. As
/// long as the history that the platform keeps.
constexpr std::chrono::seconds DOUBT{20};

} // namespace

Follower::Follower(
    Asio::io_context &ioContext, PlatformStore &platformStore, Core::Random &randomSource, ObjectKind objectKind, Callbacks eventCallbacks)
    : context(ioContext)
    , store(platformStore)
    , random(randomSource)
    , kind(objectKind)
    , callbacks(std::move(eventCallbacks))
{
}

void Follower::listAgain()
{
    this->needsListing = true;
}

bool Follower::isCurrent() const
{
    return !this->needsListing;
}

Asio::awaitable<void> Follower::follow()
{
    while (true) {
        bool isDone = false;
        if (this->needsListing) {
            isDone = co_await this->list();
        } else {
            isDone = co_await this->watch();
        }
        if (isDone) {
            this->failuresInRow = 0;
            this->callbacks.onAnswer();
            continue;
        }
        const auto doublings = std::min(this->failuresInRow, MOST_DOUBLINGS);
        const auto longest = std::min(LONGEST_RETRY, FIRST_RETRY * (1U << doublings));
        ++this->failuresInRow;
        co_await this->pause(longest + std::chrono::milliseconds(this->random.below(static_cast<std::size_t>(longest.count() / 2 + 1))));
    }
}

Asio::awaitable<bool> Follower::list()
{
    // Set before the call, so that a listAgain during it is not lost.
    this->needsListing = false;
    const auto result = co_await this->store.list(this->kind, Freshness::Linearizable);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->needsListing = true;
        this->callbacks.onFailure(failure->reason);
        co_return false;
    }
    const auto &listing = std::get<Listing>(result);
    this->revision = listing.revision;
    this->callbacks.onListing(listing);
    co_return true;
}

Asio::awaitable<bool> Follower::watch()
{
    const bool isDoubtful = Core::Clock::now() < this->doubtfulUntil || this->failuresInRow > 0;
    const auto result
        = co_await this->store.watch(this->kind, this->revision, WATCH_WAIT, isDoubtful ? Freshness::Linearizable : Freshness::Relaxed);
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
    // A relaxed answer may come from a replica that is behind.
    this->revision = std::max(this->revision, changes.revision);
    if (!changes.changes.empty()) {
        this->callbacks.onChanges(changes);
        co_await this->pause(GATHERING_PAUSE);
    }
    co_return true;
}

Asio::awaitable<void> Follower::pause(std::chrono::milliseconds duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

} // namespace Briarbend::Gateway
