// Takes over the jobs of entries that are gone and of this entry's earlier lives, and removes the
// rows of jobs that ended long ago.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "app/entry_directory.h"
#include "app/job_view.h"
#include "app/store_client.h"
#include "jobs/job_controller.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// What an entry consists of, as far as this duty needs it; all of it outlives the duty.
struct job_takeover_dependencies
{
    store_client &store;
    entry_directory &directory;
    job_view &view;
    std::optional<jobs::job_controller> &book; // there is one before the first look
    metrics &counters;
};

class job_takeover
{
public:
    // `changed`: the book has decisions.
    job_takeover(const job_takeover_dependencies &dependencies, std::function<void()> bookChanged);

    // At all jobs, by this life of the entry, once all were read.
    void scan(const jobs::owner_id &self);

private:
    void adopt(const std::string &id);
    void removeOldRows(const std::string &self, time_point now);

    store_client &m_store;
    entry_directory &m_directory;
    job_view &m_view;
    std::optional<jobs::job_controller> &m_book;
    metrics &m_metrics;
    std::function<void()> m_bookChanged;
    std::set<std::string> m_adoptionsInProgress;
};

} // namespace zinniabarrow
