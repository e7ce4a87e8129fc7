// Takes a process, an entry or an agent, through the steps of its graceful shutdown (see
// shutdown_step), by polling shutdown_plan on the process's event loop.
#pragma once

#include <functional>
#include <optional>

#include "app/shutdown_plan.h"
#include "net/event_loop.h"

namespace zinniabarrow {

// Time between two polls, in ms.
struct shutdown_poll_intervals
{
    milliseconds handOver;      // during HandOver, while other processes take over its work
    milliseconds afterHandOver; // in all later steps
};

class shutdown_driver
{
public:
    struct hooks
    {
        std::function<void()> onBegin;                  // called once, when the shutdown begins
        std::function<remaining_work()> remainingWork;  // called at each poll
        std::function<void(shutdown_step)> executeStep; // called once for each step after HandOver
    };

    shutdown_driver(net::event_loop &loop, const shutdown_poll_intervals &intervals,
                    const shutdown_limits &limits, hooks callbacks);

    // Called on the shutdown signal. The event loop is stopped after the last step.
    void begin();

    bool isLeaving() const { return m_plan.has_value(); }
    // GiveUp or End has been reached: open requests are no longer waited for.
    bool hasGivenUp() const { return m_plan && m_plan->hasGivenUp(); }
    // The present step, as of the last poll. HandOver also before the shutdown begins.
    shutdown_step step() const { return m_step; }
    const std::optional<shutdown_plan> &plan() const { return m_plan; } // empty before the signal

private:
    void poll();

    net::event_loop &m_loop;
    shutdown_poll_intervals m_intervals;
    shutdown_limits m_limits;
    hooks m_hooks;
    std::optional<shutdown_plan> m_plan;
    shutdown_step m_step = shutdown_step::HandOver;
};

} // namespace zinniabarrow
