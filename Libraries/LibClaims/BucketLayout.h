#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Digest.h>
#include <LibClaims/Settings.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <string>

namespace Briarbend::Claims
{

/// Number of buckets and window of a service, on which all instances must agree before they claim a key. Two instances with different
/// layouts would look for one key in two buckets and could run it twice. The layout is therefore an object in the store: the first
/// instance creates it, and every other instance uses the stored one.
struct BucketLayout {
    /// A power of two. A bucket has room for about 4000 keys within the window, or about 1250 keys with answers of 200 bytes.
    std::uint32_t bucketCount{256};
    std::chrono::milliseconds window{std::chrono::hours{24}};

    bool operator==(const BucketLayout &) const = default;
};

/// Store key of the service's layout.
std::string layoutStoreKey(const Core::ServiceName &service);

std::vector<std::uint8_t> encodeLayout(const BucketLayout &layout);

/// Throws CodecError if the bytes are malformed or the bucket count is not a power of two.
BucketLayout decodeLayout(const std::vector<std::uint8_t> &bytes);

/// Index of the key's bucket, in [0, bucketCount).
std::uint32_t bucketOf(const Digest &key, const BucketLayout &layout);

/// Store key of one bucket, which is also the key whose rendezvous hash selects the bucket's owner. Ownership only reduces the number of
/// writes: if instances disagree about the owner, each update is still conditional on the stored version.
std::string bucketStoreKey(const Core::ServiceName &service, std::uint32_t bucket);

} // namespace Briarbend::Claims
