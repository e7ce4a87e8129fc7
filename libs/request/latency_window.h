// The 99th percentile of an upstream's latency over its recent answers, with the time of the
// measurement. Only answers within the time window count: otherwise a service with few requests
// would keep reporting latencies of several minutes ago as current, and batch tasks next to it
// would be throttled for them.
#pragma once

#include <optional>

#include <boost/circular_buffer.hpp>

#include "base/time.h"

namespace zinniabarrow::request {

struct latency_reading
{
    microseconds p99{0};   // over the answers in the window
    time_point measuredAt; // mean of the midpoints between start and end of the answers
};

// Keeps the latencies of the newest answers of an upstream. Not thread-safe.
class latency_window
{
public:
    explicit latency_window(duration length)
        : m_windowLength(length)
        , m_answers(MaxAnswers)
    { }

    void add(duration latency, time_point endedAt);
    // Absent if no answer ended within the window: nothing is known about the latency then.
    std::optional<latency_reading> read(time_point now) const;

private:
    static constexpr std::size_t MaxAnswers = 1024; // only the newest are kept

    struct answer
    {
        duration latency;
        time_point endedAt;
    };

    duration m_windowLength;
    boost::circular_buffer<answer> m_answers; // oldest first
};

} // namespace zinniabarrow::request
