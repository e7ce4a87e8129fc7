// Types that class scheduler exchanges with the code that runs it (owned_shard, in app/).
//
//   placement_action              decisions: place, raise, preempt, throttle, refuse
//   backlog_plan                  tasks to assign to workers' backlogs or to withdraw from them
//   usage_sample, latency_sample  measurements reported by workers; they arrive with a delay
//   pool_info, team_quota         settings from the operators' configuration
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

// Start the task on the worker with the limits in `reserved`. The worker's ledger already counts
// the reservation. The code that runs the scheduler stores the placement and reports the
// result of that write with scheduler::placementSettled().
struct place_action
{
    task_ref task;
    std::string worker;
    resources reserved; // resource limits that the worker enforces
};

enum class preempt_reason {
    UrgentTask,     // free capacity for an urgent task
    MemoryPressure, // the memory used on the worker exceeds its size
    Interference,   // the task slows a service, and throttling was not enough
};

// Checkpoint the victim and stop it. The worker's ledger counts its reservation until
// scheduler::taskReleased().
struct preempt_action
{
    task_ref victim;
    std::string worker;
    preempt_reason reason = preempt_reason::UrgentTask;
    task_ref beneficiary; // the waiting task or the slowed service; unset for MemoryPressure
    time_point checkpointDeadline; // afterwards, stop with the last complete checkpoint
};

// Tell the worker and its agent's ledger that the task may use more.
struct raise_action
{
    task_ref task;
    std::string worker;
    resources reserved; // the new total reservation, not the difference
};

// Limit the processor time of a batch task. Its reservation does not change.
struct throttle_action
{
    task_ref task;
    std::string worker;
    std::int64_t millicores = 0; // new limit; equal to the reservation when throttling ends
};

// The task is not placed; `reason` names the limit and the remedy. After NeverFits and
// QuotaExceeded the scheduler forgets the task: submit it again when the job has changed.
// Quarantined applies to the whole job and is reported once per quarantine; the job's tasks stay
// pending, and one of them is retried automatically.
struct refuse_action
{
    task_ref task;
    error_kind kind = error_kind::NeverFits; // NeverFits, QuotaExceeded or Quarantined
    std::string reason;
};

// Which decisions scheduler::plan() may take. While the table of tasks is unavailable, no new
// placement can be stored, so only tasks that the table already lists in a worker's backlog may be
// started.
enum class plan_scope { All, BacklogOnly };

// Changes of the workers' backlogs, see scheduler::planBacklog(). For an assigned task, plan()
// returns a place_action on the same worker once there is capacity. A withdrawn task becomes
// pending again with scheduler::taskReleased().
struct backlog_plan
{
    std::vector<place_action> assigned;
    std::vector<place_action> withdrawn;
};

using placement_action =
        std::variant<place_action, raise_action, preempt_action, throttle_action, refuse_action>;

// Result of the write that stores a placement.
enum class placement_outcome {
    Applied,    // stored: the task may start
    NotApplied, // certainly not stored: the task is pending again
    Unknown,    // response lost: counted and not placed again until known
};

// Resource usage of a task. Samples arrive with a delay and may be duplicated.
struct usage_sample
{
    task_ref task;
    std::string worker;
    resources used;        // processor time averaged over the sampling interval; peak memory
    time_point measuredAt; // on this process's clock: time of receipt minus the sample's age
};

// Tail latency of one instance of a service. Samples arrive with a delay.
struct latency_sample
{
    task_ref task; // the instance of the service
    std::string worker;
    microseconds p99{0};
    microseconds target{0}; // upper bound of an acceptable p99
    time_point measuredAt;
};

struct pool_info
{
    std::string name;
    resources largestWorkerSize; // size of the pool's largest workers, as configured
};

struct team_quota
{
    std::string team;
    double weight = 1; // relative share when teams compete for capacity
    resources limit;   // maximum total reservation; 0 in a dimension means no limit
    std::optional<resources> localLimit = {}; // part of `limit` for this scheduler; unset: all
};

// What a team has reserved at this scheduler, and what its pending tasks need.
struct team_usage
{
    resources reservedSum;
    // Demand of its pending tasks, at most what the workers could hold beside its reservations.
    resources pendingSum;
    resources largestPending; // largest pending task; 0 in all dimensions if none fits the workers
};

std::string_view nameOf(preempt_reason reason);

} // namespace zinniabarrow::placement
