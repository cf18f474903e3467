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
    if (!this->isDecided()) {
        if (auto hedge = makeHedge()) {
            this->start(std::move(hedge));
        }
    }
    while (!this->isDecided()) {
        co_await this->waitForChange(Core::TimePoint::max());
    }
    auto chosen = this->selectedExchange();
    for (const auto &attempt : this->state->attempts) {
        if (attempt.exchange != chosen && !attempt.isDone) {
            attempt.exchange->cancel();
        }
    }
    co_return chosen;
}

void HedgedOpening::cancel()
{
    for (const auto &attempt : this->state->attempts) {
        if (!attempt.isDone) {
            attempt.exchange->cancel();
        }
    }
}

void HedgedOpening::start(std::shared_ptr<Exchange> exchange)
{
    const auto index = this->state->attempts.size();
    this->state->attempts.push_back({exchange});
    auto *running = exchange.get();
    Asio::co_spawn(this->state->changed.get_executor(),
                   running->open(),
                   [shared = this->state, index, kept = std::move(exchange)](const std::exception_ptr &, bool hasHead) {
                       shared->attempts[index].isDone = true;
                       shared->attempts[index].hasHead = hasHead;
                       shared->changed.cancel();
                   });
}

Asio::awaitable<void> HedgedOpening::waitForChange(Core::TimePoint until)
{
    if (this->isDecided()) {
        co_return;
    }
    this->state->changed.expires_at(until);
    boost::system::error_code ignored;
    co_await this->state->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

std::shared_ptr<Exchange> HedgedOpening::selectedExchange() const
{
    const auto &attempts = this->state->attempts;
    const auto found = std::ranges::find_if(attempts, [](const Attempt &attempt) {
        return attempt.hasHead && attempt.exchange->result.progress == Rejection::RequestProgress::Answered;
    });
    return found == attempts.end() ? attempts.front().exchange : found->exchange;
}

bool HedgedOpening::isDecided() const
{
    const auto &attempts = this->state->attempts;
    const bool hasAnswer = std::ranges::any_of(attempts, [](const Attempt &attempt) {
        return attempt.hasHead && attempt.exchange->result.progress == Rejection::RequestProgress::Answered;
    });
    return hasAnswer || std::ranges::all_of(attempts, &Attempt::isDone);
}

} // namespace Briarbend::Relay
