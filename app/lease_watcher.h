// Watches the leases of workers whose agents are silent, and ends those that have expired. After
// that the tasks that were placed there may be placed elsewhere.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "app/store_client.h"
#include "base/event_log.h"
#include "jobs/lease.h"
#include "net/event_loop.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class lease_watcher
{
public:
    // Reports that the worker's epoch is at least `epoch`, so all runs that were placed under
    // earlier epochs have ended.
    using epoch_callback = std::function<void(const std::string &worker, std::int64_t epoch)>;

    // `longestSuspension`: of a worker's machine, at most.
    lease_watcher(net::event_loop &loop, store_client &store, metrics &counters, event_log &log,
                  std::string self, milliseconds longestSuspension, epoch_callback onEpochKnown);

    // Sets the workers to watch from now on, and since when each has been silent.
    void watch(const std::map<std::string, time_point> &silentSince);

private:
    void scheduleCheck(const std::string &worker, time_point at);
    void retryCheck(const std::string &worker);
    void checkLease(const std::string &worker);
    void evaluate(const std::string &worker, const jobs::row &row, std::int64_t storeMs);
    void endLease(const std::string &worker, const jobs::lease_row &lease, std::int64_t version);

    net::event_loop &m_loop;
    store_client &m_store;
    metrics &m_metrics;
    event_log &m_log;
    std::string m_self;
    milliseconds m_longestSuspension;
    epoch_callback m_onEpochKnown;
    jobs::lease_expiry_detector m_expiryDetector;
    std::set<std::string> m_watched;
};

} // namespace zinniabarrow
