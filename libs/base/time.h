// Time: one monotonic clock. Decision code is given the time as a value.
#pragma once

#include <chrono>
#include <cstdint>

namespace zinniabarrow {

// Monotonic time of this process. Wall clocks are never compared between processes: a deadline is
// sent as the remaining time and converted back to a time_point on arrival.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    // Called by daemons only; decision code is given `now` instead.
    static time_point now() noexcept
    {
        return time_point(std::chrono::duration_cast<duration>(
                std::chrono::steady_clock::now().time_since_epoch()));
    }
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// As a deadline or the time of the next tick: there is none.
constexpr time_point Never = time_point::max();

// Whole milliseconds, rounded towards zero.
constexpr std::int64_t millisecondsIn(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

// Milliseconds from `now` until `deadline`, rounded down, never below zero.
constexpr std::int64_t millisecondsUntil(time_point deadline, time_point now)
{
    if (deadline <= now)
        return 0;
    return millisecondsIn(deadline - now);
}

} // namespace zinniabarrow
