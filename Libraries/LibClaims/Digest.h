#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Briarbend::Claims
{

/// A SHA-256 digest. Two inputs with the same digest are taken for the same input.
struct Digest {
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const Digest &) const = default;
};

/// What a request asks for: method, target (path with query) and body, each prefixed with its length so that no two requests share
/// an input. Throws std::runtime_error where the cryptographic library fails.
Digest requestDigest(std::string_view method, std::string_view target, std::string_view body);

/// Names one request that runs at most once: the Idempotency-Key within its service and route. Throws std::runtime_error where the
/// cryptographic library fails.
Digest keyDigest(std::string_view service, std::string_view route, std::string_view idempotencyKey);

/// Lower-case hexadecimal form for logs.
std::string toHexadecimal(const Digest &digest);

} // namespace Briarbend::Claims
