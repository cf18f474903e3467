/// Compares the routing policies in virtual time: instances with their own state send to targets that have slots and one queue each,
/// and whose speed shifts within milliseconds. Arguments: seconds of virtual time and number of seeds.

#include <LibLimits/ShareBudget.h>
#include <LibRouting/Choice.h>
#include <LibRouting/Probing.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <map>

using namespace Briarbend;
using namespace std::chrono_literals;
using Configuration::RoutingPolicy;

namespace
{

using Ticks = std::int64_t;

constexpr auto TICK = 50us;
constexpr std::size_t SLOTS = 6;
constexpr std::size_t DATA_CENTRES = 3;
constexpr double MEAN_SERVICE_TICKS = 100;
constexpr Ticks NEAR_TICKS = 3;
constexpr Ticks FAR_TICKS = 18;
constexpr Ticks PROBE_INTERVAL = 100;
constexpr std::uint32_t PROBE_UNITS = 2;
constexpr double MEAN_SPEED = 0.7 * 1.0 + 0.2 * 0.5 + 0.1 * 0.1;

struct Request {
    std::size_t instance{0};
    std::size_t target{0};
    double work{0};
    Routing::SentRequest sent;
    bool isProbe{false};
};

struct Target {
    std::vector<Request> running;
    std::deque<Request> queued;
    double speed{1};
    Ticks nextShift{0};
};

struct Instance {
    Routing::TargetTable table;
    std::vector<Limits::ShareBudget> probes;
};

struct Scenario {
    const char *name;
    std::size_t instances;
    std::size_t targets;
    double load;
    bool hasBursts;
};

struct Result {
    std::vector<double> milliseconds;
    std::size_t probes{0};
};

Core::TimePoint timeAt(Ticks tick)
{
    return Core::TimePoint{10s} + tick * TICK;
}

Core::DataCentreName dataCentreOf(std::size_t number)
{
    return {"dc-" + std::to_string(number % DATA_CENTRES)};
}

class Simulation
{
public:
    Simulation(const Scenario &chosen, RoutingPolicy policy, std::uint64_t seed)
        : scenario(chosen)
        , speeds(seed)
        , arrivals(seed + 1)
        , choices(seed + 2)
        , targets(chosen.targets)
        , instances(chosen.instances)
    {
        std::vector<Routing::TargetDescription> descriptions;
        for (std::size_t target = 0; target < chosen.targets; ++target) {
            descriptions.push_back({{std::to_string(target)}, dataCentreOf(target), {"v1"}, false});
        }
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            auto &instance = this->instances[number];
            instance.table.parameters.policy = policy;
            instance.table.parameters.ownDataCentre = dataCentreOf(number);
            updateTargets(instance.table, descriptions);
            instance.probes.assign(chosen.targets, Limits::startShareBudget(PROBE_UNITS, timeAt(0) - 2s));
        }
    }

    Result run(Ticks ticks)
    {
        for (this->tick = 0; this->tick < ticks; ++this->tick) {
            this->arrive();
            this->deliver(this->toTargets, [this](const Request &request) {
                this->accept(request);
            });
            std::ranges::for_each(this->targets, [this](Target &target) {
                this->work(target);
            });
            this->deliver(this->toInstances, [this](const Request &request) {
                this->finish(request);
            });
            if (this->tick % PROBE_INTERVAL == 0) {
                this->probe();
            }
        }
        return std::move(this->result);
    }

private:
    using Messages = std::multimap<Ticks, Request>;

    double loadNow() const
    {
        const bool isBurst = this->scenario.hasBursts && this->tick % 4000 < 600;
        return isBurst ? 1.5 : this->scenario.load;
    }

    void arrive()
    {
        const auto perTick = static_cast<double>(this->targets.size() * SLOTS) * MEAN_SPEED / MEAN_SERVICE_TICKS;
        for (; this->nextArrival <= static_cast<double>(this->tick);
             this->nextArrival += this->arrivals.exponential(1 / (perTick * this->loadNow()))) {
            const auto number = this->arrivals.below(this->instances.size());
            const auto work = MEAN_SERVICE_TICKS * (0.5 + this->arrivals.unit());
            auto &table = this->instances[number].table;
            const auto choice = chooseTarget(table, {}, timeAt(this->tick), this->choices);
            const auto target = table.indexById.at(*choice.target);
            this->toTargets.emplace(this->tick + this->delay(number, target),
                                    Request{number, target, work, recordSent(table, *choice.target, timeAt(this->tick)), false});
        }
    }

    Ticks delay(std::size_t instance, std::size_t target) const
    {
        return instance % DATA_CENTRES == target % DATA_CENTRES ? NEAR_TICKS : FAR_TICKS;
    }

    void deliver(Messages &messages, const std::function<void(const Request &)> &receive)
    {
        while (!messages.empty() && messages.begin()->first <= this->tick) {
            receive(messages.extract(messages.begin()).mapped());
        }
    }

    void accept(const Request &request)
    {
        if (request.isProbe) {
            this->reply(request);
            return;
        }
        auto &target = this->targets[request.target];
        target.queued.push_back(request);
    }

