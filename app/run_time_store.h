// Shares learned run times between entries, and keeps them when all processes are lost: one row in
// the store, which each entry that places tasks reads, and writes when it has learned something.
//
// Call start() once. A round reads the row, takes it over with what this entry has seen since, and
// writes the sum on the condition that the row has not changed. After a conflict the next round
// tries again; nothing is lost meanwhile.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/store_client.h"
#include "base/event_log.h"
#include "jobs/run_times.h"
#include "net/event_loop.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class run_time_store
{
public:
    // `self` names the entry. `isPlacer`: whether it places tasks at present; others read the row
    // at their start only, and write what they have seen if they place tasks after all.
    run_time_store(net::event_loop &loop, store_client &store, metrics &counters, event_log &log,
                   std::string self, jobs::run_times &times, std::function<bool()> isPlacer);

    void start();

private:
    void beginRound();
    void handleRead(const std::optional<jobs::row_page> &page);
    // Returns false, with the own run times unchanged, if the row is unreadable.
    bool adopt(const jobs::row &stored);
    void write();
    void handleWritten(const store_client::commit_outcome &outcome, const std::string &written);

    net::event_loop &m_loop;
    store_client &m_store;
    metrics &m_metrics;
    event_log &m_log;
    std::string m_self;
    jobs::run_times &m_times;
    std::function<bool()> m_isPlacer;
    std::int64_t m_version = 0;           // of the row as last adopted or written; 0: no row
    std::int64_t m_unreadableVersion = 0; // of the last row that was refused; 0: none
    bool m_isBusy = false;                // a call of the store is in flight
};

} // namespace zinniabarrow
