#pragma once

#include <cstdint>

namespace godwit {

/// Seeded pseudo-random number generator (SplitMix64) with the same sequence on every platform. Not
/// cryptographically secure.
class Random
{
public:
    using result_type = std::uint64_t;

    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~0ULL; }

    result_type operator()()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31);
    }

    /// Returns a uniform value in [0, bound); \a bound must not be 0. The modulo bias is below
    /// bound / 2^64.
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// Returns a uniform value in [0, 1).
    double uniform() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

    /// Returns true with probability \a p.
    bool chance(double p) { return uniform() < p; }

private:
    std::uint64_t m_state;
};

} // namespace godwit
