#include <LibCoordination/QuarantineMessage.h>
#include <LibCore/BoundedJson.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Coordination
{

using nlohmann::json;

std::string encodeQuarantineMessage(const QuarantineMessage &message)
{
    json row;
    if (const auto *broadcast = std::get_if<QuarantineBroadcast>(&message)) {
        const auto *reports = std::get_if<Quarantine::Reports>(&broadcast->content);
        const auto bytes = reports != nullptr ? Quarantine::encodeReports(*reports)
                                              : Quarantine::encodeTrial(std::get<Quarantine::TrialAnnouncement>(broadcast->content));
        row = json::array({broadcast->id, broadcast->replyTo, reports != nullptr, json::binary(bytes)});
    } else {
        row = json::array({std::get<QuarantineAcknowledgement>(message).id});
    }
    std::string bytes;
    json::to_cbor(row, bytes);
    return bytes;
}

QuarantineMessage decodeQuarantineMessage(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    const auto id = row.at(0).get<std::uint64_t>();
    if (row.size() == 1) {
        return QuarantineAcknowledgement{id};
    }
    QuarantineBroadcast broadcast{.id = id, .replyTo = row.at(1).get<std::string>(), .content = {}};
    const std::vector<std::uint8_t> &payload = row.at(3).get_binary();
    if (row.at(2).get<bool>()) {
        broadcast.content = Quarantine::decodeReports(payload);
    } else {
        broadcast.content = Quarantine::decodeTrial(payload);
    }
    return broadcast;
}

} // namespace Briarbend::Coordination
