// Seeded generator of the variation in a soak.
#pragma once

#include <cstddef>
#include <random>

#include "base/time.h"

namespace zinniabarrow::soak {

class random_source
{
public:
    explicit random_source(unsigned seed)
        : m_generator(seed)
    { }
    int between(int minimum, int maximum)
    {
        return minimum
               + static_cast<int>(m_generator() % static_cast<unsigned>(maximum - minimum + 1));
    }
    std::size_t indexBelow(std::size_t bound) { return m_generator() % bound; }
    milliseconds time(int minimumMs, int maximumMs)
    {
        return milliseconds(between(minimumMs, maximumMs));
    }
    bool oneIn(int count) { return between(1, count) == 1; }

private:
    std::mt19937 m_generator;
};

} // namespace zinniabarrow::soak
