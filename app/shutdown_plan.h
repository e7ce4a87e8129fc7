// The steps of a process that was told to stop, from the signal to its end. Decides, does nothing.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

enum class shutdown_step {
    HandOver, // others take over what this process owns, and requests are taken as they come
    Finish,   // no new connections; what has come on the open ones is answered
    GiveUp,   // what has no answer yet is told that its outcome is unknown
    End,      // the process ends, whatever is open
};

std::string_view nameOf(shutdown_step step);

// What there is still to do.
struct remaining_work
{
    bool hasOwnedWork = false;       // something that others should take over
    bool hasOpenRequests = false;    // of callers, without an answer
    bool hasOpenConnections = false; // on which requests may stand, also unread
};

// A killed process cuts off everything: all steps are over 6 s after the signal.
struct shutdown_limits
{
    milliseconds handOverLimit{4000};
    milliseconds finishLimit{5200}; // counted from the end of the handing over
    milliseconds giveUpLimit{5200}; // however long that lasted
    milliseconds endLimit{5700};
};

class shutdown_plan
{
public:
    // A loop that was held up once is not behind by that much again.
    static constexpr milliseconds MaxPollLateness{500};

    // A loop that stood still for longer than this has no time for any step.
    static constexpr milliseconds MaxSignalDelay{2000};

    // `overdue`: how long the signal may have waited for the loop.
    shutdown_plan(time_point signalHandledAt, duration signalDelay,
                  const shutdown_limits &limits = {});

    // One step further at most. `lateness`: of the next look, if it is as late as the ones before;
    // a step that can't wait for it is taken now, but for the last one.
    shutdown_step advance(const remaining_work &remaining, duration lateness, time_point now);

    // What is asked of others for a caller is not waited for any longer.
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
