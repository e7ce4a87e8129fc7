// Controls the jobs that an entry owns: places their tasks on workers, decides what to write to the
// store, and which orders to send to agents. A run is one attempt to execute a task, and an order
// tells an agent to start or to stop a run. The class does no I/O: the entry (app/job_entry.h)
// passes in events with their time, and carries out the actions that `takeActions` returns.
//
// An occurrence is one scheduled repetition of a job. A token is a number that the entry chose for
// a request or a report that waits until a change is stored. To notify a token is to return a
// `change_stored` with it from `takeActions`, or an `ownership_lost` when the entry loses the job
// first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/copy_policy.h"
#include "jobs/job_summary.h"
#include "jobs/messages.h"
#include "jobs/model.h"
#include "jobs/run_course.h"
#include "jobs/run_times.h"
#include "jobs/scheduling_features.h"
#include "jobs/stall_timer.h"
#include "jobs/task_failures.h"
#include "jobs/urgency.h"
#include "jobs/wait_policy.h"
#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

// Write the job's row on the condition that its version is still `expectedVersion`; 0: that the row
// does not exist. Each job has at most one write in flight. The entry repeats it unchanged until
// its outcome is known.
struct write_row
{
    std::string job;
    std::int64_t expectedVersion = 0;
    std::string content;
    std::optional<std::string> payload; // with the first write: content of the payload's row
    // Content of the summary's row, in the same transaction; none: it is stored already.
    std::optional<std::string> summary;
    // Also write, in the same transaction, the row from which agents learn that the job is
    // cancelled.
    bool writesCancelRow = false;
};

// Send the order to the agent of the worker.
struct send_order
{
    std::string worker;
    run_order order;
};

// The change that the request or report with this token waits for is stored: the entry answers it.
struct change_stored
{
    std::int64_t token = 0;
};

// The job now belongs to another entry, or its row was deleted, so this entry does not store the
// change that `token` stands for. The new owner is not named because the entry does not need it:
// for a cancel, the entry reads the job's row and writes the cancel there; for the end of a run,
// the agent reports the end to all entries.
struct ownership_lost
{
    std::int64_t token = 0;
    std::string job;
};

// A line for the log: a decision and its reasons.
struct log_event
{
    std::string event; // one of the events that docs/OPERATIONS.md lists
    std::string job;
    std::string detail;
    std::string reason = {}; // if given, the event is also counted by it
};

using controller_action =
        std::variant<write_row, send_order, change_stored, ownership_lost, log_event>;

struct controller_settings
{
    // An unanswered order is sent again after this time. Agents answer within milliseconds, and an
    // order that arrives twice starts one run only.
    milliseconds orderRetryDelay{300};
    // The stop order that follows a rejected order is sent after this time. If all agents reject
    // the orders of a task, it limits how often the task is placed anew.
    milliseconds rejectedOrderDelay{1000};
    // A start order that was first sent this long ago either is counted in its worker's reports or
    // no longer takes effect.
    milliseconds startInFlightTimeout{700};
    // How long a best-effort task waits for a worker on which it causes no lateness. After that, it
    // is placed on any worker with free capacity. `maxInterferenceWaitWhenIdle` applies while at
    // most 55% of the service's processors are in use or reserved, since callers then consider a
    // job lost when none of its tasks runs for 3 s. `maxInterferenceWait` applies otherwise. It is
    // so long that a job which has waited for it has certainly missed its objective: until then,
    // its own lateness does not justify making others late.
    milliseconds maxInterferenceWait{60'000};
    milliseconds maxInterferenceWaitWhenIdle{2500};
    // How long a short task leaves the last places of other entries' workers to their homes. As
    // long as the shortest tasks run: by then the workers of this entry have had ends, too.
    milliseconds maxWaitForHome{400};
    // A long-running task whose run failed at once, or never started, is kept from quarantined
    // workers for this time: long enough not to be started again and again on a faulty one, and
    // shorter than the 6 s after which callers count the outage of such a task.
    milliseconds quarantineRetryDelay{3000};
    // That a job has started is written with its next change, or by a write of its own after this
    // time.
    milliseconds startedWriteDelay{800};
    // Interval of the log lines about a wait for a worker, an unanswered order or underserved jobs.
    milliseconds waitLogInterval{2000};
    // A long-running task that is not known to run for this long is logged as stalled, and again
    // every `stallLogInterval`. Callers count the outage of such a task from 6 s on, that of a
    // whole job from 3 s on.
    milliseconds stallThreshold{6000};
    milliseconds stallLogInterval{4000};
    milliseconds stallCheckInterval{1000};
    scheduling_features features;
    copy_settings copies;
};

class job_controller
{
public:
    // `self`: the entry and its incarnation, which lasts from the start of the process to its end.
    job_controller(owner_id self, worker_pool &workers, const controller_settings &settings = {});

