#include "World.h"

#include <Tests/Processes/Support/Exchange.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace Briarbend::Soak
{

namespace
{

namespace Asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::array<const char *, 2> DATA_CENTRES{"north", "south"};
constexpr const char *SERVICE{"soaked"};
constexpr std::chrono::seconds START_TIMEOUT{10};
constexpr std::chrono::milliseconds POLL{50};
/// An instance is started again this long after its end.
constexpr std::chrono::milliseconds RESTART_DELAY{300};
/// What a restored store has lost is written again after this time.
constexpr std::chrono::milliseconds REWRITE_DELAY{700};
constexpr std::chrono::seconds STOP_GRACE{6};
constexpr std::chrono::milliseconds LINK_DELAY{150};
constexpr int SLOW{8};
/// A leaving target serves for the platform's two seconds and a little longer.
constexpr std::chrono::milliseconds LEAVING_TIME{3000};
/// Targets state rates of less than one request a second for each instance. The platform's bound applies after its stable window.
constexpr double LOWEST_RATE = 0.4;
constexpr double RATE_STEP = 0.7;
constexpr std::size_t RATES = 8;
constexpr std::chrono::seconds SHORTEST_LIMIT{5};
/// Configurations have to be in force after this time.
constexpr std::chrono::seconds IN_FORCE{2};
/// Time after the last fault: calm instances have to serve again, which the ledger checks.
constexpr std::chrono::seconds CALM_TIME{6};

std::filesystem::path makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "briarbend-soak-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

template<typename Item>
Item &pick(std::vector<Item> &items, const Fault &fault)
{
    return items[fault.subject % items.size()];
}

} // namespace

World::World(Asio::io_context &ioContext, WorldSize worldSize, std::uint64_t seed)
    : context(ioContext)
    , size(worldSize)
    , folder(makeFolder())
    , store(ioContext)
    , storeLink(ioContext, this->store.endpoint())
{
    for (const auto *dataCentre : DATA_CENTRES) {
        for (std::size_t index = 0; index < this->size.targetsPerDataCentre; ++index) {
            const auto name = std::string(dataCentre) + "-" + std::to_string(index);
            auto target = std::make_unique<SoakTarget>(ioContext, this->ledger, name, seed + this->targets.size());
            auto link = std::make_unique<FaultProxy>(ioContext, target->endpoint());
            this->targets.push_back({.target = std::move(target), .link = std::move(link), .dataCentre = dataCentre});
            this->publishTarget(this->targets.back());
        }
    }
    this->publishConfiguration();
    this->instances.resize(this->size.instances);
    std::vector<Network::Endpoint> seeds;
    for (std::size_t number = 0; number < this->size.instances; ++number) {
        const auto callers = Processes::unusedEndpoint();
        seeds.push_back(Processes::unusedEndpoint());
        this->writeSettings(number, seeds, callers);
        this->instances[number].callers = std::make_unique<Callers>(ioContext, this->ledger, number, callers);
    }
}

World::~World()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void World::writeSettings(std::size_t number, const std::vector<Network::Endpoint> &seeds, const Network::Endpoint &callers)
{
    auto &instance = this->instances[number];
    instance.settings = this->folder / ("instance-" + std::to_string(number) + ".toml");
    instance.readyEndpoint = Processes::unusedEndpoint();
    std::ofstream text(instance.settings);
    text << "[instance]\nname = \"instance-" << number << "\"\ndata_centre = \"" << DATA_CENTRES[number % DATA_CENTRES.size()]
         << "\"\ncaller_address = \"" << callers.text() << "\"\nready_address = \"" << instance.readyEndpoint.text()
         << "\"\npeer_address = \"" << seeds.back().text() << "\"\nmetrics_address = \"" << Processes::unusedEndpoint().text()
         << "\"\n[store]\nendpoint = \"" << this->storeLink.endpoint().text() << "\"\n[peers]\nseeds = [\"" << seeds.front().text()
         << "\"]\n[callers]\nread_ahead = 8\n[stop]\ngrace = " << STOP_GRACE.count() << "\n";
}

void World::startInstance(EntryInstance &instance)
{
    instance.process.emplace("briarbend-gateway", std::vector<std::string>{"--settings", instance.settings.string()});
}

Asio::awaitable<void> World::waitUntilReady()
{
    const auto end = Core::Clock::now() + START_TIMEOUT;
    const std::string path{"/health/ready"};
    for (const auto &instance : this->instances) {
        Callers asker(this->context, this->ledger, 0, instance.readyEndpoint);
        while (co_await asker.ask(path) != 200U) {
            if (Core::Clock::now() > end) {
                throw std::runtime_error("an instance is not ready in time");
            }
            co_await this->pause(POLL);
        }
    }
}

void World::publishTarget(const Target &target)
{
    this->store.put("servers",
                    target.target->name(),
                    {{"address", target.link->endpoint().text()},
                     {"born", target.target->startedAt()},
                     {"info", {{"service", SERVICE}, {"zone", target.dataCentre}, {"version", "v1"}, {"slots", 6}}},
                     {"status", {{"state", target.isLeaving ? "draining" : "ready"}, {"coldLeftS", 0}, {"seq", 1}}}});
}

void World::publishConfiguration()
{
    ++this->version;
    this->putConfiguration();
}

void World::putConfiguration()
{
    const auto route = [](const std::string &prefix, const char *kind) {
        return nlohmann::json{{"host", HOST},
                              {"pathPrefix", prefix},
                              {"kind", kind},
                              {"timeoutS", 2},
                              {"targetLatencyS", 0.5},
                              {"maxAttempts", 2},
                              {"priority", 1},
                              {"service", SERVICE}};
    };
    nlohmann::json routes{{"safe", route(SAFE_PREFIX, "idempotent")}, {"once", route(ONCE_PREFIX, "non_idempotent")}};
    for (const auto &added : this->addedRoutes) {
        routes[added.substr(1, added.size() - 2)] = route(added, "idempotent");
    }
    this->store.put("config",
                    "main",
                    {{"version", this->version},
                     {"routes", routes},
                     {"services", {{SERVICE, {{"healthPath", "/healthz"}, {"maxConns", 200}, {"coldPerS", 5}}}}},
                     {"limits", nlohmann::json::object()}});
}

Asio::awaitable<std::vector<std::string>> World::play(std::vector<Fault> faults, std::chrono::milliseconds length)
{
    std::ranges::for_each(this->instances, [this](EntryInstance &instance) {
        this->startInstance(instance);
    });
    co_await this->waitUntilReady();
    const auto begin = Core::Clock::now();
    std::ranges::for_each(this->instances, [this](EntryInstance &instance) {
        instance.callers->start(this->size.callersPerInstance);
    });
    for (const auto &fault : faults) {
        co_await this->pause(std::chrono::duration_cast<std::chrono::milliseconds>(begin + fault.at - Core::Clock::now()));
        ++this->faultsUnderWay;
        Asio::co_spawn(this->context, this->inject(fault), [this](const std::exception_ptr &error) {
            --this->faultsUnderWay;
            if (error) {
                std::rethrow_exception(error);
            }
        });
    }
    co_await this->pause(std::chrono::duration_cast<std::chrono::milliseconds>(begin + length - Core::Clock::now()));
    while (this->faultsUnderWay > 0) {
        co_await this->pause(POLL);
    }
    const auto faultsEnded = Core::Clock::now();
    co_await this->pause(CALM_TIME);
    std::ranges::for_each(this->instances, [](EntryInstance &instance) {
        instance.callers->stop();
    });
    while (!std::ranges::all_of(this->instances, [](const EntryInstance &instance) {
        return instance.callers->isIdle();
    })) {
        co_await this->pause(POLL);
    }
    co_return this->ledger.brokenPromises(faultsEnded);
}

std::string World::summary() const
{
    return this->ledger.summary();
}

Asio::awaitable<void> World::inject(Fault fault)
{
    switch (fault.kind) {
    case FaultKind::InstanceFrozen:
    case FaultKind::InstanceKilled:
    case FaultKind::InstanceStopped:
    case FaultKind::InstanceReloaded:
        co_return co_await this->harmInstance(fault);
    case FaultKind::AllInstancesKilled:
        co_return co_await this->killAllInstances();
    case FaultKind::StoreRefuses:
    case FaultKind::StoreCloses:
    case FaultKind::StoreSilent:
    case FaultKind::StoreSlow:
        co_return co_await this->harmStore(fault);
    case FaultKind::StoreRestored:
        co_return co_await this->restoreStore(fault);
    case FaultKind::LinkDelayed:
    case FaultKind::LinkReset:
    case FaultKind::LinkSilent:
    case FaultKind::LinkOneWay:
        co_return co_await this->harmLink(fault);
    case FaultKind::TargetCrashed:
    case FaultKind::TargetSlow:
    case FaultKind::TargetGarbles:
        co_return co_await this->harmTarget(fault);
    case FaultKind::TargetLeaves:
        co_return co_await this->letLeave(pick(this->targets, fault));
    case FaultKind::TargetSaysItLeaves:
        co_return co_await this->letLeaveUnlisted(pick(this->targets, fault));
    case FaultKind::TargetStatesRate:
        co_return co_await this->limitTarget(*pick(this->targets, fault).target, fault);
    case FaultKind::RouteAdded:
        co_return co_await this->addRoute();
    case FaultKind::DataCentreOut:
        co_return co_await this->takeOut(fault);
    }
}

Asio::awaitable<void> World::harmInstance(Fault fault)
{
    const auto number = fault.subject % this->instances.size();
    auto &instance = this->instances[number];
    if (std::exchange(instance.isTaken, true)) {
        co_return;
    }
    auto &process = *instance.process;
    const auto now = Core::Clock::now();
    if (fault.kind == FaultKind::InstanceReloaded) {
        ::kill(process.pid(), SIGHUP);
    } else if (fault.kind == FaultKind::InstanceStopped) {
        // Planned work is no disturbance for the promise that it cuts nothing.
        this->ledger.recordStop(number, now);
        process.terminate();
        const auto end = now + STOP_GRACE;
        while (process.isRunning() && Core::Clock::now() < end) {
            co_await this->pause(POLL);
        }
    }
    const bool isDisturbed = fault.kind != FaultKind::InstanceReloaded;
    const auto disturbance = isDisturbed
        ? this->ledger.begin({.instance = number, .begin = fault.kind == FaultKind::InstanceStopped ? Core::Clock::now() : now, .end = {}})
        : 0;
    if (fault.kind == FaultKind::InstanceFrozen) {
        process.freeze();
        co_await this->pause(fault.duration);
        process.resume();
    } else if (isDisturbed) {
        process.kill();
        co_await this->pause(RESTART_DELAY);
        this->startInstance(instance);
    }
    if (isDisturbed) {
        this->ledger.end(disturbance, Core::Clock::now());
    }
    instance.isTaken = false;
}

Asio::awaitable<void> World::killAllInstances()
{
    const auto disturbance = this->ledger.begin({.instance = {}, .begin = Core::Clock::now(), .end = {}});
    std::vector<EntryInstance *> killed;
    for (auto &instance : this->instances) {
        if (!std::exchange(instance.isTaken, true)) {
            instance.process->kill();
            killed.push_back(&instance);
        }
    }
    co_await this->pause(RESTART_DELAY);
    for (auto *instance : killed) {
        this->startInstance(*instance);
        instance->isTaken = false;
    }
    this->ledger.end(disturbance, Core::Clock::now());
}

Asio::awaitable<void> World::harmStore(Fault fault)
{
    const auto disturbance = this->ledger.begin({.instance = {}, .begin = Core::Clock::now(), .end = {}});
    if (fault.kind == FaultKind::StoreSilent) {
        this->storeLink.setMode(LinkMode::Silent);
    } else {
        this->store.mode = fault.kind == FaultKind::StoreRefuses ? StoreMode::Refuses
            : fault.kind == FaultKind::StoreCloses               ? StoreMode::Closes
                                                                 : StoreMode::Slow;
    }
    co_await this->pause(fault.duration);
    this->store.mode = StoreMode::Serves;
    if (fault.kind == FaultKind::StoreSilent) {
        // Bytes were lost on the way, so that the connections are of no use any more.
        this->storeLink.setMode(LinkMode::Reset);
        this->storeLink.setMode(LinkMode::Pass);
    }
    this->ledger.end(disturbance, Core::Clock::now());
}

Asio::awaitable<void> World::restoreStore(Fault fault)
{
    if (std::exchange(this->isRestoring, true)) {
        co_return;
    }
    this->store.takeCopy();
    co_await this->pause(2 * fault.duration);
    const auto disturbance = this->ledger.begin({.instance = {}, .begin = Core::Clock::now(), .end = {}});
    this->store.mode = StoreMode::Closes;
    co_await this->pause(fault.duration / 2);
    this->store.restore();
    this->store.mode = StoreMode::Serves;
    co_await this->pause(REWRITE_DELAY);
    this->putConfiguration();
    for (const auto &target : this->targets) {
        if (target.isGone) {
            this->store.remove("servers", target.target->name());
        } else {
            this->publishTarget(target);
        }
    }
    for (const auto *dataCentre : DATA_CENTRES) {
        if (this->dataCentresOut.contains(dataCentre)) {
            this->store.put("evacuations", dataCentre, nlohmann::json::object());
        } else {
            this->store.remove("evacuations", dataCentre);
        }
    }
    this->ledger.end(disturbance, Core::Clock::now());
    this->isRestoring = false;
}

Asio::awaitable<void> World::harmLink(Fault fault)
{
    auto &link = *pick(this->targets, fault).link;
    switch (fault.kind) {
    case FaultKind::LinkDelayed:
        link.setMode(LinkMode::Delay, LINK_DELAY);
        break;
    case FaultKind::LinkReset:
        link.setMode(LinkMode::Reset);
        break;
    case FaultKind::LinkSilent:
        link.setMode(LinkMode::Silent);
        break;
    default:
        link.setMode(LinkMode::OneWay);
    }
    co_await this->pause(fault.duration);
    if (fault.kind != FaultKind::LinkDelayed) {
        link.setMode(LinkMode::Reset);
    }
    link.setMode(LinkMode::Pass);
}

Asio::awaitable<void> World::harmTarget(Fault fault)
{
    auto &target = pick(this->targets, fault);
    if (fault.kind == FaultKind::TargetCrashed) {
        target.link->setMode(LinkMode::Closed);
        this->ledger.recordRateEnd({target.target->name(), target.target->startedAt()}, Core::Clock::now());
        target.target->restart();
        co_await this->pause(fault.duration);
        target.link->setMode(LinkMode::Pass);
        this->publishTarget(target);
        co_return;
    }
    target.target->slowness = fault.kind == FaultKind::TargetSlow ? SLOW : 1;
    target.target->isGarbling = fault.kind == FaultKind::TargetGarbles;
    co_await this->pause(fault.duration);
    target.target->slowness = 1;
    target.target->isGarbling = false;
}

Asio::awaitable<void> World::letLeave(Target &target)
{
    if (std::exchange(target.isLeaving, true)) {
        co_return;
    }
    this->publishTarget(target);
    this->ledger.recordLeaving(target.target->name(), Core::Clock::now());
    co_await this->pause(LEAVING_TIME);
    this->store.remove("servers", target.target->name());
    target.isGone = true;
    target.link->setMode(LinkMode::Closed);
}

Asio::awaitable<void> World::letLeaveUnlisted(Target &target)
{
    if (std::exchange(target.isLeaving, true)) {
        co_return;
    }
    target.target->saysItLeaves = true;
    co_await this->pause(2 * LEAVING_TIME);
    this->store.remove("servers", target.target->name());
    target.isGone = true;
    target.link->setMode(LinkMode::Closed);
}

Asio::awaitable<void> World::limitTarget(SoakTarget &target, Fault fault)
{
    const TargetStart start{target.name(), target.startedAt()};
    if (target.statedRate) {
        co_return;
    }
    target.statedRate = LOWEST_RATE + RATE_STEP * static_cast<double>(fault.subject % RATES);
    this->ledger.recordRate(start, *target.statedRate, Core::Clock::now());
    co_await this->pause(SHORTEST_LIMIT + 2 * fault.duration);
    this->ledger.recordRateEnd(start, Core::Clock::now());
    if (target.startedAt() == start.second) {
        target.statedRate.reset();
    }
}

Asio::awaitable<void> World::addRoute()
{
    const auto route = "/added-" + std::to_string(this->addedRoutes.size()) + "/";
    this->addedRoutes.push_back(route);
    this->publishConfiguration();
    co_await this->pause(IN_FORCE);
    for (std::size_t number = 0; number < this->instances.size(); ++number) {
        constexpr unsigned NOT_FOUND = 404;
        const auto askedAt = Core::Clock::now();
        if (co_await this->instances[number].callers->ask(route) == NOT_FOUND) {
            this->ledger.recordUnknownRoute(number, route, askedAt);
        }
    }
}

Asio::awaitable<void> World::takeOut(Fault fault)
{
    const std::string dataCentre = DATA_CENTRES[fault.subject % DATA_CENTRES.size()];
    std::vector<std::string> names;
    for (const auto &target : this->targets) {
        if (target.dataCentre == dataCentre) {
            names.push_back(target.target->name());
        }
    }
    this->store.put("evacuations", dataCentre, nlohmann::json::object());
    this->dataCentresOut.insert(dataCentre);
    this->ledger.recordOut(names, Core::Clock::now());
    co_await this->pause(2 * fault.duration);
    this->ledger.recordBack(names, Core::Clock::now());
    this->dataCentresOut.erase(dataCentre);
    this->store.remove("evacuations", dataCentre);
}

Asio::awaitable<void> World::pause(std::chrono::milliseconds duration)
{
    if (duration.count() <= 0) {
        co_return;
    }
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

} // namespace Briarbend::Soak
