#include "app/shutdown_driver.h"

#include <utility>

namespace zinniabarrow {

using net::suspendAwareNow;

stop_walk::stop_walk(net::event_loop &loop, const stop_pauses &pauses, const stop_times &times,
                     hooks callbacks)
    : m_loop(loop)
    , m_pauses(pauses)
    , m_times(times)
    , m_hooks(std::move(callbacks))
{ }

void stop_walk::begin()
{
    m_stop.emplace(suspendAwareNow(), m_loop.overdue(), m_times);
    m_hooks.begun();
    look();
}

void stop_walk::look()
{
    const auto needs = m_hooks.needs();
    const auto step = m_stop->look(needs, m_loop.lateness(), suspendAwareNow());
    if (std::exchange(m_step, step) != step)
        m_hooks.carryOut(step);
    if (step == stop_step::End)
        return m_loop.stop();
    m_loop.after(step == stop_step::HandOver ? m_pauses.handingOver : m_pauses.finishing,
                 [this] { look(); });
}

} // namespace zinniabarrow
