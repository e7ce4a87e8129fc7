// Checks that no task is stalled for too long in a simulated cluster after all faults have ended:
// each long-running task of an unfinished job has run within the last 6 s, and some task of each
// unfinished job within the last 3 s.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/time.h"
#include "cluster_simulation.h"

namespace zinniabarrow::tests {

// Keeps when each task and each job was last seen running.
class stall_checker
{
public:
    // Records which tasks run, after it has ended the runs that are due by now. Must be called
    // often enough that no run is missed.
    void observe(cluster_simulation &simulation)
    {
        for (std::size_t workerIndex = 0; workerIndex < simulation.workerCount(); ++workerIndex) {
            simulation.worker(workerIndex).advance(simulation.now());
            for (const auto &task : simulation.worker(workerIndex).runningTasks()) {
                m_taskLastRanAt[task] = simulation.now();
                m_jobLastRanAt[task.job] = simulation.now();
            }
        }
    }

    // Records violations of the limits. Must be called only when the last fault ended longer ago
    // than a task may stall, which is 6 s.
    void check(const cluster_simulation &simulation)
    {
        for (const auto &[job, row] : simulation.rows()) {
            if (row.version == 0 || jobs::isFinal(row.record->state()))
                continue;
            checkTasks(job, *row.record, simulation.now());
            checkJob(job, simulation.now());
        }
    }

    const std::vector<std::string> &violations() const { return m_violations; }

private:
    static constexpr milliseconds TaskStallLimit{6000}; // longest time that a task doesn't run
    static constexpr milliseconds JobStallLimit{3000};  // longest time that no task of a job runs

    void checkTasks(const std::string &job, const jobs::job_record &record, time_point now)
    {
        for (std::size_t step = 0; step < record.steps.size(); ++step) {
            if (!record.steps[step].isLongRunning)
                continue;
            for (int index = 0; index < record.steps[step].count; ++index) {
                const jobs::task_id task{job, 0, static_cast<int>(step), index};
                if (now - m_taskLastRanAt[task] > TaskStallLimit)
                    m_violations.push_back(
                            fmt::format("long-running task doesn't run: {}", toText(task)));
            }
        }
    }

    void checkJob(const std::string &job, time_point now)
    {
        if (now - m_jobLastRanAt[job] > JobStallLimit)
            m_violations.push_back(fmt::format("unfinished job has no running task: {}", job));
    }

    std::map<jobs::task_id, time_point> m_taskLastRanAt; // last seen running
    std::map<std::string, time_point> m_jobLastRanAt;
    std::vector<std::string> m_violations;
};

} // namespace zinniabarrow::tests
