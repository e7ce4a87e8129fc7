// The scheduler decides which task runs on which worker, and which tasks are preempted.
//
//   configuration   setPool, setTeam, setLocalTeamLimit
//   workers         addWorker, resizeWorker, removeWorker
//   tasks           taskPending … taskFailed, cancelTasks, cancelJob, reopenJob
//   measurements    usageSampled, latencySampled
//   decisions       plan, planBacklog, explain
//   status          stats, ledgerOf, pendingTaskCount
//
// Class scheduler does no I/O and takes the current time, `now`, with each event. It is not
// thread-safe. The code that runs it (owned_shard, in app/) stores placements in the table, which
// is the durable record of all tasks, and carries out the actions that plan() returns.
//
// Terms: a hold is capacity of a worker that is kept free for a task until the victims preempted
// for that task have stopped, or until its withdrawal from another worker's backlog is confirmed. A
// worker's backlog is the list of batch tasks assigned to the worker before it has free capacity. A
// rank orders tasks by priority, see rankOf(). A slot is the index of a worker in worker_table. A
// pool is a named set of workers; each task runs only on workers of its pool. A raise is an
// increase of a placed task's reservation. Relief is throttling or evicting batch tasks on the
// worker of a service whose latency signal is raised.
//
// Order of calls for one task: taskPending; plan returns a place_action; placementSettled with the
// result of the write; taskRunning; then taskEnded, taskFailed, or taskStopping followed by
// taskReleased. After a restart taskPlaced adds a task that is placed according to the table. Each
// event names the worker. An event for a worker on which the task is not placed is late or a
// duplicate; it is ignored and counted. The code that reports events must drop those of earlier
// attempts: the scheduler cannot distinguish two attempts on the same worker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/actions.h"
#include "placement/interference.h"
#include "placement/preemption_planner.h"
#include "placement/quarantine.h"
#include "placement/quota_table.h"
#include "placement/relief.h"
#include "placement/reservation_ledger.h"
#include "placement/scheduler_settings.h"
#include "placement/size_learner.h"
#include "placement/task_table.h"
#include "placement/worker_chooser.h"
#include "placement/worker_table.h"

namespace zinniabarrow::placement {

class scheduler
{
public:
    explicit scheduler(const scheduler_settings &settings);
    scheduler(const scheduler &) = delete; // members hold references to each other
    scheduler &operator=(const scheduler &) = delete;

    // Sets the size of the pool's largest worker; a task that exceeds it is refused at once.
    void setPool(const pool_info &pool, time_point now);
    void setTeam(const team_quota &quota);
    // Sets the portion of the team's limit that this scheduler may use when several schedulers
    // share it.
    void setLocalTeamLimit(const std::string &team, const resources &localLimit);
    // What the team has reserved in this scheduler and what its pending tasks need; for dividing
    // the team's limit among several schedulers.
    team_usage usageOf(const std::string &team);

    // For a known worker, returns it to service and updates its properties.
    void addWorker(const worker_info &worker, time_point now);
    void resizeWorker(const std::string &worker, const resources &size, time_point now);
    // The worker gets no new tasks. The reservations of its tasks count until each is released,
    // ended or failed.
    void removeWorker(const std::string &worker, time_point now);

    // Adds a task that has to be placed. A known task is not queued twice; a changed specification
    // applies to later placements.
    void taskPending(const task_spec &task, time_point now);
    // Adds a placement that the table already holds, even if it does not fit. `reserved` is the
    // reservation, which may differ from the declared size. While the job's configuration is
    // unknown, leave `task.pool` empty, and call this again once it is known: until then the task
    // is never evicted or throttled, and a service is not monitored.
    void taskPlaced(const task_spec &task, const std::string &worker, const resources &reserved,
                    reservation_state state, time_point now);
    // Result of the write that stores a placement or a backlog assignment. After Unknown, call it
    // again when the rows have been read.
    void placementSettled(const task_ref &task, const std::string &worker,
                          placement_outcome outcome, time_point now);
    void taskRunning(const task_ref &task, const std::string &worker, time_point now);
    // A stop was requested. The task's reservation counts until taskReleased or taskEnded.
    void taskStopping(const task_ref &task, const std::string &worker, time_point now);
    // The task is proven to run nowhere (evicted, lease expired, worker gone): pending again.
    void taskReleased(const task_ref &task, const std::string &worker, time_point now);
    // The task finished its work, or was stopped permanently.
    void taskEnded(const task_ref &task, const std::string &worker, time_point now);
    // The task ended without finishing its work: pending again, unless its job is quarantined.
    void taskFailed(const task_ref &task, const std::string &worker, const std::string &reason,
                    time_point now);
    // The tasks are never placed again. Returns those that are placed on a worker: stop them, then
    // call taskEnded.
    std::vector<task_ref> cancelTasks(std::span<const task_ref> tasks, time_point now);
    std::vector<task_ref> cancelJob(const std::string &jobId, time_point now);

