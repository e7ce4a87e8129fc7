#include "jobs/worker_lease.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

namespace zinniabarrow::jobs {

namespace {

const std::string NoIncarnation; // nobody is there, or it is not known who

} // namespace

worker_lease::worker_lease(std::string agent)
    : m_agent(std::move(agent))
{ }

void worker_lease::acquireFence()
{
    m_isSettled = false;
    m_phase = lease_phase::Reading;
    // The end stays to be written. Which life comes next is for a look with the new fence to tell.
    if (m_nextIncarnation)
        m_nextIncarnation = NoIncarnation;
    // The outcome of the write that is out would be taken for that of the next one.
    m_mustReacquire = m_pendingWrite.has_value();
    if (!m_mustReacquire)
        m_actions.emplace_back(read_lease{});
}

void worker_lease::renew(time_point now, std::optional<time_point> heldUntil)
{
    if (m_phase != lease_phase::Held || m_pendingWrite)
        return;
    // A whole lease beside a lost worker would put off the start of its tasks elsewhere.
    if (heldUntil && *heldUntil <= now)
        return;
    // At once, as the row may tell the shorter end before this agent knows that it does.
    if (heldUntil)
        m_validUntil = std::min(m_validUntil, *heldUntil);
    write(m_row, false, now, heldUntil);
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
    // Counted from before the write was sent, as the row tells it to watchers.
    m_validUntil = written.validUntil;
    if (written.beginsEpoch && !m_nextIncarnation && !m_mustReacquire) {
        // Without a life the row tells the end alone. A life is looked at before tasks start in it:
        // a late start of before, which only the new fence keeps out there, may have taken effect.
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

bool worker_lease::reconcile(const std::string &workerIncarnation, std::size_t activeRuns,
                             time_point now)
{
    if (m_phase != lease_phase::Held || m_isSettled || hasUnwrittenEnd())
        return false;
    if (!m_row.endedByWatcher && m_row.workerIncarnation == workerIncarnation) {
        m_isSettled = true;
        m_actions.emplace_back(epoch_settled{m_row.epoch, false});
        return false;
    }
    if (activeRuns > 0)
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
                         std::optional<time_point> heldUntil)
{
    const auto validUntil = std::min<time_point>(now + LeaseDuration, heldUntil.value_or(Never));
    ++next.renewals;
    const auto storeMs = m_storeClock.upperBoundMs(now);
    next.expiresAtMs = storeMs == 0 ? 0 : storeMs + millisecondsIn(validUntil - now);
    // Two lives of an agent may write the same fence, and the earlier one's write take effect
    // late: taken for the later one's, the row would tell an earlier end than its agent counts
    // with.
    next.writeId = fmt::format("{}:{}:{}:{}", m_agent, next.fence, next.renewals, next.expiresAtMs);
    m_pendingWrite = pending_write{next, validUntil, beginsEpoch};
    m_actions.emplace_back(write_lease{std::move(next), m_version});
}

std::vector<lease_action> worker_lease::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace zinniabarrow::jobs
