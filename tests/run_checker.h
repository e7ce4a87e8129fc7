// The users' rule on doubled work, checked at each step of a modelled order of events.
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

class run_rules
{
public:
    // A row that was committed.
    void stored(const std::string &job, const jobs::job_record &record, time_point now)
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

    // A worker has begun a run; `late`: by an order that it carried out late.
    void started(const jobs::task_id &task, int run,
                 const std::vector<std::unique_ptr<modelled_worker>> &workers, bool late,
                 time_point now)
    {
        ++m_starts;
        int present = 0;
        for (const auto &worker : workers) {
            worker->pass(now);
            present += static_cast<int>(worker->runsOf(task).size());
        }
        if (present > 1)
            m_broken.push_back(fmt::format("two runs at once: {} run {}", toText(task), run));
        const auto done = m_doneAt.find(task);
        constexpr milliseconds Slack{1000};
        if (late || done == m_doneAt.end() || now - done->second <= Slack)
            return;
        m_broken.push_back(fmt::format("started {} ms after it was done: {} run {}",
                                       clockOf(now) - clockOf(done->second), toText(task), run));
    }

    bool isDone(const jobs::task_id &task) const { return m_doneAt.contains(task); }
    const std::vector<std::string> &broken() const { return m_broken; }
    int starts() const { return m_starts; }

private:
    std::map<jobs::task_id, time_point> m_doneAt; // as the store has it
    std::vector<std::string> m_broken;
    int m_starts = 0;
};

} // namespace zinniabarrow::tests
