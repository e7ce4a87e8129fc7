// What an entry knows of all jobs, its own and the others': a copy of the platform's rows, kept
// fresh by their feed. It answers callers, counts waiting jobs and shows what to take over.
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

struct known_job
{
    std::int64_t version = 0;
    jobs::owner_id owner;
    jobs::job_state state = jobs::job_state::Queued;
    std::string queue;
    bool needsOwner = true;
    std::string content; // of the row, while the job needs an owner
    time_point endedAt{};
    bool hasBegun = false; // a worker has begun a task of it
};

class job_view
{
public:
    // Rows of older versions than the known one are ignored: readings overtake each other.
    const known_job *applyRow(const std::string &job, const std::string &content,
                              std::int64_t version, time_point now);
    void removeJob(const std::string &job);
    void clear() { m_jobs.clear(); }

    const known_job *find(const std::string &job) const;
    const std::map<std::string, known_job> &jobs() const { return m_jobs; }
    // Accepted jobs none of whose tasks has begun, as far as their owners know.
    std::size_t countWaiting(const std::string &queue) const;

private:
    std::map<std::string, known_job> m_jobs;
};

} // namespace zinniabarrow
