#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Briarbend::Claims
{

/// A SHA-256 digest. Two inputs with the same digest are treated as equal.
struct Digest {
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const Digest &) const = default;
};

/// Digest of a request's method, request target (path with query) and body. Each is prefixed with its length, so that no two requests
/// give the same hash input. Throws std::runtime_error if the cryptographic library fails.
Digest requestDigest(std::string_view method, std::string_view target, std::string_view body);

/// Digest that identifies one request that runs at most once: its Idempotency-Key, scoped to the service and route. Throws
/// std::runtime_error if the cryptographic library fails.
Digest keyDigest(std::string_view service, std::string_view route, std::string_view idempotencyKey);

/// Formats a digest as lower-case hexadecimal for logs.
std::string toHexadecimal(const Digest &digest);

} // namespace Briarbend::Claims
