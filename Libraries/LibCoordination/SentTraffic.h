#pragma once

#include <LibCoordination/Channel.h>
#include <LibMembership/Membership.h>

#include <map>
#include <string>
#include <unordered_map>

namespace Briarbend::Coordination
{

/// Distance to the receiver of a message.
enum class Reach {
    /// Within the data centre of the sender.
    Near,
    /// To another data centre.
    Far,
    /// To an address that belongs to no known member.
    Unknown,
};

/// Number of messages since the start, and their payload in bytes.
struct SentTotal {
    std::uint64_t messages{0};
    std::uint64_t bytes{0};
};

/// Messages that one instance sent to others, by channel and reach.
struct SentTraffic {
    std::map<std::pair<Channel, Reach>, SentTotal> totals;
    /// Reach of each address at which a member has been known. Members do not move between data centres.
    std::unordered_map<std::string, Reach> reaches;
};

void countSent(SentTraffic &traffic, const Membership::State &members, Channel channel, const std::string &peer, std::size_t bytes);

/// Names for metrics and log lines.
std::string_view nameOf(Channel channel);
std::string_view nameOf(Reach reach);

} // namespace Briarbend::Coordination
