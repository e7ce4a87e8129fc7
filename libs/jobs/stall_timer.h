// A task that lasts: when it was known to be at work, and why it isn't, by what its owner knows.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow::jobs {

enum class standing_reason {
    NoWorker,        // no worker is found
    NotStored,       // its placement is not in the store yet
    StartUnanswered, // no answer settles its start
    StopOutstanding, // its run is being stopped, and its end is not known
    WorkerUnheard,   // the agent of its worker is silent
    EarlierEpoch,    // placed before the epoch that its worker has begun
    NotAtWork,       // accepted, and the worker's reports show too few runs of its job
};
std::string_view nameOf(standing_reason why);

struct standing_task
{
    time_point since{};  // last known to be at work, or first looked at
    time_point tellAt{}; // the log
};

} // namespace zinniabarrow::jobs
