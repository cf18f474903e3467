/// Compares the routing policies in virtual time. Instances with separate state send to targets, each with slots and one queue, whose speed
/// changes within milliseconds. Arguments: seconds of virtual time and number of seeds.

#include <LibLimits/RateQuota.h>
#include <LibLimits/RetryBudget.h>
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
constexpr double MEAN_WORK_TICKS = 100;
constexpr double MEAN_SPEED = 0.7 * 1.0 + 0.2 * 0.5 + 0.1 * 0.1;
constexpr Ticks PROBE_INTERVAL = 100;
constexpr std::uint32_t PROBE_UNITS = 2;
constexpr std::size_t PROBES_AT_ONCE = 4;

struct Scenario {
    const char *name;
    std::size_t instances;
    std::size_t targets;
    double load;
    bool hasBursts;
};

struct Variant {
    const char *name;
    RoutingPolicy policy;
    bool hasHedges;
};

struct Result {
    std::vector<double> milliseconds;
    std::size_t probes{0};
    std::size_t hedges{0};
};

enum class MessageKind {
    Request,
    Probe,
    Answer,
    ProbeAnswer,
    Cancellation,
    HedgeTimer,
};

struct Message {
    MessageKind kind;
    std::uint64_t call;
    std::size_t instance;
    std::size_t target;
    Routing::SentRequest sent;
    double work{0};
    std::uint32_t reportedInFlight{0};
};

struct Call {
    Core::TimePoint arrivedAt;
    double work;
    std::vector<Message> copies{};
};

struct Target {
    std::vector<Message> running;
    std::deque<Message> queued;
    double speed{1};
    Ticks nextSpeedChange{0};
};

struct Instance {
    Routing::TargetTable table;
    std::vector<Limits::RateQuota> probes;
    Limits::RetryBudget hedges;
};

Core::DataCentreName dataCentreOf(std::size_t number)
{
    return {"dc-" + std::to_string(number % DATA_CENTRES)};
}

class Simulation
{
public:
    Simulation(const Scenario &chosenScenario, const Variant &chosenVariant, std::uint64_t seed)
        : scenario(chosenScenario)
        , variant(chosenVariant)
        , speeds(seed)
        , arrivals(seed + 1)
        , choices(seed + 2)
        , targets(chosenScenario.targets)
        , instances(chosenScenario.instances)
    {
        std::vector<Routing::TargetRecord> records;
        for (std::size_t target = 0; target < this->targets.size(); ++target) {
            records.push_back({{std::to_string(target)}, dataCentreOf(target), {"v1"}, false});
        }
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            auto &instance = this->instances[number];
            instance.table.parameters.policy = chosenVariant.policy;
            instance.table.parameters.ownDataCentre = dataCentreOf(number);
            updateTargets(instance.table, records);
            instance.probes.assign(this->targets.size(), Limits::startRateQuota(PROBE_UNITS, Core::TimePoint{0s}));
        }
    }

    Result run(Ticks ticks)
    {
        for (this->tick = 0; this->tick < ticks; ++this->tick) {
            this->now = Core::TimePoint{10s} + this->tick * TICK;
            this->addArrivals();
            while (!this->messages.empty() && this->messages.begin()->first <= this->tick) {
                this->receive(this->messages.extract(this->messages.begin()).mapped());
            }
            std::ranges::for_each(this->targets, [this](Target &target) {
                this->work(target);
            });
            if (this->tick % PROBE_INTERVAL == 0) {
                std::ranges::for_each(this->instances, [this](Instance &instance) {
                    this->probe(instance);
                });
            }
        }
        return std::move(this->result);
    }

