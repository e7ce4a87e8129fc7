// Checks a trace of what workers did against the guarantees of the system: no worker over its
// capacity, one running attempt per task, each eviction resumed exactly once, no task lost, none
// started after its cancellation.
//
// A trace is a list of JSON lines in the order of their effects. Each has "event" and, by event:
//   worker        worker, size            new incarnation of the worker: its earlier tasks are gone
//   accepted      task, service, failover the system has accepted the task
//   placed        task, attempt, worker   the table holds the placement
//   started       task, attempt, worker, size
//   resumed       the same and checkpoint
//   checkpointed  task, attempt, worker, checkpoint
//   evicted       the same: checkpointed and no longer running
//   stopped       task, attempt, worker   no longer running, without a result
//   ended         task, attempt, worker, outcome ("succeeded" or "failed")
//   done          task                    the table holds its success
//   cancelled     task                    the system has answered that it is cancelled
//   failed        task                    the system no longer retries the task
// A task of failover class "lease" may run again after a success if its worker fell silent before
// the success was reported; a task of class "proof" may not. "size" is {"millicores",
// "memoryBytes", "accelerators"}. Other members are ignored.
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

// Capacity of a worker, or what a task uses of it.
struct trace_size
{
    std::int64_t millicores = 0;
    std::int64_t memoryBytes = 0;
    std::int64_t accelerators = 0;
};

enum class trace_violation_kind {
    BadLine,             // not a valid event
    OverCapacity,        // the tasks of a worker are larger than the worker
    StartedWhileRunning, // started while another attempt was running
    AttemptRepeated,     // started with an attempt number that is not newer
    NotPlaced,           // started without a placement of that attempt on that worker
    WrongCheckpoint,     // an evicted task was not resumed from its checkpoint
    StartedAfterEnd,     // a task that had succeeded ran again
    StartedAfterCancel,  // started or still running after its cancellation
    NotResumed,          // evicted and never resumed
    Lost,                // accepted, but neither succeeded nor failed (a service: not running)
};
std::string_view nameOf(trace_violation_kind kind);

struct trace_violation
{
    trace_violation_kind kind = trace_violation_kind::BadLine;
    std::size_t line = 0; // from 1; the last line if an event is missing at the end
    std::string detail;   // task or worker, and what happened
};

// Add the events of a trace in order, then call finish().
class trace_checker
{
public:
    void addEvent(const Json::Value &event);
    // `isComplete`: the system had time to finish, so a task without an end counts as lost.
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
        std::string worker;        // of the newest start
        std::uint32_t attempt = 0; // newest that was started
        trace_size size;
        std::string expectedCheckpoint;                  // of an eviction not resumed yet; or empty
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

// Checks JSON lines up to the end of the stream. A line that is not a JSON object is a violation.
std::vector<trace_violation> checkTrace(std::istream &lines, bool isComplete);

} // namespace zinniabarrow::work
