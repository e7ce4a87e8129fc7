#include "placement/task_table.h"

namespace zinniabarrow::placement {

int rankOf(const task_spec &task)
{
    const int batch = task.kind == task_kind::Batch ? 1 : 0;
    return static_cast<int>(task.priority) * 2 + batch;
}

job_record *task_table::findJob(const std::string &jobId)
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const job_record *task_table::findJob(const std::string &jobId) const
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : &found->second;
}

job_record &task_table::addJob(const std::string &jobId)
{
    const auto [found, added] = m_jobs.try_emplace(jobId);
    if (added)
        found->second.sequence = m_nextSequence++;
    return found->second;
}

void pending_queue::erase(const job_record &job)
{
    auto &teams = m_ranks.at(indexOf(job));
    const auto team = teams.find(job.team);
    if (team != teams.end())
        team->second.erase(job.sequence);
}

void cancel_memory::add(const task_ref &task)
{
    if (!m_known.try_emplace(task, m_added + 1).second)
        return;
    m_order.emplace_back(++m_added, task);
    if (m_order.size() <= MostKept)
        return;
    const auto oldest = m_known.find(m_order.front().second);
    if (oldest != m_known.end() && oldest->second == m_order.front().first)
        m_known.erase(oldest);
    m_order.pop_front();
}

void cancel_memory::forgetJob(const std::string &jobId)
{
    auto next = m_known.lower_bound(wholeJob(jobId));
    while (next != m_known.end() && next->first.jobId == jobId)
        next = m_known.erase(next);
}

bool cancel_memory::contains(const task_ref &task) const
{
    return m_known.contains(task) || m_known.contains(wholeJob(task.jobId));
}

} // namespace zinniabarrow::placement
