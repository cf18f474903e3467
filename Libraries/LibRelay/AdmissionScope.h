#pragma once

#include <LibRelay/RelayState.h>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace Briarbend::Relay
{

/// Admission of one request to its service. Counts as in flight from its admission until it is destroyed.
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

    /// Waits until the request is admitted. Returns false if it is refused; retryAfter() then says when the caller may retry.
    boost::asio::awaitable<bool> enter();
    /// Releases the admission and queues the request again, because no target can take it now.
    boost::asio::awaitable<bool> reenter();
    /// Records the time to the head of the response, from which the drain rate is measured.
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
