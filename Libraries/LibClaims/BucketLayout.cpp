#include <LibClaims/BucketLayout.h>
#include <LibCore/BoundedJson.h>

#include <bit>
#include <nlohmann/json.hpp>

namespace Briarbend::Claims
{

std::string layoutStoreKey(const Core::ServiceName &service)
{
    return "claims/" + service.value + "/layout";
}

std::vector<std::uint8_t> encodeLayout(const BucketLayout &layout)
{
    return nlohmann::json::to_cbor({{"bucketCount", layout.bucketCount}, {"windowMilliseconds", layout.window.count()}});
}

BucketLayout decodeLayout(const std::vector<std::uint8_t> &bytes)
{
    try {
        const auto json = Core::parseCbor(bytes);
        const BucketLayout layout{.bucketCount = json.at("bucketCount").get<std::uint32_t>(),
                                  .window = std::chrono::milliseconds{json.at("windowMilliseconds").get<std::int64_t>()}};
        if (!std::has_single_bit(layout.bucketCount)) {
            throw CodecError{"cannot decode bucket layout: bucket count " + std::to_string(layout.bucketCount) + " is not a power of two"};
        }
        return layout;
    } catch (const nlohmann::json::exception &error) {
        throw CodecError{error.what()};
    }
}

std::uint32_t bucketOf(const Digest &key, const BucketLayout &layout)
{
    constexpr int BITS_PER_BYTE = 8;
    std::uint32_t prefix = 0;
    for (std::size_t index = 0; index < sizeof(prefix); ++index) {
        prefix = (prefix << BITS_PER_BYTE) | key.bytes[index];
    }
    return prefix & (layout.bucketCount - 1);
}

std::string bucketStoreKey(const Core::ServiceName &service, std::uint32_t bucket)
{
    return "claims/" + service.value + "/" + std::to_string(bucket);
}

} // namespace Briarbend::Claims
