// The owner's decisions about the tasks of one shard: what is granted to which agent, what an
// agent's report changes, and when a silent worker's tasks may start elsewhere. The scheduler
// (placement::scheduler) chooses the worker of a task; its decisions come in as placement_decided,
// backlog_start_decided, eviction_decided, reservation_raised and cpu_limit_decided.
//
// General terms:
//   owner          the entry that decides for a shard at present
//   epoch          number of an ownership of the shard; each new owner has a higher one
//   incarnation    number that increases when a worker's instance is restarted or replaced
//   table          the platform's table; it holds the rows of the shard's jobs and tasks
//   backlog        tasks that are placed on a worker before it has free capacity for them
//
// Terms for workers:
//   attached       has recorded this owner's epoch, so it accepts no lease of an earlier owner
//   unresponsive   has tasks, but its agent has not reported for half a lease (grantLease)
//   lapsed lease   no lease of the worker can hold any more; nothing is placed on it until its
//                  agent reports again
//   silent         declared silent in the table after its lease lapsed, because tasks of class
//                  Lease were requeued from it; it gets no grant until it has reported again and
//                  its removal from the silent workers is committed
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "work/leases.h"
#include "work/messages.h"
#include "work/task_records.h"
#include "work/task_store.h"

namespace zinniabarrow::work {

// Events; write_answered and rows_read come from work/task_store.h.

// A job of which this shard has some tasks. The same job again changes nothing. With a newer
// generation, its specification replaces the former one: more tasks are added, and with fewer tasks
// those with the highest indexes are cancelled.
struct job_accepted
{
    job_spec spec;
};
// The owner applies this generation of the configuration from now on. Comes before the generation's
// jobs; jobs of older generations are refused from then on, see appliedGeneration().
struct generation_applied
{
    std::uint64_t generation = 0;
};
struct cancel_job // the job's rows are removed once none of its tasks may be running
{
    std::string job;
};
// The scheduler has chosen a worker for a task. If the task or the worker has changed meanwhile or
// the backlog is full, the decision has no effect and a task_changed with Reverted follows.
struct placement_decided
{
    task_id task;
    std::string worker;
    // Placed before the worker has free capacity. Starts after backlog_start_decided; while the
    // table is down also without it, if coordinator_settings::startsBacklogWhenDown is set.
    bool isBacklogged = false;
    resources reserved{}; // in the scheduler's reservation ledger; all 0: the declared size
};
// The scheduler now reserves more for a placed task. The next grant tells the agent, which must
// count the raised size as well.
struct reservation_raised
{
    task_id task;
    resources reserved;
};
struct eviction_decided // checkpoint, end and requeue; a task that is not running is only requeued
{
    task_id task;
};
struct backlog_start_decided // a task of a worker's backlog may start: capacity and quota allow it
{
    task_id task;
};
// A report of a worker's agent has arrived. A current one is answered by a grant, except while
// the worker is declared silent.
struct report_received
{
    agent_report report;
};
// Until when this owner may give leases: the present value of shard_ownership::grantDeadline().
// Grants from then on contain no lease.
struct grant_deadline_changed
{
    time_point until;
};
struct coordinator_tick // every 20 to 100 ms
{ };
struct cpu_limit_decided // limit on the processor time of a running task
{
    task_id task;
    std::int64_t millicores = 0; // 0: lift the limit
};
using coordinator_event =
        std::variant<generation_applied, job_accepted, cancel_job, placement_decided,
                     eviction_decided, report_received, backlog_start_decided, reservation_raised,
                     cpu_limit_decided, write_answered, rows_read, grant_deadline_changed,
                     coordinator_tick>;

// Actions; commit_rows, read_rows, scan_rows and fenced come from work/task_store.h.
struct send_grant
{
    worker_grant grant;
};

// The scheduler's reservation ledger follows these changes. A task counts against its worker from
// placement_decided until Requeued or Ended, or until EndReported if its state is Done then; a
// backlogged one only from backlog_start_decided or Started. After Reverted it counts only if
// `state` and `worker` say that it is on a worker.
enum class task_change {
    Placed,      // the placement is committed
    Started,     // the agent reported that the task runs
    EndReported, // the agent reported its end; Requeued or Ended follows when that is committed
    Requeued,    // no longer on the worker; Pending again
    Ended,       // in a final state; `worker` is empty if it was never placed
    Reverted,    // a decided change did not take effect; `state` and `worker` tell what holds
};
std::string_view nameOf(task_change change);
struct task_changed
{
    task_id task;
    task_change change = task_change::Placed;
    task_state state = task_state::Pending; // after the change
    // The worker that the task is on. After EndReported, Requeued and Ended, the one that it was
    // on. Empty: none.
    std::string worker;
    std::uint32_t attempt = 0;
};

// Counters for metrics. Each one that is returned as an action means: increase it by one.
enum class coordinator_counter {
    StaleIncarnation, // report from an earlier incarnation of a worker
    StaleSession,     // report from a superseded agent process
    StaleReport,      // duplicated or reordered report
    StaleEvent,       // event of an attempt that is no longer current
    NewerEpoch,       // report from an agent that knows a newer owner
    StaleGeneration,  // job of an older generation than the applied one
    NotPlaceable, // placement of a task that is not pending, or on a worker that can't get tasks
    BacklogFull,  // placement in a full backlog
    GrantDeadlinePassed, // grant without a lease: the owner's right to give leases has ended
    WorkerSilent,        // worker declared silent
    WorkerReturned,      // report from a worker that was declared silent
    FailedOver,          // task of a silent worker that may start elsewhere now
    EndProven,           // task whose end is proven by a newer incarnation of its worker
    StaleAttemptStopped, // attempt that an agent runs although it is not current
};
std::string_view nameOf(coordinator_counter reason);

using coordinator_action = std::variant<commit_rows, read_rows, scan_rows, fenced, send_grant,
                                        task_changed, store_counter, coordinator_counter>;

struct coordinator_settings
{
    lease_settings leases;
    store_settings store;
    std::size_t maxBacklogPerWorker = 4; // tasks
    // True: while the table is down, an agent starts the tasks of its backlog that fit. False: only
    // those of a backlog_start_decided, for an owner whose ledgers and quotas must count each
    // start.
    bool startsBacklogWhenDown = true;
    // True: a worker that is attached to this owner holds no lease of an earlier owner, so leases
    // of earlier owners are not waited for. False: they are waited for, as if the worker had never
    // attached.
    bool workersPersistEpoch = true;
};

// The ownership of one shard by this entry during one epoch. The values are those of became_owner
// in work/ownership.h.
struct shard_tenure
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t shardVersion = 0; // of the shard's row; each write of the owner depends on it
    time_point earlierLeasesEndAt;  // no lease that an earlier owner gave holds after this
    // Exceptions to `earlierLeasesEndAt`: workers that were unresponsive at a handover.
    unresponsive_workers unresponsive{};
};

