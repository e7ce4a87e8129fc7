// Shares learned run times between entries, and keeps them when all processes are lost: one row in
// the store, which each entry that places tasks reads, and writes when it has learned something.
//
// Call sync() at the start and each RoundInterval. It reads the row, takes it over with what this
// entry has seen since, and writes the sum on the condition that the row has not changed. After a
// conflict the next round tries again; nothing is lost meanwhile.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/store_client.h"
#include "base/event_log.h"
#include "jobs/run_times.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class run_time_store
{
public:
    // A kind's run times change over minutes; what was seen in a shorter time is lost only with all
    // entries at once.
    static constexpr milliseconds RoundInterval{10'000};

    // The calls of the store, of store_client in the daemon.
    struct store_calls
    {
        std::function<void(store_client::read_callback)> readRow;
        std::function<void(jobs::row_transaction, store_client::commit_callback)> commit;
    };

    run_time_store(store_calls calls, metrics &counters, event_log &log, jobs::run_times &times);

    void sync(); // ignored while an earlier round has not ended

private:
    void handleRead(const std::optional<jobs::row_page> &page);
    // Returns false, with the own run times unchanged, if the row is unreadable.
    bool adopt(const jobs::row &stored);
    void write();
    void handleWritten(const store_client::commit_outcome &outcome, const std::string &written);

    store_calls m_calls;
    metrics &m_metrics;
    event_log &m_log;
    jobs::run_times &m_times;
    std::int64_t m_version = 0;           // of the row as last adopted or written; 0: no row
    std::int64_t m_unreadableVersion = 0; // of the last row that was refused; 0: none
    bool m_isBusy = false;                // a call of the store is in flight
};

} // namespace zinniabarrow
