// What the placer asks the daemon to do, and what the daemon tells the placer.
//
//   placement_action   place, raise, preempt, throttle, refuse
//   usage_sample, latency_sample   late measurements of the workers
//   pool_info, team_quota          from the operators' configuration
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "base/time.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

// Start the task there, limited to `reserved`. The ledger already counts it; report the outcome of
// the write with placer::taskSettled().
struct place_action
{
    task_ref task;
    std::string worker;
    resources reserved; // limits that the worker enforces
};

enum class preempt_reason {
    UrgentTask,     // room for an urgent task
    MemoryPressure, // usage no longer fits the worker
    Interference,   // it slows a service, and throttling did not help
};

// Checkpoint the victim and stop it. The ledger counts it until placer::taskReleased().
struct preempt_action
{
    task_ref victim;
    std::string worker;
    preempt_reason reason = preempt_reason::UrgentTask;
    task_ref beneficiary;          // the task for which it makes room; unset for MemoryPressure
    time_point checkpointDeadline; // after it, stop with the last checkpoint that there is
};

// Tell the worker (and the agent's ledger) that the task may use more from now on.
struct raise_action
{
    task_ref task;
    std::string worker;
    resources reserved; // the whole reservation, not the difference
};

// Limit the processor time of a batch task; its reservation stays as it is.
struct throttle_action
{
    task_ref task;
    std::string worker;
    std::int64_t millicores = 0; // the limit; the whole reservation ends the throttling
};

// The task does not run; `reason` names the limit and what to do. NeverFits and QuotaExceeded drop
// the task here: submit it again when its job has changed. Quarantined stands for the whole job,
// once for each stay; its tasks stay pending and one of them tries again by itself.
struct refuse_action
{
    task_ref task;
    error_kind kind = error_kind::NeverFits; // NeverFits, QuotaExceeded or Quarantined
    std::string reason;
};

// Which decisions plan() may take. While the table is down nothing new can be written: only tasks
// that it already holds on a worker may still be started there.
enum class plan_scope { All, BacklogOnly };

// Changes of the workers' backlogs. A task that was placed ahead follows with a place_action on
// the same worker once there is room. One that is taken back follows with taskReleased.
struct backlog_plan
{
    std::vector<place_action> assigned;
    std::vector<place_action> withdrawn;
};

using placement_action =
        std::variant<place_action, raise_action, preempt_action, throttle_action, refuse_action>;

// Outcome of the write that records a placement.
enum class placement_outcome {
    Applied,    // the task may start
    NotApplied, // certain that nothing was written: the task is pending again
    Unknown,    // the answer was lost: counted, and not placeable, until settled again
};

// What a task used, seen late and perhaps twice.
struct usage_sample
{
    task_ref task;
    std::string worker;
    resources used;        // processor over the sampling interval, memory at its peak
    time_point measuredAt; // on this process's clock: now minus the age that the message gave
};

// Tail latency of one instance of a service, seen late.
struct latency_sample
{
    task_ref task; // of the service
    std::string worker;
    microseconds p99{0};
    microseconds target{0}; // at most this is fine
    time_point measuredAt;
};

struct pool_info
{
    std::string name;
    resources largestWorkerSize; // of its largest workers, as configured
};

struct team_quota
{
    std::string team;
    double weight = 1; // share when teams compete
    resources limit;   // reserved at the same time, at most; 0 in a dimension: no limit there
    std::optional<resources> localLimit = {}; // of the limit, for this placer; unset: all of it
};

// What a team holds here, and asks for.
struct team_usage
{
    resources reservedSum;
    resources
            pendingSum; // sum over its waiting tasks, as far as all workers together could take it
    resources largestPending; // of them; 0: none that could be taken
};

std::string_view nameOf(preempt_reason reason);

} // namespace zinniabarrow::placement
