#include <LibGateway/RolloutDriver.h>

#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

/// Writes the state of rollouts to the store: decides when a write is due and which instance does it.
namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;

/// Delay of a write for each instance with a better rank, so that a single write suffices for all instances.
constexpr std::chrono::milliseconds WRITE_STAGGER{400};

} // namespace

bool RolloutDriver::isLost(const TrackedRollout &rollout)
{
    return rollout.revision.isKnown() && isBehind(rollout.stored, rollout.order.progress);
}

std::optional<RolloutState> RolloutDriver::stateToWrite(const TrackedRollout &rollout, Core::TimePoint now) const
{
    const auto known = rollout.order.progress.state;
    if (isLost(rollout)) {
        return known;
    }
    if (isFinal(known)) {
        return std::nullopt;
    }
    if (known == RolloutState::Ordered) {
        return RolloutState::Running;
    }
    if (rollout.state && rollout.state->status.phase == Rollout::Phase::RolledBack) {
        return RolloutState::RolledBack;
    }
    const bool isDone = rollout.state && rollout.state->status.phase == Rollout::Phase::Done && this->isConfirmedByAll(rollout, now);
    return isDone ? std::optional(RolloutState::Completed) : std::nullopt;
}

bool RolloutDriver::isConfirmedByAll(const TrackedRollout &rollout, Core::TimePoint now) const
{
    const auto alive = Membership::aliveMembers(this->peers.state().members);
    return this->presence.mayDecideForAll(now) && std::ranges::all_of(alive, [&rollout](const Core::InstanceId &member) {
               return rollout.confirmed.contains(member);
           });
}

std::size_t RolloutDriver::writeRank(const TrackedRollout &rollout) const
{
    const auto &writers = rollout.roles.writers;
    return static_cast<std::size_t>(std::ranges::find(writers, this->peers.state().members.self) - writers.begin());
}

void RolloutDriver::writeWhenDue(const std::string &service, TrackedRollout &rollout, Core::TimePoint now)
{
    const auto wanted = this->stateToWrite(rollout, now);
    if (!wanted || rollout.isWriting || !rollout.revision.isKnown()) {
        rollout.writeDueSince = wanted ? rollout.writeDueSince : std::nullopt;
        return;
    }
    if (!rollout.writeDueSince) {
        rollout.writeDueSince = now;
    }
    if (now - *rollout.writeDueSince < WRITE_STAGGER * this->writeRank(rollout)) {
        return;
    }
    rollout.isWriting = true;
    RolloutProgress progress{
        .state = *wanted, .version = rollout.order.version, .startedAt = rollout.state ? rollout.state->rollout.start : this->clock.now()};
    if (isLost(rollout)) {
        progress = rollout.order.progress;
    }
    spawn(this->state, "rollout", this->write(service, progress));
}

boost::asio::awaitable<void> RolloutDriver::write(std::string service, RolloutProgress progress)
{
    const auto revision = this->rollouts.at(service).revision;
    const auto result = co_await this->store.writeProgress(service, revision, progress);
    const auto *written = std::get_if<Written>(&result);
    const auto *failure = std::get_if<StoreFailure>(&result);
    this->state.log.write(Importance::Notable,
                          "rollout_written",
                          {{"service", service},
                           {"state", nameOf(progress.state)},
                           {"era", revision.era},
                           {"revision", revision.number},
                           {"outcome",
                            written != nullptr       ? "written"
                                : failure != nullptr ? failure->reason
                                                     : "another instance was first"}});
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        co_return;
    }
    found->second.isWriting = false;
    // The next attempt is due after the stagger delay; by then the store has reported its current state.
    found->second.writeDueSince = Core::Clock::now() + WRITE_STAGGER;
    // In a later era the same number may be that of another change.
    if (written != nullptr && found->second.revision == revision && written->revision.era == revision.era) {
        auto order = found->second.order;
        order.progress = progress;
        this->applyOrder(order, written->revision);
    }
}

} // namespace Briarbend::Gateway
