// How long a long-running task has not been running, and why, as far as the owner of its job knows.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow::jobs {

enum class stall_reason {
    NoWorker,           // no worker can take it
    PlacementNotStored, // its placement is not yet in the store
    StartUnanswered,    // the start order has no conclusive answer
    StopPending,        // its run is being stopped, and the end is unknown
    AgentSilent,        // no reports from the agent of its worker
    EarlierEpoch,       // placed in an epoch before the worker's current one
    NotRunning,         // start accepted, but the worker reports too few runs of the job
};
std::string_view nameOf(stall_reason reason);

// How long one long-running task has been stalled, and when that is logged.
struct stall_timer
{
    time_point lastRunningAt{}; // last known to be running, or first checked
    time_point logAt{};         // when the stall is logged next
};

} // namespace zinniabarrow::jobs