// Coordinates the tasks of one shard during one tenure. Performs no I/O: the owner calls handle()
// with each event and carries out the actions that it returns. Not thread-safe.
class task_coordinator
{
public:
    // `operationPrefix` starts the id of each write and must be unique for each process. Shard and
    // epoch are appended to it, so it may be the same in several tenures.
    task_coordinator(shard_tenure tenure, const std::string &operationPrefix,
                     coordinator_settings settings);

    std::vector<coordinator_action> handle(const coordinator_event &event, time_point now);

    // True once the shard's rows were read. Nothing is decided before: jobs, generations and
    // reports that come earlier are dropped, and placements are answered with Reverted.
    bool isReady() const { return m_store.isReady(); }
    bool isTableDown(time_point now) const { return m_store.isDown(now); }
    // The newest record, committed or not, with the states Running and Evicting that are kept only
    // in memory. A default record if there is none.
    task_record find(const task_id &task) const;
    // True if the task is committed as Pending and no change of it is staged (waits to be written)
    // or in flight (sent and not answered).
    bool isPlaceable(const task_id &task) const;
    const std::set<task_id> &placeableTasks() const { return m_placeable; } // by job and index
    // Every task that is on a worker by its newest or its committed record, backlogged ones
    // included; with the newest record if that one says so, otherwise with the committed one. The
    // reservation ledger is rebuilt from them after a takeover.
    std::vector<std::pair<task_id, task_record>> occupyingTasks() const;
    // True for a task that this shard has or had (each shard has some of a job's tasks).
    bool hasTask(const task_id &task) const { return m_store.isInJobRange(task); }
    // True if the worker has recorded this epoch, its lease holds and it is not declared silent.
    bool canPlaceOn(const std::string &worker) const;
    // The unresponsive workers: they have tasks, and their agent has not reported for half a lease.
    // Each with the time until which it may still hold a lease.
    unresponsive_workers unresponsiveWorkers(time_point now) const;
    std::vector<std::string> jobs() const { return m_store.jobs(); }
    const stored_job *job(const std::string &id) const { return m_store.job(id); }
    // The newest generation that an owner of this shard has applied. An owner whose own
    // configuration is older must not apply it: it would cancel jobs that were added since, and
    // restart jobs that were removed.
    std::uint64_t appliedGeneration() const { return m_store.appliedGeneration(); }

private:
    struct worker_state
    {
        std::uint64_t incarnation = 0;
        std::string session; // of the agent process that is answered
        std::set<std::string> replacedSessions;
        std::uint64_t sequence = 0; // of the session's newest report
        time_point lastReportAt;
        bool isAttached = false;              // the worker has recorded this epoch
        time_point leaseUntil;                // it may hold a lease from this owner until then
        bool isLeaseLapsed = false;           // then nothing is placed on it until the next grant
        std::uint64_t ackedEvent = 0;         // events up to this number are committed
        std::set<task_attempt> staleAttempts; // to be stopped
        std::uint64_t ackedReservation = 0; // the agent has applied reservations up to this number
    };

