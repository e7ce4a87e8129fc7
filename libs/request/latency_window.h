// The tail latency of an upstream's newest answers, and when it was measured.
//
// Only answers of the last window count. Without that bound, a service with few requests would go
// on reporting what it was minutes ago as new, and its neighbours would be throttled for it.
#pragma once

#include <optional>

#include <boost/circular_buffer.hpp>

#include "base/time.h"

namespace zinniabarrow::request {

struct latency_reading
{
    microseconds p99{0};   // of the window's answers
    time_point measuredAt; // the mean of when they were served
};

class latency_window
{
public:
    explicit latency_window(duration length)
        : m_windowLength(length)
        , m_answers(MaxAnswers)
    { }

    void add(duration latency, time_point endedAt);
    // Absent without an answer in the window: that says nothing about the service.
    std::optional<latency_reading> read(time_point now) const;

private:
    static constexpr std::size_t MaxAnswers = 1024; // the newest

    struct answer
    {
        duration latency;
        time_point endedAt;
    };

    duration m_windowLength;
    boost::circular_buffer<answer> m_answers; // oldest first
};

} // namespace zinniabarrow::request