    // --- requests of callers
    bool owns(const std::string &job) const;
    // Accepts a new job; `token` is notified once the acceptance is stored. `wallMs` is Unix time,
    // ms.
    void submit(const std::string &job, const job_spec &spec, const queue_policy &policy,
                std::int64_t wallMs, time_point now, std::int64_t token);
    // Notifies `token` once the present state of an owned job is stored.
    void notifyWhenStored(const std::string &job, std::int64_t token);
    // Cancels an owned job and stops its runs. Notifies `token` once the cancel is stored.
    void cancel(const std::string &job, std::int64_t token);
    job_state storedState(const std::string &job) const;    // in the store; must be owned
    const job_record *record(const std::string &job) const; // null: not owned

    // --- events of the store
    // The write in flight was applied; `version` is the new version of the row.
    void rowWritten(const std::string &job, std::int64_t version);
    // The version of the row was not the expected one. `content` is its present content; none: it
    // was deleted.
    void rowConflict(const std::string &job, std::int64_t version,
                     const std::optional<std::string> &content);
    // Takes over a job after this entry has found that its owner is gone.
    void adopt(const std::string &job, const job_record &record, std::int64_t version,
               const std::string &payload);
    // Another writer changed the row: the store's feed or a read has this summary of it.
    void rowChanged(const std::string &job, const job_summary &summary, std::int64_t version);
    void rowRemoved(const std::string &job);

    // --- events of workers
    // A run ended, as its agent reported. `token` is notified once the end is stored, and the agent
    // may then forget it. Returns false, without keeping the token, when this entry does not own
    // the job, or when a later owner placed the run and this entry has not learned of it yet.
    bool runEnded(const std::string &worker, const run_end &end, time_point now,
                  std::int64_t token);
    // A run that continues has a newer checkpoint.
    void checkpointReported(const std::string &worker, const run_progress &progress);
    // A worker has started the run: the job counts as started.
    void runStarted(const started_run &run, time_point now);
    // `agentIncarnation` is that of the agent, by its reports, when the order was sent; 0: unknown.
    void orderAnswered(const std::string &worker, const order_answer &answer, time_point now,
                       std::int64_t agentIncarnation);
    // The worker's agent refuses the order each time that it is sent. A start order is replaced by
    // a stop order, which has few bytes: its answer tells whether an earlier call has started the
    // run. After it the task is placed on another worker. A stop order is sent again.
    void orderRejected(const std::string &worker, const run_order &order, time_point now);
    // The order got no answer; it is sent again after `orderRetryDelay`.
    void orderUnanswered(const std::string &worker, const task_id &task, int run, time_point now);
    // The pool took a new report of the worker, which does not include starts that are still in
    // flight; this reserves their resources again. Call it after `runEnded` for the ends in that
    // report and after `workerRestarted`. Otherwise resources would be reserved for runs that have
    // ended.
    void workerReported(const std::string &worker, time_point now);
    // The agent has a new incarnation, or the worker a new epoch. The epoch is a number that rises
    // once all runs of the worker have ended: placements of earlier epochs have ended, and orders
    // of the present one are sent again.
    void workerRestarted(const std::string &worker, std::int64_t epoch, time_point now);
    // The worker's lease is of that epoch: placements of earlier ones have ended. No orders are
    // sent again: if this process was suspended, another entry may have taken over its jobs, and
    // the lease may be read before that is known here.
    void epochSeen(const std::string &worker, std::int64_t epoch);
    // The slack of owned runs on the worker that has changed by more than a step since it was last
    // sent there, for the answer to the worker's report. `wallMs` is Unix time, ms.
    std::vector<run_slack> changedSlack(const std::string &worker, time_point now,
                                        std::int64_t wallMs);
    // Workers on which tasks of owned jobs are placed.
    std::set<std::string> workersWithPlacements() const;

