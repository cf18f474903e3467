#pragma once

#include <LibMembership/Member.h>

#include <chrono>
#include <variant>
#include <vector>

namespace Briarbend::Membership
{

/// Ages are told in this unit, rounded up.
constexpr std::chrono::milliseconds HEARD_AGE_UNIT{50};
constexpr auto MAX_HEARD_AGE = HEARD_AGE_UNIT * 255;

/// How long ago a member was heard and was proven to run, measured when the message left. Rounded up to HEARD_AGE_UNIT.
struct HeardAge {
    std::uint32_t memberHash{0};
    std::chrono::milliseconds heard{0};
    /// MAX_HEARD_AGE or more where it is not known.
    std::chrono::milliseconds acknowledged{0};

    bool operator==(const HeardAge &) const = default;
};

/// A direct probe, answered at once by an Acknowledgement with the same sequence.
struct Ping {
    std::uint64_t sequence{0};
    /// Asks for the whole member table: the sender has just started.
    bool wantsMembers{false};
    std::vector<HeardAge> ages;

    bool operator==(const Ping &) const = default;
};

struct Acknowledgement {
    std::uint64_t sequence{0};
    std::vector<HeardAge> ages;

    bool operator==(const Acknowledgement &) const = default;
};

/// Asks the receiver to probe a member that did not answer the sender. Source: Das, Gupta, Motivala, "SWIM", section 3.
struct PingRequest {
    std::uint64_t sequence{0};
    PeerAddress target;

    bool operator==(const PingRequest &) const = default;
};

/// Answers a PingRequest once the target has acknowledged the indirect probe.
struct IndirectAcknowledgement {
    std::uint64_t sequence{0};
    Core::InstanceId target;

    bool operator==(const IndirectAcknowledgement &) const = default;
};

/// std::monostate carries news alone.
using Body = std::variant<std::monostate, Ping, Acknowledgement, PingRequest, IndirectAcknowledgement>;

struct Message {
    /// The sender about itself.
    MemberUpdate sender;
    /// False while the sender may hold stale state after a start or a freeze.
    bool isConfirmed{false};
    /// The sender knows what the fleet knows of targets' warmth.
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
