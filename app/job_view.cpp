#include "app/job_view.h"

#include <algorithm>

namespace zinniabarrow {

const known_job *job_view::seen(const std::string &job, const std::string &content,
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
    known.begun = known.begun || record.hasStarted || record.hasEndedRuns();
    if (!known.needsOwner && known.finalAt == time_point{})
        known.finalAt = now;
    return &known;
}

void job_view::removed(const std::string &job)
{
    m_jobs.erase(job);
}

const known_job *job_view::find(const std::string &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::size_t job_view::waitingIn(const std::string &queue) const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
                const auto &job = entry.second;
                return job.queue == queue && !jobs::isFinal(job.state) && !job.begun;
            }));
}

} // namespace zinniabarrow
