#include "Daemon.h"

#include "Dump.h"
#include "ServiceUpdater.h"

#include <LibLog/Log.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Briarbend::Daemon
{

namespace
{

constexpr std::chrono::milliseconds TICK{10};
constexpr std::chrono::milliseconds MEMBERSHIP_TICK{100};
constexpr std::chrono::milliseconds WARMTH_TICK{250};
/// Well within the time for which gossip keeps a statement about warmth.
constexpr std::chrono::hours WARMTH_REPETITION{1};
constexpr std::chrono::seconds IDLE_CONNECTION_SWEEP{5};
constexpr std::chrono::seconds IDLE_CONNECTION_LIFETIME{30};
constexpr std::chrono::milliseconds STOP_CHECK{50};
/// Time after which an instance counts as ready without having heard of targets' warmth.
constexpr std::chrono::seconds INFORMED_PATIENCE{10};
/// A stopping instance ends once no request has come for this long and none is in flight.
constexpr std::chrono::milliseconds STOP_QUIET_TIME{1000};

const auto &logger()
{
    static const auto named = Log::logger("daemon");
    return named;
}

Claims::Settings claimSettings(const Settings::ClaimSettings &settings)
{
    Claims::Settings claims;
    claims.window = settings.window;
    claims.updateInterval = std::chrono::ceil<std::chrono::milliseconds>(settings.batchDelay);
    return claims;
}

Core::InstanceId newInstanceId(const Settings::Settings &settings, std::uint64_t seed)
{
    std::ostringstream text;
    text << settings.instance.name.value_or("briarbendd") << '-' << std::hex << seed;
    return {text.str()};
}

} // namespace

Daemon::Daemon(boost::asio::io_context &ioContext, Settings::Settings daemonSettings, std::uint64_t seed)
    : context(ioContext)
    , settings(std::move(daemonSettings))
    , timers(ioContext)
    , instance(newInstanceId(this->settings, seed))
    , startedAt(Core::Clock::now())
    , relay(ioContext.get_executor(), seed)
    , store(ioContext.get_executor(), this->settings.store.endpoints, this->settings.store.timeout)
    , transport(Peers::makeWebSocketTransport(ioContext))
{
    this->relay.instanceName = this->settings.instance.name.value_or(this->instance.value);
    this->relay.limits = {.callerConnections = this->settings.limits.maximumCallerConnections,
                          .headerBytes = this->settings.limits.maximumHeaderBytes,
                          .requestBodyBytes = this->settings.limits.maximumRequestBodyBytes,
                          .idleTimeout = this->settings.limits.idleTimeout};
    const auto &listenAt = this->settings.instance.peerAddress;
    this->peerEndpoint = {listenAt.address, this->transport->listen(listenAt.address, listenAt.port)};
    const auto advertised = this->settings.instance.advertisedPeerAddress.value_or(this->peerEndpoint);
    std::set<Membership::PeerAddress> seeds;
    for (const auto &seedEndpoint : this->settings.peers.seeds) {
        seeds.insert({seedEndpoint.text()});
    }
    const Membership::MemberUpdate self{
        .id = this->instance, .address = {advertised.text()}, .dataCentre = this->settings.instance.dataCentre};
    this->peers = std::make_unique<Coordination::PeerLink>(
        this->timers, *this->transport, Gossip::makeState(self, seeds, this->startedAt), this->relay.random);
    this->relay.isCurrent = [this] {
        return Gossip::isConfirmed(this->peers->state(), Core::Clock::now());
    };
    this->store.onSkippedEntry([](const std::string &problem) {
        LOG4CXX_WARN(logger(), "left out an entry of the list of instances: " << problem);
    });
    this->configuration = std::make_unique<ConfigurationFeed>(ioContext, this->store, *this->peers, [this](const auto &) {
        this->update();
    });
    this->instanceList = std::make_unique<InstanceListFeed>(
        ioContext, this->store, *this->peers, this->settings.store.instanceListInterval, [this](const auto &) {
            this->update();
        });
    this->claims = std::make_unique<ClaimsRunner>(ioContext,
                                                  this->store,
                                                  *this->peers,
                                                  claimSettings(this->settings.claims),
                                                  Claims::BucketLayout{this->settings.claims.buckets, this->settings.claims.window});
    this->relay.claims = this->claims.get();
    this->relay.instance = this->instance;
    this->quarantine = std::make_unique<Coordination::QuarantineLink>(ioContext, this->timers, *this->peers);
    this->relay.guard = this->quarantine.get();
    this->rollouts = std::make_unique<RolloutRunner>(ioContext, this->timers, this->store, *this->peers, this->relay);
    this->warmth = std::make_unique<WarmthSpread>(*this->peers, this->relay.coldGate);
    this->peers->onLogMessage([](const std::string &text) {
        LOG4CXX_INFO(logger(), text);
    });
    this->peers->onChanges([this](const Gossip::Changes &changes) {
        this->takeChanges(changes);
    });
    this->targetWatch = std::make_unique<TargetWatch>(ioContext, [this](const Core::TargetId &target) {
        Limits::recordConnectionLost(this->relay.coldGate, target);
        this->relay.pool.closeIdle(target);
    });
    this->prober = std::make_unique<Prober>(ioContext, this->timers, this->relay);
    this->callers = std::make_unique<Relay::CallerListener>(ioContext, this->settings.instance.callerAddress, this->relay);
    this->operators = std::make_unique<OperatorEndpoint>(
        ioContext,
        this->settings.instance.operatorAddress,
        OperatorEndpoint::Readings{
            .isReady =
                [this] {
                    return this->isReady();
                },
            .dump =
                [this] {
                    return this->dump();
                },
            .metrics =
                [this] {
                    return this->metrics();
                },
            .takeSection =
                [this](const std::string &team, std::uint64_t version, const std::string &text) {
                    this->configuration->takeAccepted({.team = {team}, .storeVersion = version, .text = text});
                },
        });
    this->configuration->start();
    this->instanceList->start();
    this->subscriptions.push_back(this->timers.every(TICK, [this](Core::TimePoint now) {
        this->tick(now);
    }));
    this->subscriptions.push_back(this->timers.every(MEMBERSHIP_TICK, [this](Core::TimePoint now) {
        this->updateColdGateMembership(now);
    }));
    this->subscriptions.push_back(this->timers.every(WARMTH_TICK, [this](Core::TimePoint) {
        this->warmth->publishChanges();
    }));
    this->subscriptions.push_back(this->timers.every(WARMTH_REPETITION, [this](Core::TimePoint) {
        this->warmth->publishAllAgain();
    }));
    this->subscriptions.push_back(this->timers.every(IDLE_CONNECTION_SWEEP, [this](Core::TimePoint now) {
        this->relay.pool.closeIdle(now, IDLE_CONNECTION_LIFETIME);
    }));
}

std::string Daemon::listeningLine() const
{
    return nlohmann::json{{"listening", this->callers->endpoint().text()},
                          {"peers", this->peerEndpoint.text()},
                          {"operators", this->operators->endpoint().text()},
                          {"instance", this->instance.value}}
        .dump();
}

void Daemon::tick(Core::TimePoint now)
{
    for (const auto &[name, service] : this->relay.services) {
        Relay::wakeWaitingRequests(*service, now);
    }
}

void Daemon::update()
{
    updateServices(this->relay, this->configuration->sections(), this->instanceList->list(), this->place());
    const auto targets = targetsOf(this->relay);
    this->prober->forget(targets);
    this->targetWatch->watch(targets);
    this->rollouts->update(this->configuration->sections());
    for (const auto &[name, service] : this->relay.services) {
        if (std::ranges::find(service->service.routes, Configuration::RouteKind::Once, &Configuration::Route::kind)
            != service->service.routes.end()) {
            this->claims->prepare(name);
        }
    }
}

void Daemon::updateColdGateMembership(Core::TimePoint now)
{
    const auto &members = this->peers->state().members;
    Limits::MembershipView view{.self = this->instance,
                                .members = Membership::aliveMembers(members),
                                .expected = this->settings.instance.declaredMaximumInstances,
                                .contacts = {}};
    for (const auto &[id, member] : members.members) {
        if (id != this->instance && member.lastAcknowledged) {
            view.contacts.push_back({id, *member.lastAcknowledged, member.isInformed});
        }
    }
    Limits::updateMembership(this->relay.coldGate, std::move(view), now);
    this->peers->setInformed(this->relay.coldGate.isInformed);
}

void Daemon::takeChanges(const Gossip::Changes &changes)
{
    this->configuration->takeFromPeers(changes.sections);
    for (const auto &record : changes.records) {
        if (const auto *mark = std::get_if<Gossip::WarmUpStateRecord>(&record)) {
            this->warmth->learn(*mark);
        }
    }
}

void Daemon::beginStop(std::function<void()> callback)
{
    LOG4CXX_INFO(logger(), "planned stop begins");
    this->onStopped = std::move(callback);
    this->relay.isStopping = true;
    this->stopBegan = this->timers.now();
    this->subscriptions.push_back(this->timers.after(this->settings.limits.stopGrace, [this](Core::TimePoint now) {
        this->quietSince = now;
        this->endListening();
    }));
}

void Daemon::endListening()
{
    this->callers->stop();
    this->peers->leave();
    this->subscriptions.push_back(this->timers.every(STOP_CHECK, [this](Core::TimePoint) {
        this->finishStopWhenIdle();
    }));
}

void Daemon::finishStopWhenIdle()
{
    const auto now = this->timers.now();
    const bool isBusy
        = this->relay.requestsInFlight > 0 || !this->claims->isIdle() || this->relay.counters.requests != this->requestsAtLastLook;
    this->requestsAtLastLook = this->relay.counters.requests;
    if (isBusy) {
        this->quietSince = now;
    }
    const bool isOverdue = now - this->stopBegan >= this->settings.limits.stopGrace + this->settings.limits.stopDeadline;
    const bool isDone = this->relay.callerConnections == 0 || now - this->quietSince >= STOP_QUIET_TIME;
    if (((!isBusy && isDone) || isOverdue) && this->onStopped) {
        LOG4CXX_INFO(logger(), "planned stop ends");
        this->transport->stop();
        std::exchange(this->onStopped, nullptr)();
    }
}

bool Daemon::isReady() const
{
    // An instance that has not heard yet what the fleet knows of targets' warmth may send to none of them. In a fleet that is new and
    // incomplete nobody can know, so that it takes its first requests all the same.
    const bool knowsTargets = this->relay.coldGate.isInformed || this->timers.now() - this->startedAt >= INFORMED_PATIENCE;
    return !this->relay.isStopping && this->relay.routes && this->relay.isCurrent() && knowsTargets;
}

nlohmann::json Daemon::dump() const
{
    const auto now = this->timers.now();
    return {{"instance", this->instance.value},
            {"data_centre", this->settings.instance.dataCentre.value},
            {"ready", this->isReady()},
            {"stopping", this->relay.isStopping},
            {"configuration", dumpVersions(this->configuration->sections())},
            {"probes_sent", this->prober->probesSent()},
            {"peers", dumpPeers(*this->peers, now)},
            {"relay", dumpRelay(this->relay, now)}};
}

std::string Daemon::metrics() const
{
    const auto &counters = this->relay.counters;
    std::ostringstream text;
    text << "briarbend_requests_total " << counters.requests << "\nbriarbend_answered_total " << counters.answered
         << "\nbriarbend_refused_total " << counters.refused << "\nbriarbend_retries_total " << counters.retries
         << "\nbriarbend_callers_gone_total " << counters.callersGone << "\nbriarbend_broken_off_total " << counters.brokenOff
         << "\nbriarbend_requests_in_flight " << this->relay.requestsInFlight << "\nbriarbend_probes_total " << this->prober->probesSent()
         << "\nbriarbend_gossip_control_bytes_total " << this->peers->state().controlBudget.consumedBytes() << "\n";
    return text.str();
}

Relay::InstancePlacement Daemon::place() const
{
    Relay::InstancePlacement place{.instance = this->instance,
                                   .dataCentre = this->settings.instance.dataCentre,
                                   .shares = {.maximumInstances = this->settings.instance.declaredMaximumInstances, .instanceSlot = {}},
                                   .startedAt = this->startedAt};
    place.members = std::max<std::size_t>(1, Membership::aliveMembers(this->peers->state().members).size());
    for (const auto &pair : this->settings.distances) {
        if (pair.first == place.dataCentre || pair.second == place.dataCentre) {
            place.distance = std::max(place.distance, pair.roundTrip);
        }
    }
    return place;
}

} // namespace Briarbend::Daemon
