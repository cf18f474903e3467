#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Briarbend::Core
{

/// Memory that several holders may take together, in bytes.
struct ByteBudget {
    std::uint64_t limit{0};
    std::uint64_t held{0};
    /// The most that was held at once.
    std::uint64_t peak{0};
};

/// A holder's part of a budget, given back at its end. The budget must outlive it.
class ByteHold
{
public:
    explicit ByteHold(ByteBudget &heldFrom)
        : budget(&heldFrom)
    {
    }

    ByteHold(const ByteHold &) = delete;
    ByteHold &operator=(const ByteHold &) = delete;

    ByteHold(ByteHold &&other) noexcept
        : budget(other.budget)
        , bytes(std::exchange(other.bytes, 0))
    {
    }

    ByteHold &operator=(ByteHold &&other) noexcept
    {
        std::swap(this->budget, other.budget);
        std::swap(this->bytes, other.bytes);
        return *this;
    }

    ~ByteHold()
    {
        this->budget->held -= this->bytes;
    }

    /// Takes as many bytes more as bring this part to the total. False where the budget has not enough left; nothing is taken then.
    bool growTo(std::uint64_t total)
    {
        const auto more = total > this->bytes ? total - this->bytes : 0;
        if (more > this->budget->limit - std::min(this->budget->limit, this->budget->held)) {
            return false;
        }
        this->budget->held += more;
        this->budget->peak = std::max(this->budget->peak, this->budget->held);
        this->bytes += more;
        return true;
    }

private:
    ByteBudget *budget;
    std::uint64_t bytes{0};
};

} // namespace Briarbend::Core
