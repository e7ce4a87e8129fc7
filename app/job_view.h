// An entry's copy of all job rows in the platform's store, its own jobs' and the other entries',
// kept up to date by the store's feed. It is used to answer callers, to count waiting jobs and to
// find jobs to take over.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow {

// What is kept of a job's row.
struct known_job
{
    std::int64_t version = 0;
    jobs::owner_id owner;
    jobs::job_state state = jobs::job_state::Queued;
    std::string queue;
    bool needsOwner = true; // as job_record::needsOwner()
    std::string content;    // value of the row; empty once the job needs no owner
    time_point endedAt{};   // when the job was first seen without need of an owner; 0: not yet
    bool hasBegun = false;  // a worker has started one of its tasks
};

class job_view
{
public:
    // Returns what is now known of the job. Rows that are no newer than the known one are ignored,
    // because reads can overtake each other. Throws error BadRequest if the content can't be
    // parsed.
    const known_job *applyRow(const std::string &job, const std::string &content,
                              std::int64_t version, time_point now);
    void removeJob(const std::string &job);
    void clear() { m_jobs.clear(); }

    const known_job *find(const std::string &job) const;
    const std::map<std::string, known_job> &jobs() const { return m_jobs; }
    // The number of unfinished jobs in the queue of which no task has started, as far as their
    // owners have stored it.
    std::size_t countWaiting(const std::string &queue) const;

private:
    std::map<std::string, known_job> m_jobs;
};

} // namespace zinniabarrow
