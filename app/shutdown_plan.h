// Decides when a process that is shutting down gracefully goes from one step to the next, from the
// signal to its exit. Executes nothing itself.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

enum class shutdown_step {
    HandOver, // other processes take over what this one owns; requests are still accepted
    Finish,   // no new connections; requests on open connections are answered
    GiveUp,   // open requests are answered with "outcome unknown"
    End,      // the process exits, whatever is still open
};

std::string_view nameOf(shutdown_step step);

// What a process still has to do before it can exit.
struct remaining_work
{
    bool hasOwnedWork = false;       // owns something that other processes should take over
    bool hasOpenRequests = false;    // callers' requests are not answered yet
    bool hasOpenConnections = false; // these may carry requests that were not read yet
};

// Time limits of the steps, in ms after the signal unless said otherwise. The platform kills a
// process 6 s after the signal, which cuts off all its connections, so all steps have to be over
// before.
struct shutdown_limits
{
    milliseconds handOverLimit{4000}; // end of HandOver
    milliseconds finishLimit{5200};   // end of Finish, counted from the end of HandOver
    milliseconds giveUpLimit{5200};   // end of Finish at the latest, however long HandOver took
    milliseconds endLimit{5700};      // end of GiveUp
};

class shutdown_plan
{
public:
    // Upper bound on the lateness that is expected of the next poll: an event loop that was blocked
    // once is not assumed to be late by more than this again.
    static constexpr milliseconds MaxPollLateness{500};

    // Upper bound on the assumed delay of the signal. If the event loop was blocked for longer and
    // all of it were subtracted, no time would be left for any step.
    static constexpr milliseconds MaxSignalDelay{2000};

    // `signalDelay`: how long the signal may have waited for the event loop before it was handled.
    shutdown_plan(time_point signalHandledAt, duration signalDelay,
                  const shutdown_limits &limits = {});

    // Called at each poll. Advances by one step at most and returns the current step. `lateness`:
    // how late the next poll is expected to be, judged by the previous ones. A step that would then
    // be taken after its deadline is taken now, except for the last one.
    shutdown_step advance(const remaining_work &remaining, duration lateness, time_point now);

    // Calls to other processes on a caller's behalf are not awaited after this time.
    time_point answerDeadline() const { return m_giveUpDeadline; }
    bool hasGivenUp() const { return m_step >= shutdown_step::GiveUp; }

private:
    shutdown_step m_step = shutdown_step::HandOver;
    shutdown_limits m_limits;
    time_point m_handOverDeadline;
    time_point m_giveUpDeadline;
    time_point m_endDeadline;
};

} // namespace zinniabarrow
