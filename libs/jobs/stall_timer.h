// A task that lasts: when it was known to be at work, and why it isn't, by what its owner knows.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow::jobs {

enum class stall_reason {
    NoWorker,           // no worker is found
    PlacementNotStored, // its placement is not in the store yet
    StartUnanswered,    // no answer settles its start
    StopPending,        // its run is being stopped, and its end is not known
    AgentSilent,        // the agent of its worker is silent
    EarlierEpoch,       // placed before the epoch that its worker has begun
    NotRunning,         // accepted, and the worker's reports show too few runs of its job
};
std::string_view nameOf(stall_reason why);

struct stall_timer
{
    time_point lastRunningAt{}; // last known to be at work, or first looked at
    time_point logAt{};         // the log
};

} // namespace zinniabarrow::jobs
