#include "jobs/worker_lease.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

namespace zinniabarrow::jobs {

namespace {

const std::string NoLife; // nobody is there, or it is not known who

} // namespace

worker_lease::worker_lease(std::string agent)
    : m_agent(std::move(agent))
{ }

void worker_lease::seek()
{
    m_settled = false;
    m_phase = lease_phase::Reading;
    // The end stays to be written. Which life comes next is for a look with the new fence to tell.
    if (m_ended)
        m_ended = NoLife;
    // The outcome of the write that is out would be taken for that of the next one.
    m_sought = m_out.has_value();
    if (!m_sought)
        m_actions.emplace_back(read_lease{});
}

void worker_lease::renew(time_point now, std::optional<time_point> heldUntil)
{
    if (m_phase != lease_phase::Held || m_out)
        return;
    // A whole lease beside a lost worker would put off the start of its tasks elsewhere.
    if (heldUntil && *heldUntil <= now)
        return;
    // At once, as the row may tell the shorter end before this agent knows that it does.
    if (heldUntil)
        m_until = std::min(m_until, *heldUntil);
    write(m_row, false, now, heldUntil);
}

void worker_lease::storeTold(std::int64_t storeMs, time_point sentAt, time_point now)
{
    m_storeClock.told(storeMs, sentAt, now);
}

void worker_lease::rowRead(const std::optional<lease_row> &row, std::int64_t version,
                           time_point now)
{
    if (m_phase != lease_phase::Reading || m_out)
        return;
    m_version = row ? version : 0;
    auto next = row.value_or(lease_row());
    ++next.fence;
    m_phase = lease_phase::TakingFence;
    write(std::move(next), false, now);
}

void worker_lease::rowWritten(std::int64_t version, time_point now)
{
    if (!m_out)
        return;
    const auto done = std::move(*m_out);
    m_out.reset();
    m_row = done.row;
    m_version = version;
    // Counted from before the write was sent, as the row tells it to watchers.
    m_until = done.until;
    if (done.beginsEpoch && !m_ended && !m_sought) {
        // Without a life the row tells the end alone. A life is looked at before tasks start in it:
        // a late start of before, which only the new fence keeps out there, may have taken effect.
        m_settled = m_row.life != NoLife;
        m_actions.emplace_back(epoch_settled{m_row.epoch, true});
    }
    if (std::exchange(m_sought, false)) {
        m_actions.emplace_back(read_lease{});
        return;
    }
    m_phase = lease_phase::Held;
    beginEpochIfDue(now);
}

void worker_lease::rowTaken()
{
    if (!m_out)
        return;
    if (m_out->beginsEpoch && !m_ended)
        m_ended = NoLife;
    m_out.reset();
    seek();
}

bool worker_lease::seen(const std::string &life, std::size_t running, time_point now)
{
    if (m_phase != lease_phase::Held || m_settled || owesEnd())
        return false;
    if (!m_row.ended && m_row.life == life) {
        m_settled = true;
        m_actions.emplace_back(epoch_settled{m_row.epoch, false});
        return false;
    }
    if (running > 0)
        return true;
    allEnded(life, now);
    return false;
}

void worker_lease::allEnded(const std::string &life, time_point now)
{
    m_settled = false;
    m_ended = life;
    beginEpochIfDue(now);
}

void worker_lease::beginEpochIfDue(time_point now)
{
    if (!m_ended || m_out || m_phase != lease_phase::Held)
        return;
    auto next = m_row;
    ++next.epoch;
    next.life = *std::exchange(m_ended, std::nullopt);
    next.ended = false;
    write(std::move(next), true, now);
}

void worker_lease::write(lease_row next, bool beginsEpoch, time_point now,
                         std::optional<time_point> heldUntil)
{
    const auto until = std::min<time_point>(now + LeaseLength, heldUntil.value_or(Never));
    ++next.renewals;
    const auto storeMs = m_storeClock.latestAt(now);
    next.endsAtMs = storeMs == 0 ? 0 : storeMs + millisecondsIn(until - now);
    // Two lives of an agent may write the same fence, and the earlier one's write take effect
    // late: taken for the later one's, the row would tell an earlier end than its agent counts
    // with.
    next.write = fmt::format("{}:{}:{}:{}", m_agent, next.fence, next.renewals, next.endsAtMs);
    m_out = out_write{next, until, beginsEpoch};
    m_actions.emplace_back(write_lease{std::move(next), m_version});
}

std::vector<lease_action> worker_lease::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace zinniabarrow::jobs