    void work(Target &target)
    {
        if (this->tick >= target.nextShift) {
            const auto drawn = this->speeds.unit();
            target.speed = drawn < 0.7 ? 1.0 : (drawn < 0.9 ? 0.5 : 0.1);
            target.nextShift = this->tick + 100 + static_cast<Ticks>(this->speeds.below(900));
        }
        while (target.running.size() < SLOTS && !target.queued.empty()) {
            target.running.push_back(target.queued.front());
            target.queued.pop_front();
        }
        for (auto &request : target.running) {
            request.work -= target.speed;
        }
        const auto done = std::partition(target.running.begin(), target.running.end(), [](const Request &request) {
            return request.work > 0;
        });
        const std::vector<Request> finished(done, target.running.end());
        target.running.erase(done, target.running.end());
        std::ranges::for_each(finished, [this](const Request &request) {
            this->reply(request);
        });
    }

    /// Sends the answer with the load at this moment; `work` carries the report's requests in flight.
    void reply(Request request)
    {
        const auto &target = this->targets[request.target];
        request.work = static_cast<double>(target.running.size() + target.queued.size());
        this->toInstances.emplace(this->tick + this->delay(request.instance, request.target), request);
    }

    void finish(const Request &request)
    {
        auto &table = this->instances[request.instance].table;
        const Routing::LoadReport report{.inFlight = static_cast<std::uint32_t>(request.work), .slots = SLOTS};
        const auto now = timeAt(this->tick);
        if (request.isProbe) {
            recordProbeAnswer(table, request.sent.target, report, now);
            return;
        }
        recordAnswer(table, request.sent, {.kind = Routing::OutcomeKind::Success, .report = report}, now);
        recordFinished(table, request.sent);
        this->result.milliseconds.push_back(std::chrono::duration<double, std::milli>(now - request.sent.sentAt).count());
    }

    void probe()
    {
        const auto now = timeAt(this->tick);
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            auto &instance = this->instances[number];
            const auto isPermitted = [&](const Routing::TargetState &target) {
                return hasFreeUnit(instance.probes[instance.table.indexById.at(target.description.id)], now);
            };
            for (const auto &id : chooseProbes(instance.table, isPermitted, 4, now, this->choices)) {
                const auto target = instance.table.indexById.at(id);
                reserveUnit(instance.probes[target], now);
                confirmUnit(instance.probes[target], now);
                recordProbeSent(instance.table, id, now);
                this->toTargets.emplace(this->tick + this->delay(number, target),
                                        Request{number, target, 0, {.target = id, .sentAt = now}, true});
                ++this->result.probes;
            }
        }
    }

    Scenario scenario;
    Core::Random speeds;
    Core::Random arrivals;
    Core::Random choices;
    std::vector<Target> targets;
    std::vector<Instance> instances;
    Messages toTargets;
    Messages toInstances;
    Ticks tick{0};
    double nextArrival{0};
    Result result;
};

double percentile(std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void compare(const Scenario &scenario, Ticks ticks, std::uint64_t seeds)
{
    constexpr std::pair<const char *, RoutingPolicy> POLICIES[]{{"round-robin", RoutingPolicy::RoundRobin},
                                                                {"two-choices", RoutingPolicy::RandomTwoChoices},
                                                                {"least-in-flight", RoutingPolicy::LeastInFlight},
                                                                {"probe-pool", RoutingPolicy::ProbePool}};
    std::map<RoutingPolicy, Result> results;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto &[name, policy] : POLICIES) {
            auto result = Simulation(scenario, policy, seed * 1000).run(ticks);
            auto &sum = results[policy];
            sum.milliseconds.insert(sum.milliseconds.end(), result.milliseconds.begin(), result.milliseconds.end());
            sum.probes += result.probes;
        }
    }
    for (const auto &[name, policy] : POLICIES) {
        auto &[milliseconds, probes] = results[policy];
        std::ranges::sort(milliseconds);
        const auto targetSeconds
            = static_cast<double>(ticks) * std::chrono::duration<double>(TICK).count() * static_cast<double>(seeds * scenario.targets);
        std::cout << std::left << std::setw(20) << scenario.name << std::setw(17) << name << std::right << std::fixed
                  << std::setprecision(2) << std::setw(9) << percentile(milliseconds, 0.5) << std::setw(9) << percentile(milliseconds, 0.99)
                  << std::setw(9) << percentile(milliseconds, 0.999) << std::setw(9) << static_cast<double>(probes) / targetSeconds
                  << std::endl;
    }
}

} // namespace

int main(int count, char **arguments)
{
    const auto seconds = count > 1 ? std::stoll(arguments[1]) : 5;
    const auto seeds = count > 2 ? std::stoull(arguments[2]) : 3;
    std::cout << "scenario            policy              p50 ms   p99 ms p99.9 ms probes/s per target\n";
    for (const auto &scenario : {Scenario{"sfax 13 50%", 13, 20, 0.5, false},
                                 Scenario{"sfax 13 75%", 13, 20, 0.75, false},
                                 Scenario{"sfax 13 90%", 13, 20, 0.9, false},
                                 Scenario{"sfax 13 bursts", 13, 20, 0.5, true},
                                 Scenario{"klang 19 50%", 19, 8, 0.5, false},
                                 Scenario{"klang 19 75%", 19, 8, 0.75, false},
                                 Scenario{"klang 19 90%", 19, 8, 0.9, false},
                                 Scenario{"klang 19 bursts", 19, 8, 0.5, true}}) {
        compare(scenario, seconds * (1s / TICK), seeds);
    }
    return 0;
}
