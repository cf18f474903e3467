#include <LibGateway/Instance.h>

#include <LibGateway/Metrics.h>
#include <LibGateway/TargetContact.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Log::Importance;

constexpr std::chrono::milliseconds LOG_FLUSH_INTERVAL{50};
constexpr std::chrono::milliseconds TICK_INTERVAL{100};
/// A longer gap between two ticks means that the process was frozen; a busy host delays ticks by less.
constexpr std::chrono::milliseconds FREEZE_THRESHOLD{600};
constexpr std::chrono::milliseconds CUT_OFF_PROBE_INTERVAL{200};
/// Time for which an instance looks for targets and peers before it reports that it is not ready.
constexpr std::chrono::milliseconds ISOLATION_PERIOD{1000};
constexpr std::chrono::seconds IDLE_SWEEP_INTERVAL{5};
constexpr std::chrono::seconds TRAFFIC_LOG_INTERVAL{10};
/// Longer than targets keep idle connections open.
constexpr std::chrono::seconds IDLE_CONNECTION_TIMEOUT{20};
constexpr std::chrono::milliseconds STOP_CHECK_INTERVAL{50};
/// The load balancer in front checks readiness once a second and stops sending requests after two failed checks.
constexpr std::chrono::milliseconds READINESS_PROPAGATION_DELAY{3000};
/// Time at the end of the grace period that a request accepted late must not use.
constexpr std::chrono::milliseconds STOP_MARGIN{300};

/// Number of targets that may break under a request before the request is suspect. Many requests lose one target when a data centre fails,
/// and they must be served elsewhere immediately. The platform tolerates three.
constexpr std::size_t TOLERATED_BREAKS = 1;

constexpr std::string_view READY_PATH{"/health/ready"};

/// The watch of the routing configuration is short and serves as a heartbeat: its responses show that the store still responds. A store
/// that has become unresponsive never completes watches, and nothing else reveals this. Half of the time after which others take over.
constexpr std::chrono::milliseconds HEARTBEAT_WATCH_TIMEOUT = READING_TIMEOUT / 2;
/// The platform allows watches of at most 30 s. They are long because each call has a cost.
constexpr std::chrono::milliseconds MAXIMUM_WATCH_TIMEOUT{28'000};
/// Time without a response of the store to any watcher after which the log says that nobody reads it.
constexpr std::chrono::milliseconds UNREAD_PERIOD{1500};
/// Fraction of the store's history that a watch may last, so that after a watch without changes the next one can still resume from the
/// retained history.
constexpr double WATCH_HISTORY_FRACTION = 0.75;

std::chrono::milliseconds watchTimeoutFor(ObjectKind kind, std::chrono::milliseconds history)
{
    const auto longest
        = std::min(MAXIMUM_WATCH_TIMEOUT, std::chrono::duration_cast<std::chrono::milliseconds>(history * WATCH_HISTORY_FRACTION));
    return kind == ObjectKind::RoutingConfiguration ? std::min(HEARTBEAT_WATCH_TIMEOUT, longest) : longest;
}

} // namespace

