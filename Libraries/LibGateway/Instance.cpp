#include <LibGateway/Instance.h>

#include <LibGateway/Metrics.h>
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

constexpr std::chrono::milliseconds LOG_FLUSH{50};
constexpr std::chrono::milliseconds TICK{100};
/// A gap between two ticks above this shows that the process stood still; a busy host delays ticks by less.
constexpr std::chrono::milliseconds FREEZE_LIMIT{600};
constexpr std::chrono::seconds IDLE_SWEEP{5};
constexpr std::chrono::seconds TRAFFIC_REPORT{10};
/// Longer than targets keep idle connections.
constexpr std::chrono::seconds IDLE_LIFETIME{20};
constexpr std::chrono::milliseconds STOP_CHECK{50};
/// The balancer asks once a second and moves on after two misses.
constexpr std::chrono::milliseconds BALANCER_PATIENCE{3000};
/// The end of the grace that a request taken late must leave free.
constexpr std::chrono::milliseconds STOP_MARGIN{300};

/// Targets that may break under a request before it is suspect. Many requests lose one target when a data centre fails; they are to be
/// served elsewhere at once. The platform bears three.
constexpr std::size_t TOLERATED_BREAKS = 1;

constexpr std::string_view READY_PATH{"/health/ready"};

/// The watch of the plan is short: that it is answered in time shows every second that the store still does. A store that falls silent
/// swallows watches, and nothing else tells.
constexpr std::chrono::milliseconds CANARY_WATCH{1000};
/// The longest watch that the platform allows is 30 s; each call is paid for.
constexpr std::chrono::milliseconds LONGEST_WATCH{28'000};
/// Part of the store's history that a watch may last: after a quiet one the next still goes on from what is there.
constexpr double HISTORY_PART = 0.75;

std::chrono::milliseconds watchLength(ObjectKind kind, std::chrono::milliseconds history)
{
    const auto longest = std::min(LONGEST_WATCH, std::chrono::duration_cast<std::chrono::milliseconds>(history * HISTORY_PART));
    return kind == ObjectKind::Plan ? std::min(CANARY_WATCH, longest) : longest;
}

} // namespace

