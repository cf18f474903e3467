#include "ClaimsMessage.h"

#include <LibCore/BoundedJson.h>

#include <LibClaims/OperationCodec.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Daemon
{

using nlohmann::json;

std::string encodeClaimsMessage(const ClaimsMessage &message)
{
    auto row = json::array();
    if (const auto *request = std::get_if<ClaimsRequest>(&message)) {
        row = {request->id, request->replyTo, request->bucketStoreKey, json::binary(Claims::encodeOperation(request->operation))};
    } else {
        const auto &reply = std::get<ClaimsReply>(message);
        row = {reply.id, json::binary(Claims::encodeResult(reply.result))};
    }
    std::string bytes;
    json::to_cbor(row, bytes);
    return bytes;
}

ClaimsMessage decodeClaimsMessage(std::string_view bytes)
{
    constexpr std::size_t REPLY_ELEMENTS = 2;
    const auto row = Core::parseCbor(bytes);
    if (row.size() == REPLY_ELEMENTS) {
        return ClaimsReply{row.at(0).get<std::uint64_t>(), Claims::decodeResult(row.at(1).get_binary())};
    }
    return ClaimsRequest{row.at(0).get<std::uint64_t>(),
                         row.at(1).get<std::string>(),
                         row.at(2).get<std::string>(),
                         Claims::decodeOperation(row.at(3).get_binary())};
}

} // namespace Briarbend::Daemon