Instance::Instance(
    Asio::io_context &ioContext, Settings::GatewaySettings settings, Dialect dialect, PlatformStore &platformStore, std::uint64_t seed)
    : context(ioContext)
    , state(ioContext.get_executor(), std::move(settings), dialect, seed)
    , store(platformStore)
    , timers(ioContext)
    , lastTick(Core::Clock::now())
    , lastTickBootTime(Network::bootNow())
{
    const auto &addresses = this->state.settings.instance;
    this->startPeers(seed);
    this->makeStoreDissemination();
    this->makeTargetDissemination();
    this->tenantShares = std::make_unique<TenantShareDisseminator>(this->timers, *this->peers, this->state.tenantShares, [this] {
        return this->state.routingConfiguration && this->state.routingConfiguration->tenants;
    });
    this->quarantine = std::make_unique<Coordination::QuarantineLink>(ioContext, this->timers, *this->peers, TOLERATED_BREAKS);
    this->state.guard = this->quarantine.get();
    this->quarantineKeeper = std::make_unique<QuarantineKeeper>(this->state, this->timers, this->store, *this->peers, *this->quarantine);
    this->rollouts = std::make_unique<RolloutDriver>(this->state, this->timers, this->store, *this->peers);
    this->peerFinder = std::make_unique<PeerFinder>(this->state, this->timers, *this->peers);
    this->state.findPeer = [this](std::vector<std::string> excludedAddresses) {
        return this->peerFinder->findPeer(std::move(excludedAddresses));
    };
    this->callers = std::make_unique<CallerFrontend>(ioContext, this->state);
    this->readyServer = std::make_unique<Network::HttpServer>(ioContext, addresses.readyAddress, [this](Network::Request request) {
        return this->handleReadiness(std::move(request));
    });
    this->operatorServer = std::make_unique<Network::HttpServer>(ioContext, addresses.metricsAddress, [this](Network::Request request) {
        return this->handleOperatorRequest(std::move(request));
    });
    for (const auto kind : ALL_OBJECT_KINDS) {
        this->followers.push_back(this->makeFollower(kind));
        spawn(this->state, "follower", this->followers.back()->follow());
        spawn(this->state, "watch_overtaker", this->followers.back()->overtakeWatches());
    }
    this->subscriptions.push_back(this->timers.every(LOG_FLUSH_INTERVAL, [this](Core::TimePoint) {
        this->state.log.flush();
    }));
    this->subscriptions.push_back(this->timers.every(TICK_INTERVAL, [this](Core::TimePoint now) {
        this->detectFreeze(now);
        this->updateInstances();
        this->logReaderRole();
        this->expireTargets(now);
        this->applyDueChanges(now);
    }));
    this->subscriptions.push_back(this->timers.every(CUT_OFF_PROBE_INTERVAL, [this](Core::TimePoint) {
        probeWhileCutOff(this->state);
    }));
    this->subscriptions.push_back(this->timers.every(CallerFrontend::CHECK_INTERVAL, [this](Core::TimePoint now) {
        this->callers->checkConnections(now);
    }));
    this->subscriptions.push_back(this->timers.every(IDLE_SWEEP_INTERVAL, [this](Core::TimePoint now) {
        this->state.pool.closeIdle(now, IDLE_CONNECTION_TIMEOUT);
        Fleet::expireSelfReports(this->state.directory, now);
    }));
    this->subscriptions.push_back(this->timers.every(TRAFFIC_LOG_INTERVAL, [this](Core::TimePoint) {
        this->state.log.write(
            Importance::Routine, "traffic", describeTraffic(this->state, this->peers->sentTraffic(), this->peers->receivedTraffic()));
    }));
    this->state.log.write(Importance::Notable,
                          "started",
                          {{"callers", addresses.callerAddress.text()},
                           {"ready", addresses.readyAddress.text()},
                           {"metrics", addresses.metricsAddress.text()},
                           {"data_centre", addresses.dataCentre.value}});
}

void Instance::startUsageReports(DutyStore &dutyStore, UsageEndpoint &endpoint)
{
    this->usage = std::make_unique<UsageReporter>(this->state, this->timers, *this->peers, dutyStore, endpoint);
}

void Instance::startPeers(std::uint64_t seed)
{
    const auto &settings = this->state.settings;
    const auto &address = settings.instance.peerAddress;
    this->transport = Peers::makeWebSocketTransport(this->context);
    this->transport->listen(address.address, address.port);
    std::ostringstream name;
    name << settings.instance.name << '-' << std::hex << seed;
    const Membership::MemberUpdate self{.id = {name.str()},
                                        .address = {address.text()},
                                        .dataCentre = settings.instance.dataCentre,
                                        .linkMegabits = static_cast<std::uint32_t>(settings.instance.linkMegabits)};
    std::set<Membership::PeerAddress> seeds;
    for (const auto &endpoint : settings.peers.seeds) {
        if (endpoint != address) {
            seeds.insert({endpoint.text()});
        }
    }
    this->peers = std::make_unique<Coordination::PeerLink>(
        this->timers, *this->transport, Gossip::makeState(self, seeds, this->timers.now()), this->state.random);
    this->peers->onLogMessage([this](const std::string &text) {
        this->state.log.write(Importance::Notable, "peers", {{"note", text}});
    });
    this->peers->onChanges([this](const Gossip::Changes &changes) {
        for (const auto &change : changes.members) {
            this->state.log.write(Importance::Routine,
                                  "member",
                                  {{"member", change.update.id.value},
                                   {"address", change.update.address.value},
                                   {"state", Membership::nameOf(change.update.state)}});
        }
    });
}

void Instance::updateInstances()
{
    const auto &members = this->peers->state().members;
    this->state.instances = std::max<std::size_t>(1, Membership::countAlive(members));
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (this->state.rateSharers.members.empty() || fingerprint != this->state.rateSharers.fingerprint) {
        const auto dataCentreOf = [&members](const Core::InstanceId &id) {
            return Membership::find(members, id)->update.dataCentre;
        };
        Fleet::RateSharers sharers{
            .self = members.self, .members = Membership::aliveMembers(members), .neighbours = {}, .fingerprint = fingerprint};
        std::ranges::copy_if(sharers.members, std::back_inserter(sharers.neighbours), [&](const Core::InstanceId &id) {
            return dataCentreOf(id) == dataCentreOf(members.self);
        });
        sharers.completeSince = this->state.rateSharers.completeSince;
        this->state.rateSharers = std::move(sharers);
    }
    auto &sharers = this->state.rateSharers;
    sharers.known = members.members.size();
    sharers.isComplete = Membership::hasJoined(members, this->timers.now());
    if (sharers.isComplete && sharers.completeSince == Core::TimePoint{}) {
        sharers.completeSince = this->timers.now();
    }
}

