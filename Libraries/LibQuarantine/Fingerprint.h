#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace Briarbend::Quarantine
{

/// Recognizes requests that ask for the same thing, whoever sends them and under whatever Idempotency-Key. Not resistant to
/// collisions made on purpose; those only delay requests of the one who makes them.
struct Fingerprint {
    std::uint64_t high{0};
    std::uint64_t low{0};

    auto operator<=>(const Fingerprint &) const = default;
};

/// Of the method, the target (path with query), the length of the body and as much of its beginning as the caller of this function
/// holds. The same request must be given with the same part of its body at every instance.
Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::uint64_t bodyLength, std::string_view bodyPrefix);

} // namespace Briarbend::Quarantine
