#pragma once

#include <LibRelay/Exchange.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace Briarbend::Relay
{

/// Opens an exchange and, if it is late, a second one (a hedge) with another target. The one whose response head arrives first continues;
/// the other one is cancelled.
class HedgedOpening
{
public:
    /// Makes the second exchange, or returns null if none is allowed. Called at most once.
    using HedgeMaker = std::function<std::shared_ptr<Exchange>()>;

    explicit HedgedOpening(const boost::asio::any_io_executor &executor);

    /// Returns the exchange that has a response head, or a failed one if none has. Starts the second one after the delay.
    boost::asio::awaitable<std::shared_ptr<Exchange>>
    open(std::shared_ptr<Exchange> first, Core::Duration hedgeDelay, HedgeMaker makeHedge);
    /// Cancels both exchanges, because the caller has disconnected.
    void cancel();

private:
    struct Attempt {
        std::shared_ptr<Exchange> exchange;
        bool isDone{false};
        bool hasHead{false};
    };

    /// Outlives this object while one of the exchanges runs.
    struct State {
        explicit State(const boost::asio::any_io_executor &executor)
            : changed(executor)
        {
        }

        boost::asio::steady_timer changed;
        std::vector<Attempt> attempts;
    };

    void start(std::shared_ptr<Exchange> exchange);
    boost::asio::awaitable<void> waitForChange(Core::TimePoint until);
    std::shared_ptr<Exchange> selectedExchange() const;
    bool isDecided() const;

    std::shared_ptr<State> state;
};

} // namespace Briarbend::Relay
