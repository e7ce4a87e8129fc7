#include "app/shutdown_driver.h"

#include <utility>

namespace zinniabarrow {

using net::suspendAwareNow;

shutdown_driver::shutdown_driver(net::event_loop &loop, const shutdown_poll_intervals &intervals,
                                 const shutdown_limits &limits, hooks callbacks)
    : m_loop(loop)
    , m_intervals(intervals)
    , m_limits(limits)
    , m_hooks(std::move(callbacks))
{ }

void shutdown_driver::begin()
{
    m_plan.emplace(suspendAwareNow(), m_loop.overdueTime(), m_limits);
    m_hooks.onBegin();
    poll();
}

void shutdown_driver::poll()
{
    const auto remainingWork = m_hooks.remainingWork();
    const auto step = m_plan->advance(remainingWork, m_loop.lateness(), suspendAwareNow());
    if (std::exchange(m_step, step) != step)
        m_hooks.executeStep(step);
    if (step == shutdown_step::End)
        return m_loop.stop();
    m_loop.runAfter(step == shutdown_step::HandOver ? m_intervals.handOver
                                                    : m_intervals.afterHandOver,
                    [this] { poll(); });
}

} // namespace zinniabarrow
