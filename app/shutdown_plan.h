// The steps of a process that was told to stop, from the signal to its end. Decides, does nothing.
#pragma once

#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

enum class stop_step {
    HandOver, // others take over what this process owns, and requests are taken as they come
    Finish,   // no new connections; what has come on the open ones is answered
    GiveUp,   // what has no answer yet is told that its outcome is unknown
    End,      // the process ends, whatever is open
};

std::string_view nameOf(stop_step step);

// What there is still to do.
struct stop_needs
{
    bool owns = false;            // something that others should take over
    bool requestsOpen = false;    // of callers, without an answer
    bool connectionsOpen = false; // on which requests may stand, also unread
};

// A killed process cuts off everything: all steps are over 6 s after the signal.
struct stop_times
{
    milliseconds handOverWithin{4000};
    milliseconds finishWithin{5200}; // counted from the end of the handing over
    milliseconds giveUpAfter{5200};  // however long that lasted
    milliseconds endWithin{5700};
};

class planned_stop
{
public:
    // A loop that was held up once is not behind by that much again.
    static constexpr milliseconds LatestLook{500};

    // A loop that stood still for longer than this has no time for any step.
    static constexpr milliseconds LatestSignal{2000};

    // `overdue`: how long the signal may have waited for the loop.
    planned_stop(time_point heardAt, duration overdue, const stop_times &times = {});

    // One step further at most. `lateness`: of the next look, if it is as late as the ones before;
    // a step that can't wait for it is taken now, but for the last one.
    stop_step look(const stop_needs &needs, duration lateness, time_point now);

    // What is asked of others for a caller is not waited for any longer.
    time_point answersBy() const { return m_giveUpAt; }
    bool hasGivenUp() const { return m_step >= stop_step::GiveUp; }

private:
    stop_step m_step = stop_step::HandOver;
    stop_times m_times;
    time_point m_handOverBy;
    time_point m_giveUpAt;
    time_point m_endBy;
};

} // namespace zinniabarrow