    // --- planning
    // Places waiting tasks, those of the most urgent jobs first (see urgency.h), and decides
    // which writes, orders and log lines are due. `wallMs` is Unix time, ms.
    void plan(time_point now, std::int64_t wallMs);
    // Returns the actions decided since the last call, for the caller to carry out.
    std::vector<controller_action> takeActions();

    run_times &runTimes() { return m_runTimes; } // of the runs that this entry has seen

    std::size_t unfinishedJobCount() const; // owned jobs whose stored state is not final
    std::vector<std::string> ownedJobs() const;

private:
    struct waiting_token
    {
        std::int64_t token = 0;
        std::int64_t neededRevision = 0; // notified once this revision of the record is stored
    };

    struct pending_order
    {
        std::string worker;
        std::int64_t neededRevision = 0; // sent once this revision of the record is stored
        bool isInFlight = false;         // sent, and not yet answered
        time_point retryAt{};
        time_point firstSentAt{}; // time_point{}: not sent yet
        time_point nextLogAt{};   // when the missing answer is logged next
        // The latest answer, if it settles nothing; none: the latest call got no answer.
        std::optional<order_outcome> lastAnswer{};
        int answerCount = 0; // answers that settled nothing
        // Arrival of the worker's latest report when the order was last sent.
        time_point basedOnReportAt{};
    };

    struct waiting_step
    {
        time_point since{};
        time_point nextLogAt{}; // when the reason for the wait is logged next
    };

    // How the time until completion was spent, as far as this owner saw it.
    struct job_timeline
    {
        // When the first task was placed, Unix time, ms.
        std::optional<std::int64_t> firstPlacedAtMs;
        // Slack at that time: how long the job could still wait and meet its objective, ms.
        std::int64_t slackAtFirstPlacementMs = 0;
        std::int64_t learnedPathMs = 0; // expected time until completion then, if it is learned
        std::int64_t unplacedMs = 0;    // total time during which steps had tasks without a worker
    };

    // The slack of a run, as it was last sent to its agent.
    struct sent_slack
    {
        std::int64_t slackMs = 0;
        time_point repeatUntil{}; // an answer to a report may be lost, so the next ones repeat it
    };

    // The newest copy of a task, as far as this owner placed it.
    struct task_copy
    {
        int run = 0;
        time_point placedAt{};
        copy_reason reason = copy_reason::None;
    };

    // Of a service, in one check for copies.
    struct service_state
    {
        double usedShare = 1; // of its processors
        double medianSlowdown = 1;
    };

