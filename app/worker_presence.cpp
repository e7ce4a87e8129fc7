#include "app/worker_presence.h"

#include <utility>

namespace zinniabarrow {

namespace {

constexpr milliseconds DepartureTimeout{500}; // a worker ends a few ms after it announced that

} // namespace

worker_presence::change
worker_presence::handleAnnouncement(const platform_wire::worker_announcement &announcement)
{
    const bool isSameIncarnation = announcement.id == m_id
                                   && (announcement.startTimeMs == 0 || m_startTimeMs == 0
                                       || announcement.startTimeMs == m_startTimeMs);
    if (isSameIncarnation && announcement.sequence <= m_lastAnnouncement.sequence)
        return change::None; // a newer one arrived before
    // Delayed announcement of an earlier incarnation.
    if (!isSameIncarnation && announcement.startTimeMs != 0
        && announcement.startTimeMs < m_startTimeMs)
        return change::None;
    // A delayed announcement must not cancel the departure of a worker that has left. Only the
    // answer to a poll shows that the worker goes on.
    if (isSameIncarnation && m_isDeparting)
        return change::None;
    const bool isFirst = m_id.empty();
    if (!isSameIncarnation && !isFirst)
        m_mayTakeEarlierCalls = announcement.id == m_id;
    const bool hasReadinessChanged =
            announcement.isDraining != m_lastAnnouncement.isDraining || !m_isPresent;
    m_lastAnnouncement = announcement;
    m_isPresent = true;
    m_isDeparting = false;
    m_id = announcement.id;
    if (!isSameIncarnation
        && (!isFirst || (m_startTimeMs != 0 && announcement.startTimeMs != m_startTimeMs))) {
        m_startTimeMs = announcement.startTimeMs;
        return change::NewIncarnation;
    }
    if (announcement.startTimeMs != 0)
        m_startTimeMs = announcement.startTimeMs;
    return hasReadinessChanged ? change::ReadinessChanged : change::None;
}

bool worker_presence::handleDeparture(const std::string &id, time_point now)
{
    if (!m_id.empty() && id != m_id)
        return false;
    m_isPresent = false;
    // The message may be a delayed one of an earlier incarnation with the same id. Only a refused
    // connection proves that the worker, and with it all its runs, has ended.
    m_isDeparting = true;
    m_departureDeadline = now + DepartureTimeout;
    return true;
}

worker_presence::poll_result worker_presence::handlePollAnswer(std::int64_t workerStartMs,
                                                               time_point sentAt)
{
    const bool isNewIncarnation =
            m_startTimeMs != 0 && workerStartMs != 0 && workerStartMs != m_startTimeMs;
    if (workerStartMs != 0)
        m_startTimeMs = workerStartMs;
    if (isNewIncarnation) {
        m_mayTakeEarlierCalls = true; // the call named the id that the earlier one had
        resetAnnouncedState();
        return poll_result::NewIncarnation;
    }
    // The worker answers long after its announced end, so the message came from an earlier
    // incarnation.
    if (!m_isDeparting || sentAt < m_departureDeadline)
        return poll_result::SameIncarnation;
    m_isDeparting = false;
    m_isPresent = true;
    return poll_result::DepartureRefuted;
}

void worker_presence::handleOtherIncarnation()
{
    m_lastAnnouncement = {};
    m_id.clear();
    m_mayTakeEarlierCalls = false;
    m_startTimeMs = 0;
    resetAnnouncedState();
}

// Each incarnation numbers its announcements from the start, and what an earlier one said about
// leaving or departing does not apply to it.
void worker_presence::resetAnnouncedState()
{
    m_lastAnnouncement.sequence = 0;
    m_lastAnnouncement.isDraining = false;
    m_isPresent = false;
    m_isDeparting = false;
}

bool worker_presence::handlePollFailure(call_failure failure)
{
    // A connection attempt that only timed out may be a network problem, and the worker may still
    // run.
    return failure == call_failure::ConnectionRefused && std::exchange(m_isDeparting, false);
}

} // namespace zinniabarrow
