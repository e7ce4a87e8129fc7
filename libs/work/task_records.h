// Tasks and jobs as the table holds them.
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
    Placed,     // on a worker, not yet known to run
    Running,    // the agent said so (known only to this process)
    Evicting,   // asked to checkpoint and end (known only to this process)
    Cancelling, // may still run: its stop is not confirmed
    Done,
    Failed,
    Cancelled,
};
std::string_view nameOf(task_state state);

// Running and Evicting are stored as Placed.
struct task_record
{
    task_state state = task_state::Pending;
    std::uint32_t attempt = 0; // newest that was ever placed; only a conditional write raises it
    std::string worker;        // while Placed or Cancelling
    std::uint64_t incarnation = 0; // of that worker
    std::string checkpoint;
    std::uint32_t failures = 0;
    bool isBacklogged = false; // backlog: placed before there is room

    bool operator==(const task_record &) const = default;
};

// True while the task may run on `record.worker`.
bool occupiesWorker(const task_record &record);
// True once nothing more happens to the task.
bool isTerminal(const task_record &record);

struct job_spec
{
    std::string id; // never used again after the job was removed: attempts start at one again
    std::uint64_t generation = 0;
    // This shard's tasks: `tasks` of them, from `firstTask` in steps of `stride`. With the number
    // of shards as stride a task stays in its shard when the job grows or shrinks.
    std::uint32_t firstTaskIndex = 0;
    std::uint32_t indexStride = 1;
    std::uint32_t taskCount = 0;
    failover_class failover = failover_class::Lease;
    bool isService = false;                  // a task that ends is started again
    std::uint32_t maxFailures = 3;           // a batch task fails for good after this many
    Json::Value taskSpec{Json::objectValue}; // handed to the worker unread

    bool operator==(const job_spec &) const = default;
};
// Index within the job of the shard's task number `position`.
constexpr std::uint32_t taskIndexAt(const job_spec &spec, std::uint32_t position)
{
    return spec.firstTaskIndex + position * spec.indexStride;
}
Json::Value toJson(const job_spec &spec);
job_spec jobSpecFromJson(const Json::Value &value); // throws error BadRequest

// A record as a short list; a task that was never placed as 0.
Json::Value toJson(const task_record &record);
task_record taskRecordFromJson(const Json::Value &value); // throws error BadRequest

} // namespace zinniabarrow::work
