// When a caller that was refused should come back.
#pragma once

#include "base/time.h"

namespace zinniabarrow::jobs {

// The store has not answered for `silence`. A short silence is mostly a hiccup; one that has lasted
// is an outage of 4 to 9 s, and callers that come each second have used up their few retries before
// its end.
constexpr milliseconds ShortOutage{1000};
constexpr seconds RetryDelayShortOutage{1};
constexpr seconds RetryDelayLongOutage{2}; // four retries reach over 8 s

constexpr seconds suggestedRetryDelay(duration outage)
{
    return outage < ShortOutage ? RetryDelayShortOutage : RetryDelayLongOutage;
}

} // namespace zinniabarrow::jobs
