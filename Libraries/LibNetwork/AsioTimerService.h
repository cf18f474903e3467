#pragma once

#include <LibCore/TimerService.h>

#include <boost/asio/io_context.hpp>

namespace Briarbend::Network
{

/// The timer service of a real process: steady timers of one io_context, whose thread runs every callback.
class AsioTimerService final : public Core::TimerService
{
public:
    explicit AsioTimerService(boost::asio::io_context &context);

    Core::TimePoint now() const override;
    [[nodiscard]] std::unique_ptr<Core::TimerSubscription> every(Core::Duration interval, Callback callback) override;
    [[nodiscard]] std::unique_ptr<Core::TimerSubscription> after(Core::Duration delay, Callback callback) override;

private:
    boost::asio::io_context &context;
};

} // namespace Briarbend::Network
