// The users' rule on tasks that stand still, for a modelled site in which all is well.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/time.h"
#include "cluster_simulation.h"

namespace zinniabarrow::tests {

class stall_checker
{
public:
    // Which tasks are at work: often enough that no run is missed.
    void observe(cluster_simulation &model)
    {
        for (std::size_t at = 0; at < model.workerCount(); ++at) {
            model.worker(at).advance(model.now());
            for (const auto &task : model.worker(at).runningTasks()) {
                m_taskLastRanAt[task] = model.now();
                m_jobLastRanAt[task.job] = model.now();
            }
        }
    }

    // All has been well for longer than a task may stand still.
    void check(const cluster_simulation &model)
    {
        for (const auto &[job, row] : model.rows()) {
            if (row.version == 0 || jobs::isFinal(row.record->state()))
                continue;
            checkTasks(job, *row.record, model.now());
            checkJob(job, model.now());
        }
    }

    const std::vector<std::string> &violations() const { return m_violations; }

private:
    static constexpr milliseconds TaskStallLimit{6000};
    static constexpr milliseconds JobStallLimit{3000};

    void checkTasks(const std::string &job, const jobs::job_record &record, time_point now)
    {
        for (std::size_t step = 0; step < record.steps.size(); ++step) {
            if (!record.steps[step].isLongRunning)
                continue;
            for (int index = 0; index < record.steps[step].count; ++index) {
                const jobs::task_id task{job, 0, static_cast<int>(step), index};
                if (now - m_taskLastRanAt[task] > TaskStallLimit)
                    m_violations.push_back(
                            fmt::format("is to last and doesn't run: {}", toText(task)));
            }
        }
    }

    void checkJob(const std::string &job, time_point now)
    {
        if (now - m_jobLastRanAt[job] > JobStallLimit)
            m_violations.push_back(fmt::format("isn't over and nothing of it runs: {}", job));
    }

    std::map<jobs::task_id, time_point> m_taskLastRanAt; // last at work
    std::map<std::string, time_point> m_jobLastRanAt;
    std::vector<std::string> m_violations;
};

} // namespace zinniabarrow::tests
