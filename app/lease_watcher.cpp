#include "app/lease_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/core.h>

#include "app/job_tables.h"
#include "base/errors.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds CheckRetryDelay{500}; // after a look that told nothing

} // namespace

lease_watcher::lease_watcher(net::event_loop &loop, store_client &store, metrics &counters,
                             event_log &log, std::string self, epoch_callback onEpochKnown)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(counters)
    , m_log(log)
    , m_self(std::move(self))
    , m_onEpochKnown(std::move(onEpochKnown))
{ }

void lease_watcher::watch(const std::map<std::string, time_point> &silentSince)
{
    const auto now = suspendAwareNow();
    std::erase_if(m_watched, [&](const std::string &worker) {
        if (silentSince.contains(worker))
            return false;
        m_watch.forget(worker);
        return true;
    });
    for (const auto &[worker, since] : silentSince) {
        if (!m_watched.insert(worker).second)
            continue; // looked at already, and again when its lease may be over
        m_log.note("worker_unheard",
                   {{"worker", worker}, {"silent_ms", millisecondsIn(now - since)}});
        scheduleCheck(worker, now);
    }
}

void lease_watcher::scheduleCheck(const std::string &worker, time_point at)
{
    const auto wait = std::max(at - suspendAwareNow(), duration(0));
    m_loop.after(wait, [this, worker] { checkLease(worker); });
}

void lease_watcher::retryCheck(const std::string &worker)
{
    scheduleCheck(worker, suspendAwareNow() + CheckRetryDelay);
}

void lease_watcher::checkLease(const std::string &worker)
{
    if (!m_watched.contains(worker))
        return;
    m_store.read(LeasesTable, worker, "", "", [this, worker](const std::optional<row_page> &page) {
        if (!page || page->rows.empty())
            return retryCheck(worker);
        try {
            evaluate(worker, page->rows.front(), page->storeClockMs);
        } catch (const error &problem) {
            m_log.note("lease_row_unreadable", {{"worker", worker}, {"why", problem.what()}});
            retryCheck(worker);
        }
    });
}

void lease_watcher::evaluate(const std::string &worker, const row &row, std::int64_t storeMs)
{
    const auto lease = leaseFrom(row.value);
    // Another watcher has ended the epoch, or the worker lives anew.
    m_onEpochKnown(worker, lease.epoch);
    const auto verdict = m_watch.observe(worker, lease, row.version, storeMs, suspendAwareNow());
    m_log.note("worker_lease_read", {{"worker", worker},
                                     {"epoch", lease.epoch},
                                     {"renewals", lease.renewals},
                                     {"over", verdict.isExpired ? "yes" : "no"}});
    if (!verdict.isExpired)
        return scheduleCheck(worker, verdict.checkAgainAt);
    endLease(worker, lease, row.version);
}

void lease_watcher::endLease(const std::string &worker, const lease_row &lease,
                             std::int64_t version)
{
    auto next = lease;
    ++next.epoch;
    next.endedByWatcher = true;
    // Not the agent's own name: a renewal of its that is repeated would take this for itself.
    next.writeId = fmt::format("{}:ends:{}", m_self, version);
    const auto name = leaseRowName(worker);
    m_store.commit({{{name, version}}, {{name, toText(next), 0, false}}, {}},
                   [this, worker, epoch = next.epoch](const store_client::commit_outcome &outcome) {
                       // Renewed, ended by another watcher, or by an earlier try of this very
                       // write: the row tells.
                       if (!std::holds_alternative<committed>(outcome))
                           return retryCheck(worker);
                       m_log.note("worker_lease_ended", {{"worker", worker}, {"epoch", epoch}});
                       m_metrics.count("worker_leases_ended_total", "silent");
                       m_watched.erase(worker);
                       m_onEpochKnown(worker, epoch);
                   });
}

} // namespace zinniabarrow
