#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibPeers/Transport.h>

#include <map>
#include <set>

namespace Briarbend::Gateway
{

/// Timer service with a clock that the test advances.
class ManualTimers final : public Core::TimerService
{
public:
    Core::TimePoint now() const override;
    std::unique_ptr<Core::TimerSubscription> every(Core::Duration interval, Callback callback) override;
    std::unique_ptr<Core::TimerSubscription> after(Core::Duration delay, Callback callback) override;

    /// Advances the clock and runs the timers that are due, in order.
    void runFor(Core::Duration duration);

private:
    struct Timer {
        Core::TimePoint due;
        std::optional<Core::Duration> interval;
        Callback callback;
        std::weak_ptr<bool> isAlive;
    };

    std::unique_ptr<Core::TimerSubscription> add(Core::Duration delay, std::optional<Core::Duration> interval, Callback callback);

    Core::TimePoint time{std::chrono::hours{1}};
    std::multimap<Core::TimePoint, Timer> timers;
};

/// Delivers messages between transports synchronously; messages to a destroyed transport are dropped.
class FakeNetwork
{
public:
    std::unique_ptr<Peers::Transport> makeTransport(const std::string &address);

    /// Addresses that exchange messages only among each other.
    std::set<std::string> separated;

private:
    friend class FakeTransport;

    std::map<std::string, Peers::Transport::MessageCallback> receivers;
};

} // namespace Briarbend::Gateway