    // A cancelled job was submitted again under the same name: its tasks may become pending again.
    void reopenJob(const std::string &jobId);

    // Update learned sizes, reservations, interference and latency signals. Duplicates and samples
    // of earlier attempts are dropped.
    void usageSampled(const usage_sample &sample, time_point now);
    void latencySampled(const latency_sample &sample, time_point now);

    // Returns the next decisions, at most `maxDecisions`. The ledgers already include them.
    std::vector<placement_action> plan(time_point now, int maxDecisions,
                                       plan_scope scope = plan_scope::All);
    // Call after plan(). Assigns batch tasks that are still pending to backlogs, at most
    // `perWorker` tasks per worker, and withdraws tasks for which other workers have free capacity
    // now.
    backlog_plan planBacklog(time_point now, std::size_t perWorker);
    // Called after taskPlaced, for a task that the table lists in the worker's backlog: the task
    // does not run yet, and its reservation is released.
    void taskInBacklog(const task_ref &task, const std::string &worker, time_point now);
    // True if the task is placed, its worker's reservations fit the worker's size, and the team is
    // within its quota.
    bool isWithinLimits(const task_ref &task) const;
    std::size_t backlogLengthOf(const std::string &worker) const;
    // The worker on which the task is placed or in whose backlog it is; empty when it is pending or
    // unknown.
    std::string workerOf(const task_ref &task) const;

    // Why the task is pending, or where it is, in one sentence for operators.
    std::string explain(const task_ref &task, time_point now) const;
    const scheduler_stats &stats() const { return m_stats; }
    const reservation_ledger *ledgerOf(const std::string &worker) const; // null: unknown worker
    std::size_t pendingTaskCount() const { return m_pendingTaskCount; }
    const interference_model &interference() const { return m_interference; }
    // The number by which the interference model identifies the job class, task_spec::jobClass.
    class_number classNumber(const std::string &jobClass);

private:
    // State of one plan() call.
    struct planning_pass
    {
        time_point now;
        plan_scope scope = plan_scope::All;
        std::size_t maxActions = 0;
        std::vector<placement_action> actions;
        // Demands that did not fit in this pass. Free capacity only shrinks while tasks are placed,
        // so a demand that is at least as large is not tried.
        std::vector<std::pair<std::size_t, resources>> failedDemands; // pool and demand

        bool isFull() const { return actions.size() >= maxActions; }
    };
    // Position of the pass among the pending jobs of one team.
    struct team_cursor
    {
        std::uint16_t team = 0;
        pending_queue::team_jobs *jobs = nullptr;
        std::uint64_t sequence = 0; // of the job
        std::int32_t nextIndex = 0; // first task index to try in that job
    };
    // After TaskBlocked, the job's next task is tried; after JobBlocked, the team's next job.
    enum class try_result { Placed, TaskBlocked, JobBlocked };
    struct found_task
    {
        job_record *job = nullptr;
        task_record *task = nullptr;
        explicit operator bool() const { return task != nullptr; }
    };

    // Records (scheduler.cpp).
    job_record &updateJob(const task_spec &spec);
    found_task findTask(const task_ref &task);
    found_task findOnWorker(const task_ref &task, const std::string &worker);
    void enqueue(job_record &job, std::int32_t index, time_point now);
    void dequeue(job_record &job, std::int32_t index);
    void assignToWorker(const job_record &job, const task_ref &task, task_record &record, int slot,
                        time_point now);
    void removeFromWorker(const task_ref &task, task_record &record, time_point now);
    void eraseTask(job_record &job, std::int32_t index);
    void returnToPending(const task_ref &task, const std::string &worker, time_point now);
    void setState(const task_ref &task, int slot, reservation_state state);
    void chargeQuota(task_record &record, const resources &amount);
    void releaseHold(task_record &record);
    bool isCancelled(const task_ref &task);

    // Measurements (scheduler.cpp).
    void raiseReservation(const task_ref &task, task_record &record, const resources &used);
    void queueRaises(int slot);
    void recordNeighbourChange(int slot, class_number jobClass, std::int64_t millicores,
                               time_point now);
    void rescaleLatencyEstimates(int slot, std::int64_t millicoresBefore);

