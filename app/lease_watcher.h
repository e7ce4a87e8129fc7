// Watches the leases of workers whose agents are silent, and ends those that are over: what was
// placed there may go elsewhere then.
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
    // The worker's epoch is at least this one: what was placed under earlier ones has ended.
    using epoch_known = std::function<void(const std::string &worker, std::int64_t epoch)>;

    lease_watcher(net::event_loop &loop, row_store &store, metrics &numbers, event_log &log,
                  std::string self, epoch_known known);

    // The workers to watch from now on, and since when each is silent.
    void watch(const std::map<std::string, time_point> &silent);

private:
    void lookAt(const std::string &worker, time_point at);
    void lookAgain(const std::string &worker);
    void look(const std::string &worker);
    void judge(const std::string &worker, const jobs::row &row, std::int64_t storeMs);
    void end(const std::string &worker, const jobs::lease_row &lease, std::int64_t version);

    net::event_loop &m_loop;
    row_store &m_store;
    metrics &m_metrics;
    event_log &m_log;
    std::string m_self;
    epoch_known m_known;
    jobs::lease_expiry_detector m_watch;
    std::set<std::string> m_watched;
};

} // namespace zinniabarrow
