#include "jobs/worker_liveness.h"

#include <algorithm>

namespace zinniabarrow::jobs {

worker_liveness::worker_liveness(time_point now, milliseconds longestHold)
    : m_longestHold(longestHold)
    , m_heldUntil(now + HoldDuration)
{ }

void worker_liveness::noteHold(time_point until)
{
    m_heldUntil = std::max(m_heldUntil, until);
}

void worker_liveness::noteNewIncarnation(time_point now)
{
    m_heldUntil = now + m_longestHold;
    m_earlierCallsHoldUntil = m_heldUntil;
}

void worker_liveness::noteEarlierCallsHold(time_point until)
{
    m_earlierCallsHoldUntil = std::max(m_earlierCallsHoldUntil, until);
}

void worker_liveness::noteReplaced(time_point now)
{
    m_heldUntil = now + HoldDuration;
    m_earlierCallsHoldUntil = {};
}

void worker_liveness::noteNewEpoch(time_point now)
{
    m_heldUntil = now + HoldDuration;
}

void worker_liveness::noteSuspension(duration length)
{
    for (auto *until : {&m_heldUntil, &m_earlierCallsHoldUntil}) {
        if (*until != time_point{})
            *until += length;
    }
}

void worker_liveness::clearHold()
{
    m_heldUntil = {};
    m_earlierCallsHoldUntil = {};
}

void worker_liveness::notePoll(bool answered, time_point now)
{
    m_lastPollAnswered = answered;
    m_consecutiveFailures = answered ? 0 : m_consecutiveFailures + 1;
    if (answered)
        m_answeredAt = now;
}

bool worker_liveness::isResponsive(time_point now) const
{
    return now - m_answeredAt < WorkerSilentAfter;
}

bool worker_liveness::isIncarnationConfirmed(time_point now) const
{
    return m_lastPollAnswered && isResponsive(now);
}

bool worker_liveness::isSilent(time_point now) const
{
    // An agent that was frozen has no recent answer either, although its last poll was answered. It
    // polls again at once.
    return !m_lastPollAnswered && !isResponsive(now);
}

std::optional<time_point> worker_liveness::heldUntil() const
{
    const auto until = std::max(m_heldUntil, m_earlierCallsHoldUntil);
    return until == time_point{} ? std::nullopt : std::optional(until);
}

std::optional<time_point> worker_liveness::heldUntilIfSilent() const
{
    constexpr int FailedPollLimit = 2; // a single poll is lost now and then
    return m_consecutiveFailures < FailedPollLimit ? std::nullopt : heldUntil();
}

bool worker_liveness::hasNothingRunning(time_point now) const
{
    const auto until = heldUntil();
    return until && now >= *until + expirySlack(MaxHoldDuration);
}

start_readiness readinessOf(const worker_status &status, const worker_liveness &liveness,
                            time_point now)
{
    // A lost worker is Unavailable, so that the entry places the task elsewhere. With RetryLater
    // the entry would repeat the order for as long as the agent lives, as no run that could end
    // need exist on the worker.
    if (!status.isPresent || status.isLeaving || liveness.isSilent(now))
        return start_readiness::Unavailable;
    if (!status.hasLease || !liveness.isResponsive(now))
        return start_readiness::RetryLater;
    return status.isEvacuated ? start_readiness::Unavailable : start_readiness::Ready;
}

} // namespace zinniabarrow::jobs
