#pragma once

#include <LibRelay/RelayState.h>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace Briarbend::Relay
{

/// One request's place in its service's admission. Holds the place from the moment it may run until it is destroyed.
class AdmissionScope
{
public:
    AdmissionScope(RelayState &relay,
                   std::shared_ptr<ServiceState> service,
                   Configuration::TrafficClass trafficClass,
                   Core::TimePoint deadline);
    AdmissionScope(const AdmissionScope &) = delete;
    AdmissionScope &operator=(const AdmissionScope &) = delete;
    ~AdmissionScope();

    /// Waits until the request may run. False where it is refused; retryAfter() then says when the caller may come back.
    boost::asio::awaitable<bool> enter();
    /// Gives the place back and waits for another one, since no target could take the request now.
    boost::asio::awaitable<bool> reenter();
    /// Notes how long the head of the answer took, for the measured drain rate.
    void recordTimeToHead(Core::Duration timeToHead);
    std::chrono::milliseconds retryAfter() const;

private:
    boost::asio::awaitable<bool> wait(Limits::Ticket ticket);

    RelayState &relay;
    std::shared_ptr<ServiceState> service;
    Configuration::TrafficClass trafficClass;
    Core::TimePoint deadline;
    std::chrono::milliseconds retryDelay{0};
    Core::Duration timeToHead{0};
    bool isRunning{false};
};

} // namespace Briarbend::Relay
