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

constexpr milliseconds CheckRetryDelay{500}; // after a check without a result

} // namespace

lease_watcher::lease_watcher(net::event_loop &loop, store_client &store, metrics &counters,
                             event_log &log, std::string self, milliseconds longestSuspension,
                             epoch_callback onEpochKnown)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(counters)
    , m_log(log)
    , m_self(std::move(self))
    , m_longestSuspension(longestSuspension)
    , m_onEpochKnown(std::move(onEpochKnown))
{ }

void lease_watcher::watch(const std::map<std::string, time_point> &silentSince)
{
    const auto now = suspendAwareNow();
    std::erase_if(m_watched, [&](const std::string &worker) {
        if (silentSince.contains(worker))
            return false;
        m_expiryDetector.forget(worker);
        return true;
    });
    for (const auto &[worker, since] : silentSince) {
        if (!m_watched.insert(worker).second)
            continue; // watched already; its next check is scheduled
        m_log.writeEvent("worker_unheard",
                         {{"worker", worker}, {"silent_ms", millisecondsIn(now - since)}});
        scheduleCheck(worker, now);
    }
}

void lease_watcher::scheduleCheck(const std::string &worker, time_point at)
{
    const auto wait = std::max(at - suspendAwareNow(), duration(0));
    m_loop.runAfter(wait, [this, worker] { checkLease(worker); });
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
            m_log.writeEvent("lease_row_unreadable", {{"worker", worker}, {"why", problem.what()}});
            retryCheck(worker);
        }
    });
}

void lease_watcher::evaluate(const std::string &worker, const row &row, std::int64_t storeMs)
{
    const auto lease = leaseFrom(row.value);
    // The epoch may be higher than the last known one, because another watcher has ended that one
    // or because a new incarnation of the worker has started.
    m_onEpochKnown(worker, lease.epoch);
    const auto verdict =
            m_expiryDetector.observe(worker, lease, row.version, storeMs, suspendAwareNow(),
                                     m_store.regainedAt() + outageGrace(m_longestSuspension));
    m_log.writeEvent("worker_lease_read", {{"worker", worker},
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
    auto endedLease = lease;
    ++endedLease.epoch;
    endedLease.endedByWatcher = true;
    // The id must differ from those of the agent's writes: otherwise the agent could take this row
    // for the result of its own renewal when it retries one.
    endedLease.writeId = fmt::format("{}:ends:{}", m_self, version);
    const auto name = leaseRowName(worker);
    m_store.commit(
            {{{name, version}}, {{name, toText(endedLease), 0, false}}, {}},
            [this, worker, epoch = endedLease.epoch](const store_client::commit_outcome &outcome) {
                // The lease was renewed, or ended by another watcher or by an earlier try of
                // this write. Reading the row again tells which.
                if (!std::holds_alternative<committed>(outcome))
                    return retryCheck(worker);
                m_log.writeEvent("worker_lease_ended", {{"worker", worker}, {"epoch", epoch}});
                m_metrics.count("worker_leases_ended_total", "silent");
                m_watched.erase(worker);
                m_onEpochKnown(worker, epoch);
            });
}

} // namespace zinniabarrow
