#pragma once

#include <LibGateway/Revision.h>

#include <ostream>

namespace Briarbend::Gateway
{

/// A revision of the era in which most tests play.
constexpr Revision at(std::uint64_t number)
{
    return {.era = 1, .number = number};
}

inline void PrintTo(const Revision &revision, std::ostream *out)
{
    *out << revision.number << " of era " << revision.era;
}

} // namespace Briarbend::Gateway
