// Distinguishes failures caused by a task from failures caused by a worker. A task that failed on
// one worker may have been on a faulty one. A task that fails on another worker as well fails by
// itself: that says nothing about the workers, and each further start is likely to be in vain.
//
// Each owned job has one. Order of calls: recordFailure() and recordSuccess() as runs end,
// isPausing() before a long-running task is placed.
#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

class task_failures
{
public:
    // A run of the task failed soon after its start. Returns whether the task fails by itself: it
    // has lately failed on another worker, too.
    bool recordFailure(const task_id &task, const std::string &worker, time_point now);
    // A run of the task was done, or was at work for a while.
    void recordSuccess(const task_id &task) { m_tasks.erase(task); }
    // Whether the task, which fails by itself, is not to be started again yet.
    bool isPausing(const task_id &task, time_point now) const;

private:
    struct failing_task
    {
        std::string firstWorker;  // on which it failed
        int ownFailures = 0;      // since it failed on another one
        time_point pauseEnd{};    // not started before
        time_point forgottenAt{}; // unless it fails again before
    };

    std::map<task_id, failing_task> m_tasks;
};

} // namespace zinniabarrow::jobs
