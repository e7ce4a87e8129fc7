// Takes a process through the steps of its planned stop, on its loop.
#pragma once

#include <functional>
#include <optional>

#include "app/shutdown_plan.h"
#include "net/event_loop.h"

namespace zinniabarrow {

// From one look to the next.
struct shutdown_poll_intervals
{
    milliseconds handOver;
    milliseconds afterHandOver; // in all later steps
};

class shutdown_driver
{
public:
    struct hooks
    {
        std::function<void()> onBegin;                  // the process leaves from here on
        std::function<remaining_work()> remainingWork;  // asked at each look
        std::function<void(shutdown_step)> executeStep; // once for each step after the first
    };

    shutdown_driver(net::event_loop &loop, const shutdown_poll_intervals &intervals,
                    const shutdown_limits &limits, hooks callbacks);

    // After the last step the loop stops.
    void begin();

    bool isLeaving() const { return m_plan.has_value(); }
    bool hasGivenUp() const { return m_plan && m_plan->hasGivenUp(); }
    shutdown_step step() const { return m_step; }                       // that was carried out
    const std::optional<shutdown_plan> &plan() const { return m_plan; } // none before the signal

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