    // Decisions (plan.cpp).
    void refreshQuarantinedWorkers(time_point now);
    void refreshQuarantine(int slot, time_point now);
    void sendRaises(planning_pass &pass);
    void evictForMemory(planning_pass &pass);
    std::int64_t expectedBytes(int slot);
    void placePending(planning_pass &pass);
    void placeRank(planning_pass &pass, pending_queue::rank_teams &teams);
    bool placeOneTask(planning_pass &pass, team_cursor &cursor);
    try_result tryNextTask(planning_pass &pass, job_record &job, std::int32_t &nextIndex);
    // True when no task of the job can be tried in this pass: refused, or the pool has no workers.
    bool refuseJob(planning_pass &pass, job_record &job);
    void refuseTasks(planning_pass &pass, job_record &job, error_kind kind,
                     const std::string &reason);
    // True when the job is quarantined, its team is at its quota, or no capacity was freed since
    // it last did not fit and the retry is not due yet.
    bool shouldWait(planning_pass &pass, job_record &job);
    try_result tryTask(planning_pass &pass, job_record &job, std::int32_t index);
    static bool hasFailedDemand(const planning_pass &pass, std::size_t pool,
                                const resources &demand);
    static void addFailedDemand(planning_pass &pass, std::size_t pool, const resources &demand);
    void place(planning_pass &pass, job_record &job, std::int32_t index, int slot,
               const resources &demand);
    bool placeOnHold(planning_pass &pass, job_record &job, std::int32_t index,
                     const resources &demand);
    resources earlierHolds(const task_record &record);
    void abandonHold(task_record &record, time_point now);
    void expireHolds(planning_pass &pass);
    bool holdCapacity(planning_pass &pass, job_record &job, std::int32_t index,
                      const placement_request &request);
    void holdCapacity(planning_pass &pass, job_record &job, std::int32_t index,
                      const placement_request &request, const preemption_plan &plan);
    void preemptForQuota(planning_pass &pass, job_record &job);
    // Expected change of the team's reservations by tasks with a hold and by stopping victims.
    resources pendingTeamChange(std::uint16_t team);
    bool isStopping(const task_ref &task);
    placement_request requestFor(const job_record &job, const task_record &record,
                                 const resources &demand, time_point now) const;
    resources demandOf(const job_record &job) const;
    void preempt(planning_pass &pass, int slot, const task_ref &victim, preempt_reason reason,
                 const task_ref &beneficiary, time_point checkpointDeadline);

    // Backlogs (backlog.cpp).
    void startFromBacklogs(planning_pass &pass, int rank);
    void assignToBacklog(backlog_plan &plan, job_record &job, std::size_t perWorker,
                         time_point now);
    int chooseBacklogSlot(const job_record &job, const resources &demand,
                          std::size_t perWorker) const;
    void withdrawFromBacklogs(backlog_plan &plan, time_point now);
    bool shouldWithdraw(const job_record &job, task_record &record, time_point now);
    found_task findInBacklog(const task_ref &task, const std::string &worker);
    void addToBacklog(const task_ref &task, task_record &record, int slot, time_point now);
    void removeFromBacklog(const task_ref &task, task_record &record);
    bool releaseFromBacklog(const task_ref &task, const std::string &worker, time_point now);

    // Relief of services (service_relief.cpp).
    void relieveServices(planning_pass &pass);
    void relieveService(planning_pass &pass, int slot, const service_latency &service);
    void liftThrottle(planning_pass &pass, int slot);
    std::vector<relief_candidate> reliefCandidatesOn(int slot, class_number service,
                                                     std::vector<task_ref> &tasks) const;
    void throttle(planning_pass &pass, int slot, const task_ref &task, double processors);
    void startReliefCoolDown(int slot, time_point now);

    scheduler_settings m_settings;
    scheduler_stats m_stats;
    task_table m_tasks;
    pending_queue m_queue;
    cancelled_task_set m_cancelled;
    std::size_t m_pendingTaskCount = 0;
    worker_table m_workers;
    std::unordered_map<std::string, class_number> m_classNumbers;
    quota_table m_quotas;
    size_learner m_sizeLearner;
    quarantine m_quarantine;
    interference_model m_interference;
    worker_chooser m_chooser;
    preemption_planner m_preemptionPlanner;
    eviction_budget m_evictionBudget;
    std::vector<task_ref> m_raisesToSend; // tasks whose worker has to be told a raised reservation
    std::uint64_t m_lastHoldNumber = 0;
    std::set<task_ref> m_backlogTasks;  // tasks in backlogs
    std::set<task_ref> m_tasksWithHold; // tasks for which capacity is held
    // Stopping tasks that were preempted for urgent tasks of their own team, which was at its
    // quota.
    std::vector<task_ref> m_quotaVictims;
    std::set<int> m_deferredRaiseSlots; // slots of workers without capacity for a raise
    std::set<int> m_disturbedSlots;     // slots with a raised latency signal or throttled tasks
    std::set<int> m_quarantinedSlots;   // slots of quarantined workers
};

} // namespace zinniabarrow::placement