    // What is known of a task's current attempt and not stored; lost with this process.
    struct volatile_state
    {
        std::uint32_t attempt = 0;
        std::string startedBySession; // agent session that reported it as started
        bool isEvicting = false;
        bool isStartAllowed = false;         // backlogged; backlog_start_decided was received
        resources reservedSize;              // only if `reservationNumber` is set
        std::uint64_t reservationNumber = 0; // of its newest raise; 0: the declared size holds
        std::int64_t cpuLimit = 0;           // millicores; 0: none
    };

    void on(const generation_applied &event, time_point now);
    void on(const job_accepted &event, time_point now);
    void on(const cancel_job &event, time_point now);
    void on(const placement_decided &event, time_point now);
    void on(const eviction_decided &event, time_point now);
    void on(const backlog_start_decided &event, time_point now);
    void on(const reservation_raised &event, time_point now);
    void on(const cpu_limit_decided &event, time_point now);
    void on(const report_received &event, time_point now);
    void on(const write_answered &event, time_point now);
    void on(const rows_read &event, time_point now);
    void on(const grant_deadline_changed &event, time_point now);
    void on(const coordinator_tick &event, time_point now);

    // Jobs.
    void resizeJob(const stored_job &job, time_point now);

    // Reports.
    bool acceptReport(const agent_report &report, worker_state &worker, time_point now);
    bool acceptSession(const agent_report &report, worker_state &worker, time_point now);
    void applyEvent(const agent_report &report, const task_event &event, worker_state &worker,
                    time_point now);
    void applyStarted(const agent_report &report, const task_event &event);
    void applyEnd(const task_event &event, time_point now);
    void applyLateEvent(const task_event &event, time_point now);
    task_record recordAfterEnd(task_record record, const task_event &event) const;
    task_record recordAfterRelease(task_record record) const;
    void applyIncarnation(const std::string &worker, std::uint64_t incarnation, time_point now);
    std::uint64_t newestAckable(const agent_report &report, std::uint64_t newestAcked) const;
    bool isEventCommitted(const task_event &event) const;

    // Grants.
    void sendGrantTo(const std::string &name, worker_state &worker, time_point now);
    static void addReservationToGrant(worker_grant &grant, const worker_state &worker,
                                      const task_attempt &attempt,
                                      const volatile_state *volatileState);
    void addTaskToGrant(worker_grant &grant, const worker_state &worker, const task_id &task) const;
    static std::vector<std::string> newerCheckpointNames(const task_id &task,
                                                         const task_record &record);
    void sendPendingGrants(time_point now);

    // Silent workers.
    void checkWorkerLeases(time_point now);
    void removeGoneWorkers(time_point now);
    time_point latestLeaseEnd(const std::string &name, const worker_state &worker) const;
    void declareSilent(const std::string &name, time_point now);

    // Records.
    void stageRecord(const task_id &task, const task_record &record, time_point now,
                     bool isLazy = false);
    void updateWorkerIndex(const task_id &task, const std::string &worker);
    std::vector<task_id> tasksOn(const std::string &worker) const;
    volatile_state &volatileStateOf(const task_id &task, std::uint32_t attempt);
    const volatile_state *findVolatileState(const task_id &task, std::uint32_t attempt) const;
    bool staysPlaced(const task_id &task) const;
    std::size_t backlogSizeOn(const std::string &worker) const;
    void onRowsLoaded(time_point now);
    void processStoreOutput();
    void applyRecordChange(const record_change &change);
    void applyCommittedJob(const committed_job &committed);
    void refreshPlaceable(const task_id &task);
    void dropPlaceable(const std::string &job);
    void emitChange(const task_id &task, task_change change, const task_record &record,
                    const std::string &worker);
    void count(coordinator_counter reason);

    shard_tenure m_tenure;
    coordinator_settings m_settings;
    task_store m_store;
    time_point m_grantDeadline;
    time_point m_lastTickAt;
    std::map<std::string, worker_state> m_workers;
    std::map<std::string, std::set<task_id>> m_tasksByWorker; // by committed or newest record
    std::map<task_id, volatile_state> m_volatileStates;
    std::uint64_t m_lastReservationNumber = 0; // reservations of this tenure are numbered from 1
    std::set<task_id> m_placeable;
    std::set<std::string> m_workersToGrant; // get a grant at the end of the present event
    std::vector<coordinator_action> m_actions;
};

} // namespace zinniabarrow::work
