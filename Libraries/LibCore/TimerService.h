#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <memory>

namespace Briarbend::Core
{

/// Ends a timer subscription when it is destroyed.
class TimerSubscription
{
public:
    virtual ~TimerSubscription() = default;
};

/// The one source of periodic work and of the current time in a process. Parts subscribe and keep the subscription as long as they
/// want to be called.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    virtual ~TimerService() = default;

    virtual TimePoint now() const = 0;
    /// Calls back once every interval, first after one interval. Missed intervals are skipped, not made up.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> every(Duration interval, Callback callback) = 0;
    /// Calls back once after the delay.
    [[nodiscard]] virtual std::unique_ptr<TimerSubscription> after(Duration delay, Callback callback) = 0;
};

} // namespace Briarbend::Core
