// An entry's copy of the summaries of all jobs in the platform's store, its own and the other
// entries', kept up to date by the store's feed. It is used to answer callers, to count waiting
// jobs and to find jobs to take over.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_summary.h"

namespace zinniabarrow {

struct known_job
{
    std::int64_t version = 0; // of the transaction that wrote the summary
    jobs::job_summary summary;
    time_point endedAt{}; // when the job was first seen without need of an owner; 0: not yet
};

class job_view
{
public:
    // Ignores summaries that are no newer than the known one, because reads can overtake each
    // other.
    void update(const std::string &job, const jobs::job_summary &summary, std::int64_t version,
                time_point now);
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
