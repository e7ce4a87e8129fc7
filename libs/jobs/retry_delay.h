// The retry delay that is suggested to a caller whose request was refused.
#pragma once

#include "base/time.h"

namespace zinniabarrow::jobs {

// The delay depends on how long the store has been unreachable. An outage that is still short
// mostly ends soon. One that has lasted longer takes 4 to 9 s, and callers that retry every second
// would use up their few retries before it ends.
constexpr milliseconds ShortOutage{1000};
constexpr seconds RetryDelayShortOutage{1};
constexpr seconds RetryDelayLongOutage{2}; // four retries cover 8 s

// `outage`: how long the store has not answered.
constexpr seconds suggestedRetryDelay(duration outage)
{
    return outage < ShortOutage ? RetryDelayShortOutage : RetryDelayLongOutage;
}

} // namespace zinniabarrow::jobs
