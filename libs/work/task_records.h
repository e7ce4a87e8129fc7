// Tasks and jobs as they are stored in the platform's table.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "work/messages.h"

namespace zinniabarrow::work {

enum class task_state {
    Pending,    // may be placed; resumes from `checkpoint` if there is one
    Placed,     // on a worker, not known to run yet
    Running,    // reported as started by the agent; only in memory
    Evicting,   // asked to checkpoint and end; only in memory
    Cancelling, // may still run: its stop is not confirmed
    Done,       // succeeded
    Failed,     // failed too often; not retried
    Cancelled,
};
std::string_view nameOf(task_state state);

// The stored state of a task. Running and Evicting are stored as Placed.
struct task_record
{
    task_state state = task_state::Pending;
    std::uint32_t attempt = 0;     // newest attempt ever placed; only a conditional write raises it
    std::string worker;            // while Placed or Cancelling
    std::uint64_t incarnation = 0; // of that worker
    std::string checkpoint;        // object name of the newest one; empty: none
    std::uint32_t failures = 0;    // attempts that ended as Failed
    bool isBacklogged = false;     // placed without free capacity; waits in the worker's backlog

    bool operator==(const task_record &) const = default;
};

// True while the task may be running on `record.worker`: Placed or Cancelling.
bool occupiesWorker(const task_record &record);
// True once the task has reached a final state: Done, Failed or Cancelled.
bool isTerminal(const task_record &record);

// One shard's part of a job.
struct job_spec
{
    // Must not be reused after the job was removed, as its attempts would start at 1 again.
    std::string id;
    std::uint64_t generation = 0; // of the configuration that this comes from
    // This shard has `taskCount` tasks, with indexes from `firstTaskIndex` in steps of
    // `indexStride`. The stride is the number of shards, so that a task stays in its shard when the
    // job grows or shrinks.
    std::uint32_t firstTaskIndex = 0;
    std::uint32_t indexStride = 1;
    std::uint32_t taskCount = 0;
    failover_class failover = failover_class::Lease;
    bool isService = false;                  // a task that ends is started again
    std::uint32_t maxFailures = 3;           // a batch task becomes Failed after this many failures
    Json::Value taskSpec{Json::objectValue}; // passed to the worker unchanged

    bool operator==(const job_spec &) const = default;
};
// Index within the job of the task at `position` (from 0) of this shard's tasks.
constexpr std::uint32_t taskIndexAt(const job_spec &spec, std::uint32_t position)
{
    return spec.firstTaskIndex + position * spec.indexStride;
}
Json::Value toJson(const job_spec &spec);
job_spec jobSpecFromJson(const Json::Value &value); // throws error BadRequest

// A record is stored as a short list; a default record (a task that was never placed) as 0.
Json::Value toJson(const task_record &record);
task_record taskRecordFromJson(const Json::Value &value); // throws error BadRequest

} // namespace zinniabarrow::work