void Instance::reload(const std::string &file)
{
    try {
        const auto settings = Settings::loadGatewaySettings(file);
        this->state.settings.budgets = settings.budgets;
        this->state.settings.rollouts = settings.rollouts;
        this->state.settings.log = settings.log;
    } catch (const std::exception &exception) {
        this->state.log.write(Importance::Notable, "settings_refused", {{"file", file}, {"problem", exception.what()}});
        return;
    }
    updateServiceStates(this->state, this->timers.now());
    this->state.log.write(Importance::Notable, "settings_reloaded", {{"file", file}});
}

std::unique_ptr<Reflector> Instance::makeFollower(ObjectKind kind)
{
    return std::make_unique<Reflector>(this->context,
                                       this->store,
                                       this->state.random,
                                       kind,
                                       watchTimeoutFor(kind, this->state.settings.store.history),
                                       Reflector::Callbacks{
                                           .onChanges =
                                               [this, kind](const ChangeBatch &batch) {
                                                   this->applyChanges(kind, batch);
                                               },
                                           .onListing =
                                               [this, kind](const Listing &listing) {
                                                   this->logListing(kind, listing);
                                               },
                                           .mode =
                                               [this, kind](Revision revision) {
                                                   const bool isHeartbeat = kind == ObjectKind::RoutingConfiguration;
                                                   return this->isStoreUnavailable && !isHeartbeat ? ReflectorMode::Suspend
                                                                                                   : this->news->modeFor(kind, revision);
                                               },
                                           .onResponse =
                                               [this] {
                                                   this->recordStoreResponse();
                                               },
                                           .onFailure =
                                               [this](const std::string &reason) {
                                                   this->recordStoreFailure(reason);
                                               },
                                       });
}

Reflector &Instance::followerOf(ObjectKind kind)
{
    return *this->followers.at(static_cast<std::size_t>(kind));
}

const Reflector &Instance::followerOf(ObjectKind kind) const
{
    return *this->followers.at(static_cast<std::size_t>(kind));
}

void Instance::recordStoreResponse()
{
    Fleet::recordStoreAnswer(this->state.directory, this->timers.now());
    this->news->recordStoreAvailability(true);
    if (std::exchange(this->isStoreUnavailable, false)) {
        this->state.log.write(Importance::Notable, "store_regained", {});
        // Watches in progress may never complete.
        this->store.dropConnections();
    }
}

void Instance::recordStoreFailure(const std::string &reason)
{
    ++this->state.counters.storeFailures;
    Fleet::recordStoreFailure(this->state.directory, this->timers.now());
    this->news->recordStoreAvailability(false);
    if (!std::exchange(this->isStoreUnavailable, true)) {
        this->state.log.write(Importance::Notable,
                              "store_lost",
                              {{"reason", reason}, {"read_by_others", this->news->timeSinceStoreResponse() < UNREAD_PERIOD}});
    }
}

void Instance::recordReportedAvailability(bool isAvailable)
{
    const auto now = this->timers.now();
    (isAvailable ? Fleet::recordStoreAnswer : Fleet::recordStoreFailure)(this->state.directory, now);
    const bool isComplete = std::ranges::none_of(ALL_OBJECT_KINDS, [this](ObjectKind kind) {
        return this->needsSnapshot(kind);
    });
    // An instance that others read for has no calls that would show that the store responds to it again.
    if (isAvailable && isComplete && !this->news->isActiveWatcher() && std::exchange(this->isStoreUnavailable, false)) {
        this->state.log.write(Importance::Notable, "store_left_to_readers", {});
    }
}

void Instance::logReaderRole()
{
    const auto unread = this->news->timeSinceStoreResponse();
    const auto unreadMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(unread).count();
    const bool isReader = this->news->isActiveWatcher();
    if (std::exchange(this->wasReader, isReader) != isReader) {
        this->state.log.write(Importance::Notable, isReader ? "reader_started" : "reader_stopped", {{"unread_ms", unreadMilliseconds}});
    }
    const bool isUnread = unread >= UNREAD_PERIOD;
    if (std::exchange(this->wasStoreUnread, isUnread) != isUnread) {
        this->state.log.write(Importance::Notable, isUnread ? "store_unread" : "store_read_again", {{"unread_ms", unreadMilliseconds}});
    }
}

