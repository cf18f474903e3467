#pragma once

#include <LibMembership/Member.h>

#include <chrono>
#include <variant>
#include <vector>

namespace Briarbend::Membership
{

/// Ages are encoded in this unit, rounded up.
constexpr std::chrono::milliseconds HEARD_AGE_UNIT{50};
constexpr auto MAX_HEARD_AGE = HEARD_AGE_UNIT * 255;

/// Times since Member::lastHeard and Member::lastAcknowledged of one member, measured when the message was sent. Rounded up to
/// HEARD_AGE_UNIT.
struct HeardAge {
    std::uint32_t memberHash{0};
    std::chrono::milliseconds heard{0};
    /// MAX_HEARD_AGE or more where the time is not known.
    std::chrono::milliseconds acknowledged{0};

    bool operator==(const HeardAge &) const = default;
};

/// A direct probe. The receiver replies at once with an Acknowledgement of the same sequence number.
struct Ping {
    std::uint64_t sequence{0};
    /// Requests the whole member table, because the sender has just started.
    bool wantsMembers{false};
    std::vector<HeardAge> ages;

    bool operator==(const Ping &) const = default;
};

struct Acknowledgement {
    std::uint64_t sequence{0};
    std::vector<HeardAge> ages;

    bool operator==(const Acknowledgement &) const = default;
};

/// Asks the receiver to probe a member that did not acknowledge the sender's ping. Source: Das, Gupta, Motivala, "SWIM", section 3.
struct PingRequest {
    std::uint64_t sequence{0};
    PeerAddress target;

    bool operator==(const PingRequest &) const = default;
};

/// Sent in reply to a PingRequest once the target has acknowledged the indirect probe.
struct IndirectAcknowledgement {
    std::uint64_t sequence{0};
    Core::InstanceId target;

    bool operator==(const IndirectAcknowledgement &) const = default;
};

/// A message with std::monostate carries updates only.
using Body = std::variant<std::monostate, Ping, Acknowledgement, PingRequest, IndirectAcknowledgement>;

struct Message {
    /// The sender's update about itself.
    MemberUpdate sender;
    /// False while the sender may hold stale state after a start or a freeze.
    bool isConfirmed{false};
    /// True where the sender knows the warm-up state of targets that the fleet knows.
    bool isInformed{false};
    Body body;
    std::vector<MemberUpdate> updates;

    bool operator==(const Message &) const = default;
};

struct Outgoing {
    PeerAddress to;
    Message message;
};

} // namespace Briarbend::Membership
