#include "jobs/worker_lease.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

namespace zinniabarrow::jobs {

namespace {

const std::string NoIncarnation; // no incarnation of the worker exists, or it is unknown which

} // namespace

worker_lease::worker_lease(std::string agent, milliseconds longestSuspension)
    : m_agent(std::move(agent))
    , m_longestSuspension(longestSuspension)
{ }

void worker_lease::acquireFence()
{
    m_isSettled = false;
    m_phase = lease_phase::Reading;
    // The end of the epoch still has to be written. A poll with the new fence will show which
    // incarnation comes next.
    if (m_nextIncarnation)
        m_nextIncarnation = NoIncarnation;
    // The outcome of a pending write would be mistaken for that of the next one.
    m_mustReacquire = m_pendingWrite.has_value();
    if (!m_mustReacquire)
        m_actions.emplace_back(read_lease{});
}

void worker_lease::renew(time_point now, std::optional<time_point> heldUntil)
{
    if (m_phase != lease_phase::Held || m_pendingWrite)
        return;
    // Renewing the lease of a lost worker would only delay the start of its tasks elsewhere.
    if (heldUntil && *heldUntil <= now)
        return;
    if (!heldUntil)
        return write(m_row, false, now);
    const auto endsBy = *heldUntil + suspensionReserve(m_longestSuspension);
    // The earlier expiry applies at once: the row may give it before this agent learns that the
    // write succeeded.
    m_validUntil = std::min<time_point>(m_validUntil, endsBy);
    write(m_row, false, now, endsBy);
}

void worker_lease::noteEarlierCallsHold(time_point until, time_point now)
{
    const auto storeMs = m_storeClock.upperBoundMs(now);
    // Without a reading the row can't say it; tasks start only once a usual lease lasts longer.
    if (storeMs == 0)
        return;
    m_earlierCallsHoldUntilMs =
            std::max(m_earlierCallsHoldUntilMs, storeMs + millisecondsIn(until - now));
}

void worker_lease::forgetEarlierCallsHold()
{
    m_earlierCallsHoldUntilMs = 0;
    m_hasForgottenEarlierCalls = true;
}

std::optional<time_point> worker_lease::earlierCallsHoldUntil(time_point now) const
{
    const auto storeMs = m_storeClock.lowerBoundMs(now);
    if (storeMs == 0 || m_earlierCallsHoldUntilMs <= storeMs)
        return std::nullopt;
    return now + milliseconds(m_earlierCallsHoldUntilMs - storeMs);
}

void worker_lease::noteStoreClock(std::int64_t storeMs, time_point sentAt, time_point now)
{
    m_storeClock.noteReading(storeMs, sentAt, now);
}

void worker_lease::rowRead(const std::optional<lease_row> &row, std::int64_t version,
                           time_point now)
{
    if (m_phase != lease_phase::Reading || m_pendingWrite)
        return;
    m_version = row ? version : 0;
    auto next = row.value_or(lease_row());
    if (!std::exchange(m_hasForgottenEarlierCalls, false))
        m_earlierCallsHoldUntilMs =
                std::max(m_earlierCallsHoldUntilMs, next.earlierCallsHoldUntilMs);
    ++next.fence;
    m_phase = lease_phase::WritingFence;
    write(std::move(next), false, now);
}

void worker_lease::rowWritten(std::int64_t version, time_point now)
{
    if (!m_pendingWrite)
        return;
    const auto written = std::move(*m_pendingWrite);
    m_pendingWrite.reset();
    m_row = written.row;
    m_version = version;
    // Counted from before the write was sent, as in the row that watchers read.
    m_validUntil = written.validUntil;
    if (written.beginsEpoch && !m_nextIncarnation && !m_mustReacquire) {
        // Without an incarnation the row only says that the previous epoch has ended. Tasks start
        // only after a poll of the next incarnation: until that poll carries the new fence, a
        // delayed start call with the previous fence may take effect there.
        m_isSettled = m_row.workerIncarnation != NoIncarnation;
        m_actions.emplace_back(epoch_settled{m_row.epoch, true});
    }
    if (std::exchange(m_mustReacquire, false)) {
        m_actions.emplace_back(read_lease{});
        return;
    }
    m_phase = lease_phase::Held;
    beginEpochIfDue(now);
}

void worker_lease::rowConflict()
{
    if (!m_pendingWrite)
        return;
    if (m_pendingWrite->beginsEpoch && !m_nextIncarnation)
        m_nextIncarnation = NoIncarnation;
    m_pendingWrite.reset();
    acquireFence();
}

bool worker_lease::reconcile(const std::string &workerIncarnation, bool mayHaveRuns, time_point now)
{
    if (m_phase != lease_phase::Held || m_isSettled || hasUnwrittenEnd())
        return false;
    if (!m_row.endedByWatcher && m_row.workerIncarnation == workerIncarnation) {
        m_isSettled = true;
        m_actions.emplace_back(epoch_settled{m_row.epoch, false});
        return false;
    }
    if (mayHaveRuns)
        return true;
    endEpoch(workerIncarnation, now);
    return false;
}

void worker_lease::endEpoch(const std::string &workerIncarnation, time_point now)
{
    m_isSettled = false;
    m_nextIncarnation = workerIncarnation;
    beginEpochIfDue(now);
}

void worker_lease::beginEpochIfDue(time_point now)
{
    if (!m_nextIncarnation || m_pendingWrite || m_phase != lease_phase::Held)
        return;
    auto next = m_row;
    ++next.epoch;
    next.workerIncarnation = *std::exchange(m_nextIncarnation, std::nullopt);
    next.endedByWatcher = false;
    write(std::move(next), true, now);
}

void worker_lease::write(lease_row next, bool beginsEpoch, time_point now,
                         std::optional<time_point> endsBy)
{
    const auto validUntil = std::min<time_point>(now + LeaseDuration, endsBy.value_or(Never));
    ++next.renewals;
    // The row of an incarnation that has ended keeps its id, for the comparison with the next
    // one's.
    if ((m_isSettled || beginsEpoch) && next.workerIncarnation != NoIncarnation)
        next.workerId = m_workerId;
    const auto storeMs = m_storeClock.upperBoundMs(now);
    if (m_earlierCallsHoldUntilMs <= m_storeClock.lowerBoundMs(now))
        m_earlierCallsHoldUntilMs = 0;
    next.earlierCallsHoldUntilMs = m_earlierCallsHoldUntilMs;
    next.expiresAtMs = storeMs == 0 ? 0
                                    : std::max(storeMs + millisecondsIn(validUntil - now),
                                               next.earlierCallsHoldUntilMs);
    // Two incarnations of an agent may write the same fence, and the write of the earlier one may
    // take effect late. If it were mistaken for the later one's write, the row would give an
    // earlier expiry than its agent assumes. The expiry in the id tells the writes apart.
    next.writeId = fmt::format("{}:{}:{}:{}", m_agent, next.fence, next.renewals, next.expiresAtMs);
    m_pendingWrite = pending_write{next, validUntil, beginsEpoch};
    m_actions.emplace_back(write_lease{std::move(next), m_version});
}

std::vector<lease_action> worker_lease::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace zinniabarrow::jobs
