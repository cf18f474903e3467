#include <LibRelay/HedgedOpening.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

}

HedgedOpening::HedgedOpening(const Asio::any_io_executor &executor)
    : state(std::make_shared<State>(executor))
{
}

Asio::awaitable<std::shared_ptr<Exchange>>
HedgedOpening::open(std::shared_ptr<Exchange> first, Core::Duration hedgeDelay, HedgeMaker makeHedge)
{
    this->start(std::move(first));
    co_await this->waitForChange(Core::Clock::now() + hedgeDelay);
    if (!this->isOver()) {
        if (auto hedge = makeHedge()) {
            this->start(std::move(hedge));
        }
    }
    while (!this->isOver()) {
        co_await this->waitForChange(Core::TimePoint::max());
    }
    auto chosen = this->winner();
    for (const auto &runner : this->state->runners) {
        if (runner.exchange != chosen && !runner.isDone) {
            runner.exchange->cancel();
        }
    }
    co_return chosen;
}

void HedgedOpening::cancel()
{
    for (const auto &runner : this->state->runners) {
        if (!runner.isDone) {
            runner.exchange->cancel();
        }
    }
}

void HedgedOpening::start(std::shared_ptr<Exchange> exchange)
{
    const auto index = this->state->runners.size();
    this->state->runners.push_back({exchange});
    auto *running = exchange.get();
    Asio::co_spawn(this->state->changed.get_executor(),
                   running->open(),
                   [shared = this->state, index, kept = std::move(exchange)](const std::exception_ptr &, bool hasHead) {
                       shared->runners[index].isDone = true;
                       shared->runners[index].hasHead = hasHead;
                       shared->changed.cancel();
                   });
}

Asio::awaitable<void> HedgedOpening::waitForChange(Core::TimePoint until)
{
    if (this->isOver()) {
        co_return;
    }
    this->state->changed.expires_at(until);
    boost::system::error_code ignored;
    co_await this->state->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

std::shared_ptr<Exchange> HedgedOpening::winner() const
{
    const auto &runners = this->state->runners;
    const auto found = std::ranges::find_if(runners, [](const Runner &runner) {
        return runner.hasHead && runner.exchange->result.progress == Rejection::RequestProgress::Answered;
    });
    return found == runners.end() ? runners.front().exchange : found->exchange;
}

bool HedgedOpening::isOver() const
{
    const auto &runners = this->state->runners;
    const bool hasAnswer = std::ranges::any_of(runners, [](const Runner &runner) {
        return runner.hasHead && runner.exchange->result.progress == Rejection::RequestProgress::Answered;
    });
    return hasAnswer || std::ranges::all_of(runners, &Runner::isDone);
}

} // namespace Briarbend::Relay
