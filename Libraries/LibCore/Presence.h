#pragma once

#include <cstdint>

namespace Briarbend::Core
{

/// Counts something as present for as long as it lives.
class Presence
{
public:
    explicit Presence(std::uint32_t &countedBy)
        : count(countedBy)
    {
        ++this->count;
    }

    Presence(const Presence &) = delete;
    Presence &operator=(const Presence &) = delete;

    ~Presence()
    {
        --this->count;
    }

private:
    std::uint32_t &count;
};

} // namespace Briarbend::Core
