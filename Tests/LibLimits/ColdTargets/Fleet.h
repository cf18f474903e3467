#pragma once

#include <LibCore/Random.h>
#include <LibLimits/ColdGate.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

/// Model of a fleet in virtual time that tests the limits which the cold gates of all instances keep jointly.
namespace Briarbend::Limits::Model
{

using namespace std::chrono_literals;

constexpr auto STEP = 20ms;
constexpr auto EXCHANGE_INTERVAL = 200ms;
constexpr auto PROBE_INTERVAL = 500ms;
constexpr std::uint32_t WARM_AFTER_REQUESTS = 20;

struct Target {
    Core::TargetId id;
    std::uint64_t start{0};
    std::uint32_t completed{0};
    bool reportsAlwaysWarm{false};

    bool isWarm() const
    {
        return this->completed >= WARM_AFTER_REQUESTS;
    }
};

struct Request {
    std::size_t instance;
    std::size_t target;
    std::uint64_t start;
    Core::TimePoint endsAt;
    bool isAtTarget{true};
};

struct Instance {
    Core::InstanceId id;
    ColdGate gate;
    std::map<Core::InstanceId, Core::TimePoint> lastSeen;
    std::map<Core::InstanceId, PeerContact> exchanges;
    std::vector<std::size_t> lostConnections;
    std::vector<std::size_t> nextPeers;
    std::map<Core::InstanceId, std::uint64_t> sentRevisions;
    Core::TimePoint frozenUntil{};
    bool wasFrozen{false};
};

/// Instances, the links between them, and targets, in virtual time. Faults are injected at random while `hasFaults` is set.
class Fleet
{
public:
    Fleet(std::uint64_t seed, std::size_t instanceCount, std::size_t targetCount, std::uint32_t coldRequestsOfTarget)
        : random(seed)
        , coldRequests(coldRequestsOfTarget)
        , instances(instanceCount)
    {
        for (std::size_t number = 0; number < targetCount; ++number) {
            this->targets.push_back({{"target-" + std::to_string(number)}, 1, WARM_AFTER_REQUESTS, this->random.below(2) == 0});
        }
        std::ranges::for_each(this->instances, [this](Instance &instance) {
            this->startInstance(instance);
        });
    }

    void run(Core::Duration time, bool hasFaults)
    {
        for (const auto end = this->now + time; this->now < end; this->now += STEP) {
            if (hasFaults) {
                this->injectFaults();
            }
            this->endRequests();
            for (std::size_t number = 0; number < this->instances.size(); ++number) {
                if (this->instances[number].frozenUntil <= this->now) {
                    this->runInstance(number);
                }
            }
        }
    }

    void healPartitions()
    {
        this->partitions.clear();
    }

    void restartTarget(std::size_t number)
    {
        auto &target = this->targets[number];
        ++target.start;
        target.completed = 0;
        for (auto &request : this->requests) {
            request.isAtTarget = request.isAtTarget && request.target != number;
        }
        std::ranges::for_each(this->instances, [&](Instance &instance) {
            instance.lostConnections.push_back(number);
        });
    }

    bool areAllWarmEverywhere() const
    {
        return std::ranges::all_of(this->instances, [this](const Instance &instance) {
            return std::ranges::all_of(this->targets, [&](const Target &target) {
                return sendPermission(instance.gate, target.id, this->now) == SendPermission::Warm;
            });
        });
    }

    std::size_t maximumConcurrentTrials{0};
    std::size_t trials{0};
    std::size_t falselyWarmSends{0};

private:
    void startInstance(Instance &instance)
    {
        instance = Instance{};
        instance.id = {"instance-" + std::to_string(this->nextInstance++)};
        std::vector<WarmupLimits> limits;
        limits.reserve(this->targets.size());
        for (const auto &target : this->targets) {
            limits.push_back({target.id, this->coldRequests, WARM_AFTER_REQUESTS});
        }
        updateTargetList(instance.gate, limits);
    }

