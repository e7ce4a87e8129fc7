#include "app/job_view.h"

#include <algorithm>

namespace zinniabarrow {

using jobs::job_summary;

void job_view::update(const std::string &job, const job_summary &summary, std::int64_t version,
                      time_point now)
{
    auto &known = m_jobs[job];
    if (version <= known.version)
        return;
    const bool hadBegun = known.summary.hasBegun;
    known.version = version;
    known.summary = summary;
    known.summary.hasBegun = hadBegun || summary.hasBegun;
    if (!summary.needsOwner && known.endedAt == time_point{})
        known.endedAt = now;
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
                const auto &job = entry.second.summary;
                return job.queue == queue && !jobs::isFinal(job.state) && !job.hasBegun;
            }));
}

} // namespace zinniabarrow
