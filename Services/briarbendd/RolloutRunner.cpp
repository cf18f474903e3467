#include "RolloutRunner.h"

#include <LibLog/Log.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

namespace Briarbend::Daemon
{

namespace
{

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds DECISION_INTERVAL{100};
constexpr std::chrono::milliseconds EVIDENCE_INTERVAL{500};
constexpr std::chrono::seconds TARGETS_INTERVAL{1};
constexpr std::chrono::milliseconds STORE_RETRY{500};

const auto &logger()
{
    static const auto named = Log::logger("rollout");
    return named;
}

std::vector<Core::TargetId> targetsOfVersion(const Routing::TargetTable &table, const Core::VersionName &version)
{
    std::vector<Core::TargetId> targets;
    for (const auto &target : table.targets) {
        if (target.record.version == version && !target.record.isLeaving) {
            targets.push_back(target.record.id);
        }
    }
    return targets;
}

Rollout::LoadLevel levelOf(const Relay::ServiceState &service, Core::TimePoint now)
{
    const auto &targets = service.table.targets;
    if (targets.empty()) {
        return Rollout::LoadLevel::Low;
    }
    const auto sum = std::accumulate(targets.begin(), targets.end(), 0.0, [&](double total, const Routing::TargetState &target) {
        return total + Routing::estimatedInFlight(service.table, target, now);
    });
    const auto mean = static_cast<std::uint32_t>(sum / static_cast<double>(targets.size()));
    return Rollout::loadLevelOf(mean, service.service.limits.slots);
}

} // namespace

RolloutRunner::RolloutRunner(Asio::io_context &ioContext,
                             Core::TimerService &timers,
                             Store::ObjectStore &objectStore,
                             Coordination::PeerLink &peerLink,
                             Relay::RelayState &relayState)
    : context(ioContext)
    , store(objectStore)
    , peers(peerLink)
    , relay(relayState)
{
    this->peers.onMessage(Coordination::Channel::Rollout, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->relay.onObserved = [this](const Relay::ExchangeObservation &observation) {
        this->observe(observation);
    };
    this->subscriptions.push_back(timers.every(DECISION_INTERVAL, [this](Core::TimePoint) {
        this->decideAll();
    }));
    this->subscriptions.push_back(timers.every(EVIDENCE_INTERVAL, [this](Core::TimePoint) {
        std::ranges::for_each(this->moves, [this](const auto &entry) {
            this->sendEvidence(*entry.second);
        });
        this->tellOnePeer();
    }));
    this->subscriptions.push_back(timers.every(TARGETS_INTERVAL, [this](Core::TimePoint) {
        this->refreshTargets();
    }));
}

void RolloutRunner::update(const Configuration::Sections &sections)
{
    std::map<Core::ServiceName, Configuration::Rollout> configured;
    for (const auto &[team, section] : sections) {
        for (const auto &move : section.rollouts) {
            configured.emplace(move.service, move);
        }
    }
    std::erase_if(this->moves, [&](const auto &entry) {
        const auto found = configured.find(entry.first);
        const bool isKept = found != configured.end() && found->second == entry.second->state.rollout;
        const auto service = this->relay.services.find(entry.first);
        if (!isKept && service != this->relay.services.end()) {
            service->second->chooseVersions = nullptr;
        }
        return !isKept;
    });
    for (const auto &[service, move] : configured) {
        if (!this->moves.contains(service)) {
            this->begin(move);
        }
    }
    this->refreshTargets();
}

void RolloutRunner::begin(const Configuration::Rollout &move)
{
    const auto running = std::make_shared<Running>(move, this->peers.state().members.self);
    this->moves.emplace(move.service, running);
    LOG4CXX_INFO(logger(), "service " << move.service.value << " moves from " << move.from.value << " to " << move.to.value);
    Asio::co_spawn(this->context, this->keepInStore(running), Asio::detached);
}

std::vector<Rollout::Status> RolloutRunner::statuses() const
{
    std::vector<Rollout::Status> all;
    std::ranges::transform(this->moves, std::back_inserter(all), [](const auto &entry) {
        return entry.second->state.status;
    });
    return all;
}

Relay::VersionChoice RolloutRunner::choose(const Core::ServiceName &service, const std::string &routePrefix) const
{
    const auto found = this->moves.find(service);
    if (found == this->moves.end()) {
        return {};
    }
    const auto &running = *found->second;
    const auto now = Network::wallNow();
    const auto share = Rollout::newVersionShare(running.state, {routePrefix, running.level}, now);
    Relay::VersionChoice choice{.shares = {{running.state.rollout.from, 1 - share}, {running.state.rollout.to, share}}, .excluded = {}};
    const auto allowed = Rollout::allowedTargets(running.state, now);
    const auto state = this->relay.services.find(service);
    if (allowed && state != this->relay.services.end()) {
        for (const auto &target : targetsOfVersion(state->second->table, running.state.rollout.to)) {
            if (std::ranges::find(*allowed, target) == allowed->end()) {
                choice.excluded.push_back(target);
            }
        }
    }
    return choice;
}

void RolloutRunner::observe(const Relay::ExchangeObservation &observation)
{
    const auto found = this->moves.find(observation.service);
    if (found == this->moves.end()) {
        return;
    }
    auto &running = *found->second;
    const auto &move = running.state.rollout;
    if (observation.version != move.from && observation.version != move.to) {
        return;
    }
    const auto role = observation.version == move.to ? Rollout::VersionRole::New : Rollout::VersionRole::Old;
    const auto now = Network::wallNow();
    Rollout::observe(running.state,
                     {.segment = {observation.routePrefix, running.level},
                      .role = role,
                      .target = observation.target,
                      .isFailure = observation.isFailure,
                      .latency = std::chrono::duration_cast<std::chrono::microseconds>(observation.timeToHead),
                      .isCold = observation.wasCold},
                     now);
    if (observation.isFailure && role == Rollout::VersionRole::New) {
        this->decide(running);
    }
}

void RolloutRunner::decideAll()
{
    for (const auto &[service, running] : this->moves) {
        const auto state = this->relay.services.find(service);
        if (state != this->relay.services.end()) {
            running->level = levelOf(*state->second, Core::Clock::now());
        }
        this->decide(*running);
    }
}

void RolloutRunner::decide(Running &running)
{
    const auto now = Network::wallNow();
    const auto status = Rollout::isEvaluationDue(running.state, now) ? Rollout::advanceRollout(running.state, now) : std::nullopt;
    if (status) {
        LOG4CXX_INFO(logger(),
                     "the move of " << status->service.value << " is now " << Rollout::nameOf(status->phase) << " at step "
                                    << status->step);
        this->tellStatus(*status);
    }
    if (Rollout::isEvidenceUrgent(running.state, now)) {
        this->sendEvidence(running);
    }
}

void RolloutRunner::sendEvidence(Running &running)
{
    const auto phase = running.state.status.phase;
    if (phase != Rollout::Phase::Trial && phase != Rollout::Phase::Ramping) {
        return;
    }
    const auto &members = this->peers.state().members;
    const auto bytes = Coordination::encodeRolloutMessage(
        Coordination::RolloutEvidence{.service = running.state.rollout.service,
                                      .start = running.state.rollout.start,
                                      .member = members.self,
                                      .evidence = Rollout::nextEvidence(running.state, Network::wallNow())});
    Coordination::updateRoles(running.roles, members, running.state.rollout.service);
    this->peers.sendTo(Coordination::Channel::Rollout, running.roles.evaluators, bytes);
}

void RolloutRunner::refreshTargets()
{
    for (const auto &[service, running] : this->moves) {
        const auto state = this->relay.services.find(service);
        if (state == this->relay.services.end()) {
            continue;
        }
        const auto &move = running->state.rollout;
        const auto &table = state->second->table;
        Rollout::setTargets(running->state, targetsOfVersion(table, move.from), targetsOfVersion(table, move.to), Network::wallNow());
        state->second->chooseVersions = [this, service = service](const std::string &routePrefix) {
            return this->choose(service, routePrefix);
        };
    }
}

void RolloutRunner::tellStatus(const Rollout::Status &status)
{
    this->peers.sendToAll(Coordination::Channel::Rollout, Coordination::encodeRolloutMessage(status));
}

void RolloutRunner::tellOnePeer()
{
    if (this->moves.empty()) {
        return;
    }
    const auto peer = Membership::peerInTurn(this->peers.state().members, this->nextTurn++);
    if (!peer) {
        return;
    }
    for (const auto &[service, running] : this->moves) {
        this->peers.send(Coordination::Channel::Rollout, *peer, Coordination::encodeRolloutMessage(running->state.status));
    }
}

void RolloutRunner::receive(std::string_view bytes)
{
    const auto message = Coordination::decodeRolloutMessage(bytes);
    if (const auto *status = std::get_if<Rollout::Status>(&message)) {
        const auto found = this->moves.find(status->service);
        if (found != this->moves.end()) {
            Rollout::mergeStatus(found->second->state, *status);
        }
        return;
    }
    if (std::holds_alternative<Coordination::RolloutConfirmation>(message)) {
        return;
    }
    const auto &evidence = std::get<Coordination::RolloutEvidence>(message);
    const auto found = this->moves.find(evidence.service);
    if (found != this->moves.end() && found->second->state.rollout.start == evidence.start) {
        Rollout::mergeEvidence(found->second->state, evidence.member, evidence.evidence);
        this->decide(*found->second);
    }
}

Asio::awaitable<void> RolloutRunner::keepInStore(std::shared_ptr<Running> running)
{
    const auto key = Rollout::statusStoreKey(running->state.rollout.service);
    std::optional<Rollout::Status> stored;
    Asio::steady_timer pause(this->context);
    const auto isCurrent = [&] {
        const auto found = this->moves.find(running->state.rollout.service);
        return found != this->moves.end() && found->second == running;
    };
    while (isCurrent()) {
        if (stored != running->state.status) {
            const auto read = co_await this->store.read(key);
            Store::Condition condition = Store::IfAbsent{};
            if (const auto *object = std::get_if<Store::Object>(&read)) {
                stored = Rollout::decodeStatus(object->value);
                Rollout::mergeStatus(running->state, *stored);
                condition = Store::IfVersion{object->version};
            }
            const bool isReadable = !std::holds_alternative<Store::Unavailable>(read);
            if (isReadable && stored != running->state.status) {
                const auto status = running->state.status;
                const auto written = co_await this->store.write(key, Rollout::encodeStatus(status), condition);
                if (std::holds_alternative<Store::Written>(written)) {
                    stored = status;
                }
            }
        }
        pause.expires_after(STORE_RETRY);
        co_await pause.async_wait(Asio::use_awaitable);
    }
}

} // namespace Briarbend::Daemon
