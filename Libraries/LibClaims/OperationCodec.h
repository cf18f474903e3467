#pragma once

#include <LibClaims/BucketCodec.h>
#include <LibClaims/Operation.h>

namespace Briarbend::Claims
{

/// Encodes an operation as CBOR, the form in which it is sent to the bucket's owner.
std::vector<std::uint8_t> encodeOperation(const Operation &operation);

/// Throws CodecError.
Operation decodeOperation(const std::vector<std::uint8_t> &bytes);

/// Encodes a result as CBOR, the form in which it is returned to the requester.
std::vector<std::uint8_t> encodeResult(const OperationResult &result);

/// Throws CodecError.
OperationResult decodeResult(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Claims
