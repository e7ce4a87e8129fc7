// What an entry knows of an agent's clock from its reports.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace zinniabarrow::jobs {

// A reading of the agent's clock, and when it came here. It was on its way for an unknown time, so
// the agent's clock is never behind what is counted on from it.
struct agent_clock
{
    std::int64_t reportedMs = 0;
    time_point receivedAt{};

    std::int64_t lowerBoundMs(time_point now) const
    {
        constexpr std::int64_t MaxDriftPercent = 4; // each of two clocks may be off by 2%
        const auto elapsedMs = millisecondsIn(now - receivedAt);
        return reportedMs + elapsedMs - elapsedMs * MaxDriftPercent / 100;
    }
};

} // namespace zinniabarrow::jobs
