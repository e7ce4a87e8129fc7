#include "standins/run_history.h"

#include <algorithm>

#include <fmt/core.h>

namespace zinniabarrow::standins {

void run_history::recordStart(const started_run &run)
{
    const std::lock_guard lock(m_mutex);
    ++m_startedRuns;
    const auto elsewhere = m_workersByTask.find(run.task);
    if (elsewhere != m_workersByTask.end() && !run.shape.isSpeculative)
        m_violations.push_back(fmt::format("{} was started on {} while it runs on {}", run.task,
                                           run.worker, elsewhere->second));
    if (m_doneTasks.contains(run.task) && !run.shape.isSpeculative)
        m_violations.push_back(run.task + " was started again after it had completed");
    if (run.workerLoad > run.workerCapacity)
        m_violations.push_back(run.worker + " was given more than its capacity");
    m_workersByTask.emplace(run.task, run.worker);
}

void run_history::recordEnd(const std::string &worker, const std::string &task, bool isDone)
{
    const std::lock_guard lock(m_mutex);
    const auto [first, last] = m_workersByTask.equal_range(task);
    const auto ended = std::find_if(
            first, last, [&](const auto &taskAndWorker) { return taskAndWorker.second == worker; });
    if (ended != last)
        m_workersByTask.erase(ended);
    if (!isDone)
        return;
    ++m_doneRuns;
    m_doneTasks.insert(task);
}

void run_history::recordCrash(const std::string &worker)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_workersByTask,
                  [&](const auto &taskAndWorker) { return taskAndWorker.second == worker; });
}

void run_history::forgetDone(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    m_doneTasks.erase(task);
}

void run_history::recordLease(const std::string &lease, std::int64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    m_epochByLease[lease] = epoch;
}

void run_history::recordCancel(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_cancelledJobs.insert(job);
}

void run_history::recordViolation(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(text);
}

int run_history::startedRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_startedRuns;
}

int run_history::doneRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_doneRuns;
}

int run_history::countRunsOn(const std::string &worker) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(
            m_workersByTask.begin(), m_workersByTask.end(),
            [&](const auto &taskAndWorker) { return taskAndWorker.second == worker; }));
}

bool run_history::isCancelled(const std::string &job) const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelledJobs.contains(job);
}

std::int64_t run_history::epochOf(const std::string &lease) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_epochByLease.find(lease);
    return found == m_epochByLease.end() ? 0 : found->second;
}

std::vector<std::string> run_history::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

} // namespace zinniabarrow::standins
