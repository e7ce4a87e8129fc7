// What an entry knows of an agent's clock from its reports.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace zinniabarrow::jobs {

// A reading of the agent's clock, and when it came here. It was on its way for an unknown time, so
// the agent's clock is never behind what is counted on from it.
struct agent_clock
{
    std::int64_t readMs = 0;
    time_point readAt{};

    std::int64_t atLeast(time_point now) const
    {
        constexpr std::int64_t ApartPercent = 4; // each of two clocks may be off by 2%
        const auto since = millisecondsIn(now - readAt);
        return readMs + since - since * ApartPercent / 100;
    }
};

} // namespace zinniabarrow::jobs
