#pragma once

#include <LibDuties/Holder.h>

#include <boost/asio/awaitable.hpp>

namespace Briarbend::Gateway
{

/// Interface to the stored record of the duty of usage reports. Failures are returned as results.
class DutyStore
{
public:
    virtual ~DutyStore() = default;

    /// Reflects every write that was acknowledged before the call.
    virtual boost::asio::awaitable<Duties::ReadResult> readDuty() = 0;
    /// Replaces the record if it still has the expected version; creates it if none is expected.
    virtual boost::asio::awaitable<Duties::WriteResult> writeDuty(Duties::WriteRecord write) = 0;
};

/// Interface to the endpoint that takes the usage reports. Failures are returned as results.
class UsageEndpoint
{
public:
    virtual ~UsageEndpoint() = default;

    virtual boost::asio::awaitable<Duties::CallResult> sendReport(std::string holder, Duties::SendReport report) = 0;
};

} // namespace Briarbend::Gateway
