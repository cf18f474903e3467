#pragma once

#include <LibQuarantine/Reports.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Coordination
{

/// Reports or a trial announcement about requests that crash targets. Where `replyTo` is set, the receiver sends its acknowledgement there.
struct QuarantineBroadcast {
    std::uint64_t id{0};
    /// "address:port", or empty where no acknowledgement is requested.
    std::string replyTo;
    std::variant<Quarantine::Reports, Quarantine::TrialAnnouncement> content;
};

struct QuarantineAcknowledgement {
    std::uint64_t id{0};
};

using QuarantineMessage = std::variant<QuarantineBroadcast, QuarantineAcknowledgement>;

/// Encodes the message as CBOR (RFC 8949).
std::string encodeQuarantineMessage(const QuarantineMessage &message);

/// Throws std::exception where the bytes are not a valid message.
QuarantineMessage decodeQuarantineMessage(std::string_view bytes);

} // namespace Briarbend::Coordination
