// Measures how far an event loop is behind, by how late its timers fire. The event_loop feeds and
// asks it, with times of suspendAwareNow(). Not thread-safe.
#pragma once

#include <algorithm>
#include <set>

#include "base/time.h"

namespace zinniabarrow::net {

class loop_lateness
{
public:
    // Length of a window. maxLateness() covers the current and the previous window. A window ends
    // at the first call of recordFired() or maxLateness() after this time, so one can last longer,
    // but a window that ended a whole Window or more before that call is dropped.
    static constexpr milliseconds Window{1000};

    // Call when a timer is started. There is no call for a cancelled timer: the event_loop cancels
    // none.
    void addTimer(time_point due) { m_pendingTimers.insert(due); }

    // `due` must have been added with addTimer() and not yet been recorded.
    void recordFired(time_point due, time_point now)
    {
        m_pendingTimers.erase(m_pendingTimers.find(due));
        advanceWindow(now);
        m_windowMax = std::max(m_windowMax, now - due);
    }

    // The largest lateness of the timers that fired in the current and the previous window.
    duration maxLateness(time_point now)
    {
        advanceWindow(now);
        return std::max(m_windowMax, m_previousWindowMax);
    }

    // Returns by how much the oldest unfired timer is late, 0 if none is.
    duration overdueTime(time_point now) const
    {
        return m_pendingTimers.empty() ? duration{}
                                       : std::max(now - *m_pendingTimers.begin(), duration{});
    }

private:
    void advanceWindow(time_point now)
    {
        if (now < m_windowEndsAt)
            return;
        m_previousWindowMax = now < m_windowEndsAt + Window ? m_windowMax : duration{};
        m_windowMax = {};
        m_windowEndsAt = now + Window;
    }

    std::multiset<time_point> m_pendingTimers; // due times of timers that have not fired
    time_point m_windowEndsAt{};
    duration m_windowMax{};
    duration m_previousWindowMax{};
};

} // namespace zinniabarrow::net
