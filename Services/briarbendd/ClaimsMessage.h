#pragma once

#include <LibClaims/Operation.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Briarbend::Daemon
{

/// Asks the owner of a bucket to commit an operation.
struct ClaimsRequest {
    std::uint64_t id{0};
    /// Where the result goes, "address:port".
    std::string replyTo;
    std::string bucketStoreKey;
    Claims::Operation operation;
};

/// The owner's answer to a ClaimsRequest.
struct ClaimsReply {
    std::uint64_t id{0};
    Claims::OperationResult result;
};

using ClaimsMessage = std::variant<ClaimsRequest, ClaimsReply>;

/// CBOR (RFC 8949).
std::string encodeClaimsMessage(const ClaimsMessage &message);

/// Throws std::exception where the bytes are no such message.
ClaimsMessage decodeClaimsMessage(std::string_view bytes);

} // namespace Briarbend::Daemon