private:
    void addArrivals()
    {
        const bool isBurst = this->scenario.hasBursts && this->tick % 4000 < 600;
        const auto load = isBurst ? 1.5 : this->scenario.load;
        const auto perTick = load * static_cast<double>(this->targets.size() * SLOTS) * MEAN_SPEED / MEAN_WORK_TICKS;
        for (; this->nextArrival <= static_cast<double>(this->tick); this->nextArrival += this->arrivals.exponential(1 / perTick)) {
            const auto instance = this->arrivals.below(this->instances.size());
            const auto call = this->lastCall++;
            this->calls.emplace(call, Call{this->now, MEAN_WORK_TICKS * (0.5 + this->arrivals.unit())});
            recordRequest(this->instances[instance].hedges, this->now);
            const auto sent = this->send(call, instance, {});
            if (this->variant.hasHedges) {
                const auto late = hedgeDelay(this->instances[instance].table) / TICK;
                this->messages.emplace(this->tick + late, Message{MessageKind::HedgeTimer, call, instance, 0, sent});
            }
        }
    }

    Routing::SentRequest send(std::uint64_t number, std::size_t instance, std::span<const Core::TargetId> excluded)
    {
        auto &table = this->instances[instance].table;
        const auto choice = chooseTarget(table, {.excluded = excluded}, this->now, this->choices);
        auto &call = this->calls.at(number);
        const Message message{MessageKind::Request,
                              number,
                              instance,
                              table.indexById.at(*choice.target),
                              recordSent(table, *choice.target, this->now),
                              call.work};
        call.copies.push_back(message);
        this->post(message);
        return message.sent;
    }

    void post(const Message &message)
    {
        const bool isNear = message.instance % DATA_CENTRES == message.target % DATA_CENTRES;
        this->messages.emplace(this->tick + (isNear ? 3 : 18), message);
    }

    void receive(Message message)
    {
        auto &target = this->targets[message.target];
        const auto isSame = [&](const Message &other) {
            return other.call == message.call;
        };
        switch (message.kind) {
        case MessageKind::Request:
            target.queued.push_back(message);
            return;
        case MessageKind::Probe:
            this->reply(message, MessageKind::ProbeAnswer);
            return;
        case MessageKind::Answer:
            this->finish(message);
            return;
        case MessageKind::ProbeAnswer:
            recordProbeAnswer(this->instances[message.instance].table, message.sent.target, reportOf(message), this->now);
            return;
        case MessageKind::Cancellation:
            std::erase_if(target.queued, isSame);
            std::erase_if(target.running, isSame);
            return;
        case MessageKind::HedgeTimer:
            this->hedge(message);
            return;
        }
    }

    static Routing::LoadReport reportOf(const Message &message)
    {
        return {.inFlight = message.reportedInFlight, .slots = SLOTS};
    }

    void work(Target &target)
    {
        if (this->tick >= target.nextSpeedChange) {
            const auto drawn = this->speeds.unit();
            target.speed = drawn < 0.7 ? 1.0 : (drawn < 0.9 ? 0.5 : 0.1);
            target.nextSpeedChange = this->tick + 100 + static_cast<Ticks>(this->speeds.below(900));
        }
        for (; target.running.size() < SLOTS && !target.queued.empty(); target.queued.pop_front()) {
            target.running.push_back(target.queued.front());
        }
        for (auto &request : target.running) {
            request.work -= target.speed;
        }
        const auto done = std::partition(target.running.begin(), target.running.end(), [](const Message &request) {
            return request.work > 0;
        });
        const std::vector<Message> finished(done, target.running.end());
        target.running.erase(done, target.running.end());
        std::ranges::for_each(finished, [this](const Message &request) {
            this->reply(request, MessageKind::Answer);
        });
    }

    void reply(Message message, MessageKind kind)
    {
        const auto &target = this->targets[message.target];
        message.kind = kind;
        message.reportedInFlight = static_cast<std::uint32_t>(target.running.size() + target.queued.size());
        this->post(message);
    }

    /// The first answer counts; the other copy, if any, is cancelled.
    void finish(const Message &answer)
    {
        const auto call = this->calls.find(answer.call);
        if (call == this->calls.end()) {
            return;
        }
        auto &table = this->instances[answer.instance].table;
        for (auto copy : call->second.copies) {
            const bool isAnswered = copy.target == answer.target;
            recordAnswer(table,
                         copy.sent,
                         isAnswered ? Routing::Outcome{Routing::OutcomeKind::Success, reportOf(answer)}
                                    : Routing::Outcome{Routing::OutcomeKind::Cancelled, std::nullopt},
                         this->now);
            recordFinished(table, copy.sent);
            if (!isAnswered) {
                copy.kind = MessageKind::Cancellation;
                this->post(copy);
            }
        }
        this->result.milliseconds.push_back(std::chrono::duration<double, std::milli>(this->now - call->second.arrivedAt).count());
        this->calls.erase(call);
    }

    void hedge(const Message &check)
    {
        auto &instance = this->instances[check.instance];
        const std::array excluded{check.sent.target};
        if (!this->calls.contains(check.call)) {
            return;
        }
        const auto other = chooseTarget(instance.table, {.excluded = excluded}, this->now, this->choices);
        const Limits::HedgeInput input{.kind = Configuration::RouteKind::Safe,
                                       .elapsed = hedgeDelay(instance.table),
                                       .hedgeDelay = hedgeDelay(instance.table),
                                       .remaining = 1s,
                                       .hasRoom = hasRoomForHedge(instance.table, *other.target, this->now)};
        if (takeHedge(instance.hedges, input, this->now)) {
            ++this->result.hedges;
            this->send(check.call, check.instance, excluded);
        }
    }

    void probe(Instance &instance)
    {
        const auto isPermitted = [&](const Routing::TargetState &target) {
            return hasFreePermit(instance.probes[instance.table.indexById.at(target.record.id)], this->now);
        };
        const auto number = static_cast<std::size_t>(&instance - this->instances.data());
        for (const auto &id : chooseProbes(instance.table, isPermitted, PROBES_AT_ONCE, this->now, this->choices)) {
            const auto target = instance.table.indexById.at(id);
            reservePermit(instance.probes[target], this->now);
            confirmPermit(instance.probes[target], this->now);
            recordProbeSent(instance.table, id, this->now);
            this->post({MessageKind::Probe, 0, number, target, {.target = id, .sentAt = this->now}});
            ++this->result.probes;
        }
    }

    Scenario scenario;
    Variant variant;
    Core::Random speeds;
    Core::Random arrivals;
    Core::Random choices;
    std::vector<Target> targets;
    std::vector<Instance> instances;
    std::multimap<Ticks, Message> messages;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastCall{0};
    Ticks tick{0};
    Core::TimePoint now;
    double nextArrival{0};
    Result result;
};

