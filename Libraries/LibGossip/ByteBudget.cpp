#include <LibGossip/ByteBudget.h>

#include <algorithm>

namespace Briarbend::Gossip
{

ByteBudget::ByteBudget(std::size_t rate, std::size_t burst)
    : bytesPerSecond(static_cast<double>(rate))
    , burstBytes(static_cast<double>(burst))
    , lastTokens(static_cast<double>(burst))
{
}

double ByteBudget::tokens(Core::TimePoint now) const
{
    const std::chrono::duration<double> elapsed = now - this->lastUpdate;
    return std::min(this->burstBytes, this->lastTokens + std::max(0.0, elapsed.count()) * this->bytesPerSecond);
}

bool ByteBudget::tryConsume(std::size_t bytes, std::size_t reserve, Core::TimePoint now)
{
    if (bytes > this->available(reserve, now)) {
        ++this->refused;
        return false;
    }
    this->lastTokens = this->tokens(now) - static_cast<double>(bytes);
    this->lastUpdate = now;
    this->consumed += bytes;
    return true;
}

std::size_t ByteBudget::available(std::size_t reserve, Core::TimePoint now) const
{
    return static_cast<std::size_t>(std::max(0.0, this->tokens(now) - static_cast<double>(reserve)));
}

std::uint64_t ByteBudget::consumedBytes() const
{
    return this->consumed;
}

std::uint64_t ByteBudget::refusals() const
{
    return this->refused;
}

} // namespace Briarbend::Gossip