    struct owned_job
    {
        job_record record;
        std::string payload;
        bool payloadStored = false;
        bool cancelRowStored = false; // the row from which agents learn of the cancel is stored
        std::int64_t version = 0;     // last known version of the row
        std::int64_t revision = 1;    // of the record in memory; each change increments it
        std::int64_t storedRevision = 0;
        std::int64_t inFlightRevision = 0; // revision of the write in flight; 0: none
        std::string inFlightWriteId;       // id of the write in flight
        job_state inFlightState = job_state::Queued;
        job_state storedState = job_state::Queued;
        std::string inFlightSummary; // of the write in flight
        std::string storedSummary;   // content of the summary's row; empty: unknown
        std::vector<waiting_token> waitingTokens;
        std::map<std::pair<task_id, int>, pending_order> startOrders;
        std::map<std::pair<task_id, int>, pending_order> stopOrders;
        // Members of incomplete gangs that were ordered to stop, by run. An agent that has accepted
        // the stop is not ordered again until it restarts.
        std::set<std::pair<task_id, int>> stoppedMembers;
        // When this entry first received the answer that the agent accepted the start order. The
        // run's duration is counted from then, also if the agent's next incarnation takes it over.
        std::map<std::pair<task_id, int>, time_point> startAcceptedAt;
        std::map<task_id, std::vector<std::string>> avoidedWorkers; // newest last
        // By long-running task: when it may be placed on a quarantined worker again.
        std::map<task_id, time_point> quarantineRetryAt;
        task_failures taskFailures; // soon after a start
        // By occurrence and step: when planning last found no waiting task of the step, or first
        // considered the step. The interference wait is counted from then.
        std::map<std::pair<int, int>, time_point> waitingSince;
        // By occurrence and step: steps with tasks that planning found no worker for, for the log
        // and the timeline.
        std::map<std::pair<int, int>, waiting_step> unplacedSteps;
        std::map<task_id, stall_timer> stalls; // of long-running tasks
        bool isAdopted = false;                // taken over from another owner
        std::map<task_id, task_copy> copies;
        job_timeline timeline;
        run_course course; // of its runs, for the log
    };

