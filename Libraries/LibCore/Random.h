#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace Briarbend::Core
{

/// Seeded source of randomness, passed to every decision that needs one. The same seed gives the same decisions on every run.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// A uniform value in [0, bound). The bound must be positive.
    std::size_t below(std::size_t bound);
    /// A uniform value in [0, 1).
    double unit();
    /// An exponentially distributed value with the given mean.
    double exponential(double mean);
    /// 64 uniform bits.
    std::uint64_t bits();

private:
    std::mt19937_64 engine;
};

/// A seed from the host's source of randomness.
std::uint64_t deviceSeed();

} // namespace Briarbend::Core
