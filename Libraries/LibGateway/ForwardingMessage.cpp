#include <LibCore/BoundedJson.h>
#include <LibGateway/ForwardingMessage.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Identifies the alternative of ForwardingMessage; the first value of a message.
enum class MessageTag {
    Request,
    Offer,
};

struct MessageEncoder {
    Json operator()(const ForwardingRequest &request) const
    {
        return Json::array({MessageTag::Request, request.requester});
    }

    Json operator()(const ForwardingOffer &offer) const
    {
        return Json::array({MessageTag::Offer, offer.peer, offer.callerAddress, offer.requestsInFlight});
    }
};

} // namespace

std::string encodeForwarding(const ForwardingMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

ForwardingMessage decodeForwarding(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Request:
        return ForwardingRequest{.requester = row.at(1).get<std::string>()};
    case MessageTag::Offer:
        return ForwardingOffer{.peer = row.at(1).get<std::string>(),
                               .callerAddress = row.at(2).get<std::string>(),
                               .requestsInFlight = row.at(3).get<std::uint32_t>()};
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
