#pragma once

#include <LibQuarantine/Reports.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Coordination
{

/// Something that peers should know about requests that break targets. Where `replyTo` is set, the receiver acknowledges it there.
struct QuarantineBroadcast {
    std::uint64_t id{0};
    /// "address:port", or empty where no acknowledgement is wanted.
    std::string replyTo;
    std::variant<Quarantine::Reports, Quarantine::TrialAnnouncement> content;
};

struct QuarantineAcknowledgement {
    std::uint64_t id{0};
};

using QuarantineMessage = std::variant<QuarantineBroadcast, QuarantineAcknowledgement>;

/// CBOR (RFC 8949).
std::string encodeQuarantineMessage(const QuarantineMessage &message);

/// Throws std::exception where the bytes are no such message.
QuarantineMessage decodeQuarantineMessage(std::string_view bytes);

} // namespace Briarbend::Coordination
