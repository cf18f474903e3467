#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// Tracks which instances are members of the fleet, by gossip and SWIM-like failure detection. The result is a hint that saves work;
/// nothing that must be unique may depend on it.
namespace Briarbend::Membership
{

/// The address at which an instance listens for its peers, "address:port".
using PeerAddress = Core::Identifier<struct PeerAddressTag>;

/// Ordered: of two reports about one incarnation, the later enumerator wins.
enum class MemberState : std::uint8_t {
    Alive,
    /// Did not acknowledge a probe; becomes gone unless it refutes the suspicion in time.
    Suspect,
    /// Announced that it leaves. Final for this instance identifier.
    Leaving,
    Gone,
};

/// The state's name in logs.
constexpr std::string_view nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "";
}

/// An update about one member, disseminated by gossip. A higher incarnation wins; at the same incarnation the later state wins.
struct MemberUpdate {
    Core::InstanceId id;
    PeerAddress address;
    Core::DataCentreName dataCentre;
    /// Raised only by the member itself, to refute a false report about it.
    std::uint64_t incarnation{0};
    MemberState state{MemberState::Alive};
    /// Bandwidth of the member's network link in Mbit/s; zero where its settings do not state it.
    std::uint32_t linkMegabits{0};

    bool operator==(const MemberUpdate &) const = default;
};

/// One row of the member table.
struct Member {
    MemberUpdate update;
    /// Latest time at which the member ran, as far as messages show. It is too late where such a message was delayed on its way. For
    /// failure detection.
    std::optional<Core::TimePoint> lastHeard;
    /// Latest time at which the member certainly ran: the sending time of a probe that it acknowledged, to this instance or to a peer. What
    /// peers report counts only in acknowledgements of this instance's own probes. Never after lastHeard.
    std::optional<Core::TimePoint> lastAcknowledged;
    Core::TimePoint stateSince;
    /// Number of messages that have carried the latest update about this member.
    std::uint32_t transmissions{0};
    /// Another process answers at the member's address, or the platform no longer lists it: it cannot come back.
    bool isReplaced{false};
    /// Message::isInformed of the member's latest message.
    bool isInformed{false};
};

/// A change of a member's state in the table of this instance.
struct MemberChange {
    MemberUpdate update;

    bool operator==(const MemberChange &) const = default;
};

} // namespace Briarbend::Membership
