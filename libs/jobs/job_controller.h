// The jobs that an entry owns: where their tasks run, what is written of them, what is ordered.
// Decisions only: events go in with the time, actions come out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/messages.h"
#include "jobs/model.h"
#include "jobs/stall_timer.h"
#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

// Write the job's row on the condition that it still has `expectedVersion`; 0: that there is none.
// One write of a job is out at a time, and it is repeated unchanged until its outcome is known.
struct write_row
{
    std::string job;
    std::int64_t expectedVersion = 0;
    std::string content;
    std::optional<std::string> payload; // with the first write: the row of the payload
    bool writesCancelRow =
            false; // in the same transaction: the row from which agents learn of the cancel
};

struct send_order
{
    std::string worker;
    run_order order;
};

// What `token` waited for is in the platform's store.
struct change_stored
{
    std::int64_t token = 0;
};

// The job belongs to another entry now, or is gone: ask there.
struct ownership_lost
{
    std::int64_t token = 0;
    std::string job;
};

// A decision for the log, with what decided it.
struct log_event
{
    std::string event; // of the closed table in docs/OPERATIONS.md
    std::string job;
    std::string detail;
};

using controller_action =
        std::variant<write_row, send_order, change_stored, ownership_lost, log_event>;

struct controller_settings
{
    // An order without an answer is given again after this: an agent answers in milliseconds, and
    // the same order twice is one start.
    milliseconds orderRetryDelay{300};
    // A start that was given so long ago is in its worker's reports, or takes no effect any more.
    milliseconds startInFlightTimeout{700};
    // What fills waits so long for a worker where it harms nobody. A job that has waited this long
    // is late for certain, and must not make others late for that. Callers take a job of which
    // nothing runs for 3 s for lost where most of the service is free.
    milliseconds maxInterferenceWait{60'000};
    milliseconds maxInterferenceWaitWhenIdle{2500};
    // That a job has begun is written with its next change, or by itself after this long.
    milliseconds startedWriteDelay{800};
    // What waits for a worker, or for the answer to an order, is told in the log this often.
    milliseconds waitLogInterval{2000};
    // A task that lasts and isn't known to be at work for so long stands still; callers count from
    // 6 s on. Told in the log again and again.
    milliseconds stallThreshold{6000};
    milliseconds stallLogInterval{4000};
    milliseconds stallCheckInterval{1000};
};

class job_controller
{
public:
    job_controller(owner_id self, worker_pool &workers, const controller_settings &settings = {});

    // --- callers
    bool owns(const std::string &job) const;
    // Hands a new job in; `token` is stored with the acceptance.
    void submit(const std::string &job, const job_spec &spec, const queue_policy &policy,
                std::int64_t wallMs, time_point now, std::int64_t token);
    // Waits until the present state of an owned job is in the store.
    void notifyWhenStored(const std::string &job, std::int64_t token);
    void cancel(const std::string &job, std::int64_t token);
    job_state storedState(const std::string &job) const; // of an owned job, as the store has it
    const job_record *record(const std::string &job) const;

    // --- the store
    void rowWritten(const std::string &job, std::int64_t version);
    // The row differs from what was expected; nothing: it is gone.
    void rowConflict(const std::string &job, std::int64_t version,
                     const std::optional<std::string> &content);
    // Takes a job over whose owner is gone.
    void adopt(const std::string &job, const job_record &record, std::int64_t version,
               const std::string &payload);
    // A row was changed by another writer, as the store's feed shows.
    void rowChanged(const std::string &job, const job_record &record, std::int64_t version);
    void rowRemoved(const std::string &job); // the row was removed

