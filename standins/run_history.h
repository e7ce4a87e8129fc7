// What all workers of a job_platform have done, and each start among it that must not happen.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::standins {

// How a task behaves on a worker. A real worker reads that from the task's spec.
struct task_shape
{
    std::int64_t millicores = 1000;
    std::optional<milliseconds> workTime = {}; // none: job_platform_options::taskTime
    int gangSize = 0;           // tasks that work only together; 0: the task is alone
    bool isLongRunning = false; // runs until it is stopped
    bool isSpeculative = false; // copies of it may run at the same time
};

// Functions may be called from any thread.
class run_history
{
public:
    struct started_run
    {
        std::string worker;
        std::string task;
        task_shape shape;
        std::int64_t workerCapacity = 0; // 1/1000 core
        std::int64_t workerLoad = 0;     // with this run, 1/1000 core
    };

    void recordStart(const started_run &run);
    void recordEnd(const std::string &worker, const std::string &task, bool isDone);
    // The worker is gone with all its runs.
    void recordCrash(const std::string &worker);
    // An end that nobody took note of before its worker was gone or its lease ran out counts for
    // nothing: the task may be started again.
    void forgetDone(const std::string &task);
    void recordLease(const std::string &lease, std::int64_t epoch);
    void recordCancel(const std::string &job);
    void recordViolation(const std::string &text);

    int startedRuns() const;
    int doneRuns() const;
    int countRunsOn(const std::string &worker) const;
    bool isCancelled(const std::string &job) const;
    std::int64_t epochOf(const std::string &lease) const; // as stored last; 0 if never stored
    std::vector<std::string> violations() const;

private:
    mutable std::mutex m_mutex;
    int m_startedRuns = 0;
    int m_doneRuns = 0;
    std::multimap<std::string, std::string> m_workersByTask; // of running tasks
    std::set<std::string> m_doneTasks;                       // tasks with a completed run
    std::vector<std::string> m_violations;
    std::map<std::string, std::int64_t> m_epochByLease;
    std::set<std::string> m_cancelledJobs; // jobs whose cancel row was written
};

} // namespace zinniabarrow::standins
