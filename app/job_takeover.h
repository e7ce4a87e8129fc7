// Takes over the jobs of dead or leaving entries and of this entry's earlier incarnations, as far
// as the entry_directory names this entry as their successor. A job whose record can't be read is
// left as it is: its row is kept, and read again now and then in case it was repaired. Removes the
// rows of this entry's jobs some time after callers may last ask for their final state.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "app/entry_directory.h"
#include "app/job_view.h"
#include "app/store_client.h"
#include "app/unreadable_rows.h"
#include "base/event_log.h"
#include "jobs/job_controller.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The parts of an entry that job_takeover uses. All of them must outlive it.
struct job_takeover_dependencies
{
    store_client &store;
    entry_directory &directory;
    job_view &view;
    std::optional<jobs::job_controller> &jobController; // set before the first scan
    metrics &counters;
    event_log &log;
};

class job_takeover
{
public:
    // `onActionsReady` is called when the controller has actions to execute.
    job_takeover(const job_takeover_dependencies &dependencies,
                 std::function<void()> onActionsReady);

    // Looks for jobs to take over and for rows to remove. Called by job_entry a few times a second,
    // as soon as the job_view holds all jobs of the store. `self`: this incarnation of the entry.
    void scan(const jobs::owner_id &self);

private:
    // Reads the job's record and payload, then makes this entry's job_controller the owner.
    void adopt(const std::string &id, const jobs::owner_id &formerOwner);
    void adoptRow(const jobs::row &jobRow, const jobs::owner_id &formerOwner);
    // None if the row can't be read.
    std::optional<jobs::job_record> readRecord(const jobs::row &jobRow);
    void removeOldRows(const std::string &self, time_point now);

    store_client &m_store;
    entry_directory &m_directory;
    job_view &m_view;
    std::optional<jobs::job_controller> &m_jobController;
    metrics &m_metrics;
    event_log &m_log;
    std::function<void()> m_onActionsReady;
    std::set<std::string> m_adoptionsInProgress;
    unreadable_rows m_unreadableRecords; // by job
};

} // namespace zinniabarrow
