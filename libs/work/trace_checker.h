// Checks a trace of what workers really did against the promises: capacity, one place at a time,
// resumed exactly once, nothing lost, nothing started after its cancellation.
//
// A trace is JSON lines in the order of their effects. Each has "event" and, by event:
//   worker        worker, size            a new life of the worker: what ran there is gone
//   accepted      task, service, failover the system has taken on the task
//   placed        task, attempt, worker   the table holds the placement
//   started       task, attempt, worker, size
//   resumed       the same and checkpoint
//   checkpointed  task, attempt, worker, checkpoint
//   evicted       the same: checkpointed and no longer running
//   stopped       task, attempt, worker   no longer running, without a result
//   ended         task, attempt, worker, outcome ("succeeded" or "failed")
//   done          task                    the table holds its success
//   cancelled     task                    the system has said so
//   failed        task                    the system has given the task up for good
// A task of failover class "lease" may run again if it had succeeded and its worker fell silent
// before it could say so; one of class "proof" may not. "size" is {"millicores", "memoryBytes",
// "accelerators"}; other members are ignored.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "work/messages.h"

namespace zinniabarrow::work {

struct trace_size
{
    std::int64_t millicores = 0;
    std::int64_t memoryBytes = 0;
    std::int64_t accelerators = 0;
};

enum class trace_violation_kind {
    BadLine,
    OverCapacity,
    StartedWhileRunning, // started while it still ran
    AttemptRepeated,     // started under an attempt that is not newer
    NotPlaced,           // started without a placement of that attempt on that worker
    WrongCheckpoint,     // an evicted task did not go on from where it was
    StartedAfterEnd,     // a task that had succeeded ran again
    StartedAfterCancel,
    NotResumed, // evicted, and nothing after
    Lost,       // accepted, and no end of any kind (a service: not running)
};
std::string_view nameOf(trace_violation_kind kind);

struct trace_violation
{
    trace_violation_kind kind = trace_violation_kind::BadLine;
    std::size_t line = 0; // from 1; the last line for what is missing
    std::string detail;   // task or worker, and what happened
};

class trace_checker
{
public:
    void addEvent(const Json::Value &event);
    // Complete: the system was given time to finish, so whatever has not happened is lost.
    std::vector<trace_violation> finish(bool isComplete);

private:
    struct task_trace
    {
        bool accepted = false;
        bool isService = false;
        bool running = false;
        bool isProofClass = false;
        bool succeeded = false;
        bool done = false;
        bool failed = false;
        bool cancelled = false;
        std::string worker;        // where it runs
        std::uint32_t attempt = 0; // newest that was started
        trace_size size;
        std::string expectedCheckpoint;                  // of an eviction that was not resumed yet
        std::map<std::uint32_t, std::string> placements; // worker by attempt
    };
    struct worker_trace
    {
        trace_size size;
        trace_size used;
    };

    void addWorker(const Json::Value &event);
    void addStart(const Json::Value &event, task_trace &task, const std::string &name);
    void addStop(const Json::Value &event, task_trace &task);
    void checkCapacity(const std::string &name);
    void addUsage(const std::string &worker, const trace_size &size, int sign);
    void addViolation(trace_violation_kind kind, const std::string &detail);

    std::size_t m_line = 0;
    std::map<std::string, task_trace> m_tasks;
    std::map<std::string, worker_trace> m_workers;
    std::vector<trace_violation> m_violations;
};

// Reads JSON lines to the end. A line that is no JSON object is a violation.
std::vector<trace_violation> checkTrace(std::istream &lines, bool isComplete);

} // namespace zinniabarrow::work
