// Checks the rule against duplicate work in a simulated cluster: no two runs of a task at the same
// time, and no start of a task that has been done for more than a second.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/time.h"
#include "jobs/model.h"
#include "simulated_worker.h"

namespace zinniabarrow::tests {

class run_checker
{
public:
    // Called with each committed row.
    void noteCommit(const std::string &job, const jobs::job_record &record, time_point now)
    {
        for (std::size_t occurrence = 0; occurrence < record.tasks.size(); ++occurrence) {
            const auto &steps = record.tasks[occurrence];
            for (std::size_t step = 0; step < steps.size(); ++step) {
                for (std::size_t index = 0; index < steps[step].size(); ++index) {
                    if (!steps[step][index].done)
                        continue;
                    m_doneAt.try_emplace({job, static_cast<int>(occurrence), static_cast<int>(step),
                                          static_cast<int>(index)},
                                         now);
                }
            }
        }
    }

    // Called when a worker has started a run. `isLate`: the start call took long to arrive, so the
    // run may start although its task is done.
    void noteStart(const jobs::task_id &task, int run,
                   const std::vector<std::unique_ptr<simulated_worker>> &workers, bool isLate,
                   time_point now)
    {
        ++m_startCount;
        int activeRuns = 0;
        for (const auto &worker : workers) {
            worker->advance(now);
            activeRuns += static_cast<int>(worker->runsOf(task).size());
        }
        if (activeRuns > 1)
            m_violations.push_back(fmt::format("two runs at once: {} run {}", toText(task), run));
        const auto done = m_doneAt.find(task);
        constexpr milliseconds DoneSlack{1000};
        if (isLate || done == m_doneAt.end() || now - done->second <= DoneSlack)
            return;
        m_violations.push_back(fmt::format("started {} ms after it was done: {} run {}",
                                           clockOf(now) - clockOf(done->second), toText(task),
                                           run));
    }

    bool isDone(const jobs::task_id &task) const { return m_doneAt.contains(task); }
    const std::vector<std::string> &violations() const { return m_violations; }
    int startCount() const { return m_startCount; }

private:
    std::map<jobs::task_id, time_point> m_doneAt; // when the store first had the task as done
    std::vector<std::string> m_violations;
    int m_startCount = 0;
};

} // namespace zinniabarrow::tests
