// Seeded random number generator, so that every decision can be replayed from its seed.
#pragma once

#include <cstdint>
#include <limits>

namespace caraway {

// SplitMix64 generator. Meets the requirements of std::uniform_random_bit_generator; the same seed
// produces the same sequence on every platform.
class random_source {
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : m_state(seed) {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()() {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

    // Returns a uniform integer below bound, or 0 if bound is 0. The modulo bias is below 2^-40 for
    // bounds up to 2^24.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : (*this)() % bound; }

    // Returns a uniform real number in [0, 1).
    double unit() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace caraway
