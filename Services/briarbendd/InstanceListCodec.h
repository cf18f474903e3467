#pragma once

#include <LibStore/ObjectStore.h>

#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Daemon
{

/// CBOR (RFC 8949) form of the instance list, as passed between instances.
std::string encodeInstanceList(const std::vector<Store::ListedInstance> &list);

/// Throws nlohmann::json::exception where the bytes are no such list.
std::vector<Store::ListedInstance> decodeInstanceList(std::string_view bytes);

} // namespace Briarbend::Daemon
