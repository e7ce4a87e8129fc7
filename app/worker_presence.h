// Tracks what an agent's worker says about itself: its incarnation, and whether it is present,
// leaving or gone. Makes no calls.
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

    // Returns None for an announcement that arrives after a newer one, or that was sent before a
    // departure and delayed.
    change handleAnnouncement(const platform_wire::worker_announcement &announcement);
    // A worker announces that it is about to end. False if that is not this agent's worker.
    bool handleDeparture(const std::string &id, time_point now);

    // DepartureRefuted: the worker goes on although it seemed to have announced its end.
    enum class poll_result { SameIncarnation, DepartureRefuted, NewIncarnation };
    // A poll sent at `sentAt` was answered. `bornMs`: start time of the worker's incarnation, which
    // identifies it; 0: not given.
    poll_result handlePollAnswer(std::int64_t bornMs, time_point sentAt);
    // A poll has failed. True if that proves that a worker that announced its end is gone, and with
    // it all its runs.
    bool handlePollFailure(call_failure failure);

    const std::string &id() const { return m_id; } // empty before the first announcement
    bool isIncarnationKnown() const { return m_bornMs != 0; }
    std::string incarnationName() const { return std::to_string(m_bornMs); }
    bool isPresent() const { return m_isPresent; }
    bool isLeaving() const { return m_lastAnnouncement.isDraining; }
    // The worker is about to end or has ended. The agent's instance ends with it.
    bool isGoingAway() const
    {
        return m_isDeparting || (m_isPresent && m_lastAnnouncement.isDraining);
    }
    const platform_wire::worker_announcement &lastAnnouncement() const
    {
        return m_lastAnnouncement;
    }

private:
    void resetAnnouncedState();

    // The newest one of the current incarnation.
    platform_wire::worker_announcement m_lastAnnouncement;
    std::string m_id;
    std::int64_t m_bornMs = 0;        // start time of the current incarnation; 0: unknown
    bool m_isPresent = false;         // announced and not departed
    bool m_isDeparting = false;       // announced its end, which is not confirmed yet
    time_point m_departureDeadline{}; // it is gone by then, if it did announce its end
};

} // namespace zinniabarrow