    void injectFaults()
    {
        const auto victim = this->random.below(this->instances.size());
        const auto informed = std::ranges::count_if(this->instances, [](const Instance &instance) {
            return instance.gate.isInformed;
        });
        const bool isLastInformed = informed == 1 && this->instances[victim].gate.isInformed;
        if (!isLastInformed && this->random.below(200) == 0) {
            std::erase_if(this->requests, [&](const Request &request) {
                return request.instance == victim;
            });
            // When a process ends, its connections close, and its peers drop their contacts with it.
            std::ranges::for_each(this->instances, [&](Instance &instance) {
                instance.exchanges.erase(this->instances[victim].id);
            });
            this->startInstance(this->instances[victim]);
        }
        if (this->random.below(150) == 0) {
            this->instances[victim].wasFrozen = true;
            this->instances[victim].frozenUntil = this->now + std::chrono::milliseconds{this->random.below(15'000)};
        }
        if (this->random.below(100) == 0) {
            const auto other = this->random.below(this->instances.size());
            this->partitions[std::minmax(victim, other)] = this->now + std::chrono::milliseconds{this->random.below(20'000)};
        }
        if (this->random.below(100) == 0) {
            this->restartTarget(this->random.below(this->targets.size()));
        }
    }

    void endRequests()
    {
        for (auto &request : this->requests) {
            if (request.isAtTarget && request.endsAt <= this->now) {
                request.isAtTarget = false;
                ++this->targets[request.target].completed;
            }
        }
        std::erase_if(this->requests, [this](const Request &request) {
            auto &instance = this->instances[request.instance];
            if (request.isAtTarget || instance.frozenUntil > this->now) {
                return false;
            }
            const auto &target = this->targets[request.target];
            recordRequestFinished(instance.gate, target.id);
            if (request.start == target.start) {
                recordSuccessfulAnswer(instance.gate, target.id, 1ms, true);
            }
            return true;
        });
    }

    void runInstance(std::size_t number)
    {
        auto &instance = this->instances[number];
        if (std::exchange(instance.wasFrozen, false)) {
            this->resumeAfterFreeze(instance);
        }
        for (const auto lost : std::exchange(instance.lostConnections, {})) {
            recordConnectionLost(instance.gate, this->targets[lost].id);
        }
        this->exchange(number);
        this->updateView(instance);
        for (std::size_t target = 0; target < this->targets.size(); ++target) {
            if (this->random.below(PROBE_INTERVAL / STEP) == 0) {
                this->report(instance, target);
            }
            this->trySend(number, target);
        }
    }

    /// Worst case: buffered answers make every contact look recent, and requests are sent before closed connections are noticed.
    void resumeAfterFreeze(Instance &instance)
    {
        for (auto &[id, contact] : instance.exchanges) {
            contact.lastExchange = this->now;
        }
        const auto lastUpdate = instance.gate.lastUpdate.value_or(this->now);
        const bool isNoticed = this->now - lastUpdate > instance.gate.parameters.maximumUnnoticedPause;
        this->updateView(instance);
        for (std::size_t target = 0; isNoticed && target < this->targets.size(); ++target) {
            this->trySend(static_cast<std::size_t>(&instance - this->instances.data()), target);
        }
    }

    void exchange(std::size_t number)
    {
        auto &instance = this->instances[number];
        if (this->random.below(EXCHANGE_INTERVAL / STEP) != 0) {
            return;
        }
        const auto peerNumber = this->nextPeer(instance);
        auto &peer = this->instances[peerNumber];
        const auto partition = this->partitions.find(std::minmax(number, peerNumber));
        const bool isPartitioned = partition != this->partitions.end() && partition->second > this->now;
        if (peerNumber == number || isPartitioned || peer.frozenUntil > this->now) {
            return;
        }
        sendUpdates(instance, peer, this->now);
        sendUpdates(peer, instance, this->now);
    }

    /// Returns the peers in a shuffled round robin.
    std::size_t nextPeer(Instance &instance)
    {
        if (instance.nextPeers.empty()) {
            instance.nextPeers.resize(this->instances.size());
            std::iota(instance.nextPeers.begin(), instance.nextPeers.end(), 0U);
            for (std::size_t left = instance.nextPeers.size(); left > 1; --left) {
                std::swap(instance.nextPeers[left - 1], instance.nextPeers[this->random.below(left)]);
            }
        }
        const auto next = instance.nextPeers.back();
        instance.nextPeers.pop_back();
        return next;
    }

    static void sendUpdates(Instance &from, Instance &to, Core::TimePoint now)
    {
        from.lastSeen[from.id] = now;
        to.exchanges[from.id] = {from.id, now, from.gate.isInformed};
        for (const auto &[id, seen] : from.lastSeen) {
            to.lastSeen[id] = std::max(to.lastSeen[id], seen);
        }
        auto &sentRevision = from.sentRevisions[to.id];
        const auto delta = warmthDeltaSince(from.gate, sentRevision);
        sentRevision = delta.revision;
        std::ranges::for_each(delta.updates, [&](const WarmthUpdate &update) {
            applyWarmthUpdate(to.gate, update);
        });
    }

    void updateView(Instance &instance)
    {
        MembershipView view{.self = instance.id, .members = {instance.id}, .expected = this->instances.size(), .contacts = {}};
        for (const auto &[id, seen] : instance.lastSeen) {
            if (id != instance.id && this->now - seen <= 2 * instance.gate.parameters.contactTimeout) {
                view.members.push_back(id);
            }
        }
        for (const auto &[id, contact] : instance.exchanges) {
            view.contacts.push_back(contact);
        }
        updateMembership(instance.gate, std::move(view), this->now);
    }

    void report(Instance &instance, std::size_t number)
    {
        const auto &target = this->targets[number];
        recordReport(
            instance.gate, target.id, Core::TargetStartId{std::to_string(target.start)}, !target.isWarm() && !target.reportsAlwaysWarm);
    }

    void trySend(std::size_t number, std::size_t targetNumber)
    {
        auto &instance = this->instances[number];
        const auto &target = this->targets[targetNumber];
        const auto verdict = sendPermission(instance.gate, target.id, this->now);
        if (verdict == SendPermission::Warm) {
            this->falselyWarmSends += target.isWarm() ? 0 : 1;
            return;
        }
        if (verdict == SendPermission::Refuse) {
            return;
        }
        recordRequestSent(instance.gate, target.id);
        const auto longest = this->random.below(20) == 0 ? 2000 : 100;
        const auto lasting = std::chrono::milliseconds{1 + this->random.below(static_cast<std::size_t>(longest))};
        this->requests.push_back({number, targetNumber, target.start, this->now + lasting});
        ++this->trials;
        const auto atTarget = std::ranges::count_if(this->requests, [&](const Request &request) {
            return request.target == targetNumber && request.isAtTarget;
        });
        this->maximumConcurrentTrials = std::max(this->maximumConcurrentTrials, static_cast<std::size_t>(atTarget));
    }

    Core::Random random;
    std::uint32_t coldRequests;
    std::vector<Instance> instances;
    std::vector<Target> targets;
    std::vector<Request> requests;
    std::map<std::pair<std::size_t, std::size_t>, Core::TimePoint> partitions;
    std::uint64_t nextInstance{0};
    Core::TimePoint now{100s};
};

} // namespace Briarbend::Limits::Model
