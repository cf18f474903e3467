#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Briarbend::Tests
{

/// Delivers messages between nodes in virtual time, in order of arrival, with seeded delay and loss.
template<typename Payload>
class MessageLoop
{
public:
    using Deliver = std::function<void(const std::string &to, const Payload &payload, Core::TimePoint now)>;

    explicit MessageLoop(std::uint64_t seed)
        : random(seed)
    {
    }

    /// True where messages from one address to another are lost.
    std::function<bool(const std::string &from, const std::string &to)> isCut = [](const std::string &, const std::string &) {
        return false;
    };
    double lossShare{0};
    std::chrono::microseconds leastDelay{500};
    std::chrono::microseconds mostDelay{2000};
    /// Messages to these wait until they are taken out again, as in the buffers of a stopped process.
    std::set<std::string> frozen;
    Core::TimePoint now{std::chrono::hours{1}};

    void post(const std::string &from, const std::string &to, Payload payload)
    {
        if (this->isCut(from, to) || this->random.unit() < this->lossShare) {
            return;
        }
        const auto spread = static_cast<std::size_t>((this->mostDelay - this->leastDelay).count()) + 1;
        const auto delay = this->leastDelay + std::chrono::microseconds{this->random.below(spread)};
        this->queue.emplace(this->now + delay, Item{to, std::move(payload)});
    }

    void runUntil(Core::TimePoint end, const Deliver &deliver)
    {
        while (!this->queue.empty() && this->queue.begin()->first <= end) {
            auto node = this->queue.extract(this->queue.begin());
            this->now = node.key();
            if (this->frozen.contains(node.mapped().to)) {
                this->held.push_back(std::move(node.mapped()));
                continue;
            }
            deliver(node.mapped().to, node.mapped().payload, this->now);
        }
        this->now = end;
    }

    /// Puts what waited for a resumed process back into the queue.
    void release(const std::string &address)
    {
        this->frozen.erase(address);
        for (auto &item : std::exchange(this->held, {})) {
            this->queue.emplace(this->now, std::move(item));
        }
    }

private:
    struct Item {
        std::string to;
        Payload payload;
    };

    Core::Random random;
    std::multimap<Core::TimePoint, Item> queue;
    std::vector<Item> held;
};

} // namespace Briarbend::Tests
