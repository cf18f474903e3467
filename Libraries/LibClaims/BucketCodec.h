#pragma once

#include <LibClaims/Bucket.h>

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace Briarbend::Claims
{

/// The bytes are not a valid encoding of the expected type.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Encodes a bucket as CBOR (RFC 8949), the form in which it is stored.
std::vector<std::uint8_t> encodeBucket(const Bucket &bucket);

/// Throws CodecError if the bytes are not a bucket in a known format. An empty value decodes to an empty bucket.
Bucket decodeBucket(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Claims