    template <typename Visit>
    void forEachTask(const std::string &id, owned_job &job, Visit visit);
    void markChanged(const std::string &id, owned_job &job);
    void markStarted(const std::string &id, owned_job &job, time_point now);
    void writeStartedJobs(time_point now);
    void writeIfDue(const std::string &id, owned_job &job);
    void notifyStored(owned_job &job);
    // The row has another version than expected, but the job is still owned.
    void writeAgain(const std::string &id, owned_job &job, std::int64_t version);
    void dropJob(const std::string &id);
    void applyCancel(const std::string &id, owned_job &job, bool isCancelled);
    // Handles the end of a placed run whose task is not done.
    void endPlacedRun(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, time_point now);
    // Handles the end of a redundant run: it is still placed, but another run has done its task.
    void endRedundant(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end);
    // Handles the end of a run that is no longer placed.
    void endUnplacedRun(const std::string &id, owned_job &job, const std::string &worker,
                        const run_end &end, time_point now);
    void applyRunEnd(const std::string &id, owned_job &job, const std::string &worker,
                     const run_end &end, const std::optional<milliseconds> &runDuration);
    static std::optional<milliseconds> takeRunDuration(owned_job &job, const run_end &end,
                                                       time_point now);
    // Notes how long the task took, and learns from it if the entry learns run times.
    void learnRunTime(owned_job &job, const std::string &worker, const run_end &end,
                      const std::optional<milliseconds> &runDuration);
    std::int64_t slackOf(const job_record &record, std::int64_t wallMs) const;
    static double slowdownOf(const std::optional<milliseconds> &runDuration, const step_spec &step);
    void finishTask(const std::string &id, owned_job &job, const task_id &task, int run,
                    const step_spec &step);
    void stopRedundantRuns(owned_job &job, const task_id &task, const task_state &state);
    void countFailure(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, const step_spec &step,
                      const std::optional<milliseconds> &runDuration);
    bool sendDueOrders(const std::string &id, owned_job &job, time_point now, std::int64_t wallMs);
    run_order makeStartOrder(const owned_job &job, const task_id &task,
                             const placement &runPlacement, time_point now) const;
    // How long the run may be paused in all without making its job late, ms; none: not shared.
    std::optional<std::int64_t> slackOfRun(const owned_job &job, const std::pair<task_id, int> &run,
                                           time_point now, std::int64_t wallMs) const;
    // Notes services where best-effort tasks lack workers and their jobs get late by it.
    void noteScarceServices(const std::vector<std::pair<job_urgency, std::string>> &waiting,
                            time_point now);
    void addSlack(run_order &order, const owned_job &job, const std::string &worker, time_point now,
                  std::int64_t wallMs);
    void stopAllRuns(const std::string &id, owned_job &job);
    static bool isOutOfAttempts(const owned_job &job, const step_spec &step,
                                const task_state &state);
    void failJob(const std::string &id, owned_job &job, const task_id &task);
    void keepCheckpoint(task_state &state, const step_spec &step,
                        const std::string &checkpoint) const;
    void handleNeverStarted(owned_job &job, const std::string &worker, const task_id &task,
                            int run);
    void stopRun(owned_job &job, const task_id &task, const placement &runPlacement);
    static void avoidWorker(owned_job &job, const task_id &task, const std::string &worker);
    static void removePlacement(owned_job &job, const task_id &task, int run);
    time_point reportTimeOf(const std::string &worker) const;
    bool isStartInFlight(const std::string &worker, const std::pair<task_id, int> &start,
                         time_point now) const;
    static const step_spec &stepOf(const owned_job &job, const task_id &task);
    static bool isPlacedOn(const task_state &task, const std::string &worker, int run);
    void placeWaitingTasks(const std::string &id, owned_job &job, time_point now,
                           std::int64_t wallMs);
    bool placeStep(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                   time_point now, std::int64_t wallMs);
    bool failIfOutOfAttempts(const std::string &id, owned_job &job, const task_id &firstTask);
    placement_preferences roomPreferences(time_point waitStart, time_point now) const;
    bool placeGang(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                   time_point now, std::int64_t wallMs);
    void stopIncompleteGang(owned_job &job, const task_id &firstMember);
    // A worker for each member of the gang in turn; empty: there is not one for all of them.
    std::vector<std::string> chooseGangWorkers(const owned_job &job, const task_id &firstMember,
                                               const step_spec &step, int run,
                                               const std::string &onlyRack, time_point now) const;

