// Messages between the owner of a shard (an entry) and the agents of its workers, and the names of
// tasks that both sides share.
//
// An agent sends reports; the owner answers each with a grant, and may send another one at any
// time. Both are repeated whole until they are settled, so a lost, doubled or reordered message
// changes nothing. A lease counts from the agent's own sending of the report that it answers: a
// grant that the network or a paused owner holds back is worth nothing when it arrives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <json/json.h>

#include "base/failover.h"
#include "base/resources.h"
#include "base/time.h"

namespace zinniabarrow::work {

struct task_id
{
    std::string job;
    std::uint32_t index = 0; // within the job

    bool operator==(const task_id &) const = default;
    bool operator<(const task_id &other) const
    {
        return std::tie(job, index) < std::tie(other.job, other.index);
    }
};

// "job/index"; the job's own name may hold slashes.
std::string textOf(const task_id &task);
task_id taskIdFromText(std::string_view text); // throws error BadRequest

struct task_attempt
{
    task_id task;
    std::uint32_t attempt = 0;

    bool operator==(const task_attempt &) const = default;
    bool operator<(const task_attempt &other) const
    {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

// Name of the object that holds an attempt's checkpoint. It can be told without the worker, so that
// a checkpoint is found also if the worker was lost before it could report it.
std::string checkpointName(const task_attempt &attempt);

// What an agent tells the owner about one attempt.
enum class task_event_kind {
    Started,
    Checkpointed, // still running; `checkpoint` names the newest checkpoint
    Evicted,      // checkpointed and ended
    Succeeded,
    Failed,
    Stopped, // ended on request, or will never start
    Refused, // does not fit the worker; will never start
    Lost,    // ended without a result: its lease lapsed, or the worker does not know it
};

struct task_event
{
    std::uint64_t number = 0; // rises by one within an agent's session
    task_id task;
    std::uint32_t attempt = 0;
    task_event_kind kind = task_event_kind::Started;
    std::string checkpoint; // object name, for Checkpointed and Evicted
    std::string detail;     // reason of a failure or refusal
};

// The agent's heartbeat, and the start of the lease that its answer gives. Events are repeated
// until a grant acknowledges them.
struct agent_report
{
    std::string worker;
    std::uint64_t incarnation = 0; // of the worker's instance, from its listing
    std::string session;           // unique for each process of an agent
    std::uint64_t sequence = 0;    // rises with each report of the session
    std::uint64_t epoch = 0;       // newest epoch that the worker itself has recorded
    std::vector<task_event> events;
    std::uint64_t ackedReservation = 0; // newest `reservationsThrough` taken under `epoch`
};

// What the owner's ledger counts for an attempt where that is more than its declared size.
struct task_reservation
{
    task_attempt attempt;
    resources reserved;
};

// Processor time that a running task may use, below its reservation: it disturbs a service.
struct cpu_limit
{
    task_attempt attempt;
    std::int64_t millicores = 0;
};

struct granted_task
{
    task_id task;
    std::uint32_t attempt = 0;
    failover_class failover = failover_class::Lease;
    std::string checkpoint; // resume from here; empty: from the start
    // Of attempts that ended without a report: the first of these that exists is resumed instead.
    std::vector<std::string> newerCheckpoints;
};

// The owner's answer to a report, or (replyTo 0) an unasked repeat that extends no lease.
struct worker_grant
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::string worker;
    std::uint64_t incarnation = 0;
    std::string session;          // of the agent that is addressed
    std::uint64_t replyTo = 0;    // report that is answered; the lease counts from its sending
    milliseconds lease{0};        // measured by the agent from when it sent report `replyTo`
    std::uint64_t ackedEvent = 0; // events up to here are settled in the table
    bool mayStartBacklog = false; // the table is down: the backlog may be started
    std::vector<granted_task> tasks;
    std::vector<granted_task> backlog; // placed ahead, in order; not to be started yet
    std::vector<task_attempt> stops;
    std::vector<task_attempt> evictions;          // checkpoint, then end
    std::map<std::string, Json::Value> specs;     // by job, for `tasks` and `backlog`
    std::vector<task_reservation> reservations{}; // of `tasks`, and what the agent has not taken
    std::uint64_t newestReservation = 0;          // for the agent's next report
    // All there are: what is not named runs without a limit. Absent from owners of earlier
    // versions.
    std::optional<std::vector<cpu_limit>> cpuLimits{};
};

// The declared size in what a worker is told of a task.
resources declaredSize(const Json::Value &spec);

std::string_view nameOf(task_event_kind kind);

// Each reader throws error BadRequest that names the bad member.
Json::Value toJson(const task_attempt &attempt);
task_attempt taskAttemptFromJson(const Json::Value &value);
Json::Value toJson(const agent_report &report);
agent_report agentReportFromJson(const Json::Value &value);
Json::Value toJson(const worker_grant &grant);
worker_grant workerGrantFromJson(const Json::Value &value);

} // namespace zinniabarrow::work
