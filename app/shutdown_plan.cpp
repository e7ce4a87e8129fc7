#include "app/shutdown_plan.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<stop_step, 4> StepNames{{
        {stop_step::HandOver, "hand_over"},
        {stop_step::Finish, "finish"},
        {stop_step::GiveUp, "give_up"},
        {stop_step::End, "end"},
}};

} // namespace

std::string_view nameOf(stop_step step)
{
    return nameOf(StepNames, step);
}

planned_stop::planned_stop(time_point heardAt, duration overdue, const stop_times &times)
    : m_times(times)
{
    const auto begunAt = heardAt - std::min<duration>(overdue, LatestSignal);
    m_handOverBy = begunAt + times.handOverWithin;
    m_giveUpAt = begunAt + times.giveUpAfter;
    m_endBy = begunAt + times.endWithin;
}

stop_step planned_stop::look(const stop_needs &needs, duration lateness, time_point now)
{
    const auto nextLook = now + std::min<duration>(lateness, LatestLook);
    switch (m_step) {
    case stop_step::HandOver:
        // New callers are refused from the next step on: not while others are answered anyway.
        if ((!needs.owns && !needs.requestsOpen) || nextLook >= m_handOverBy) {
            m_step = stop_step::Finish;
            m_giveUpAt = std::min<time_point>(m_giveUpAt, now + m_times.finishWithin);
        }
        break;
    case stop_step::Finish:
        if (!needs.connectionsOpen)
            m_step = stop_step::End;
        else if (nextLook >= m_giveUpAt)
            m_step = stop_step::GiveUp;
        break;
    case stop_step::GiveUp:
        if (!needs.connectionsOpen || now >= m_endBy)
            m_step = stop_step::End;
        break;
    case stop_step::End:
        break;
    }
    return m_step;
}

} // namespace zinniabarrow
