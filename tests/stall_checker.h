// The users' rule on tasks that stand still, for a modelled site in which all is well.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/time.h"
#include "cluster_simulation.h"

namespace zinniabarrow::tests {

class standing_rules
{
public:
    // Which tasks are at work: often enough that no run is missed.
    void look(order_model &model)
    {
        for (std::size_t at = 0; at < model.workers(); ++at) {
            model.worker(at).pass(model.now());
            for (const auto &task : model.worker(at).atWork()) {
                m_taskAt[task] = model.now();
                m_jobAt[task.job] = model.now();
            }
        }
    }

    // All has been well for longer than a task may stand still.
    void judge(const order_model &model)
    {
        for (const auto &[job, row] : model.rows()) {
            if (row.version == 0 || jobs::isFinal(row.record->state()))
                continue;
            judgeTasks(job, *row.record, model.now());
            judgeJob(job, model.now());
        }
    }

    const std::vector<std::string> &broken() const { return m_broken; }

private:
    static constexpr milliseconds TaskStands{6000};
    static constexpr milliseconds JobStands{3000};

    void judgeTasks(const std::string &job, const jobs::job_record &record, time_point now)
    {
        for (std::size_t step = 0; step < record.steps.size(); ++step) {
            if (!record.steps[step].isLongRunning)
                continue;
            for (int index = 0; index < record.steps[step].count; ++index) {
                const jobs::task_id task{job, 0, static_cast<int>(step), index};
                if (now - m_taskAt[task] > TaskStands)
                    m_broken.push_back(fmt::format("is to last and doesn't run: {}", toText(task)));
            }
        }
    }

    void judgeJob(const std::string &job, time_point now)
    {
        if (now - m_jobAt[job] > JobStands)
            m_broken.push_back(fmt::format("isn't over and nothing of it runs: {}", job));
    }

    std::map<jobs::task_id, time_point> m_taskAt; // last at work
    std::map<std::string, time_point> m_jobAt;
    std::vector<std::string> m_broken;
};

} // namespace zinniabarrow::tests
