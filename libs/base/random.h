// Random numbers. Generators are seeded and passed in, so that every run can be repeated.
#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace zinniabarrow {

using random_generator = pcg32;

// Returns a uniformly distributed index below `size`, which must be above zero.
inline std::size_t drawIndex(random_generator &random, std::size_t size)
{
    return random(static_cast<std::uint32_t>(size));
}

// Returns a uniformly distributed number in [0, 1).
inline double drawUniform(random_generator &random)
{
    constexpr double Range = 4294967296.0;
    return random() / Range;
}

} // namespace zinniabarrow
