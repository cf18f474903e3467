#pragma once

#include <compare>
#include <cstdint>

namespace Briarbend::Gateway
{

/// A state of the whole store. The number increases with every change. A store that is restored from an older copy gives out numbers again
/// in a later era, so numbers of different eras say nothing about each other. The default value precedes all revisions.
struct Revision {
    /// How often the store was restored, as it states it; zero if it does not.
    std::uint64_t era{0};
    std::uint64_t number{0};

    auto operator<=>(const Revision &) const = default;

    bool isKnown() const
    {
        return *this != Revision{};
    }
};

} // namespace Briarbend::Gateway
