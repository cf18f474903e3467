#include <LibCoordination/QuarantineMessage.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Coordination
{

using nlohmann::json;

std::string encodeQuarantineMessage(const QuarantineMessage &message)
{
    json row;
    if (const auto *news = std::get_if<QuarantineNews>(&message)) {
        const auto *reports = std::get_if<Quarantine::Reports>(&news->content);
        const auto bytes = reports != nullptr ? Quarantine::encodeReports(*reports)
                                              : Quarantine::encodeTrial(std::get<Quarantine::TrialAnnouncement>(news->content));
        row = json::array({news->id, news->replyTo, reports != nullptr, json::binary(bytes)});
    } else {
        row = json::array({std::get<QuarantineAcknowledgement>(message).id});
    }
    std::string bytes;
    json::to_cbor(row, bytes);
    return bytes;
}

QuarantineMessage decodeQuarantineMessage(std::string_view bytes)
{
    const auto row = json::from_cbor(bytes);
    const auto id = row.at(0).get<std::uint64_t>();
    if (row.size() == 1) {
        return QuarantineAcknowledgement{id};
    }
    QuarantineNews news{.id = id, .replyTo = row.at(1).get<std::string>(), .content = {}};
    const std::vector<std::uint8_t> &payload = row.at(3).get_binary();
    if (row.at(2).get<bool>()) {
        news.content = Quarantine::decodeReports(payload);
    } else {
        news.content = Quarantine::decodeTrial(payload);
    }
    return news;
}

} // namespace Briarbend::Coordination
