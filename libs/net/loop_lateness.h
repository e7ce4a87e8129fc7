// Measures how far an event loop is behind, by how late its timers fire. Not thread-safe.
#pragma once

#include <algorithm>
#include <set>

#include "base/time.h"

namespace zinniabarrow::net {

class loop_lateness
{
public:
    // maxLateness() covers the current and the previous window.
    static constexpr milliseconds Window{1000};

    void addTimer(time_point due) { m_pendingTimers.insert(due); }

    void recordFired(time_point due, time_point now)
    {
        m_pendingTimers.erase(m_pendingTimers.find(due));
        advanceWindow(now);
        m_windowMax = std::max(m_windowMax, now - due);
    }

    duration maxLateness(time_point now)
    {
        advanceWindow(now);
        return std::max(m_windowMax, m_previousWindowMax);
    }

    // Returns by how much the oldest unfired timer is late.
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
