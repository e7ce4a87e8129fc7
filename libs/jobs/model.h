// The data model of jobs: what a caller submits (job_spec), and the state that the owning entry
// keeps and stores (job_record).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::jobs {

// Amounts of resources: those that a task reserves, or that a worker has or uses.
struct task_size
{
    std::int64_t millicores = 0;   // thousandths of a core
    std::int64_t memoryMb = 0;     // MB
    std::int64_t accelerators = 0; // number of devices

    friend bool operator==(const task_size &, const task_size &) = default;
    task_size &operator+=(const task_size &other);
    task_size &operator-=(const task_size &other);
    bool fitsInto(const task_size &room) const;
};

// One step of a job: tasks of the same kind that may run in parallel. `checkpointing` and
// `maxUnavailable` are stored, but have no effect; `prefersSameRack` and `isSpeculative` have one
// where scheduling_features say so.
struct step_spec
{
    int count = 1;                    // number of tasks
    task_size size;                   // resources that each task reserves
    std::int64_t estimateMs = 0;      // expected run time of a task, ms; rough
    std::vector<int> after;           // indexes of the steps that must be done first
    bool checkpointing = false;       // tasks save checkpoints, from which a later run resumes
    bool isGang = false;              // all tasks must run at the same time
    bool prefersSameRack = false;     // tasks run slower when they are spread over racks
    std::string requiredLabel;        // kind or rack that the worker must have; empty: any
    std::string dataRack;             // rack of the input data, slower elsewhere; empty: none
    int maxPerWorker = 0;             // limit of tasks on one worker; 0: none
    bool isSpeculative = false;       // the caller permits parallel copies of one task
    bool isLongRunning = false;       // tasks run until the job is cancelled
    std::string image;                // program image that the tasks run; empty: unknown
    std::int64_t latencyTargetMs = 0; // tail latency to stay below, ms; 0: no target
    // Reserves no processors, uses idle ones; the millicores of `size` are only requested.
    bool isBestEffort = false;
    // Limit of the tasks that the scheduler itself may make unavailable at a time; 0: none given.
    int maxUnavailable = 0;
};

// A job as its caller submits it.
struct job_spec
{
    std::string payload; // passed unchanged to each task
    std::vector<step_spec> steps;
    int occurrences = 0;                // number of scheduled runs of the job; 0: one, at once
    std::int64_t firstOccurrenceMs = 0; // Unix time at which occurrence 0 is due, ms
    std::int64_t intervalMs = 0;        // time between occurrences, ms

    bool hasLongRunningStep() const;
};

// Settings of the job's queue, copied from the operator's configuration when the job was accepted.
// A job's objective is to complete within `stretch` times its estimated critical path plus
// `targetLatencyMs`.
struct queue_policy
{
    std::string queue;   // queue name
    std::string service; // service whose workers run the tasks
    int priority = 0;    // 0 is the most urgent
    // Failed runs of one task after which the job fails; there is no limit for long-running tasks.
    int maxAttempts = 1;
    double stretch = 1;               // objective: factor on the estimated critical path
    std::int64_t targetLatencyMs = 0; // objective: fixed part, ms
};

// A long-running run that was at work for this long and then failed says nothing about its worker:
// a faulty worker fails its runs at once.
inline constexpr milliseconds MinServingTime{5000};

// Identifies one task by its job, occurrence, step and index within the step.
struct task_id
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const task_id &, const task_id &) = default;
};
std::string toText(const task_id &task);                    // "job.0.1.17"
std::optional<task_id> taskIdFrom(const std::string &text); // none: not a task id

// One run of a task, assigned to a worker. Each epoch of a worker ends everything that ran before
// it, so a placement of an older epoch than the worker's present one has certainly ended.
struct placement
{
    std::string worker;
    std::int64_t epoch = 0;
    int run = 0;
    // Incarnation of the worker's agent when the run was placed; 0: unknown.
    std::int64_t agentIncarnation = 0;
};

