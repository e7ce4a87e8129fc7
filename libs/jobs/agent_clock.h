// The entry's estimate of an agent's clock, from the clock readings in the agent's reports.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace zinniabarrow::jobs {

// One reading of the agent's clock, from which worker_pool computes the deadlines of start orders.
// The report took an unknown time to arrive, so the agent's clock is never behind the value that is
// extrapolated from the reading.
struct agent_clock
{
    std::int64_t reportedMs = 0; // agent's clock, ms, when the report was sent
    time_point receivedAt{};     // local clock, when the report arrived

    // The agent's clock at `now` is at least this, in ms.
    std::int64_t lowerBoundMs(time_point now) const
    {
        constexpr std::int64_t MaxDriftPercent = 4; // each of the two clocks may be off by 2%
        const auto elapsedMs = millisecondsIn(now - receivedAt);
        return reportedMs + elapsedMs - elapsedMs * MaxDriftPercent / 100;
    }
};

} // namespace zinniabarrow::jobs
