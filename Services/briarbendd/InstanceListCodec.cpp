#include "InstanceListCodec.h"

#include <LibCore/BoundedJson.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Daemon
{

std::string encodeInstanceList(const std::vector<Store::ListedInstance> &list)
{
    auto rows = nlohmann::json::array();
    std::ranges::transform(list, std::back_inserter(rows), [](const Store::ListedInstance &instance) {
        return nlohmann::json::array({instance.address,
                                      instance.service.value,
                                      instance.dataCentre.value,
                                      instance.version.value,
                                      instance.state == Store::InstanceState::Leaving});
    });
    std::string bytes;
    nlohmann::json::to_cbor(rows, bytes);
    return bytes;
}

std::vector<Store::ListedInstance> decodeInstanceList(std::string_view bytes)
{
    const auto rows = Core::parseCbor(bytes);
    std::vector<Store::ListedInstance> list;
    std::ranges::transform(rows, std::back_inserter(list), [](const nlohmann::json &row) {
        return Store::ListedInstance{
            .address = row.at(0).get<std::string>(),
            .service = {row.at(1).get<std::string>()},
            .dataCentre = {row.at(2).get<std::string>()},
            .version = {row.at(3).get<std::string>()},
            .state = row.at(4).get<bool>() ? Store::InstanceState::Leaving : Store::InstanceState::Live,
        };
    });
    return list;
}

} // namespace Briarbend::Daemon