constexpr std::array VARIANTS{Variant{"round-robin", RoutingPolicy::RoundRobin, false},
                              Variant{"two-choices", RoutingPolicy::RandomTwoChoices, false},
                              Variant{"least-in-flight", RoutingPolicy::LeastInFlight, false},
                              Variant{"least-in-flight+hedge", RoutingPolicy::LeastInFlight, true},
                              Variant{"probe-pool", RoutingPolicy::ProbePool, false},
                              Variant{"probe-pool+hedge", RoutingPolicy::ProbePool, true}};

constexpr std::array SCENARIOS{Scenario{"sfax 13 50%", 13, 20, 0.5, false},
                               Scenario{"sfax 13 75%", 13, 20, 0.75, false},
                               Scenario{"sfax 13 90%", 13, 20, 0.9, false},
                               Scenario{"sfax 13 bursts", 13, 20, 0.5, true},
                               Scenario{"klang 19 50%", 19, 8, 0.5, false},
                               Scenario{"klang 19 75%", 19, 8, 0.75, false},
                               Scenario{"klang 19 90%", 19, 8, 0.9, false},
                               Scenario{"klang 19 bursts", 19, 8, 0.5, true}};

void print(const Scenario &scenario, const Variant &variant, Result &result, double targetSeconds)
{
    auto &sorted = result.milliseconds;
    std::ranges::sort(sorted);
    const auto percentile = [&](double share) {
        return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    };
    std::cout << std::left << std::setw(18) << scenario.name << std::setw(23) << variant.name << std::right << std::fixed
              << std::setprecision(2) << std::setw(9) << percentile(0.5) << std::setw(9) << percentile(0.99) << std::setw(9)
              << percentile(0.999) << std::setw(9) << static_cast<double>(result.probes) / targetSeconds << std::setw(9)
              << 100.0 * static_cast<double>(result.hedges) / static_cast<double>(sorted.size()) << std::endl;
}

/// Runs every variant on the same arrivals and speed changes, one seed after the other.
void compare(const Scenario &scenario, std::int64_t seconds, std::uint64_t seeds)
{
    std::array<Result, VARIANTS.size()> sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (std::size_t number = 0; number < VARIANTS.size(); ++number) {
            auto result = Simulation(scenario, VARIANTS[number], seed * 1000).run(seconds * (1s / TICK));
            auto &sum = sums[number];
            sum.milliseconds.insert(sum.milliseconds.end(), result.milliseconds.begin(), result.milliseconds.end());
            sum.probes += result.probes;
            sum.hedges += result.hedges;
        }
    }
    const auto targetSeconds = static_cast<double>(seconds) * static_cast<double>(seeds * scenario.targets);
    for (std::size_t number = 0; number < VARIANTS.size(); ++number) {
        print(scenario, VARIANTS[number], sums[number], targetSeconds);
    }
}

} // namespace

int main(int count, char **arguments)
{
    const auto seconds = count > 1 ? std::stoll(arguments[1]) : 5;
    const auto seeds = count > 2 ? std::stoull(arguments[2]) : 3;
    std::cout << "scenario          variant                   p50 ms   p99 ms p99.9 ms probes/s hedges %\n";
    std::ranges::for_each(SCENARIOS, [&](const Scenario &scenario) {
        compare(scenario, seconds, seeds);
    });
    return 0;
}
