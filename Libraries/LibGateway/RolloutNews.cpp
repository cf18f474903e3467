#include <LibGateway/RolloutDriver.h>

#include <algorithm>
#include <nlohmann/json.hpp>

/// What instances tell each other of a rollout: evidence to the judges, verdicts and confirmations to all.
namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;
using Log::Importance;

} // namespace

void RolloutDriver::tellVerdict(const Rollout::Status &status)
{
    this->peers.sendToAll(Channel::Rollout, Coordination::encodeRolloutMessage(status));
}

void RolloutDriver::sendEvidence(Move &move)
{
    if (!move.state) {
        return;
    }
    const auto phase = move.state->status.phase;
    if (phase != Rollout::Phase::Trial && phase != Rollout::Phase::Ramping) {
        return;
    }
    const auto &members = this->peers.state().members;
    const auto bytes = Coordination::encodeRolloutMessage(Coordination::RolloutEvidence{.service = move.order.service,
                                                                                        .start = move.state->rollout.start,
                                                                                        .member = members.self,
                                                                                        .evidence = Rollout::nextEvidence(*move.state)});
    this->peers.sendTo(Channel::Rollout, Rollout::evaluators(*move.state, Membership::aliveMembers(members)), bytes);
}

bool RolloutDriver::hasOldInFlight(const Move &move) const
{
    const auto book = this->state.services.find(move.order.service);
    return book != this->state.services.end() && std::ranges::any_of(book->second->targets, [&move](const Fleet::TargetState &target) {
               return target.ownInFlight > 0 && target.record.version != move.order.version;
           });
}

void RolloutDriver::sendConfirmation(Move &move)
{
    const bool isDone = move.state && move.state->status.phase == Rollout::Phase::Done;
    if (!isDone || this->hasOldInFlight(move)) {
        return;
    }
    const auto &members = this->peers.state().members;
    move.confirmed.insert(members.self);
    const auto bytes = Coordination::encodeRolloutMessage(
        Coordination::RolloutConfirmation{move.order.service, move.state->rollout.start, members.self});
    this->peers.sendToAll(Channel::Rollout, bytes);
}

void RolloutDriver::tellStatuses()
{
    const auto &members = this->peers.state().members;
    const auto addresses = Membership::addressesOf(members, Membership::aliveMembers(members));
    if (addresses.empty()) {
        return;
    }
    const auto &peer = addresses[this->nextPeer++ % addresses.size()];
    for (const auto &[service, move] : this->moves) {
        if (move.state) {
            this->peers.send(Channel::Rollout, peer, Coordination::encodeRolloutMessage(move.state->status));
        }
    }
}

void RolloutDriver::receive(std::string_view bytes)
{
    const auto message = Coordination::decodeRolloutMessage(bytes);
    if (const auto *status = std::get_if<Rollout::Status>(&message)) {
        this->takeStatus(*status);
        return;
    }
    const auto *confirmation = std::get_if<Coordination::RolloutConfirmation>(&message);
    const auto *evidence = std::get_if<Coordination::RolloutEvidence>(&message);
    const auto &service = confirmation != nullptr ? confirmation->service : evidence->service;
    const auto &start = confirmation != nullptr ? confirmation->start : evidence->start;
    const auto found = this->moves.find(service.value);
    if (found == this->moves.end() || !found->second.state || found->second.state->rollout.start != start) {
        return;
    }
    if (confirmation != nullptr) {
        found->second.confirmed.insert(confirmation->member);
        return;
    }
    Rollout::mergeEvidence(*found->second.state, evidence->member, evidence->evidence);
    this->decide(found->second);
}

void RolloutDriver::takeStatus(const Rollout::Status &status)
{
    const auto found = this->moves.find(status.service.value);
    // Steps follow from the time; only a verdict is taken from peers.
    if (found == this->moves.end() || !found->second.state || status.phase != Rollout::Phase::RolledBack) {
        return;
    }
    if (Rollout::mergeStatus(*found->second.state, status)) {
        this->state.log.write(Importance::Notable,
                              "rollout_verdict_heard",
                              {{"service", status.service.value},
                               {"version", status.to.value},
                               {"fault", Rollout::nameOf(status.fault)},
                               {"route", status.faultRoute}});
    }
}

} // namespace Briarbend::Gateway
