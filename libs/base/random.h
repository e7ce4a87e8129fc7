// Random numbers: seeded and injected, so that every run can be repeated.
#pragma once

#include <cstdint>
#include <random>

#include <pcg_random.hpp>

namespace zinniabarrow {

using random_generator = pcg32;

// A uniform index below `size`; `size` must be above zero.
inline std::size_t drawIndex(random_generator &random, std::size_t size)
{
    return random(static_cast<std::uint32_t>(size));
}

// A uniform number in [0, 1).
inline double drawUniform(random_generator &random)
{
    constexpr double Range = 4294967296.0;
    return random() / Range;
}

} // namespace zinniabarrow
