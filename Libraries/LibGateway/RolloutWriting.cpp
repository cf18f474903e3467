#include <LibGateway/RolloutDriver.h>

#include <LibCore/RendezvousHash.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

/// What the store holds of a rollout: when there is something to write, and by whom.
namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

/// Time that an instance leaves to each one before it to write what is due, so that one write does for all.
constexpr std::chrono::milliseconds TURN{400};
constexpr std::size_t MOST_TURNS = 6;

} // namespace

std::optional<RolloutState> RolloutDriver::wantedState(const Move &move) const
{
    const auto stored = move.order.progress.state;
    if (isFinal(stored)) {
        return std::nullopt;
    }
    if (stored == RolloutState::Ordered) {
        return RolloutState::Running;
    }
    if (move.state && move.state->status.phase == Rollout::Phase::RolledBack) {
        return RolloutState::RolledBack;
    }
    const bool isDone = move.state && move.state->status.phase == Rollout::Phase::Done && this->isConfirmedByAll(move);
    return isDone ? std::optional(RolloutState::Completed) : std::nullopt;
}

bool RolloutDriver::isConfirmedByAll(const Move &move) const
{
    const auto &members = this->peers.state().members;
    const auto alive = Membership::aliveMembers(members);
    const bool isEverybody = std::ranges::all_of(alive, [&move](const Core::InstanceId &member) {
        return move.confirmed.contains(member);
    });
    // An instance that is cut off from the others must not speak for them.
    const auto known = std::ranges::count_if(members.members, [](const auto &entry) {
        return entry.second.update.state != Membership::MemberState::Leaving && !entry.second.isReplaced;
    });
    return isEverybody && 2 * alive.size() > static_cast<std::size_t>(known);
}

std::size_t RolloutDriver::ownRank(const std::string &service) const
{
    const auto &members = this->peers.state().members;
    std::vector<std::string> names;
    std::ranges::transform(Membership::aliveMembers(members), std::back_inserter(names), &Core::InstanceId::value);
    const auto order = Core::rendezvousOrder(names, "rollout/" + service, names.size());
    const auto own = std::ranges::find(order, members.self.value);
    return std::min<std::size_t>(MOST_TURNS, static_cast<std::size_t>(own - order.begin()));
}

void RolloutDriver::writeWhenDue(const std::string &service, Move &move, Core::TimePoint now)
{
    const auto wanted = this->wantedState(move);
    if (!wanted || move.isWriting) {
        move.dueSince = wanted ? move.dueSince : std::nullopt;
        return;
    }
    if (!move.dueSince) {
        move.dueSince = now;
    }
    if (now - *move.dueSince < TURN * this->ownRank(service)) {
        return;
    }
    move.isWriting = true;
    RolloutProgress progress{
        .state = *wanted, .version = move.order.version, .startedAt = move.state ? move.state->rollout.start : this->clock.now()};
    spawn(this->state, "rollout", this->write(service, progress));
}

boost::asio::awaitable<void> RolloutDriver::write(std::string service, RolloutProgress progress)
{
    const auto revision = this->moves.at(service).revision;
    const auto result = co_await this->store.writeProgress(service, revision, progress);
    const auto *written = std::get_if<Written>(&result);
    const auto *failure = std::get_if<StoreFailure>(&result);
    this->state.log.write(Importance::Notable,
                          "rollout_written",
                          {{"service", service},
                           {"state", nameOf(progress.state)},
                           {"revision", revision},
                           {"outcome",
                            written != nullptr       ? "written"
                                : failure != nullptr ? failure->reason
                                                     : "another instance was first"}});
    const auto found = this->moves.find(service);
    if (found == this->moves.end()) {
        co_return;
    }
    found->second.isWriting = false;
    // The next try is due a turn later; by then the store has told what it holds.
    found->second.dueSince = Core::Clock::now() + TURN;
    if (written != nullptr && found->second.revision == revision) {
        auto order = found->second.order;
        order.progress = progress;
        this->take(order, written->revision);
    }
}

} // namespace Briarbend::Gateway
