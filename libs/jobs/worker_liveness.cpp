#include "jobs/worker_liveness.h"

#include <algorithm>

namespace zinniabarrow::jobs {

worker_silence::worker_silence(time_point now)
    : m_heldUntil(now + HoldLength)
{ }

void worker_silence::held(time_point until)
{
    m_heldUntil = std::max(m_heldUntil, until);
}

void worker_silence::lifeBegun(time_point now)
{
    m_heldUntil = now + LongestHold;
}

void worker_silence::epochBegun(time_point now)
{
    m_heldUntil = now + HoldLength;
}

void worker_silence::allEnded()
{
    m_heldUntil = {};
}

void worker_silence::looked(bool answered, time_point now)
{
    m_answered = answered;
    m_failedInRow = answered ? 0 : m_failedInRow + 1;
    if (answered)
        m_seenAt = now;
}

bool worker_silence::answers(time_point now) const
{
    return now - m_seenAt < WorkerSilent;
}

bool worker_silence::isSilent(time_point now) const
{
    // An agent that was frozen has no answer either, and asks again at once.
    return !m_answered && !answers(now);
}

std::optional<time_point> worker_silence::heldUntil() const
{
    return m_heldUntil == time_point{} ? std::nullopt : std::optional(m_heldUntil);
}

std::optional<time_point> worker_silence::heldWithoutAnswer() const
{
    constexpr int LooksLost = 2; // one is lost now and then
    return m_failedInRow < LooksLost ? std::nullopt : heldUntil();
}

bool worker_silence::nothingRuns(time_point now) const
{
    return m_heldUntil != time_point{} && now >= m_heldUntil + slackOf(LongestHold);
}

start_readiness readinessOf(const worker_standing &standing, const worker_silence &silence,
                            time_point now)
{
    // A lost worker may have nothing whose end would end a placement on it: an order that was put
    // off would be repeated for as long as the agent lives. Refused, its task goes elsewhere.
    if (!standing.present || standing.leaving || silence.isSilent(now))
        return start_readiness::Closed;
    if (!standing.leased || !silence.answers(now))
        return start_readiness::Later;
    return standing.evacuated ? start_readiness::Closed : start_readiness::Open;
}

} // namespace zinniabarrow::jobs
