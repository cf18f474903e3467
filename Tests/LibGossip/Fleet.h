#pragma once

#include <LibGossip/Gossip.h>
#include <Tests/Support/MessageLoop.h>

#include <algorithm>
#include <optional>

namespace Briarbend::Gossip
{

/// Simulates several instances that gossip in virtual time.
class Fleet
{
public:
    struct Node {
        State state;
        Core::Random random;
        Core::TimePoint nextTick;
        std::uint64_t bytesSent{0};
        std::uint64_t bytesReceived{0};
        std::function<void(const Changes &changes)> onChanges = [](const Changes &) {};
    };

    Fleet(std::size_t size, std::uint64_t seed)
        : loop(seed)
        , seeds(seed + 1)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->start(addressOf(index), "i" + std::to_string(index));
        }
    }

    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index + 1) + ":7000";
    }

    /// Starts a process with two seeds at the address and replaces the process that runs there, if any.
    Node &start(const std::string &address, const std::string &id)
    {
        std::set<Membership::PeerAddress> known{{addressOf(0)}, {addressOf(1)}};
        Membership::MemberUpdate self{{"0123456789-" + id}, {address}, {"sfax-a"}, 0, Membership::MemberState::Alive};
        const auto firstTick = this->loop.now + std::chrono::milliseconds{this->seeds.below(100)};
        Node node{Gossip::makeState(std::move(self), std::move(known), this->loop.now), Core::Random{this->seeds.bits()}, firstTick};
        return this->nodes.insert_or_assign(address, std::move(node)).first->second;
    }

    Node &node(std::size_t index)
    {
        return this->nodes.at(addressOf(index));
    }

    void send(const std::string &from, const Decision &decision)
    {
        auto &sender = this->nodes.at(from);
        sender.onChanges(decision.changes);
        for (const auto &outgoingMessage : decision.outgoingMessages) {
            sender.bytesSent += outgoingMessage.bytes.size() + MESSAGE_OVERHEAD_BYTES;
            this->loop.post(from, outgoingMessage.to.value, outgoingMessage.bytes);
        }
    }

    void run(Core::Duration time)
    {
        constexpr std::chrono::milliseconds STEP{10};
        for (const auto end = this->loop.now + time; this->loop.now < end;) {
            this->loop.runUntil(std::min(end, this->loop.now + STEP), [this](const auto &to, const auto &bytes, auto now) {
                const auto found = this->nodes.find(to);
                if (found != this->nodes.end()) {
                    found->second.bytesReceived += bytes.size() + MESSAGE_OVERHEAD_BYTES;
                    this->send(to, receive(found->second.state, bytes, now, found->second.random));
                }
            });
            for (auto &[address, node] : this->nodes) {
                if (this->loop.now >= node.nextTick && !this->loop.frozen.contains(address)) {
                    node.nextTick = this->loop.now + Membership::TICK_INTERVAL;
                    this->send(address, tick(node.state, this->loop.now, node.random));
                }
            }
        }
    }

    /// Runs until the condition holds and returns the elapsed time, or nothing if it does not hold within the limit.
    template<typename Condition>
    std::optional<std::chrono::milliseconds> timeUntil(const Condition &condition, std::chrono::milliseconds limit)
    {
        const auto start = this->loop.now;
        while (!condition()) {
            if (this->loop.now - start >= limit) {
                return std::nullopt;
            }
            this->run(std::chrono::milliseconds{10});
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now - start);
    }

    template<typename Condition>
    bool all(const Condition &condition)
    {
        return std::ranges::all_of(this->nodes, [&condition](const auto &item) {
            return condition(item.second.state);
        });
    }

    /// Runs until every instance sees all others as alive and is confirmed. The first instance is confirmed with the store.
    void settle()
    {
        confirmWithStore(this->node(0).state, this->loop.now);
        this->timeUntil(
            [this] {
                return this->all([this](const State &state) {
                    return Membership::aliveMembers(state.members).size() == this->nodes.size() && isConfirmed(state, this->loop.now);
                });
            },
            std::chrono::seconds{30});
    }

    Tests::MessageLoop<std::string> loop;
    std::map<std::string, Node> nodes;

private:
    Core::Random seeds;
};

} // namespace Briarbend::Gossip