    // --- workers
    // An end as the agent reported it; `token` is stored when the end is.
    // False: the job is not owned here.
    bool runEnded(const std::string &worker, const run_end &end, time_point now,
                  std::int64_t token);
    void checkpointReported(const std::string &worker, const run_progress &progress);
    void runStarted(const started_run &run, time_point now);
    // `agentLife`: of the agent, by its reports as the order was sent; 0: not told.
    void orderAnswered(const std::string &worker, const order_answer &answer, time_point now,
                       std::int64_t agentIncarnation);
    void orderUnanswered(const std::string &worker, const task_id &task, int run, time_point now);
    // The pool has a new report of the worker, which does not count what is on its way there. After
    // the ends that came with it, and after `workerRenewed`: what they end takes no room.
    void workerReported(const std::string &worker, time_point now);
    // The agent lives anew, or the worker does: placements of older epochs have ended, orders of
    // the present one are given again.
    void workerRestarted(const std::string &worker, std::int64_t epoch, time_point now);
    // The worker's lease is known to be of that epoch: placements of older ones have ended. No
    // order is given again: an owner that was frozen looks at leases before it hears that it was
    // overtaken.
    void epochSeen(const std::string &worker, std::int64_t epoch);
    // Workers where owned tasks are placed.
    std::set<std::string> workersWithPlacements() const;

    // --- time
    void plan(time_point now, std::int64_t wallMs);
    std::vector<controller_action> takeActions();

    std::size_t unfinishedJobCount() const;
    std::vector<std::string> ownedJobs() const;

private:
    struct waiting_token
    {
        std::int64_t token = 0;
        std::int64_t neededRevision = 0; // is stored when this revision is
    };

    struct pending_order
    {
        std::string worker;
        std::int64_t neededRevision = 0; // given once this revision is stored
        bool isInFlight = false;         // given, no answer yet
        time_point retryAt{};
        time_point firstSentAt{};     // first
        time_point nextLogAt{};       // the log, that there is no answer
        time_point basedOnReportAt{}; // the report of its worker that it was last given by
    };

    struct waiting_step
    {
        time_point since{};
        time_point nextLogAt{}; // the log, why no worker is found
    };

    // How the job's time went, as far as this owner saw it.
    struct job_timeline
    {
        std::optional<std::int64_t> firstPlacedAtMs; // Unix ms: its first task got a worker
        std::int64_t slackAtFirstPlacementMs = 0;    // the time to spare then
        std::int64_t unplacedMs = 0;                 // in all, steps had tasks without a worker
    };

    struct owned_job
    {
        job_record record;
        std::string payload;
        bool payloadStored = false;
        bool cancelRowStored = false; // the row for the agents
        std::int64_t version = 0;     // of the row, as last known
        std::int64_t revision = 1;    // of the record in memory
        std::int64_t storedRevision = 0;
        std::int64_t inFlightRevision = 0; // of the write that is out; 0: none
        std::string inFlightWriteId;       // its name
        job_state inFlightState = job_state::Queued;
        job_state storedState = job_state::Queued;
        std::vector<waiting_token> waitingTokens;
        std::map<std::pair<task_id, int>, pending_order> startOrders;
        std::map<std::pair<task_id, int>, pending_order> stopOrders;
        std::map<std::pair<task_id, int>, time_point> startedAt;    // when the start was accepted
        std::map<task_id, std::vector<std::string>> avoidedWorkers; // workers
        std::map<std::pair<int, int>, time_point> waitingSince;     // by occurrence and step
        std::map<std::pair<int, int>, waiting_step> unplacedSteps;  // the same
        std::map<task_id, stall_timer> stalls;                      // tasks that last
        job_timeline timeline;
    };

