#include <LibNetwork/AsioTimerService.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace Briarbend::Network
{

namespace
{

/// State shared between a subscription and the pending wait, so that destroying the subscription inside its own callback is safe.
struct TimerState {
    TimerState(boost::asio::io_context &context, Core::TimerService::Callback function)
        : timer(context)
        , callback(std::move(function))
    {
    }

    boost::asio::steady_timer timer;
    Core::TimerService::Callback callback;
    std::optional<Core::Duration> interval;
    bool isCancelled{false};
};

void wait(const std::shared_ptr<TimerState> &state)
{
    state->timer.async_wait([state](const boost::system::error_code &error) {
        if (error || state->isCancelled) {
            return;
        }
        const auto now = Core::Clock::now();
        state->callback(now);
        if (!state->interval || state->isCancelled) {
            return;
        }
        const auto next = std::max(state->timer.expiry() + *state->interval, now);
        state->timer.expires_at(next);
        wait(state);
    });
}

class AsioTimerSubscription final : public Core::TimerSubscription
{
public:
    explicit AsioTimerSubscription(std::shared_ptr<TimerState> timerState)
        : state(std::move(timerState))
    {
    }

    AsioTimerSubscription(const AsioTimerSubscription &) = delete;
    AsioTimerSubscription &operator=(const AsioTimerSubscription &) = delete;

    ~AsioTimerSubscription() override
    {
        this->state->isCancelled = true;
        this->state->timer.cancel();
    }

private:
    std::shared_ptr<TimerState> state;
};

} // namespace

AsioTimerService::AsioTimerService(boost::asio::io_context &ioContext)
    : context(ioContext)
{
}

Core::TimePoint AsioTimerService::now() const
{
    return Core::Clock::now();
}

std::unique_ptr<Core::TimerSubscription> AsioTimerService::every(Core::Duration interval, Callback callback)
{
    auto state = std::make_shared<TimerState>(this->context, std::move(callback));
    state->interval = interval;
    state->timer.expires_after(interval);
    wait(state);
    return std::make_unique<AsioTimerSubscription>(std::move(state));
}

std::unique_ptr<Core::TimerSubscription> AsioTimerService::after(Core::Duration delay, Callback callback)
{
    auto state = std::make_shared<TimerState>(this->context, std::move(callback));
    state->timer.expires_after(delay);
    wait(state);
    return std::make_unique<AsioTimerSubscription>(std::move(state));
}

} // namespace Briarbend::Network
