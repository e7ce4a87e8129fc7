// An agent's estimate of its worker's clock. Deadlines sent to the worker are given on that clock.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace zinniabarrow {

class worker_clock
{
public:
    // Records that the worker's clock showed `clockMs` (ms) at `readAt` on the agent's clock.
    void setReading(std::int64_t clockMs, time_point readAt)
    {
        m_clockMs = clockMs;
        m_readAt = readAt;
    }
    void reset() { m_clockMs = 0; }

    bool isKnown() const { return m_clockMs > 0; }
    // The worker's clock at `time`, in ms. Valid only while isKnown().
    std::int64_t millisecondsAt(time_point time) const
    {
        return m_clockMs + millisecondsIn(time - m_readAt);
    }

private:
    std::int64_t m_clockMs = 0; // last reading; 0: unknown
    time_point m_readAt{};
};

} // namespace zinniabarrow
