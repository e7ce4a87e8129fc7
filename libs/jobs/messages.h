// What entries and agents tell each other of runs: orders one way, reports the other. JSON.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "jobs/interference_estimator.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

enum class order_kind {
    Start, // see that this run is there; the same order twice is one start
    Stop,  // see that this run ends, or never begins
};

// What a task asks of the worker beside its payload.
struct run_requirements
{
    task_size size;
    bool isBestEffort = false; // millicores are not counted against the worker
    bool isLongRunning = false;
    std::string image;
    std::int64_t latencyTargetMs = 0; // ms; 0: none
};

struct run_order
{
    order_kind kind = order_kind::Start;
    task_id task;
    int run = 0;
    std::int64_t epoch = 0; // of the worker, as placed
    // Of a start only:
    std::int64_t agentIncarnation = 0; // of the agent, as placed; 0: not told
    std::int64_t startDeadlineMs = 0;  // agent's clock: started by this order no later; 0: not told
    std::string payload;
    std::string checkpoint;
    run_requirements requirements;
    bool wantsStartReport = false; // the agent reports when its worker runs it
};

enum class order_outcome {
    Accepted,              // it is there, or is being started or stopped
    NoRoom,                // not started, and it never will be
    Draining,              // the same: the worker is leaving
    WrongEpoch,            // the same: placed in another life of the worker
    Superseded,            // the same: that run was stopped or refused before
    WrongAgentIncarnation, // the same: placed in another life of the agent, and not known to this
                           // one
    NotReady,              // nothing was done; ask again
    DeadlineExceeded,      // the same: on its way for longer than the order holds
};
std::string_view nameOf(order_outcome outcome);
bool shouldRetry(order_outcome outcome);
bool isPermanentRefusal(order_outcome outcome);

struct order_answer
{
    task_id task;
    int run = 0;
    order_outcome outcome = order_outcome::NotReady;
    order_kind kind = order_kind::Start; // of the order: a run may have one of each out
};

struct order_batch
{
    std::string owner;        // entry's name
    std::string ownerAddress; // where its reports go
    std::vector<run_order> orders;
};

enum class end_kind { Done, Failed, Stopped, HoldExpired, Broken, Alone, NeverStarted };
std::string_view nameOf(end_kind how);
std::optional<end_kind> endKindNamed(std::string_view name);

struct run_end
{
    std::int64_t sequence = 0; // of the worker's list; 0: the worker never listed it
    task_id task;
    int run = 0;
    end_kind endKind = end_kind::Done;
    std::string checkpoint;
};

// A newer checkpoint of a run that goes on.
struct run_progress
{
    task_id task;
    int run = 0;
    std::string checkpoint;
};

// A run that its worker has begun.
struct started_run
{
    task_id task;
    int run = 0;
};

// A serving run: how much load its neighbours may add before it is over its target.
struct serving_headroom
{
    std::string image;
    double headroom = 0;  // load, below zero: it is over
    std::string job = {}; // empty: not told
    bool isLate = false;  // over its target, as last measured
};

// What an agent says of its worker. `ends` are repeated until they are acknowledged.
struct worker_report
{
    std::string worker;                // name of its machine
    std::string address;               // of the agent
    std::int64_t agentIncarnation = 0; // changes when the agent starts anew
    std::int64_t epoch = 0;            // of the worker; 0: not known yet
    std::int64_t clockMs = 0;          // of the agent, monotonic in its life; 0: not told
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    bool isAccepting = false; // takes new runs
    task_size capacity;
    task_size used;                                 // by what runs, starts or is being stopped
    task_size usedByLongRunning;                    // of it, by runs that last
    std::int64_t bestEffortMillicores = 0;          // asked by runs that fill
    std::vector<serving_headroom> serving;          // runs with a target for their latency
    std::map<std::string, double> bestEffortDemand; // by image: cores asked for by runs that fill
    std::vector<interference_sample> samples;       // since the last regular report
    bool wantsInterferenceTable = false;            // asks for the table of presses
    std::vector<run_end> ends;
    std::vector<run_progress> progress;
    std::vector<started_run> started; // repeated until the report is answered
};

// An end that an entry answers for. It is named in full: a run that was taken for never started may
// turn out to have ended otherwise, and that end is another one.
struct run_end_id
{
    task_id task;
    int run = 0;
    end_kind endKind = end_kind::Done;
};

// What an entry answers to a report.
struct report_answer
{
    std::vector<run_end_id> acknowledged;
    std::vector<run_end_id> notOwned; // the job belongs to another entry
    interference_table
            interference; // as learned from all workers; empty: not asked for, or nothing learned
    bool zoneEvacuated = false; // of the worker: nothing more is started there
};

std::string toText(const report_answer &answer);
report_answer reportAnswerFrom(const std::string &text);
std::string toText(const order_batch &batch);
order_batch orderBatchFrom(const std::string &text); // throws error BadRequest
std::string toText(const std::vector<order_answer> &answers);
std::vector<order_answer> orderAnswersFrom(const std::string &text);
std::string toText(const worker_report &report);
worker_report reportFrom(const std::string &text);

} // namespace zinniabarrow::jobs
