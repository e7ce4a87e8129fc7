// What is known of an agent's worker by its own word: its life, and whether it is there. Decisions
// only.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "platform/worker_wire.h"
#include "runtime/http.h"

namespace zinniabarrow {

class worker_presence
{
public:
    enum class change { None, ReadinessChanged, NewIncarnation };

    // An announcement that is overtaken, or held up from before a departure, is no news.
    change handleAnnouncement(const platform_wire::worker_announcement &announcement);
    // The worker says that it ends. False: another one says so.
    bool handleDeparture(const std::string &id, time_point now);

    enum class poll_result { SameIncarnation, DepartureRefuted, NewIncarnation };
    // A look that was sent then is answered by the life that was born so; 0: not told.
    poll_result handleAnswer(std::int64_t bornMs, time_point sentAt);
    // A look has failed. True: the worker that said that it ends is gone, with all that it ran.
    bool confirmsDeparture(call_failure failure);

    const std::string &id() const { return m_id; } // empty: not announced yet
    bool isIncarnationKnown() const { return m_bornMs != 0; }
    std::string incarnationName() const { return std::to_string(m_bornMs); }
    bool isPresent() const { return m_isPresent; }
    bool isLeaving() const { return m_lastAnnouncement.leaving; }
    // It ends soon, or has: its agent's instance goes with it.
    bool isGoingAway() const
    {
        return m_isDeparting || (m_isPresent && m_lastAnnouncement.leaving);
    }
    const platform_wire::worker_announcement &lastAnnouncement() const
    {
        return m_lastAnnouncement;
    }

private:
    void resetAnnouncedState(); // of the life before

    platform_wire::worker_announcement
            m_lastAnnouncement; // newest announcement of the present life
    std::string m_id;
    std::int64_t m_bornMs = 0;
    bool m_isPresent = false;         // announced, and not departed
    bool m_isDeparting = false;       // said to end, and not yet seen gone
    time_point m_departureDeadline{}; // it ends before, if it has said so itself
};

} // namespace zinniabarrow
