#include <LibCoordination/RolloutMessage.h>
#include <LibCore/BoundedJson.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Coordination
{

using nlohmann::json;

std::string encodeRolloutMessage(const RolloutMessage &message)
{
    json row;
    if (const auto *evidence = std::get_if<RolloutEvidence>(&message)) {
        row = json::array({evidence->service.value,
                           evidence->start.time_since_epoch().count(),
                           evidence->member.value,
                           json::binary(Rollout::encodeEvidence(evidence->evidence))});
    } else if (const auto *confirmation = std::get_if<RolloutConfirmation>(&message)) {
        row = json::array({confirmation->service.value, confirmation->start.time_since_epoch().count(), confirmation->member.value});
    } else {
        row = json::array({Rollout::encodeStatus(std::get<Rollout::Status>(message))});
    }
    std::string bytes;
    json::to_cbor(row, bytes);
    return bytes;
}

RolloutMessage decodeRolloutMessage(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    if (row.size() == 1) {
        return Rollout::decodeStatus(row.at(0).get<std::string>());
    }
    if (row.size() == 3) {
        return RolloutConfirmation{.service = {row.at(0).get<std::string>()},
                                   .start = Core::WallTime{std::chrono::milliseconds{row.at(1).get<std::int64_t>()}},
                                   .member = {row.at(2).get<std::string>()}};
    }
    return RolloutEvidence{.service = {row.at(0).get<std::string>()},
                           .start = Core::WallTime{std::chrono::milliseconds{row.at(1).get<std::int64_t>()}},
                           .member = {row.at(2).get<std::string>()},
                           .evidence = Rollout::decodeEvidence(row.at(3).get_binary())};
}

} // namespace Briarbend::Coordination
