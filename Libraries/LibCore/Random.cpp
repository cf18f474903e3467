#include <LibCore/Random.h>

#include <cmath>

namespace Briarbend::Core
{

Random::Random(std::uint64_t seed)
    : engine(seed)
{
}

std::size_t Random::below(std::size_t bound)
{
    // The modulo bias is below 2^-40 for every table this project holds, and unlike the standard
    // distributions the result is the same with every standard library.
    return static_cast<std::size_t>(this->engine() % bound);
}

double Random::unit()
{
    constexpr int MANTISSA_BITS = 53;
    return std::ldexp(static_cast<double>(this->engine() >> (64 - MANTISSA_BITS)), -MANTISSA_BITS);
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-this->unit());
}

std::uint64_t Random::bits()
{
    return this->engine();
}

std::uint64_t deviceSeed()
{
    constexpr unsigned WORD_BITS = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << WORD_BITS) | device();
}

} // namespace Briarbend::Core
