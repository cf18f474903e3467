#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// Which instances take part, judged by gossip and failure detection. A hint that saves work: nothing that must be unique rests on it.
namespace Briarbend::Membership
{

/// Where an instance listens for its peers, "address:port".
using PeerAddress = Core::Identifier<struct PeerAddressTag>;

/// Ordered: of two reports about one incarnation, the later enumerator wins.
enum class MemberState : std::uint8_t {
    Alive,
    /// Did not answer a probe; becomes gone unless it refutes the suspicion in time.
    Suspect,
    /// Said goodbye. Final for this instance identifier.
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

/// What instances tell one another about a member. A higher incarnation wins; at the same incarnation the later state wins.
struct MemberUpdate {
    Core::InstanceId id;
    PeerAddress address;
    Core::DataCentreName dataCentre;
    /// Raised only by the member itself, to refute a false report about it.
    std::uint64_t incarnation{0};
    MemberState state{MemberState::Alive};
    /// Bandwidth of the member's own link in Mbit/s; zero where its settings do not state it.
    std::uint32_t linkMegabits{0};

    bool operator==(const MemberUpdate &) const = default;
};

/// One row of the member table.
struct Member {
    MemberUpdate update;
    /// A moment at which the member ran, unless a message that told so was delayed on its way. For failure detection.
    std::optional<Core::TimePoint> lastHeard;
    /// A moment at which the member certainly ran: the sending time of a probe that it answered, here or at a peer, told only in answers to
    /// probes of this instance's own. Not after lastHeard.
    std::optional<Core::TimePoint> lastAcknowledged;
    Core::TimePoint stateSince;
    /// Messages that have carried the latest news of this member.
    std::uint32_t transmissions{0};
    /// Another process answers at the member's address, or the platform no longer lists it: it cannot come back.
    bool isReplaced{false};
    /// What the member said last of itself: Message::isInformed.
    bool isInformed{false};
};

/// A member whose state this instance sees differently from before.
struct MemberChange {
    MemberUpdate update;

    bool operator==(const MemberChange &) const = default;
};

} // namespace Briarbend::Membership
