// Messages about runs, as JSON: entries send orders to agents, agents send reports to entries.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "jobs/interference_estimator.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

enum class order_kind {
    Start, // make sure that the run is started; idempotent
    Stop,  // make sure that the run ends, or never starts
};

// What a run requires of its worker.
struct run_requirements
{
    task_size size;
    bool isBestEffort = false;        // millicores don't count against the worker's capacity
    bool isLongRunning = false;       // runs until its job is cancelled
    std::string image;                // names what runs; interference is estimated per image
    std::int64_t latencyTargetMs = 0; // upper limit of the tail latency; 0: none
    // How long the run may be paused in all, from its start on, without making its job late, ms;
    // at most MaxRunSlackMs. None: unknown.
    std::optional<std::int64_t> slackMs = {};
    int maxPerWorker = 0; // runs of its step and occurrence on the worker; 0: no limit
};

constexpr std::int64_t MaxRunSlackMs = 60'000;

struct run_order
{
    order_kind kind = order_kind::Start;
    task_id task;
    int run = 0;
    std::int64_t epoch = 0; // of the worker, when the task was placed
    // Only in a start:
    std::int64_t agentIncarnation = 0; // of the agent, when the task was placed; 0: unknown
    std::int64_t startDeadlineMs = 0;  // agent's clock, ms: no start after it; 0: none
    std::string payload;
    std::string checkpoint;
    run_requirements requirements;
    bool wantsStartReport = false; // the agent reports it once its worker runs the task
};

enum class order_outcome {
    Accepted,              // the run exists, or is being started or stopped
    NoRoom,                // refused for good: the worker lacks free capacity, or it is unknown
                           // as runs on it are unclaimed, or has as many runs of the step as it may
    Draining,              // refused for good: the worker is leaving
    WrongEpoch,            // refused for good: placed in another epoch of the worker
    Superseded,            // refused for good: the run was stopped or refused before
    WrongAgentIncarnation, // refused for good: placed in another incarnation of the agent, and
                           // unknown to this one
    NotReady,              // nothing was done; to be retried
    DeadlineExceeded,      // nothing was done; the order arrived after its deadline; to be retried
};
std::string_view nameOf(order_outcome outcome);
bool shouldRetry(order_outcome outcome);
bool isPermanentRefusal(order_outcome outcome);

struct order_answer
{
    task_id task;
    int run = 0;
    order_outcome outcome = order_outcome::NotReady;
    // Kind of the answered order: a start and a stop of one run may both await their answers.
    order_kind kind = order_kind::Start;
};

struct order_batch
{
    std::string owner;        // entry's name
    std::string ownerAddress; // where reports to the owner go
    std::vector<run_order> orders;
    // The text has each job's payload once, for all of its orders. Only for agents that say so in
    // worker_report::takesSharedPayloads.
    bool sharesPayloads = false;
};

// How a run ended. All but NeverStarted are the kinds that the worker itself lists. HoldExpired:
// the worker ended the run as no hold call extended it in time. NeverStarted: reported by the agent
// for a run that it accepted and the worker didn't start.
enum class end_kind { Done, Failed, Stopped, HoldExpired, Broken, Alone, NeverStarted };
std::string_view nameOf(end_kind ending);
std::optional<end_kind> endKindNamed(std::string_view name);

struct run_end
{
    std::int64_t sequence = 0; // in the worker's list of ends; 0: the worker never listed it
    task_id task;
    int run = 0;
    end_kind endKind = end_kind::Done;
    std::string checkpoint;
};

// A newer checkpoint of a run that continues.
struct run_progress
{
    task_id task;
    int run = 0;
    std::string checkpoint;
};

// A run that its worker has started.
struct started_run
{
    task_id task;
    int run = 0;
};

// A serving run, and how much load its best-effort neighbours may add before its tail latency gets
// too close to its target (throttle_controller::headroomOf). interference_estimator.h defines load.
struct serving_headroom
{
    std::string image;
    double headroom = 0;  // load; below zero: too close to the target, or beyond it
    std::string job = {}; // empty: unknown
    bool isLate = false;  // the run missed its target in the last measurement
};

// The slack of a run has changed; see run_requirements::slackMs.
struct run_slack
{
    task_id task;
    int run = 0;
    std::int64_t slackMs = 0;
};

// An agent's report on its worker, sent at least once a second to each entry that wants reports,
// and every few seconds to the others. `ends` are repeated until they are acknowledged.
struct worker_report
{
    std::string worker;  // agent's id, by which entries name the worker
    std::string address; // of the agent
    // The fence of its lease: changes when the agent or its worker is restarted, as the lease is
    // then acquired anew.
    std::int64_t agentIncarnation = 0;
    std::int64_t epoch = 0;   // of the worker; 0: unknown yet
    std::int64_t clockMs = 0; // agent's clock, monotonic within an incarnation; 0: unknown
    std::string service;
    std::string zone;
    // Labels of the worker, one of which a step of a job may require.
    std::string kind;
    std::string rack;
    bool isAccepting = false;         // accepts new runs
    bool takesSharedPayloads = false; // see order_batch; agents of the previous release do not
    task_size capacity;
    task_size used;                        // by runs that are running, starting or being stopped
    task_size usedByLongRunning;           // the part of `used` that long-running runs use
    std::int64_t bestEffortMillicores = 0; // requested by best-effort runs
    int failuresInRow = 0;                 // of runs of all owners, see failure_streak.h
    std::vector<serving_headroom> serving; // runs with a latency target
    std::map<std::string, double> bestEffortDemand; // by image: cores requested by best-effort runs
    std::vector<interference_sample> samples;       // since the last periodic report
    bool wantsInterferenceTable = false;            // asks for the interference table
    std::vector<run_end> ends;
    std::vector<run_progress> progress;
    std::vector<started_run> started; // repeated until the report is answered
};

// Identifies one end of a run. The kind is part of the identity: a run that was assumed never to
// have started may turn out to have ended otherwise, and that is a different end.
struct run_end_id
{
    task_id task;
    int run = 0;
    end_kind endKind = end_kind::Done;
};

// The entry's answer to a report.
struct report_answer
{
    std::vector<run_end_id> acknowledged; // stored: the agent may forget them
    std::vector<run_end_id> notOwned;     // the job belongs to another entry
    // What the entry has learned from all workers; empty: not requested, or nothing learned yet.
    interference_table interference;
    // When a run of another owner ends, the agent sends this entry a report only if the previous
    // one is at least this old. 0, which the worker's home sends (see entry_directory::homeOf()):
    // always.
    milliseconds minReportInterval{0};
    // False: the entry places no tasks at present. It gets a report only now and then, so that it
    // can say when that has changed.
    bool wantsReports = true;
    bool zoneEvacuated = false; // operators evacuate the worker's zone: nothing more starts there
    // Runs of this entry on the worker whose slack has changed by more than a step.
    std::vector<run_slack> slack = {};
};

// The functions that parse throw error BadRequest if the text is malformed.
std::string toText(const report_answer &answer);
report_answer reportAnswerFrom(const std::string &text);
std::string toText(const order_batch &batch);
order_batch orderBatchFrom(const std::string &text);
std::string toText(const std::vector<order_answer> &answers);
std::vector<order_answer> orderAnswersFrom(const std::string &text);
std::string toText(const worker_report &report);
// The text of the report, and the report as it is sent: what makes it longer than `maxBytes` is
// taken out. Checkpoints go first, then the later half of the ends, again and again; both are
// reported again until their owner has them.
std::string textWithin(worker_report &report, std::size_t maxBytes);
worker_report reportFrom(const std::string &text);

} // namespace zinniabarrow::jobs
