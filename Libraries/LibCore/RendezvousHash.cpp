#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <xxhash.h>

namespace Briarbend::Core
{

namespace
{

struct WeightedNode {
    std::uint64_t weight;
    std::string name;

    auto operator<=>(const WeightedNode &) const = default;
};

} // namespace

std::uint64_t rendezvousWeight(std::string_view node, std::string_view key)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

std::vector<std::string> rendezvousOrder(const std::vector<std::string> &nodes, std::string_view key, std::size_t count)
{
    std::vector<WeightedNode> weighted;
    weighted.reserve(nodes.size());
    std::ranges::transform(nodes, std::back_inserter(weighted), [key](const std::string &node) {
        return WeightedNode{rendezvousWeight(node, key), node};
    });
    const auto kept = std::min(count, weighted.size());
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(kept), std::ranges::greater{});
    std::vector<std::string> order;
    order.reserve(kept);
    std::transform(
        weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), std::back_inserter(order), [](const WeightedNode &node) {
            return node.name;
        });
    return order;
}

} // namespace Briarbend::Core
