#include "app/job_view.h"

#include <algorithm>

namespace zinniabarrow {

const known_job *job_view::applyRow(const std::string &job, const std::string &content,
                                    std::int64_t version, time_point now)
{
    auto &known = m_jobs[job];
    if (version <= known.version)
        return &known;
    const auto record = jobs::recordFrom(content);
    known.version = version;
    known.owner = record.owner;
    known.queue = record.policy.queue;
    known.state = record.state();
    known.needsOwner = record.needsOwner();
    known.content = known.needsOwner ? content : std::string();
    known.hasBegun = known.hasBegun || record.hasStarted || record.hasRunAnyTask();
    if (!known.needsOwner && known.endedAt == time_point{})
        known.endedAt = now;
    return &known;
}

void job_view::removeJob(const std::string &job)
{
    m_jobs.erase(job);
}

const known_job *job_view::find(const std::string &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::size_t job_view::countWaiting(const std::string &queue) const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
                const auto &job = entry.second;
                return job.queue == queue && !jobs::isFinal(job.state) && !job.hasBegun;
            }));
}

} // namespace zinniabarrow
