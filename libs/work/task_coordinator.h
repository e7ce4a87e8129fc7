// The owner's decisions about the tasks of one shard: what is granted to which agent, what an
// agent's report changes, and when a silent worker's tasks may start elsewhere. Which worker a task
// goes to is decided elsewhere and comes in as place_decided.
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

// Events; write_settled and rows_read come from work/task_store.h.
struct job_accepted // repeats change nothing; a newer generation adds tasks or cancels the last
                    // ones
{
    job_spec spec;
};
// The owner works by that generation from now on; comes before its jobs. Those of an older one are
// refused: see followed().
struct generation_applied
{
    std::uint64_t generation = 0;
};
struct cancel_job // its rows are removed once no task of it may run
{
    std::string job;
};
struct placement_decided
{
    task_id task;
    std::string worker;
    bool isBacklogged =
            false;        // backlog: started while the table is down, or once start_ahead_decided
    resources reserved{}; // by the placer's ledger, where that is more than declared
};
struct reservation_raised // of a task that is placed; its agent has to count it too
{
    task_id task;
    resources reserved;
};
struct eviction_decided // checkpoint and free; a task that does not run is only freed
{
    task_id task;
};
struct backlog_start_decided // there is room now for a task that was placed ahead
{
    task_id task;
};
struct report_received
{
    agent_report report;
};
struct grant_deadline_changed // shard_owner::mayGrantUntil
{
    time_point until;
};
struct coordinator_tick // every 20 to 100 ms
{ };
struct cpu_limit_decided // of the processor time of a task that runs; 0: lifted
{
    task_id task;
    std::int64_t millicores = 0;
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

// The placer's ledger follows these. A task counts against its worker from place_decided until
// Vacated, Freed, Ended or Reverted; one that was placed ahead only from start_ahead_decided or
// Started.
enum class task_change {
    Placed,      // the table holds the placement
    Started,     // the agent said that it runs
    EndReported, // the agent said that it has ended; Freed or Ended follows once the table holds
                 // that
    Requeued,    // no longer on the worker; Pending again
    Ended,       // over; `worker` is empty if it was never placed
    Reverted,    // a wanted change did not take effect; `state` and `worker` say what holds
};
std::string_view nameOf(task_change change);
struct task_changed
{
    task_id task;
    task_change change = task_change::Placed;
    task_state state = task_state::Pending; // after the change
    std::string worker;                     // where it is, or where it was
    std::uint32_t attempt = 0;
};

enum class coordinator_counter {
    StaleIncarnation, // report of an earlier life of a worker
    StaleSession,     // report of a superseded agent
    StaleReport,      // doubled or reordered report
    StaleEvent,       // about an attempt that is no longer current
    NewerEpoch,       // an agent has seen a newer owner
    StaleGeneration,  // a job of an older generation than was carried out here
    NotPlaceable,     // placement of a task that is not pending, or on a worker that may not get it
    BacklogFull,
    GrantDeadlinePassed, // no lease given: the owner's own right has lapsed
    WorkerSilent,
    WorkerReturned,
    FailedOver,          // a task of a silent worker may start elsewhere
    EndProven,           // a newer incarnation proved that a task has ended
    StaleAttemptStopped, // an agent runs an attempt that is not current
};
std::string_view nameOf(coordinator_counter reason);

using coordinator_action = std::variant<commit_rows, read_rows, scan_rows, fenced, send_grant,
                                        task_changed, store_counter, coordinator_counter>;

struct coordinator_settings
{
    lease_settings leases;
    store_settings store;
    std::size_t maxBacklogPerWorker = 4; // largest backlog of one worker
    // While the table is down an agent starts of its backlog what fits. False: only what
    // start_ahead_decided names, for an owner whose ledgers and quotas have to count each start.
    bool startsBacklogWhenDown = true;
    bool workersPersistEpoch = true; // false: a silent worker is waited for as if it never attached
};

struct shard_tenure // from became_owner
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t shardVersion = 0;
    time_point earlierLeasesEndAt;
    unresponsive_workers unresponsive{};
};

class task_coordinator
{
public:
    // `operationPrefix` is unique for each process.
    task_coordinator(shard_tenure tenure, const std::string &operationPrefix,
                     coordinator_settings settings);

    std::vector<coordinator_action> handle(const coordinator_event &event, time_point now);

    bool isReady() const { return m_store.isReady(); } // rows were read; before, it decides nothing
    bool isTableDown(time_point now) const { return m_store.isDown(now); }
    // The newest intention, whether settled or not, with the states that only this process knows.
    task_record find(const task_id &task) const;
    // Settled as Pending, with no write on its way.
    bool isPlaceable(const task_id &task) const;
    const std::set<task_id> &placeableTasks() const { return m_placeable; } // by job and index
    // Every task that may run on a worker, settled or not: the ledger after a takeover.
    std::vector<std::pair<task_id, task_record>> occupyingTasks() const;
    bool hasTask(const task_id &task) const
    {
        return m_store.isInJobRange(task);
    }                                                 // one of this shard's
    bool canPlaceOn(const std::string &worker) const; // attached, and not silent
    // With tasks, and not heard of for longer than any agent is that is well.
    unresponsive_workers unresponsiveWorkers(time_point now) const;
    std::vector<std::string> jobs() const { return m_store.jobs(); }
    const stored_job *job(const std::string &id) const { return m_store.job(id); }
    // The newest generation that an owner of this shard has carried out. An owner whose own
    // configuration is older must not carry it out: it would cancel jobs that have come since, and
    // start anew those that were removed.
    std::uint64_t appliedGeneration() const { return m_store.appliedGeneration(); }

private:
    struct worker_state
    {
        std::uint64_t incarnation = 0;
        std::string session; // agent that is answered
        std::set<std::string> replacedSessions;
        std::uint64_t sequence = 0; // newest report of the session
        time_point lastReportAt;
        bool isAttached = false; // its worker has recorded this epoch
        time_point leaseUntil;   // it may hold a lease of this owner until then
        bool isLeaseExpired =
                false; // that is over: nothing is placed on it before it is granted again
        std::uint64_t ackedEvent = 0;
        std::set<task_attempt> staleAttempts; // to be stopped
        std::uint64_t ackedReservation = 0;   // the agent has counted those up to here
    };

    struct volatile_state // known only to this process
    {
        std::uint32_t attempt = 0;
        std::string startedBySession; // session that said it runs
        bool isEvicting = false;
        bool hasRoom = false;                // placed ahead, and there is room now
        resources reservedSize;              // while `reservation` is set
        std::uint64_t reservationNumber = 0; // number of its newest raise; 0: declared size
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
    void applyCommittedJob(const committed_job &settled);
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
    std::map<std::string, std::set<task_id>> m_tasksByWorker; // settled or wanted there
    std::map<task_id, volatile_state> m_volatileStates;
    std::uint64_t m_lastReservationNumber = 0; // numbers the raises of this tenure
    std::set<task_id> m_placeable;
    std::set<std::string> m_workersToGrant; // workers that get a grant at the end of this event
    std::vector<coordinator_action> m_actions;
};

} // namespace zinniabarrow::work
