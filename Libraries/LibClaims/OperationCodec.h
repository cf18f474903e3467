#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Operation.h>

namespace Briarbend::Claims
{

/// CBOR form of an operation, as passed to the bucket's owner.
std::vector<std::uint8_t> encodeOperation(const Operation &operation);

/// Throws CodecError.
Operation decodeOperation(const std::vector<std::uint8_t> &bytes);

/// CBOR form of a result, as passed back to the requester.
std::vector<std::uint8_t> encodeResult(const OperationResult &result);

/// Throws CodecError.
OperationResult decodeResult(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Claims
