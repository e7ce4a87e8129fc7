#include "app/shutdown_plan.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<shutdown_step, 4> StepNames{{
        {shutdown_step::HandOver, "hand_over"},
        {shutdown_step::Finish, "finish"},
        {shutdown_step::GiveUp, "give_up"},
        {shutdown_step::End, "end"},
}};

} // namespace

std::string_view nameOf(shutdown_step step)
{
    return nameOf(StepNames, step);
}

shutdown_plan::shutdown_plan(time_point signalHandledAt, duration signalDelay,
                             const shutdown_limits &limits)
    : m_limits(limits)
{
    const auto signaledAt = signalHandledAt - std::min<duration>(signalDelay, MaxSignalDelay);
    m_handOverDeadline = signaledAt + limits.handOverLimit;
    m_giveUpDeadline = signaledAt + limits.giveUpLimit;
    m_endDeadline = signaledAt + limits.endLimit;
}

shutdown_step shutdown_plan::advance(const remaining_work &remaining, duration lateness,
                                     time_point now)
{
    const auto nextPollAt = now + std::min<duration>(lateness, MaxPollLateness);
    switch (m_step) {
    case shutdown_step::HandOver:
        // New connections are refused from the next step on, so the step waits for open requests
        // too: while those are answered, new ones can be as well.
        if ((!remaining.hasOwnedWork && !remaining.hasOpenRequests)
            || nextPollAt >= m_handOverDeadline) {
            m_step = shutdown_step::Finish;
            m_giveUpDeadline = std::min<time_point>(m_giveUpDeadline, now + m_limits.finishLimit);
        }
        break;
    case shutdown_step::Finish:
        if (!remaining.hasOpenConnections)
            m_step = shutdown_step::End;
        else if (nextPollAt >= m_giveUpDeadline)
            m_step = shutdown_step::GiveUp;
        break;
    case shutdown_step::GiveUp:
        if (!remaining.hasOpenConnections || now >= m_endDeadline)
            m_step = shutdown_step::End;
        break;
    case shutdown_step::End:
        break;
    }
    return m_step;
}

} // namespace zinniabarrow
