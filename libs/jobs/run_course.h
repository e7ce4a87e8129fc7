// Records for a completed job what made its steps take longer than their estimates: failed runs,
// refused orders, waits for a worker, or runs that took long. Keeps counts only; job_controller
// logs them. Order of calls: stepReady() when planning first considers a step; placed(),
// accepted(), refused() and failed() for each run of its tasks; stepDone() when its last task is
// done.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

// What the task that ended last in a step had gone through; the first that fits.
enum class overrun_cause {
    FailedRun,
    RefusedOrder,
    Waited, // for a worker, longer than MinWait
    LongRun,
};
inline constexpr std::size_t OverrunCauseCount = 4;
std::string_view nameOf(overrun_cause cause);

// The run that followed a failed one.
struct followed_failure
{
    std::string failedOn;    // worker
    milliseconds placed{};   // from when the failure was known until the next run was placed
    milliseconds accepted{}; // until its agent accepted it
};

class run_course
{
public:
    void stepReady(int occurrence, int step, time_point now);
    void placed(const task_id &task, time_point now);
    // The agent accepted the task's latest run; the failure before it, if there was one.
    std::optional<followed_failure> accepted(const task_id &task, time_point now);
    void refused(const task_id &task);
    void failed(const task_id &task, const std::string &worker, time_point now);
    void stepDone(const task_id &lastTask, std::int64_t estimateMs, time_point now);

    // For the log: "35 runs, 2 refused, 1 failed; ..."
    std::string summary() const;

private:
    struct task_course
    {
        std::optional<time_point> firstPlacedAt;
        time_point lastPlacedAt{};
        std::string failedOn; // worker of the latest failed run that is not followed yet
        time_point failedAt{};
        bool wasRefused = false;
        bool hasFailed = false;
    };
    static overrun_cause causeOf(const task_course &task, time_point readyAt);

    std::map<std::pair<int, int>, time_point> m_readyAt; // by occurrence and step, until it is done
    std::map<task_id, task_course> m_tasks;              // of steps that are not done
    std::array<std::int64_t, OverrunCauseCount> m_overrunMs{}; // by overrun_cause
    int m_runs = 0;
    int m_refused = 0;
    int m_failed = 0;
    int m_accepted = 0;
    std::int64_t m_acceptMs = 0;     // from placement to acceptance, over all runs
    std::int64_t m_acceptMostMs = 0; // of one run
};

} // namespace zinniabarrow::jobs