    // --- with weighsWaits; see wait_policy.h
    // The waiting tasks of one step, while workers are chosen for them.
    struct weighed_step
    {
        waiting_tasks tasks;
        placement_preferences preferences;
        std::string nearRack; // where tasks run faster: near their data or group; empty: none
        bool isNearRackFull = false;          // no worker there can take a task of the step now
        std::map<wait_reason, int> worseRuns; // tasks placed where a better place was waited for
    };
    struct weighed_choice
    {
        std::optional<std::string> worker;
        std::optional<wait_reason> reason = {}; // why a worse place was taken, or why it waits
    };
    // Of the best-effort jobs that wait, those that are late in any case.
    double lateShareOfBestEffort(std::int64_t wallMs) const;
    weighed_step weigh(const owned_job &job, const task_id &firstTask, const step_spec &step,
                       time_point now, std::int64_t wallMs);
    bool hasReportingRun(const owned_job &job, time_point now) const;
    std::string nearRackOf(const owned_job &job, const task_id &firstTask, const step_spec &step,
                           time_point now) const;
    weighed_choice chooseOrWait(weighed_step &weighed, const owned_job &job, const task_id &task,
                                const step_spec &step, time_point now);
    weighed_choice chooseAnywhere(const weighed_step &weighed, const owned_job &job,
                                  const task_id &task, const step_spec &step, time_point now) const;
    bool placeWeighedStep(const std::string &id, owned_job &job, const task_id &firstTask,
                          time_point now, std::int64_t wallMs);
    // The workers for a gang that prefers one rack; empty: it waits.
    std::vector<std::string> chooseGangOrWait(const std::string &id, owned_job &job,
                                              const task_id &firstMember, const step_spec &step,
                                              int run, time_point now, std::int64_t wallMs);
    void logWorseRuns(const std::string &id, const task_id &firstTask, const weighed_step &weighed,
                      time_point now);
    void placeTask(const std::string &id, owned_job &job, const task_id &task,
                   const step_spec &step, const std::string &worker, int run, time_point now);
    bool endPlacementsBefore(const std::string &id, owned_job &job, const std::string &worker,
                             std::int64_t epoch);
    bool isCurrentIncarnation(const std::string &worker, std::int64_t agentIncarnation) const;
    void resendOrders(const std::string &id, owned_job &job, const std::string &worker,
                      time_point now);
    static std::optional<std::string> chooseWorkerFor(const worker_pool &workers,
                                                      const owned_job &job, const task_id &task,
                                                      const step_spec &step, time_point now,
                                                      const placement_preferences &preferences = {},
                                                      const std::vector<std::string> &chosen = {});
    static std::uint64_t tieBreakSeedOf(const task_id &task, int run);
    bool isServiceMostlyUsed(const owned_job &job, time_point now) const;
    // Whether the long-running task fails by itself, and must not be started again yet.
    static bool isPausing(const owned_job &job, const task_id &task, const step_spec &step,
                          time_point now);
    // Whether the task must not go to a quarantined worker yet.
    static bool isKeptFromQuarantine(const owned_job &job, const task_id &task, time_point now);
    // --- job_controller_copies.cpp
    bool mayHaveCopies(const step_spec &step) const;
    void noteCopyableJob(const std::string &id, const owned_job &job);
    template <typename Visit>
    void forEachCopyableTask(const std::string &id, owned_job &job, Visit visit);
    void placeCopies(time_point now, std::int64_t wallMs);
    bool hasUnplacedTasks(const std::string &service) const;
    void placeCopiesOf(const std::string &id, owned_job &job, copy_budget &budget, time_point now);
    copy_reason copyReasonOf(const owned_job &job, const task_id &task, const service_state &pool,
                             time_point now) const;
    run_at_work runAtWork(const owned_job &job, const task_id &task, const service_state &pool,
                          time_point now) const;
    std::optional<std::string> chooseWorkerForCopy(const owned_job &job, const task_id &task,
                                                   const service_state &pool, time_point now) const;
    bool placeCopy(const std::string &id, owned_job &job, const task_id &task, copy_reason reason,
                   const service_state &pool, time_point now);
    void recordOvertakenRuns(const owned_job &job, const run_end &end, time_point now);
    void noteCopyOutcome(const std::string &id, const owned_job &job, const task_id &task, int run);
    void stopOverdueStarts(owned_job &job, time_point now);
    void logUnplacedTasks(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                          int tasks, const placement_preferences &preferences, time_point now);
    // Logs long-running jobs with tasks that are unplaced, not running, or late.
    void logUnderservedJobs(time_point now);
    // Logs how many long-running tasks should be running, and how many of them have a worker.
    void logLongRunningTasks(time_point now, std::int64_t wallMs);
    // Owned long-running runs, each of which could move to another worker and thereby leave room
    // for a task of the step. 0 if a worker has room already, or if all gaps together have none.
    int countMovesThatMakeRoom(const std::string &service, const step_spec &step,
                               const std::vector<std::string> &avoid, time_point now);
    int countMovableRuns(const std::string &id, owned_job &job,
                         const std::map<std::string, std::int64_t> &gaps,
                         std::int64_t neededMillicores);
    void logStalledTasks(time_point now, std::int64_t wallMs);
    void logIfStalled(owned_job &job, const task_id &task, const task_state &state, time_point now);
    static bool shouldBeRunning(const owned_job &job, const task_id &task, std::int64_t wallMs);
    std::optional<stall_reason> stallReasonOf(const owned_job &job, const task_id &task,
                                              const task_state &state, time_point now) const;
    std::string describeStall(const owned_job &job, const task_id &task, const task_state &state,
                              stall_reason reason, time_point now) const;
    int countReported(const std::string &id, const std::string &worker) const;
    static int countPlaced(const owned_job &job, const std::string &worker);
    void logCompletedJobs(std::int64_t wallMs);
    // Logs the run that follows a failed one, once its agent has accepted it.
    void logFollowedFailure(const std::string &id, owned_job &job, const std::string &worker,
                            const order_answer &answer, time_point now);
    static void noteStepDone(owned_job &job, const task_id &task, time_point now);
    // Remembers an answer that settles nothing: the order is sent again.
    static void noteUnsettlingAnswer(owned_job &job, const order_answer &answer);
    void logIfUnanswered(const std::string &id, const task_id &task, int run, pending_order &order,
                         time_point now);
    // Workers that have as many tasks of the step as step_spec::maxPerWorker allows, counting those
    // that are placed and one on each worker of `chosen`, for tasks that are not placed yet.
    static std::vector<std::string> workersAtTaskLimit(const owned_job &job, const task_id &task,
                                                       const step_spec &step,
                                                       const std::vector<std::string> &chosen = {});
    // Logs that a quarantine of the worker has begun with the failure of this run.
    void logQuarantine(const std::string &id, const std::string &worker, const run_end &failure,
                       time_point now);
    static std::string describeRun(const task_id &task, int run, const std::string &worker);
    void addLog(std::string event, const std::string &job, std::string detail,
                std::string reason = {});

