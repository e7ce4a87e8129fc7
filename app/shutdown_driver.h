// Takes a process through the steps of its graceful shutdown, by polling shutdown_plan on the
// process's event loop.
#pragma once

#include <functional>
#include <optional>

#include "app/shutdown_plan.h"
#include "net/event_loop.h"

namespace zinniabarrow {

// Time between two polls, in ms.
struct shutdown_poll_intervals
{
    milliseconds handOver;      // during HandOver
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
    bool hasGivenUp() const { return m_plan && m_plan->hasGivenUp(); }
    shutdown_step step() const { return m_step; }                       // executed last
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
