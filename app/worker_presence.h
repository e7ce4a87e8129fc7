// Tracks what an agent's worker says about itself: its incarnation, and whether it is present,
// leaving or gone. A worker sends announcements (heartbeats), of which the last ones may say that
// it is draining, and a departure message right before it ends. Makes no calls.
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
    // ReadinessChanged: the worker has become present, or has begun or stopped draining.
    enum class change { None, ReadinessChanged, NewIncarnation };

    // Also returns None for an announcement that arrives after a newer one, or that was sent before
    // a departure and delayed.
    change handleAnnouncement(const platform_wire::worker_announcement &announcement);
    // A worker has sent its departure message. False if it is not this agent's worker.
    bool handleDeparture(const std::string &id, time_point now);

    // DepartureRefuted: the worker goes on, so the departure message was a delayed one of an
    // earlier incarnation.
    enum class poll_result { SameIncarnation, DepartureRefuted, NewIncarnation };
    // A poll sent at `sentAt` was answered. `workerStartMs`: start time of the worker's
    // incarnation in Unix ms, which identifies it; 0: not given.
    poll_result handlePollAnswer(std::int64_t workerStartMs, time_point sentAt);
    // The worker has answered that it isn't the expected incarnation. Until the next one has
    // announced itself, nothing is known of it: not its id, and not that it started later, since
    // its machine's clock may have been set back.
    void handleOtherIncarnation();
    // A poll has failed. True if that proves that a worker that announced its end is gone, and with
    // it all its runs; true only once for each departure.
    bool handlePollFailure(call_failure failure);

    const std::string &id() const { return m_id; } // empty before the first announcement
    // The incarnation before had the same id, as far as is known: this one takes calls to it.
    bool mayTakeEarlierCalls() const { return m_mayTakeEarlierCalls; }
    bool isEarlierIncarnation(std::int64_t workerStartMs) const // than the present one
    {
        return workerStartMs != 0 && workerStartMs < m_startTimeMs;
    }
    bool isIncarnationKnown() const { return m_startTimeMs != 0; }
    std::string incarnationName() const { return std::to_string(m_startTimeMs); }
    bool isPresent() const { return m_isPresent; }
    // It takes no new runs and will end soon.
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
    std::int64_t m_startTimeMs = 0; // start time of the current incarnation; 0: unknown
    bool m_mayTakeEarlierCalls = true;
    bool m_isPresent = false;         // announced and not departed
    bool m_isDeparting = false;       // announced its end, which is not confirmed yet
    time_point m_departureDeadline{}; // by then it is gone, if it sent the departure message
};

} // namespace zinniabarrow