Instance::Instance(
    Asio::io_context &ioContext, Settings::GatewaySettings settings, Dialect dialect, PlatformStore &platformStore, std::uint64_t seed)
    : context(ioContext)
    , state(ioContext.get_executor(), std::move(settings), dialect, seed)
    , store(platformStore)
    , timers(ioContext)
    , lastTick(Core::Clock::now())
    , lastTickAtBoot(Network::bootNow())
{
    const auto &addresses = this->state.settings.instance;
    this->startPeers(seed);
    this->makeNews();
    this->makeTargetNews();
    this->quarantine = std::make_unique<Coordination::QuarantineLink>(ioContext, this->timers, *this->peers, TOLERATED_BREAKS);
    this->state.guard = this->quarantine.get();
    this->rollouts = std::make_unique<RolloutDriver>(this->state, this->timers, this->store, *this->peers);
    this->callers = std::make_unique<CallerFrontend>(ioContext, this->state);
    this->readyServer = std::make_unique<Network::HttpServer>(ioContext, addresses.readyAddress, [this](Network::Request request) {
        return this->answerReady(std::move(request));
    });
    this->operatorServer = std::make_unique<Network::HttpServer>(ioContext, addresses.metricsAddress, [this](Network::Request request) {
        return this->answerOperator(std::move(request));
    });
    for (const auto kind : ALL_KINDS) {
        this->followers.push_back(this->makeFollower(kind));
        spawn(this->state, "follower", this->followers.back()->follow());
    }
    this->subscriptions.push_back(this->timers.every(LOG_FLUSH, [this](Core::TimePoint) {
        this->state.log.flush();
    }));
    this->subscriptions.push_back(this->timers.every(TICK, [this](Core::TimePoint now) {
        this->watchForFreeze(now);
        this->countInstances();
        this->expireTargets(now);
    }));
    this->subscriptions.push_back(this->timers.every(IDLE_SWEEP, [this](Core::TimePoint now) {
        this->state.pool.closeIdle(now, IDLE_LIFETIME);
        Fleet::expireSelfReports(this->state.directory, now);
    }));
    this->subscriptions.push_back(this->timers.every(TRAFFIC_REPORT, [this](Core::TimePoint) {
        this->state.log.write(Importance::Routine, "traffic", describeTraffic(this->state, this->peers->sentTraffic()));
    }));
    this->state.log.write(Importance::Notable,
                          "started",
                          {{"callers", addresses.callerAddress.text()},
                           {"ready", addresses.readyAddress.text()},
                           {"metrics", addresses.metricsAddress.text()},
                           {"data_centre", addresses.dataCentre.value}});
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

void Instance::countInstances()
{
    this->state.instances = std::max<std::size_t>(1, Membership::countAlive(this->peers->state().members));
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
    refreshBooks(this->state, this->timers.now());
    this->state.log.write(Importance::Notable, "settings_reloaded", {{"file", file}});
}

std::unique_ptr<Follower> Instance::makeFollower(ObjectKind kind)
{
    return std::make_unique<Follower>(this->context,
                                      this->store,
                                      this->state.random,
                                      kind,
                                      watchLength(kind, this->state.settings.store.history),
                                      Follower::Callbacks{
                                          .onChanges =
                                              [this, kind](Revision previous, const Changes &changes) {
                                                  this->takeChanges(kind, previous, changes);
                                              },
                                          .mode =
                                              [this, kind](Revision revision) {
                                                  const bool isCanary = kind == ObjectKind::Plan;
                                                  return this->isStoreLost && !isCanary ? FollowMode::Hold
                                                                                        : this->news->modeFor(kind, revision);
                                              },
                                          .onAnswer =
                                              [this] {
                                                  this->noteStoreAnswer();
                                              },
                                          .onFailure =
                                              [this](const std::string &reason) {
                                                  this->noteStoreFailure(reason);
                                              },
                                      });
}

Follower &Instance::followerOf(ObjectKind kind)
{
    return *this->followers.at(static_cast<std::size_t>(kind));
}

const Follower &Instance::followerOf(ObjectKind kind) const
{
    return *this->followers.at(static_cast<std::size_t>(kind));
}

void Instance::noteStoreAnswer()
{
    Fleet::recordStoreAnswer(this->state.directory, this->timers.now());
    this->news->noteStore(true);
    if (std::exchange(this->isStoreLost, false)) {
        this->state.log.write(Importance::Notable, "store_regained", {});
        // Watches that were under way may have been swallowed.
        this->store.dropConnections();
    }
}

void Instance::noteStoreFailure(const std::string &reason)
{
    ++this->state.counters.storeFailures;
    Fleet::recordStoreFailure(this->state.directory, this->timers.now());
    this->news->noteStore(false);
    if (!std::exchange(this->isStoreLost, true)) {
        this->state.log.write(Importance::Notable, "store_lost", {{"reason", reason}});
    }
}

void Instance::watchForFreeze(Core::TimePoint now)
{
    const auto boot = Network::bootNow();
    const auto gap = std::max(std::chrono::nanoseconds(now - this->lastTick), boot - this->lastTickAtBoot);
    this->lastTick = now;
    this->lastTickAtBoot = boot;
    if (gap >= FREEZE_LIMIT) {
        this->afterFreeze(std::chrono::duration_cast<std::chrono::milliseconds>(gap));
    }
}

void Instance::afterFreeze(std::chrono::milliseconds length)
{
    this->state.log.write(Importance::Notable, "woke_after_freeze", {{"length_ms", length.count()}});
    this->wokeAt = this->timers.now();
    this->state.pool.closeIdle(this->wokeAt, Core::Duration{0});
    std::ranges::for_each(this->followers, [](const auto &follower) {
        follower->listAgain();
    });
    this->store.dropConnections();
}

void Instance::expireTargets(Core::TimePoint now)
{
    if (Fleet::expireMissing(this->state.directory, now)) {
        refreshBooks(this->state, now);
    }
}

void Instance::beginStop(std::function<void()> callback)
{
    this->state.log.write(Importance::Notable, "stop_began", {{"in_flight", this->state.requestsInFlight}});
    this->onStopped = std::move(callback);
    this->state.isStopping = true;
    this->stopBegan = this->timers.now();
    this->subscriptions.push_back(this->timers.every(STOP_CHECK, [this](Core::TimePoint now) {
        this->finishStopWhenIdle(now);
    }));
}

void Instance::finishStopWhenIdle(Core::TimePoint now)
{
    const auto sinceStop = now - this->stopBegan;
    if (sinceStop < std::min(BALANCER_PATIENCE, this->state.settings.stop.grace / 2)) {
        return;
    }
    this->callers->refuseNewRequests();
    const bool isOverdue = sinceStop >= this->state.settings.stop.grace - STOP_MARGIN;
    if ((this->state.requestsInFlight == 0 || isOverdue) && this->onStopped) {
        this->callers->stopListening();
        this->peers->leave();
        this->state.log.write(Importance::Notable, "stopped", {{"in_flight", this->state.requestsInFlight}});
        this->state.log.flush();
        std::exchange(this->onStopped, nullptr)();
    }
}

bool Instance::isReady() const
{
    const bool isCurrent = std::ranges::all_of(this->followers, &Follower::isCurrent, &std::unique_ptr<Follower>::operator*);
    const bool isPatient = this->timers.now() - this->wokeAt >= WAKE_PATIENCE;
    return !this->state.isStopping && this->state.plan && this->state.directory.isKnown && (isCurrent || isPatient);
}

Asio::awaitable<Network::Response> Instance::answerReady(Network::Request request)
{
    if (Network::pathOf({request.target().data(), request.target().size()}) != READY_PATH) {
        co_return Network::makeResponse(Network::Http::status::not_found, "text/plain", "only /health/ready is known\n");
    }
    const bool ready = this->isReady();
    co_return Network::makeResponse(
        ready ? Network::Http::status::ok : Network::Http::status::service_unavailable, "text/plain", ready ? "ready\n" : "not ready\n");
}

Asio::awaitable<Network::Response> Instance::answerOperator(Network::Request request)
{
    const auto path = Network::pathOf({request.target().data(), request.target().size()});
    if (path == "/metrics") {
        co_return Network::makeResponse(
            Network::Http::status::ok, "text/plain; version=0.0.4", formatMetrics(this->state, this->peers->sentTraffic()));
    }
    co_return Network::makeResponse(Network::Http::status::not_found, "text/plain", "known paths: /metrics\n");
}

} // namespace Briarbend::Gateway
