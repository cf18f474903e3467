#pragma once

#include <LibCoordination/Channel.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>

namespace Briarbend::Coordination
{

/// Messages of one channel since the start, and the time that this instance spent on handling them.
struct ReceivedTotal {
    std::uint64_t messages{0};
    Core::Duration handling{0};
};

/// Messages that one instance received from others.
using ReceivedTraffic = std::map<Channel, ReceivedTotal>;

/// What was received since the earlier state of the same totals. Channels without a new message are left out.
ReceivedTraffic receivedSince(const ReceivedTraffic &earlier, const ReceivedTraffic &now);

} // namespace Briarbend::Coordination
