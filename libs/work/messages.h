// Messages between the owner of a shard (an entry) and the agents of its workers, and the task ids
// that both sides use.
//
// An agent sends reports. The owner answers each with a grant, and may send further grants at any
// time. Both repeat their full content until it is acknowledged, so lost, duplicated or reordered
// messages do no harm. A lease is counted from the moment at which the agent sent the answered
// report, so a grant that was delayed by the network or by a paused owner gives no extra time.
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
    std::uint32_t index = 0; // within the job, from 0

    bool operator==(const task_id &) const = default;
    bool operator<(const task_id &other) const
    {
        return std::tie(job, index) < std::tie(other.job, other.index);
    }
};

// "job/index". The job's own name may contain slashes.
std::string textOf(const task_id &task);
task_id taskIdFromText(std::string_view text); // throws error BadRequest

// One attempt to execute a task. Attempts of a task are numbered from 1.
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

// Name of the object that holds an attempt's checkpoint. It is derived from the attempt alone, so
// that a checkpoint can be found even if the worker was lost before it could report it.
std::string checkpointName(const task_attempt &attempt);

// What an agent reports to the owner about one attempt.
enum class task_event_kind {
    Started,
    Checkpointed, // still running; `checkpoint` names the newest checkpoint
    Evicted,      // checkpointed and ended
    Succeeded,
    Failed,
    Stopped, // ended on request, or stopped before it started: it will never start
    Refused, // does not fit on the worker; will never start
    Lost,    // ended without a result: its lease lapsed, or the worker does not know the attempt
};

struct task_event
{
    std::uint64_t number = 0; // increases by one with each event of an agent's session, from 1
    task_id task;
    std::uint32_t attempt = 0;
    task_event_kind kind = task_event_kind::Started;
    std::string checkpoint; // object name, for Checkpointed and Evicted
    std::string detail;     // reason of a failure or refusal
};

// The agent's heartbeat. The lease that the answering grant gives is counted from the sending of
// this report. Events are repeated in each report until a grant acknowledges them.
struct agent_report
{
    std::string worker;
    std::uint64_t incarnation = 0; // of the worker's instance, as its listing says
    std::string session;           // unique for each process of an agent
    std::uint64_t sequence = 0;    // increases with each report of the session
    std::uint64_t epoch = 0;       // newest epoch that the worker itself has recorded
    std::vector<task_event> events;
    std::uint64_t ackedReservation = 0; // reservations of `epoch` up to this number are applied
};

// What the owner's reservation ledger counts for an attempt, if more than the declared size.
struct task_reservation
{
    task_attempt attempt;
    resources reserved;
};

// Limit on the processor time of a running task that interferes with a service. It is lower than
// the task's reservation.
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
    std::string checkpoint; // object name to resume from; empty: start from the beginning
    // Names of checkpoints that later attempts may have written without reporting them, newest
    // first. The worker resumes from the first of them that exists, else from `checkpoint`.
    std::vector<std::string> newerCheckpoints;
};

// The owner's answer to a report, also repeated later without a new report. A `replyTo` that the
// agent doesn't remember extends no lease.
struct worker_grant
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::string worker;
    std::uint64_t incarnation = 0;
    std::string session;                 // of the agent that the grant is meant for
    std::uint64_t replyTo = 0;           // sequence of the newest report of the session; 0: none
    milliseconds lease{0};               // counted by the agent from when it sent report `replyTo`
    std::uint64_t ackedEvent = 0;        // events up to this number are committed in the table
    bool mayStartBacklog = false;        // true while the table is down: the backlog may be started
    std::vector<granted_task> tasks;     // to be started, if the agent doesn't run them yet
    std::vector<granted_task> backlog;   // no free capacity yet; wait for `mayStartBacklog`
    std::vector<task_attempt> stops;     // to be stopped without a checkpoint
    std::vector<task_attempt> evictions; // to be checkpointed and ended
    std::map<std::string, Json::Value> specs;     // by job, for `tasks` and `backlog`
    std::vector<task_reservation> reservations{}; // of `tasks`, and those not yet acknowledged
    std::uint64_t newestReservation = 0;          // number of the newest; acknowledged by the agent
    // The complete list: a task that is not in it runs without a limit. Absent in grants of owners
    // of earlier versions.
    std::optional<std::vector<cpu_limit>> cpuLimits{};
};

// The declared size from the task specification that is passed to a worker.
resources declaredSize(const Json::Value &spec);

std::string_view nameOf(task_event_kind kind);

// Each reader throws error BadRequest, with the name of the invalid member.
Json::Value toJson(const task_attempt &attempt);
task_attempt taskAttemptFromJson(const Json::Value &value);
Json::Value toJson(const agent_report &report);
agent_report agentReportFromJson(const Json::Value &value);
Json::Value toJson(const worker_grant &grant);
worker_grant workerGrantFromJson(const Json::Value &value);

} // namespace zinniabarrow::work