void Instance::detectFreeze(Core::TimePoint now)
{
    const auto boot = Network::bootNow();
    const auto gap = std::max(std::chrono::nanoseconds(now - this->lastTick), boot - this->lastTickBootTime);
    this->lastTick = now;
    this->lastTickBootTime = boot;
    const auto processorTime = Network::processorNow();
    if (gap >= FREEZE_THRESHOLD) {
        this->logFreeze(gap, processorTime - this->processorTimeAtLastTick);
        this->recoverFromFreeze();
    }
    this->processorTimeAtLastTick = processorTime;
    this->receivedAtLastTick = this->peers->receivedTraffic();
}

void Instance::logFreeze(std::chrono::nanoseconds length, std::chrono::nanoseconds processorTime)
{
    using Milliseconds = std::chrono::milliseconds;
    nlohmann::ordered_json values{{"length_ms", std::chrono::duration_cast<Milliseconds>(length).count()},
                                  {"processor_ms", std::chrono::duration_cast<Milliseconds>(processorTime).count()}};
    values.update(describeReceived(Coordination::receivedSince(this->receivedAtLastTick, this->peers->receivedTraffic())));
    this->state.log.write(Importance::Notable, "woke_after_freeze", values);
}

void Instance::recoverFromFreeze()
{
    this->lastFreezeEnd = this->timers.now();
    this->state.pool.closeIdle(this->lastFreezeEnd, Core::Duration{0});
    std::ranges::for_each(this->followers, [](const auto &follower) {
        follower->requestRelist();
    });
    this->store.dropConnections();
}

void Instance::expireTargets(Core::TimePoint now)
{
    if (Fleet::expireMissing(this->state.directory, now)) {
        updateServiceStates(this->state, now);
    }
}

void Instance::beginStop(std::function<void()> callback)
{
    this->state.log.write(Importance::Notable, "stop_began", {{"in_flight", this->state.requestsInFlight}});
    this->onStopped = std::move(callback);
    this->state.isStopping = true;
    this->stopStartedAt = this->timers.now();
    this->subscriptions.push_back(this->timers.every(STOP_CHECK_INTERVAL, [this](Core::TimePoint now) {
        this->finishStopWhenIdle(now);
    }));
}

void Instance::finishStopWhenIdle(Core::TimePoint now)
{
    const auto sinceStop = now - this->stopStartedAt;
    if (sinceStop < std::min(READINESS_PROPAGATION_DELAY, this->state.settings.stop.grace / 2)) {
        return;
    }
    this->callers->refuseNewRequests();
    const bool isOverdue = sinceStop >= this->state.settings.stop.grace - STOP_MARGIN;
    if (this->state.requestsInFlight == 0 && !std::exchange(this->hasStoppedListening, true)) {
        // Callers that waited to be accepted still get their response. The next check sees their requests.
        this->callers->stopListening();
        this->finishUsageReports();
        return;
    }
    if ((this->state.requestsInFlight == 0 || isOverdue) && this->onStopped) {
        this->finishUsageReports();
        this->peers->leave();
        this->state.log.write(Importance::Notable, "stopped", {{"in_flight", this->state.requestsInFlight}});
        this->state.log.flush();
        std::exchange(this->onStopped, nullptr)();
    }
}

void Instance::finishUsageReports()
{
    if (this->usage) {
        this->usage->finish();
    }
}

bool Instance::isReady() const
{
    const bool isCurrent = std::ranges::all_of(this->followers, &Reflector::isCurrent, &std::unique_ptr<Reflector>::operator*);
    const bool isFreezeDelayOver = this->timers.now() - this->lastFreezeEnd >= POST_FREEZE_DELAY;
    return !this->state.isStopping && !this->isIsolated() && this->quarantineKeeper->hasTriedToRead() && this->state.routingConfiguration
        && this->state.directory.isKnown && (isCurrent || isFreezeDelayOver);
}

bool Instance::isIsolated() const
{
    const auto &since = this->state.connectivity.cutOffSince;
    return since && this->timers.now() - *since >= ISOLATION_PERIOD && !this->peerFinder->hasOffers();
}

Asio::awaitable<Network::Response> Instance::handleReadiness(Network::Request request)
{
    if (Network::pathOf({request.target().data(), request.target().size()}) != READY_PATH) {
        co_return Network::makeResponse(Network::Http::status::not_found, "text/plain", "only /health/ready is known\n");
    }
    const bool ready = this->isReady();
    co_return Network::makeResponse(
        ready ? Network::Http::status::ok : Network::Http::status::service_unavailable, "text/plain", ready ? "ready\n" : "not ready\n");
}

Asio::awaitable<Network::Response> Instance::handleOperatorRequest(Network::Request request)
{
    const auto path = Network::pathOf({request.target().data(), request.target().size()});
    if (path == "/metrics") {
        co_return Network::makeResponse(
            Network::Http::status::ok, "text/plain; version=0.0.4", formatMetrics(this->state, this->peers->sentTraffic()));
    }
    co_return Network::makeResponse(Network::Http::status::not_found, "text/plain", "known paths: /metrics\n");
}

} // namespace Briarbend::Gateway
