#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Digest.h>
#include <LibClaims/Settings.h>
#include <LibCore/Identifiers.h>

#include <cstdint>
#include <string>

namespace Briarbend::Claims
{

/// What all instances must agree on before they claim a key of a service. Two instances with different layouts would look for one key
/// in two places and could run it twice, so that the layout itself is an object of the store: the first instance creates it, and
/// every other one uses what it finds there.
struct BucketLayout {
    /// A power of two. A bucket holds about 4000 keys within the window, and about 1250 with answers of 200 bytes.
    std::uint32_t bucketCount{256};
    std::chrono::milliseconds window{std::chrono::hours{24}};

    bool operator==(const BucketLayout &) const = default;
};

/// Store key of the service's layout.
std::string layoutStoreKey(const Core::ServiceName &service);

std::vector<std::uint8_t> encodeLayout(const BucketLayout &layout);

/// Throws CodecError, also where the bucket count is no power of two.
BucketLayout decodeLayout(const std::vector<std::uint8_t> &bytes);

/// The bucket of a key, in [0, bucketCount).
std::uint32_t bucketOf(const Digest &key, const BucketLayout &layout);

/// Store key of one bucket, also the key by which its owner is chosen with the rendezvous hash. The owner is a hint that saves
/// writes: where instances disagree about it, each of them goes through the conditional update.
std::string bucketStoreKey(const Core::ServiceName &service, std::uint32_t bucket);

} // namespace Briarbend::Claims
