#pragma once

#include <LibClaims/Bucket.h>

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace Briarbend::Claims
{

/// The bytes are not a value of the expected kind.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// CBOR (RFC 8949) form of a bucket, as stored.
std::vector<std::uint8_t> encodeBucket(const Bucket &bucket);

/// Throws CodecError where the bytes are no bucket of a known format. An empty value is an empty bucket.
Bucket decodeBucket(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Claims
