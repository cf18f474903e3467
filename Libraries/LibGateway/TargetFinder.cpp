#include <LibGateway/TargetFinder.h>

#include <LibCore/Presence.h>
#include <LibGateway/AdmissionControl.h>
#include <LibGateway/HealthCheck.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

/// Time after the first answer to wait for the others: about a round trip between data centres.
constexpr std::chrono::milliseconds FURTHER_ANSWERS_TIMEOUT{6};
/// Time after which further targets are probed if none has answered: well above a round trip to a busy host.
constexpr std::chrono::milliseconds FIRST_ANSWER_TIMEOUT{40};

/// A target that answered its probe.
struct Answer {
    std::unique_ptr<Relay::TargetConnection> connection;
    std::chrono::nanoseconds askedAtBoot{0};
};

/// The probes of one search that are in progress.
struct Search {
    explicit Search(const Asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    std::map<std::string, Answer> answered;
    std::size_t pending{0};
    Asio::steady_timer changed;
    bool isOver{false};
};

Asio::awaitable<void>
probe(GatewayState &state, std::shared_ptr<Search> search, std::shared_ptr<Fleet::ServiceState> service, std::string name)
{
    const auto askedAtBoot = Network::bootNow();
    auto connection = co_await checkHealth(state, std::move(service), name);
    --search->pending;
    if (connection && search->isOver) {
        state.pool.returnIdle(std::move(connection), Core::Clock::now());
    } else if (connection) {
        search->answered.emplace(name, Answer{std::move(connection), askedAtBoot});
    }
    search->changed.cancel();
}

Asio::awaitable<void> waitForAnswers(Search &search, std::size_t answersBefore)
{
    auto until = Core::Clock::now() + FIRST_ANSWER_TIMEOUT;
    bool hasAnswer = false;
    while (search.pending > 0 && Core::Clock::now() < until) {
        search.changed.expires_at(until);
        boost::system::error_code ignored;
        co_await search.changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        if (!hasAnswer && search.answered.size() > answersBefore) {
            hasAnswer = true;
            until = Core::Clock::now() + FURTHER_ANSWERS_TIMEOUT;
        }
    }
}

/// The target with the lowest cost among those that answered and are still permitted.
std::optional<Fleet::RankedTarget> rank(const GatewayState &state, const TargetQuery &query, const Search &search)
{
    std::vector<const Fleet::TargetState *> answered;
    for (const auto &[name, answer] : search.answered) {
        if (const auto *target = Fleet::findTarget(*query.service, name)) {
            answered.push_back(target);
        }
    }
    const auto &statistics = state.routes.at(query.route->name).statistics;
    return Fleet::rank(*query.service, answered, statistics, query.input, query.slot, Core::Clock::now());
}

/// Probes targets in batches until one meets the objective or the maximum is reached. If none has answered by then, waits for the slow
/// ones. Returns the number of probes.
Asio::awaitable<std::size_t>
probeInBatches(GatewayState &state, const TargetQuery &query, std::shared_ptr<Search> search, const std::vector<std::string> &names)
{
    const auto most = std::min(names.size(), query.maximumProbes);
    std::size_t asked = 0;
    std::optional<Fleet::RankedTarget> best;
    while (asked < most && !(best && Fleet::meetsObjective(query.slot, *best))) {
        const auto answersBefore = search->answered.size();
        const auto until = std::min(most, asked + Fleet::PARALLEL_PROBES);
        for (; asked < until; ++asked) {
            ++search->pending;
            spawn(state, "probe", probe(state, search, query.service, names[asked]));
        }
        co_await waitForAnswers(*search, answersBefore);
        best = rank(state, query, *search);
    }
    while (search->pending > 0 && search->answered.empty()) {
        search->changed.expires_after(HEALTH_CHECK_TIMEOUT);
        boost::system::error_code ignored;
        co_await search->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    co_return asked;
}

/// Records the load of the targets that answered, from which the contention of the service is judged.
void recordLoad(GatewayState &state, const TargetQuery &query, const Search &search)
{
    auto *waiters = findServiceWaiters(state, *query.service);
    if (waiters == nullptr) {
        return;
    }
    const auto now = Core::Clock::now();
    for (const auto &[name, answer] : search.answered) {
        const auto *target = Fleet::findTarget(*query.service, name);
        if (target != nullptr && target->loadReport) {
            const auto slots = Fleet::slotsOf(*target);
            Admission::recordLoad(waiters->admission.contention, slots - Fleet::freeSlots(*target), slots, now);
        }
    }
}

/// Ends the search: takes the best target with its connection if it can serve the request, and returns the other connections to the pool.
FoundTarget selectBest(GatewayState &state, const TargetQuery &query, Search &search)
{
    search.isOver = true;
    recordLoad(state, query, search);
    FoundTarget found{.searchFailure = SearchFailure::NoTarget, .name = {}, .version = {}, .connection = nullptr};
    if (const auto best = rank(state, query, search)) {
        const bool isServable = Fleet::isServable(query.slot, *best);
        found.searchFailure = isServable ? SearchFailure::None : SearchFailure::Full;
        found.expectedTime = best->expectedTime;
        found.name = isServable ? best->target->record.name : std::string{};
    }
    if (found.searchFailure == SearchFailure::None) {
        found.version = Fleet::findTarget(*query.service, found.name)->record.version;
        auto &answer = search.answered.at(found.name);
        found.connection = std::move(answer.connection);
        found.askedAtBoot = answer.askedAtBoot;
    }
    for (auto &[name, answer] : search.answered) {
        if (answer.connection) {
            state.pool.returnIdle(std::move(answer.connection), Core::Clock::now());
        }
    }
    search.answered.clear();
    return found;
}

/// True if all targets are ejected. Then only one request at a time probes them, and the others are refused at once instead of waiting for
/// answers that are unlikely to arrive.
bool areAllEjected(const TargetQuery &query, const std::vector<std::string> &names)
{
    const auto now = Core::Clock::now();
    return std::ranges::all_of(names, [&query, now](const std::string &name) {
        const auto *target = Fleet::findTarget(*query.service, name);
        return target == nullptr || target->ejectedUntil > now;
    });
}

/// A cold target to which this instance may send one request; empty if there is none.
std::string takeColdTarget(GatewayState &state, const TargetQuery &query)
{
    const auto now = Core::Clock::now();
    auto &targets = query.service->targets;
    const auto isTaken = [&](Fleet::TargetState &target) {
        return Fleet::usability(target, query.input, now) == Fleet::Usability::Cold && target.ejectedUntil <= now
            && !target.failsHealthCheck && Fleet::takeColdPermit(query.service->configuration, target, state.rateSharers, now);
    };
    if (targets.empty()) {
        return {};
    }
    // Each request begins with another target, so that all of them fill alike.
    const auto first = targets.begin() + static_cast<std::ptrdiff_t>(state.random.below(targets.size()));
    for (const auto part : {std::ranges::subrange(first, targets.end()), std::ranges::subrange(targets.begin(), first)}) {
        if (const auto found = std::ranges::find_if(part, isTaken); found != part.end()) {
            return found->record.name;
        }
    }
    return {};
}

Asio::awaitable<FoundTarget> findColdTarget(GatewayState &state, const TargetQuery &query)
{
    FoundTarget found{.searchFailure = SearchFailure::NoTarget, .name = {}, .version = {}, .connection = nullptr};
    const auto name = takeColdTarget(state, query);
    if (name.empty()) {
        co_return found;
    }
    found.askedAtBoot = Network::bootNow();
    found.connection = co_await checkHealth(state, query.service, name);
    const auto *target = Fleet::findTarget(*query.service, name);
    const bool isAllowed = found.connection && target != nullptr
        && Fleet::usability(*target, query.input, Core::Clock::now()) <= Fleet::Usability::Cold && !target->failsHealthCheck;
    if (isAllowed) {
        found.searchFailure = SearchFailure::None;
        found.name = name;
        found.version = target->record.version;
        found.isCold = true;
    }
    co_return found;
}

/// Time until the first target accepts requests. Includes targets that the request was already sent to.
std::chrono::milliseconds untilRequestsAccepted(const TargetQuery &query)
{
    auto input = query.input;
    input.excluded.clear();
    const auto left = Fleet::timeUntilFirstAcceptsRequests(*query.service, input, Core::Clock::now());
    return std::chrono::ceil<std::chrono::milliseconds>(left.value_or(Core::Duration{0}));
}

Asio::awaitable<FoundTarget> search(GatewayState &state, const TargetQuery &query)
{
    for (auto &target : query.service->targets) {
        target.idleConnections = state.pool.idleCount(target.record.address);
    }
    Fleet::updateQuotas(*query.service, state.rateSharers, Core::Clock::now());
    const auto names = Fleet::candidates(*query.service, query.input, Core::Clock::now(), state.random);
    const bool allEjected = areAllEjected(query, names);
    if (names.empty() || (allEjected && query.service->searchesAmongEjected > 0)) {
        co_return co_await findColdTarget(state, query);
    }
    const auto service = query.service;
    std::optional<Core::Presence> ejectedSearch;
    if (allEjected) {
        ejectedSearch.emplace(service->searchesAmongEjected);
    }
    const auto probes = std::make_shared<Search>(state.executor);
    const auto asked = co_await probeInBatches(state, query, probes, names);
    auto found = selectBest(state, query, *probes);
    found.probes = static_cast<std::uint32_t>(asked);
    recordProbes(state, *service, asked);
    if (found.searchFailure == SearchFailure::NoTarget) {
        co_return co_await findColdTarget(state, query);
    }
    co_return found;
}

} // namespace

Asio::awaitable<FoundTarget> findTarget(GatewayState &state, TargetQuery query)
{
    auto found = co_await search(state, query);
    if (found.searchFailure == SearchFailure::NoTarget) {
        found.untilRequestsAccepted = untilRequestsAccepted(query);
    }
    co_return found;
}

} // namespace Briarbend::Gateway
