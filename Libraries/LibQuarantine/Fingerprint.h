#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace Briarbend::Quarantine
{

/// Identifies requests with the same content, whichever caller sends them and whatever their Idempotency-Key is. The hash is not resistant
/// to deliberate collisions; these only delay requests of the caller that produces them.
struct Fingerprint {
    std::uint64_t high{0};
    std::uint64_t low{0};

    auto operator<=>(const Fingerprint &) const = default;
};

/// Hashes the method, the target (path with query), the length of the body and the part of the body's beginning that is passed in. Every
/// instance must pass the same part of the body for the same request.
Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::uint64_t bodyLength, std::string_view bodyPrefix);

} // namespace Briarbend::Quarantine
