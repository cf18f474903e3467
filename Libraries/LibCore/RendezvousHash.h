#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Core
{

/// The weight of a node for a key. Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates".
std::uint64_t rendezvousWeight(std::string_view node, std::string_view key);

/// The first `count` nodes for a key, heaviest first; fewer where there are fewer nodes. Removing a node moves only its own keys.
std::vector<std::string> rendezvousOrder(const std::vector<std::string> &nodes, std::string_view key, std::size_t count);

} // namespace Briarbend::Core
