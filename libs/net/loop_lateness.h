// How far an event loop is behind, by how late its timers fire.
#pragma once

#include <algorithm>
#include <set>

#include "base/time.h"

namespace zinniabarrow::net {

class loop_lateness
{
public:
    static constexpr milliseconds Window{1000}; // a look covers the present one and the one before

    void armed(time_point due) { m_pending.insert(due); }

    void fired(time_point due, time_point now)
    {
        m_pending.erase(m_pending.find(due));
        turn(now);
        m_worst = std::max(m_worst, now - due);
    }

    duration worst(time_point now)
    {
        turn(now);
        return std::max(m_worst, m_worstBefore);
    }

    // How long the first timer that should have fired has waited for it.
    duration overdue(time_point now) const
    {
        return m_pending.empty() ? duration{} : std::max(now - *m_pending.begin(), duration{});
    }

private:
    void turn(time_point now)
    {
        if (now < m_turnsAt)
            return;
        m_worstBefore = now < m_turnsAt + Window ? m_worst : duration{};
        m_worst = {};
        m_turnsAt = now + Window;
    }

    std::multiset<time_point> m_pending; // due times
    time_point m_turnsAt{};
    duration m_worst{};
    duration m_worstBefore{};
};

} // namespace zinniabarrow::net
