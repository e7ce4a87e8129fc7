#include "app/worker_presence.h"

#include <utility>

namespace zinniabarrow {

namespace {

constexpr milliseconds DepartureTimeout{500}; // a worker ends some ms after it said so

} // namespace

worker_presence::change
worker_presence::handleAnnouncement(const platform_wire::worker_announcement &announcement)
{
    const bool isSameIncarnation =
            announcement.id == m_id
            && (announcement.bornMs == 0 || m_bornMs == 0 || announcement.bornMs == m_bornMs);
    if (isSameIncarnation && announcement.sequence <= m_lastAnnouncement.sequence)
        return change::None; // overtaken by a newer one
    // Held up on its way from a life that has ended since.
    if (!isSameIncarnation && announcement.bornMs != 0 && announcement.bornMs < m_bornMs)
        return change::None;
    // Held up, it would take back what is known of a worker that has left: only an answer says
    // that it goes on.
    if (isSameIncarnation && m_isDeparting)
        return change::None;
    const bool isFirst = m_id.empty();
    const bool hasReadinessChanged =
            announcement.leaving != m_lastAnnouncement.leaving || !m_isPresent;
    m_lastAnnouncement = announcement;
    m_isPresent = true;
    m_isDeparting = false;
    m_id = announcement.id;
    if (!isSameIncarnation && (!isFirst || (m_bornMs != 0 && announcement.bornMs != m_bornMs))) {
        m_bornMs = announcement.bornMs;
        return change::NewIncarnation;
    }
    if (announcement.bornMs != 0)
        m_bornMs = announcement.bornMs;
    return hasReadinessChanged ? change::ReadinessChanged : change::None;
}

bool worker_presence::handleDeparture(const std::string &id, time_point now)
{
    if (!m_id.empty() && id != m_id)
        return false;
    m_isPresent = false;
    // The message may be of an earlier life under the same id, held up on its way: only a worker
    // that refuses connections by now has ended all that it ran.
    m_isDeparting = true;
    m_departureDeadline = now + DepartureTimeout;
    return true;
}

worker_presence::poll_result worker_presence::handleAnswer(std::int64_t bornMs, time_point sentAt)
{
    const bool isNewIncarnation = m_bornMs != 0 && bornMs != 0 && bornMs != m_bornMs;
    if (bornMs != 0)
        m_bornMs = bornMs;
    if (isNewIncarnation) {
        resetAnnouncedState();
        return poll_result::NewIncarnation;
    }
    // It answers long after it said that it ends: the message was of an earlier life.
    if (!m_isDeparting || sentAt < m_departureDeadline)
        return poll_result::SameIncarnation;
    m_isDeparting = false;
    m_isPresent = true;
    return poll_result::DepartureRefuted;
}

// Each life counts its announcements anew, and neither leaves nor departs by the word of another.
void worker_presence::resetAnnouncedState()
{
    m_lastAnnouncement.sequence = 0;
    m_lastAnnouncement.leaving = false;
    m_isPresent = false;
    m_isDeparting = false;
}

bool worker_presence::confirmsDeparture(call_failure failure)
{
    // A connect that has only timed out tells of the way to the worker, which may run on.
    return failure == call_failure::Refused && std::exchange(m_isDeparting, false);
}

} // namespace zinniabarrow
