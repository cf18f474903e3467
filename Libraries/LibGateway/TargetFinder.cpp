#include <LibGateway/TargetFinder.h>

#include <LibCore/Presence.h>
#include <LibGateway/HealthCheck.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Further targets are asked where none of the first serves well.
constexpr std::size_t MOST_PROBES = 9;
/// Time from the first answer for the others to come: about a round trip between data centres.
constexpr std::chrono::milliseconds LATER_ANSWERS{6};
/// Time after which further targets are asked although none has answered: well above a round trip to a busy host.
constexpr std::chrono::milliseconds ANSWER_PATIENCE{40};
/// Free slots of a target that a request needs whose objective has passed.
constexpr std::uint32_t SLOTS_FOR_LATE_REQUESTS = 2;
/// A request is worth a try as long as the expected time is not beyond this multiple of the time that is left: work varies by half of it.
constexpr int HOPELESS_FACTOR = 2;

/// The probes of one search that are under way.
struct Search {
    explicit Search(const Asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    /// The connection of each target that answered.
    std::map<std::string, std::unique_ptr<Relay::TargetConnection>> answered;
    std::size_t pending{0};
    Asio::steady_timer changed;
    bool isOver{false};
};

Asio::awaitable<void>
probe(GatewayState &state, std::shared_ptr<Search> search, std::shared_ptr<Fleet::ServiceState> book, std::string name)
{
    auto connection = co_await askHealth(state, std::move(book), name);
    --search->pending;
    if (connection && search->isOver) {
        state.pool.returnIdle(std::move(connection), Core::Clock::now());
    } else if (connection) {
        search->answered.emplace(name, std::move(connection));
    }
    search->changed.cancel();
}

Asio::awaitable<void> waitForAnswers(Search &search, std::size_t answersBefore)
{
    auto until = Core::Clock::now() + ANSWER_PATIENCE;
    bool hasAnswer = false;
    while (search.pending > 0 && Core::Clock::now() < until) {
        search.changed.expires_at(until);
        boost::system::error_code ignored;
        co_await search.changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        if (!hasAnswer && search.answered.size() > answersBefore) {
            hasAnswer = true;
            until = Core::Clock::now() + LATER_ANSWERS;
        }
    }
}

struct Ranked {
    const std::string *name{nullptr};
    std::chrono::microseconds cost{0};
    std::chrono::microseconds expectedTime{0};
    bool isFull{false};
    std::uint32_t freeSlots{0};
    /// The target says that it takes no work.
    bool isDoubtful{false};
    /// The request would take a slot that is left to others.
    bool crowdsOut{false};
};

bool isLate(const TargetWish &wish)
{
    return wish.objectiveLeft.count() <= 0;
}

/// The answered target with the lowest cost among those that are still allowed.
std::optional<Ranked> rank(const GatewayState &state, const TargetWish &wish, const Search &search)
{
    const auto now = Core::Clock::now();
    const auto &statistics = state.routes.at(wish.route->name).statistics;
    std::optional<Ranked> best;
    for (const auto &[name, connection] : search.answered) {
        const auto *target = Fleet::findTarget(*wish.book, name);
        const auto use = target == nullptr ? Fleet::Usability::Unusable : Fleet::usability(*target, wish.input, now);
        if (use != Fleet::Usability::Usable && use != Fleet::Usability::LastResort) {
            continue;
        }
        const Ranked ranked{&name,
                            Fleet::sendCost(*wish.book, *target, statistics, wish.input, now),
                            Fleet::expectedAnswerTime(*wish.book, *target, statistics, wish.input, now),
                            Fleet::isFull(*target),
                            Fleet::freeSlots(*target),
                            use == Fleet::Usability::LastResort,
                            isLate(wish) && Fleet::freeSlots(*target) < SLOTS_FOR_LATE_REQUESTS};
        const bool isBetter = !best
            || std::tie(ranked.isDoubtful, ranked.isFull, ranked.crowdsOut, ranked.cost)
                < std::tie(best->isDoubtful, best->isFull, best->crowdsOut, best->cost);
        best = isBetter ? ranked : *best;
    }
    return best;
}

bool servesWell(const TargetWish &wish, const Ranked &ranked)
{
    return !ranked.isDoubtful && !ranked.isFull && (isLate(wish) ? !ranked.crowdsOut : ranked.expectedTime <= wish.objectiveLeft);
}

/// The last free slot of a target is left to a request that can still be answered within its objective. Where more come than targets
/// serve, each slot serves a caller in time then, in place of one who is late already.
bool mayTakeSlot(const Ranked &ranked)
{
    return ranked.freeSlots > 0 && !ranked.crowdsOut;
}

/// A request joins a target's queue only where it is still answered within its objective. Longer queues serve no more requests, and every
/// one of them late; a caller that is refused comes back to a shorter queue.
bool servesInTime(const TargetWish &wish, const Ranked &ranked)
{
    return !ranked.isFull && ranked.expectedTime <= wish.objectiveLeft;
}

/// Asks a few targets at a time until one serves well or enough were asked, and returns how many were. Where none has answered, waits for
/// the slow ones.
Asio::awaitable<std::size_t>
askInTurns(GatewayState &state, const TargetWish &wish, std::shared_ptr<Search> search, const std::vector<std::string> &names)
{
    const auto most = std::min(names.size(), MOST_PROBES);
    std::size_t asked = 0;
    std::optional<Ranked> best;
    while (asked < most && !(best && servesWell(wish, *best))) {
        const auto answersBefore = search->answered.size();
        const auto until = std::min(most, asked + Fleet::PARALLEL_PROBES);
        for (; asked < until; ++asked) {
            ++search->pending;
            spawn(state, "probe", probe(state, search, wish.book, names[asked]));
        }
        co_await waitForAnswers(*search, answersBefore);
        best = rank(state, wish, *search);
    }
    while (search->pending > 0 && search->answered.empty()) {
        search->changed.expires_after(HEALTH_TIMEOUT);
        boost::system::error_code ignored;
        co_await search->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    co_return asked;
}

/// Ends the search: takes the best target with its connection, where it can serve, and gives the other connections back.
FoundTarget takeBest(GatewayState &state, const TargetWish &wish, Search &search)
{
    search.isOver = true;
    FoundTarget found{.obstacle = Obstacle::NoTarget, .name = {}, .version = {}, .connection = nullptr};
    if (const auto best = rank(state, wish, search)) {
        const bool isServable = mayTakeSlot(*best) ? best->expectedTime < HOPELESS_FACTOR * wish.remaining : servesInTime(wish, *best);
        found.obstacle = isServable ? Obstacle::None : Obstacle::Full;
        found.expectedTime = best->expectedTime;
        found.name = isServable ? *best->name : std::string{};
    }
    if (found.obstacle == Obstacle::None) {
        found.version = Fleet::findTarget(*wish.book, found.name)->record.version;
        found.connection = std::move(search.answered[found.name]);
    }
    for (auto &[name, connection] : search.answered) {
        if (connection) {
            state.pool.returnIdle(std::move(connection), Core::Clock::now());
        }
    }
    search.answered.clear();
    return found;
}

/// True where none of the targets answered lately. One request at a time asks them then, and the others are refused at once instead of
/// waiting for what will most likely not come.
bool areAllSilent(const TargetWish &wish, const std::vector<std::string> &names)
{
    const auto now = Core::Clock::now();
    return std::ranges::all_of(names, [&wish, now](const std::string &name) {
        const auto *target = Fleet::findTarget(*wish.book, name);
        return target == nullptr || target->ejectedUntil > now;
    });
}

/// A cold target that this instance may send one request to; empty where there is none.
std::string takeColdTarget(GatewayState &state, const TargetWish &wish)
{
    const auto now = Core::Clock::now();
    const auto found = std::ranges::find_if(wish.book->targets, [&](Fleet::TargetState &target) {
        return Fleet::usability(target, wish.input, now) == Fleet::Usability::Cold && target.ejectedUntil <= now && !target.failsHealthCheck
            && Fleet::takeColdToken(wish.book->configuration, target, state.instances, now);
    });
    return found == wish.book->targets.end() ? std::string{} : found->record.name;
}

Asio::awaitable<FoundTarget> findColdTarget(GatewayState &state, const TargetWish &wish)
{
    FoundTarget found{.obstacle = Obstacle::NoTarget, .name = {}, .version = {}, .connection = nullptr};
    const auto name = takeColdTarget(state, wish);
    if (name.empty()) {
        co_return found;
    }
    found.connection = co_await askHealth(state, wish.book, name);
    const auto *target = Fleet::findTarget(*wish.book, name);
    const bool isAllowed = found.connection && target != nullptr
        && Fleet::usability(*target, wish.input, Core::Clock::now()) <= Fleet::Usability::Cold && !target->failsHealthCheck;
    if (isAllowed) {
        found.obstacle = Obstacle::None;
        found.name = name;
        found.version = target->record.version;
        found.isCold = true;
    }
    co_return found;
}

/// Targets that the request was sent to are among those that may want it again later.
std::chrono::milliseconds untilRequestsWanted(const TargetWish &wish)
{
    auto input = wish.input;
    input.excluded.clear();
    const auto left = Fleet::timeUntilFirstAcceptsRequests(*wish.book, input, Core::Clock::now());
    return std::chrono::ceil<std::chrono::milliseconds>(left.value_or(Core::Duration{0}));
}

Asio::awaitable<FoundTarget> search(GatewayState &state, const TargetWish &wish)
{
    for (auto &target : wish.book->targets) {
        target.idleConnections = state.pool.idleCount(target.record.address);
    }
    const auto names = Fleet::candidates(*wish.book, wish.input, Core::Clock::now(), state.random);
    const bool isInDoubt = areAllSilent(wish, names);
    if (names.empty() || (isInDoubt && wish.book->searchesAmongEjected > 0)) {
        co_return co_await findColdTarget(state, wish);
    }
    const auto book = wish.book;
    std::optional<Core::Presence> searchInDoubt;
    if (isInDoubt) {
        searchInDoubt.emplace(book->searchesAmongEjected);
    }
    const auto probes = std::make_shared<Search>(state.executor);
    const auto asked = co_await askInTurns(state, wish, probes, names);
    auto found = takeBest(state, wish, *probes);
    found.probes = static_cast<std::uint32_t>(asked);
    if (found.obstacle == Obstacle::NoTarget) {
        co_return co_await findColdTarget(state, wish);
    }
    co_return found;
}

} // namespace

Asio::awaitable<FoundTarget> findTarget(GatewayState &state, TargetWish wish)
{
    auto found = co_await search(state, wish);
    if (found.obstacle == Obstacle::NoTarget) {
        found.untilRequestsWanted = untilRequestsWanted(wish);
    }
    co_return found;
}

} // namespace Briarbend::Gateway