    template <typename Visit>
    void forEachTask(const std::string &id, owned_job &job, Visit visit);
    void markChanged(const std::string &id, owned_job &job);
    void markStarted(const std::string &id, owned_job &job, time_point now);
    void writeStartedJobs(time_point now);
    void writeIfDue(const std::string &id, owned_job &job);
    void notifyStored(owned_job &job);
    void dropJob(const std::string &id);
    void applyCancel(const std::string &id, owned_job &job, const job_record &row);
    void endPlacedRun(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, time_point now);
    void endRedundantRun(const std::string &id, owned_job &job, const std::string &worker,
                         const run_end &end);
    void endUnplacedRun(const std::string &id, owned_job &job, const std::string &worker,
                        const run_end &end, time_point now);
    void applyRunEnd(const std::string &id, owned_job &job, const std::string &worker,
                     const run_end &end, const std::optional<milliseconds> &runDuration);
    static std::optional<milliseconds> takeRunDuration(owned_job &job, const run_end &end,
                                                       time_point now);
    static double slowdownOf(const std::optional<milliseconds> &runDuration, const step_spec &step);
    void finishTask(const std::string &id, owned_job &job, const task_id &task, int run,
                    const step_spec &step);
    static void stopRedundantRuns(owned_job &job, const task_id &task, const task_state &state);
    void countFailure(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, const step_spec &step,
                      const std::optional<milliseconds> &runDuration);
    bool sendDueOrders(const std::string &id, owned_job &job, time_point now);
    run_order makeStartOrder(const owned_job &job, const task_id &task,
                             const placement &runPlacement, time_point now) const;
    void stopAllRuns(const std::string &id, owned_job &job);
    static void handleNeverStarted(owned_job &job, const std::string &worker, const task_id &task,
                                   int run);
    static void stopRun(owned_job &job, const task_id &task, const placement &runPlacement);
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
                   time_point now);
    bool placeGang(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                   time_point now);
    void placeTask(const std::string &id, owned_job &job, const task_id &task,
                   const step_spec &step, const std::string &worker, int run);
    bool endPlacementsBefore(const std::string &id, owned_job &job, const std::string &worker,
                             std::int64_t epoch);
    bool isCurrentIncarnation(const std::string &worker, std::int64_t agentIncarnation) const;
    void resendOrders(const std::string &id, owned_job &job, const std::string &worker,
                      time_point now);
    static std::optional<std::string>
    chooseWorkerFor(const worker_pool &workers, const owned_job &job, const task_id &task,
                    const step_spec &step, time_point now,
                    const placement_preferences &preferences = {});
    void logUnplacedTasks(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                          int tasks, const placement_preferences &preferences, time_point now);
    void logUnderservedJobs(time_point now);
    void logStalledTasks(time_point now, std::int64_t wallMs);
    void logIfStalled(owned_job &job, const task_id &task, const task_state &state, time_point now);
    static bool shouldBeRunning(const owned_job &job, const task_id &task, std::int64_t wallMs);
    std::optional<stall_reason> stallReasonOf(const owned_job &job, const task_id &task,
                                              const task_state &state, time_point now) const;
    std::string describeStall(const owned_job &job, const task_id &task, const task_state &state,
                              stall_reason reason, time_point now) const;
    int countReportedRuns(const std::string &id, const std::string &worker) const;
    static int countPlacedRuns(const owned_job &job, const std::string &worker);
    void logCompletedJobs(std::int64_t wallMs);
    void logIfUnanswered(const std::string &id, const task_id &task, int run, pending_order &order,
                         time_point now);
    static std::vector<std::string> workersAtTaskLimit(const owned_job &job, const task_id &task,
                                                       const step_spec &step);
    static std::string describeRun(const task_id &task, int run, const std::string &worker);
    void logEvent(std::string event, const std::string &job, std::string detail);

    owner_id m_self;
    worker_pool &m_workers;
    controller_settings m_settings;
    std::map<std::string, owned_job> m_jobs;
    std::set<std::string> m_waitingJobs;      // jobs of which a task may be placed
    std::set<std::string> m_changedJobs;      // changed since the last plan
    std::vector<std::string> m_completedJobs; // the log is not told of their course yet
    std::set<std::string> m_jobsWithOrders;   // with orders that have no answer yet
    // By worker: starts that it may not count yet. Those that were settled meanwhile are left out
    // as its next report comes.
    std::map<std::string, std::set<std::pair<task_id, int>>> m_startsInFlight;
    time_point m_nextUnderservedLogAt{}; // the log, which jobs are not served in full
    time_point m_nextStallCheckAt{};     // for tasks that stand still
    std::map<std::string, time_point>
            m_startedUnwritten; // jobs whose rows don't say so yet; write it then
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
