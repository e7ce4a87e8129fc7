// What an agent knows of its worker's clock, which its deadlines are counted on.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace zinniabarrow {

class worker_clock
{
public:
    void setReading(std::int64_t clockMs, time_point readAt)
    {
        m_clockMs = clockMs;
        m_readAt = readAt;
    }
    void reset() { m_clockMs = 0; }

    bool isKnown() const { return m_clockMs > 0; }
    // What it shows then, in ms; means something only while it is known.
    std::int64_t millisecondsAt(time_point time) const
    {
        return m_clockMs + millisecondsIn(time - m_readAt);
    }

private:
    std::int64_t m_clockMs = 0;
    time_point m_readAt{};
};

} // namespace zinniabarrow