    owner_id m_self;
    worker_pool &m_workers;
    controller_settings m_settings;
    run_times m_runTimes;
    wait_policy m_waitPolicy;
    std::map<std::string, owned_job> m_jobs;
    std::set<std::string> m_waitingJobs;      // jobs that may have a task to place
    std::set<std::string> m_changedJobs;      // jobs that changed since the last call of `plan`
    std::vector<std::string> m_completedJobs; // completed jobs whose timeline is not logged yet
    std::set<std::string> m_jobsWithOrders;   // jobs with unanswered orders
    // Starts that their worker's reports may not include yet, by worker. Starts that were answered
    // meanwhile are removed when the worker's next report arrives.
    std::map<std::string, std::set<std::pair<task_id, int>>> m_startsInFlight;
    // By worker: runs whose slack was sent to its agent. Those no longer placed are removed when
    // the worker's next report arrives.
    std::map<std::string, std::map<std::pair<task_id, int>, sent_slack>> m_sentSlack;
    std::map<std::string, time_point> m_scarceUntil; // by service; see noteScarceServices()
    time_point m_nextUnderservedLogAt{};             // when underserved jobs are logged next
    time_point m_nextLongRunningLogAt{}; // when long-running tasks are counted in the log next
    time_point m_nextStallCheckAt{};     // when tasks are checked for stalls next
    // Jobs whose row does not show yet that they have started, and when that is to be written.
    std::map<std::string, time_point> m_startedWriteDueAt;
    std::set<std::string> m_copyableJobs; // unfinished jobs with tasks that may have copies
    time_point m_nextCopyCheckAt{};
    copy_backoff m_copyBackoff;
    std::int64_t m_nextWriteNumber = 1;
    std::vector<controller_action> m_actions;
};

template <typename Visit>
void job_controller::forEachTask(const std::string &id, owned_job &job, Visit visit)
{
    for (std::size_t occurrence = 0; occurrence < job.record.tasks.size(); ++occurrence) {
        auto &steps = job.record.tasks[occurrence];
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].size(); ++index) {
                const task_id task{id, static_cast<int>(occurrence), static_cast<int>(step),
                                   static_cast<int>(index)};
                visit(task, steps[step][index]);
            }
        }
    }
}

} // namespace zinniabarrow::jobs
