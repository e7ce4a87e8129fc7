// An agent's estimate of its worker's clock. Deadlines sent to the worker are given on that clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace zinniabarrow {

class worker_clock
{
public:
    // Records that the worker's clock showed `clockMs` (ms) at `readAt` on the agent's clock.
    void setReading(std::int64_t clockMs, time_point readAt)
    {
        m_clockMs = clockMs;
        m_readAt = readAt;
    }
    // A call lets the worker's runs continue until then, on its clock.
    void noteDeadline(std::int64_t deadlineMs)
    {
        m_latestDeadlineMs = std::max(m_latestDeadlineMs, deadlineMs);
    }
    // The machine was suspended, and the worker's clock stood.
    void noteSuspension(duration length) { m_readAt += length; }
    void reset() { *this = {}; }

    bool isKnown() const { return m_clockMs > 0; }
    // The worker's clock at `time`, in ms. Valid only while isKnown().
    std::int64_t millisecondsAt(time_point time) const
    {
        return m_clockMs + millisecondsIn(time - m_readAt);
    }

    // When the worker's clock will show the latest deadline, by the last reading; none: no call had
    // one. It moves on while the worker's machine is suspended, as its clock stands then.
    std::optional<time_point> latestDeadline() const
    {
        if (!isKnown() || m_latestDeadlineMs == 0)
            return std::nullopt;
        return m_readAt + milliseconds(m_latestDeadlineMs - m_clockMs);
    }

private:
    std::int64_t m_clockMs = 0; // last reading; 0: unknown
    time_point m_readAt{};
    std::int64_t m_latestDeadlineMs = 0; // of all calls; 0: none
};

} // namespace zinniabarrow
