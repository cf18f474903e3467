#pragma once

#include <LibRelay/Exchange.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace Briarbend::Relay
{

/// Opens an exchange and, where it is late, a second one with another target. Whichever has its answer's head first goes on; the other
/// one is cancelled.
class HedgedOpening
{
public:
    /// Makes the second exchange, or null where none is allowed. Called at most once.
    using HedgeMaker = std::function<std::shared_ptr<Exchange>()>;

    explicit HedgedOpening(const boost::asio::any_io_executor &executor);

    /// Returns the exchange that has a head, or a failed one where none has. Waits for the second one from the delay on.
    boost::asio::awaitable<std::shared_ptr<Exchange>>
    open(std::shared_ptr<Exchange> first, Core::Duration hedgeDelay, HedgeMaker makeHedge);
    /// Gives up both, since the caller is gone.
    void cancel();

private:
    struct Attempt {
        std::shared_ptr<Exchange> exchange;
        bool isDone{false};
        bool hasHead{false};
    };

    /// Outlives this object for as long as one of the exchanges runs.
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
