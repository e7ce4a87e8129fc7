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

job_record &task_table::findOrAddJob(const std::string &jobId)
{
    const auto [found, added] = m_jobs.try_emplace(jobId);
    if (added)
        found->second.sequence = m_nextSequence++;
    return found->second;
}

void pending_queue::erase(const job_record &job)
{
    auto &teams = m_ranks.at(rankIndex(job));
    const auto team = teams.find(job.team);
    if (team != teams.end())
        team->second.erase(job.sequence);
}

void cancelled_task_set::add(const task_ref &task)
{
    if (!m_numberByTask.try_emplace(task, m_lastNumber + 1).second)
        return;
    m_insertionOrder.emplace_back(++m_lastNumber, task);
    if (m_insertionOrder.size() <= MaxKept)
        return;
    const auto oldest = m_numberByTask.find(m_insertionOrder.front().second);
    if (oldest != m_numberByTask.end() && oldest->second == m_insertionOrder.front().first)
        m_numberByTask.erase(oldest);
    m_insertionOrder.pop_front();
}

void cancelled_task_set::forgetJob(const std::string &jobId)
{
    auto next = m_numberByTask.lower_bound(wholeJob(jobId));
    while (next != m_numberByTask.end() && next->first.jobId == jobId)
        next = m_numberByTask.erase(next);
}

bool cancelled_task_set::contains(const task_ref &task) const
{
    return m_numberByTask.contains(task) || m_numberByTask.contains(wholeJob(task.jobId));
}

} // namespace zinniabarrow::placement
