#include <LibGateway/RolloutDriver.h>

#include <algorithm>
#include <nlohmann/json.hpp>

/// Rollout messages between instances: evidence goes to the evaluators, confirmations to the writers, rollbacks to all.
namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;
using Log::Importance;

} // namespace

void RolloutDriver::broadcastStatus(const Rollout::Status &status)
{
    this->peers.sendToAll(Channel::Rollout, Coordination::encodeRolloutMessage(status));
}

void RolloutDriver::sendEvidence(TrackedRollout &rollout)
{
    if (!rollout.state) {
        return;
    }
    const auto phase = rollout.state->status.phase;
    if (phase == Rollout::Phase::Waiting || phase == Rollout::Phase::RolledBack) {
        return;
    }
    const auto &members = this->peers.state().members;
    const auto bytes = Coordination::encodeRolloutMessage(
        Coordination::RolloutEvidence{.service = rollout.order.service,
                                      .start = rollout.state->rollout.start,
                                      .member = members.self,
                                      .evidence = Rollout::nextEvidence(*rollout.state, this->clock.now())});
    this->peers.sendTo(Channel::Rollout, rollout.roles.evaluators, bytes);
}

bool RolloutDriver::hasOldInFlight(const TrackedRollout &rollout) const
{
    const auto service = this->state.services.find(rollout.order.service);
    return service != this->state.services.end()
        && std::ranges::any_of(service->second->targets, [&rollout](const Fleet::TargetState &target) {
               return target.ownInFlight > 0 && target.record.version != rollout.order.version;
           });
}

void RolloutDriver::sendConfirmation(TrackedRollout &rollout)
{
    const bool isDone = rollout.state && rollout.state->status.phase == Rollout::Phase::Done;
    if (!isDone || this->hasOldInFlight(rollout)) {
        return;
    }
    const auto &members = this->peers.state().members;
    rollout.confirmed.insert(members.self);
    const auto bytes = Coordination::encodeRolloutMessage(
        Coordination::RolloutConfirmation{rollout.order.service, rollout.state->rollout.start, members.self});
    this->peers.sendTo(Channel::Rollout, rollout.roles.writers, bytes);
}

void RolloutDriver::gossipStatuses()
{
    if (this->rollouts.empty()) {
        return;
    }
    const auto peer = Membership::peerInTurn(this->peers.state().members, this->nextTurn++);
    if (!peer) {
        return;
    }
    for (const auto &[service, rollout] : this->rollouts) {
        if (rollout.state) {
            this->peers.send(Channel::Rollout, *peer, Coordination::encodeRolloutMessage(rollout.state->status));
        }
    }
}

void RolloutDriver::receive(std::string_view bytes)
{
    const auto message = Coordination::decodeRolloutMessage(bytes);
    if (const auto *status = std::get_if<Rollout::Status>(&message)) {
        this->applyStatus(*status);
        return;
    }
    const auto *confirmation = std::get_if<Coordination::RolloutConfirmation>(&message);
    const auto *evidence = std::get_if<Coordination::RolloutEvidence>(&message);
    const auto &service = confirmation != nullptr ? confirmation->service : evidence->service;
    const auto &start = confirmation != nullptr ? confirmation->start : evidence->start;
    const auto found = this->rollouts.find(service.value);
    if (found == this->rollouts.end() || !found->second.state || found->second.state->rollout.start != start) {
        return;
    }
    if (confirmation != nullptr) {
        found->second.confirmed.insert(confirmation->member);
        return;
    }
    Rollout::mergeEvidence(*found->second.state, evidence->member, evidence->evidence);
    this->advanceWhenDue(found->second);
}

void RolloutDriver::applyStatus(const Rollout::Status &status)
{
    const auto found = this->rollouts.find(status.service.value);
    if (found == this->rollouts.end() || !found->second.state) {
        return;
    }
    if (Rollout::adoptDecision(*found->second.state, status)) {
        this->state.log.write(Importance::Notable,
                              "rollout_verdict_heard",
                              {{"service", status.service.value},
                               {"version", status.to.value},
                               {"is_proven", status.isProven},
                               {"fault", Rollout::nameOf(status.fault)},
                               {"route", status.faultRoute}});
    }
}

} // namespace Briarbend::Gateway
