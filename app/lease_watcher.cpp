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

constexpr milliseconds LookRetry{500}; // after a look that told nothing

} // namespace

lease_watcher::lease_watcher(net::event_loop &loop, row_store &store, metrics &numbers,
                             event_log &log, std::string self, epoch_known known)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(numbers)
    , m_log(log)
    , m_self(std::move(self))
    , m_known(std::move(known))
{ }

void lease_watcher::watch(const std::map<std::string, time_point> &silent)
{
    const auto now = suspendAwareNow();
    std::erase_if(m_watched, [&](const std::string &worker) {
        if (silent.contains(worker))
            return false;
        m_watch.forget(worker);
        return true;
    });
    for (const auto &[worker, since] : silent) {
        if (!m_watched.insert(worker).second)
            continue; // looked at already, and again when its lease may be over
        m_log.note("worker_unheard",
                   {{"worker", worker}, {"silent_ms", millisecondsIn(now - since)}});
        lookAt(worker, now);
    }
}

void lease_watcher::lookAt(const std::string &worker, time_point at)
{
    const auto wait = std::max(at - suspendAwareNow(), duration(0));
    m_loop.after(wait, [this, worker] { look(worker); });
}

void lease_watcher::lookAgain(const std::string &worker)
{
    lookAt(worker, suspendAwareNow() + LookRetry);
}

void lease_watcher::look(const std::string &worker)
{
    if (!m_watched.contains(worker))
        return;
    m_store.read(LeasesTable, worker, "", "", [this, worker](const std::optional<row_page> &page) {
        if (!page || page->rows.empty())
            return lookAgain(worker);
        try {
            judge(worker, page->rows.front(), page->storeClockMs);
        } catch (const error &problem) {
            m_log.note("lease_row_unreadable", {{"worker", worker}, {"why", problem.what()}});
            lookAgain(worker);
        }
    });
}

void lease_watcher::judge(const std::string &worker, const row &row, std::int64_t storeMs)
{
    const auto lease = leaseFrom(row.value);
    // Another watcher has ended the epoch, or the worker lives anew.
    m_known(worker, lease.epoch);
    const auto verdict = m_watch.observe(worker, lease, row.version, storeMs, suspendAwareNow());
    m_log.note("worker_lease_read", {{"worker", worker},
                                     {"epoch", lease.epoch},
                                     {"renewals", lease.renewals},
                                     {"over", verdict.isExpired ? "yes" : "no"}});
    if (!verdict.isExpired)
        return lookAt(worker, verdict.checkAgainAt);
    end(worker, lease, row.version);
}

void lease_watcher::end(const std::string &worker, const lease_row &lease, std::int64_t version)
{
    auto next = lease;
    ++next.epoch;
    next.endedByWatcher = true;
    // Not the agent's own name: a renewal of its that is repeated would take this for itself.
    next.writeId = fmt::format("{}:ends:{}", m_self, version);
    const auto name = leaseRow(worker);
    m_store.commit({{{name, version}}, {{name, toText(next), 0, false}}, {}},
                   [this, worker, epoch = next.epoch](const row_store::outcome &outcome) {
                       // Renewed, ended by another watcher, or by an earlier try of this very
                       // write: the row tells.
                       if (!std::holds_alternative<committed>(outcome))
                           return lookAgain(worker);
                       m_log.note("worker_lease_ended", {{"worker", worker}, {"epoch", epoch}});
                       m_metrics.count("worker_leases_ended_total", "silent");
                       m_watched.erase(worker);
                       m_known(worker, epoch);
                   });
}

} // namespace zinniabarrow
