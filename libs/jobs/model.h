// Jobs that callers hand in: what they ask for and how far they are.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::jobs {

struct task_size
{
    std::int64_t millicores = 0;   // thousandths of a core
    std::int64_t memoryMb = 0;     // MB
    std::int64_t accelerators = 0; // whole ones

    friend bool operator==(const task_size &, const task_size &) = default;
    task_size &operator+=(const task_size &other);
    task_size &operator-=(const task_size &other);
    bool fitsInto(const task_size &room) const;
};

struct step_spec
{
    int count = 1;                    // tasks
    task_size size;                   // of each task
    std::int64_t estimateMs = 0;      // ms, rough
    std::vector<int> after;           // earlier steps, all of whose tasks are done first
    bool checkpointing = false;       // tasks save their progress
    bool isGang = false;              // tasks work only together
    bool prefersSameRack = false;     // slower when spread over racks
    std::string requiredLabel;        // of the worker; empty: any
    std::string dataRack;             // slower on any other rack; empty: any
    int maxPerWorker = 0;             // tasks of the step on one worker; 0: no bound
    bool isSpeculative = false;       // copies may run in parallel
    bool isLongRunning = false;       // runs until the job is cancelled
    std::string image;                // what the tasks run; empty: not told
    std::int64_t latencyTargetMs = 0; // tail latency to stay below, ms; 0: none
    bool isBestEffort = false;        // uses processor time that others leave
    int maxUnavailable = 0; // tasks that may be away through acts of the scheduler; 0: not told
};

struct job_spec
{
    std::string payload; // handed to each task as it is
    std::vector<step_spec> steps;
    int occurrences = 0;                // 0: once, at once
    std::int64_t firstOccurrenceMs = 0; // Unix ms of occurrence 0
    std::int64_t intervalMs = 0;        // ms between occurrences

    bool hasLongRunningStep() const;
};

// What the operator's configuration said of the queue when the job was accepted.
struct queue_policy
{
    std::string queue;                // name of the queue
    std::string service;              // whose workers run its tasks
    int priority = 0;                 // 0 first
    int maxAttempts = 1;              // runs of a task that may fail
    double stretch = 1;               // objective: times the longest chain of work
    std::int64_t targetLatencyMs = 0; // objective: ms besides
};

// Names one task: the job, which occurrence of it, which step, which task of the step.
struct task_id
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const task_id &, const task_id &) = default;
};
std::string toText(const task_id &task);                    // "job.0.1.17"
std::optional<task_id> taskIdFrom(const std::string &text); // none: not such a text

// One start of a task on a worker. The epoch names the worker's life: a placement of an older epoch
// has ended for certain.
struct placement
{
    std::string worker;
    std::int64_t epoch = 0;
    int run = 0;
    std::int64_t agentIncarnation = 0; // of the worker's agent, as it was placed; 0: not told
};

struct task_state
{
    bool done = false;
    int lastRun = 0;  // the newest run number given
    int failures = 0; // runs that ended through a fault
    std::string checkpoint;
    std::vector<placement>
            placements; // more than one: copies; of a task that is done: to be stopped
    // Runs that were over with their worker's epoch, and whose own end was never told: the end may
    // still come, and each counts once.
    std::vector<int> unreportedRuns = {};

    bool isWaiting() const { return !done && placements.empty(); }
};

int countWaiting(const std::vector<task_state> &step); // tasks that no worker has

enum class job_state { Queued, Running, Completed, Failed, Cancelled };
std::string_view nameOf(job_state state);
bool isFinal(job_state state);

// An entry in one life.
struct owner_id
{
    std::string entry;
    std::int64_t incarnation = 0;

    friend bool operator==(const owner_id &, const owner_id &) = default;
};

using occurrence_tasks = std::vector<std::vector<task_state>>; // by step, by index

// The part of a job that changes, as it lies in the platform's store.
struct job_record
{
    owner_id owner;
    std::string writeId; // names the write that made this content
    queue_policy policy;
    std::vector<step_spec> steps; // without the payload, which has a row of its own
    int occurrences = 0;
    std::int64_t firstOccurrenceMs = 0;
    std::int64_t intervalMs = 0;
    std::int64_t acceptedAtMs = 0; // Unix ms
    bool cancelled = false;
    bool failed = false;
    bool hasStarted = false; // a worker has begun a run of some task
    std::vector<occurrence_tasks> tasks;

    task_state *find(const task_id &task); // null: no such task
    const task_state *find(const task_id &task) const;
    bool hasEndedRuns() const;                    // a task has certainly run
    bool shouldRun(const task_state &task) const; // a run of it may start, or go on
    bool isStepDone(int occurrence, int step) const;
    bool isStepReady(int occurrence, int step) const; // all steps before it are done
    job_state state() const;
    // Somebody has to act on the job: it is not over, or runs of it are still placed. A job that
    // was cancelled and lost its owner in the same moment would otherwise run on.
    bool needsOwner() const;
};

// The record of a job that has just been handed in.
job_record newRecord(const job_spec &spec, const queue_policy &policy, std::int64_t acceptedAtMs);

// A job on its way from the entry that a caller reached to the one that accepts it.
struct forwarded_job
{
    job_record record;
    std::string payload;
};
job_spec specOf(const forwarded_job &job);
std::string toText(const forwarded_job &job);
forwarded_job forwardedJobFrom(const std::string &text); // throws error BadRequest

// Throws error BadRequest that says what is wrong.
void checkSpec(const job_spec &spec);

// How the platform's store keeps them; throws error BadRequest on text of another form.
std::string toText(const job_record &record);
job_record recordFrom(const std::string &text);

} // namespace zinniabarrow::jobs