// The progress of one task, as the job's owner knows it.
struct task_state
{
    bool done = false;
    int lastRun = 0;        // run number of the latest placement; 0: never placed
    int failures = 0;       // number of failed runs
    std::string checkpoint; // text of the latest one, passed to the next run; empty: none
    // Runs that have not ended, as far as the owner knows. A further run is placed only when there
    // is none, except one copy (copy_policy.h). Those of a task that is done are redundant and are
    // being stopped.
    std::vector<placement> placements;
    // Runs that ended with their worker's epoch but whose end was never reported, the newest few.
    // The report may still arrive; then it is applied, a failure only once.
    std::vector<int> unreportedRuns = {};
    // How long the run took that has done the task, on a sound worker, ms; 0: not known. Not
    // stored.
    std::int64_t runTimeMs = 0;

    bool isWaiting() const { return !done && placements.empty(); }
};

int countWaiting(const std::vector<task_state> &step); // number of tasks neither done nor placed

// State of a job, as its caller is told.
enum class job_state { Queued, Running, Completed, Failed, Cancelled };
std::string_view nameOf(job_state state);
std::optional<job_state> jobStateNamed(std::string_view name);
bool isFinal(job_state state);

// One incarnation of an entry: a restarted entry is a different owner.
struct owner_id
{
    std::string entry;
    std::int64_t incarnation = 0;

    friend bool operator==(const owner_id &, const owner_id &) = default;
};

using occurrence_tasks = std::vector<std::vector<task_state>>; // indexed by step, then by task

// A job without its payload, as it is stored in the job's row of the platform's store.
struct job_record
{
    owner_id owner;
    // Unique id of the write that stored this content: by it, a lost answer of the store is
    // recognized as the answer to a write that was applied.
    std::string writeId;
    queue_policy policy;
    std::vector<step_spec> steps; // the payload is stored in a row of its own
    int occurrences = 0;
    std::int64_t firstOccurrenceMs = 0;
    std::int64_t intervalMs = 0;
    std::int64_t acceptedAtMs = 0; // Unix time, ms
    bool cancelled = false;
    bool failed = false;     // a task has failed `policy.maxAttempts` times
    bool hasStarted = false; // a worker has started a run of some task, as far as was reported
    std::vector<occurrence_tasks> tasks;

    task_state *find(const task_id &task); // null: no such task
    const task_state *find(const task_id &task) const;
    // Some task is done, has a failed run or a checkpoint: proves a run even without hasStarted.
    bool hasRunAnyTask() const;
    // True while a run of the task may start or continue.
    bool shouldRun(const task_state &task) const;
    bool isStepDone(int occurrence, int step) const;
    bool isStepReady(int occurrence, int step) const; // all steps that it depends on are done
    job_state state() const;
    // True while some entry must own the job: it is not finished, or runs of it are still placed.
    // Without an owner, the runs of a job that was cancelled just as its owner died would never be
    // stopped.
    bool needsOwner() const;
};

// Returns the initial record of a newly submitted job; `acceptedAtMs` is Unix time, ms.
job_record newRecord(const job_spec &spec, const queue_policy &policy, std::int64_t acceptedAtMs);

// A job that is forwarded from the entry that received it to the entry that will own it.
struct forwarded_job
{
    job_record record;
    std::string payload;
};
job_spec specOf(const forwarded_job &job);
std::string toText(const forwarded_job &job);
forwarded_job forwardedJobFrom(const std::string &text); // throws error BadRequest

// Validates a submitted job, and that all messages about it stay within message_limits.h. Throws
// error BadRequest with the reason.
void checkSpec(const job_spec &spec);

// Checks that the lists of a record match, and that its values are within the limits of submitted
// jobs: code that uses a record relies on both. Throws error BadRequest with the reason.
void checkRecord(const job_record &record);

// Text form of a record in the platform's store. `recordFrom` throws error BadRequest when the text
// is malformed or the record does not pass checkRecord().
std::string toText(const job_record &record);
// The same within `maxBytes`: if it is longer, the longest checkpoints are left out, whose tasks
// would start anew under a later owner.
std::string toTextWithin(const job_record &record, std::size_t maxBytes);
job_record recordFrom(const std::string &text);
// Whether the text is a record in the format of another release.
bool isRecordOfOtherRelease(const std::string &text);

} // namespace zinniabarrow::jobs
