#include <LibRelay/AdmissionScope.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

}

AdmissionScope::AdmissionScope(RelayState &relayState,
                               std::shared_ptr<ServiceState> serviceState,
                               Configuration::TrafficClass requestClass,
                               Core::TimePoint requestDeadline)
    : relay(relayState)
    , service(std::move(serviceState))
    , trafficClass(requestClass)
    , deadline(requestDeadline)
{
}

AdmissionScope::~AdmissionScope()
{
    if (!this->isRunning) {
        return;
    }
    const auto now = Core::Clock::now();
    Limits::recordCompletion(this->service->admission, this->trafficClass, this->timeToHead, now);
    wakeWaitingRequests(*this->service, now);
}

Asio::awaitable<bool> AdmissionScope::enter()
{
    const auto decision
        = Limits::admit(this->service->admission, this->trafficClass, this->deadline, Core::Clock::now(), this->relay.random);
    if (decision.kind == Limits::AdmissionKind::Queue) {
        co_return co_await this->wait(*decision.ticket);
    }
    this->isRunning = decision.kind == Limits::AdmissionKind::Admit;
    this->retryDelay = decision.retryAfter;
    co_return this->isRunning;
}

Asio::awaitable<bool> AdmissionScope::reenter()
{
    this->isRunning = false;
    const auto ticket = Limits::requeue(this->service->admission, this->trafficClass, this->deadline);
    co_return co_await this->wait(ticket);
}

Asio::awaitable<bool> AdmissionScope::wait(Limits::Ticket ticket)
{
    const auto waiting = std::make_shared<WaitingRequest>(co_await Asio::this_coro::executor);
    this->service->waiting.emplace(ticket.number, waiting);
    waiting->timer.expires_at(this->deadline);
    boost::system::error_code ignored;
    co_await waiting->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    this->isRunning = waiting->verdict == WaitingRequest::Verdict::Run;
    if (this->isRunning) {
        co_return true;
    }
    if (waiting->verdict == WaitingRequest::Verdict::Waiting) {
        this->service->waiting.erase(ticket.number);
        Limits::cancelWaiting(this->service->admission, {ticket, this->trafficClass});
    }
    this->retryDelay = Limits::retryAfter(this->service->admission, this->trafficClass, Core::Clock::now(), this->relay.random);
    co_return false;
}

void AdmissionScope::recordTimeToHead(Core::Duration elapsed)
{
    this->timeToHead = elapsed;
}

std::chrono::milliseconds AdmissionScope::retryAfter() const
{
    return this->retryDelay;
}

} // namespace Briarbend::Relay
