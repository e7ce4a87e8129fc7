// Takes a process through the steps of its planned stop, on its loop.
#pragma once

#include <functional>
#include <optional>

#include "app/shutdown_plan.h"
#include "net/event_loop.h"

namespace zinniabarrow {

// From one look to the next.
struct stop_pauses
{
    milliseconds handingOver;
    milliseconds finishing; // in all later steps
};

class stop_walk
{
public:
    struct hooks
    {
        std::function<void()> begun;             // the process leaves from here on
        std::function<stop_needs()> needs;       // asked at each look
        std::function<void(stop_step)> carryOut; // once for each step after the first
    };

    stop_walk(net::event_loop &loop, const stop_pauses &pauses, const stop_times &times,
              hooks callbacks);

    // After the last step the loop stops.
    void begin();

    bool isLeaving() const { return m_stop.has_value(); }
    bool hasGivenUp() const { return m_stop && m_stop->hasGivenUp(); }
    stop_step step() const { return m_step; }                          // that was carried out
    const std::optional<planned_stop> &plan() const { return m_stop; } // none before the signal

private:
    void look();

    net::event_loop &m_loop;
    stop_pauses m_pauses;
    stop_times m_times;
    hooks m_hooks;
    std::optional<planned_stop> m_stop;
    stop_step m_step = stop_step::HandOver;
};

} // namespace zinniabarrow
