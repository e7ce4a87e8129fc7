#include "app/worker_presence.h"

#include <utility>

namespace zinniabarrow {

namespace {

constexpr milliseconds GoneWithin{500}; // a worker ends some ms after it said so

} // namespace

worker_presence::news worker_presence::announced(const platform_wire::worker_announcement &told)
{
    const bool sameLife =
            told.id == m_id && (told.bornMs == 0 || m_bornMs == 0 || told.bornMs == m_bornMs);
    if (sameLife && told.sequence <= m_told.sequence)
        return news::None; // overtaken by a newer one
    // Held up on its way from a life that has ended since.
    if (!sameLife && told.bornMs != 0 && told.bornMs < m_bornMs)
        return news::None;
    // Held up, it would take back what is known of a worker that has left: only an answer says
    // that it goes on.
    if (sameLife && m_departing)
        return news::None;
    const bool first = m_id.empty();
    const bool readinessChanged = told.leaving != m_told.leaving || !m_present;
    m_told = told;
    m_present = true;
    m_departing = false;
    m_id = told.id;
    if (!sameLife && (!first || (m_bornMs != 0 && told.bornMs != m_bornMs))) {
        m_bornMs = told.bornMs;
        return news::OtherLife;
    }
    if (told.bornMs != 0)
        m_bornMs = told.bornMs;
    return readinessChanged ? news::Readiness : news::None;
}

bool worker_presence::departed(const std::string &id, time_point now)
{
    if (!m_id.empty() && id != m_id)
        return false;
    m_present = false;
    // The message may be of an earlier life under the same id, held up on its way: only a worker
    // that refuses connections by now has ended all that it ran.
    m_departing = true;
    m_goneBy = now + GoneWithin;
    return true;
}

worker_presence::look worker_presence::answered(std::int64_t bornMs, time_point sentAt)
{
    const bool otherLife = m_bornMs != 0 && bornMs != 0 && bornMs != m_bornMs;
    if (bornMs != 0)
        m_bornMs = bornMs;
    if (otherLife) {
        forgetWords();
        return look::OtherLife;
    }
    // It answers long after it said that it ends: the message was of an earlier life.
    if (!m_departing || sentAt < m_goneBy)
        return look::SameLife;
    m_departing = false;
    m_present = true;
    return look::Stayed;
}

// Each life counts its announcements anew, and neither leaves nor departs by the word of another.
void worker_presence::forgetWords()
{
    m_told.sequence = 0;
    m_told.leaving = false;
    m_present = false;
    m_departing = false;
}

bool worker_presence::isGoneBy(call_failure failure)
{
    // A connect that has only timed out tells of the way to the worker, which may run on.
    return failure == call_failure::Refused && std::exchange(m_departing, false);
}

} // namespace zinniabarrow
