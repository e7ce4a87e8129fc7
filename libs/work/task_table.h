// The owner's view of the tasks of one shard, and the transactions that change them.
//
// Rows, all under "work/<shard>/" and written only under the shard's epoch:
//   job/<id>            one for each job: its specification and range of tasks
//   task/<id>/<chunk>   64 tasks; a chunk without a row holds only tasks that were never placed
//   silent              workers that were declared silent: no grant until they are cleared again
// Changes are collected for a short window and go out as one transaction, one at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "platform/records.h"
#include "work/leases.h"
#include "work/messages.h"

namespace zinniabarrow::work {

enum class task_state {
    Pending,    // may be placed; `checkpoint` set: resumes from there
    Placed,     // on a worker, not yet known to run
    Running,    // the agent said so (known only to this process)
    Evicting,   // asked to checkpoint and end (known only to this process)
    Cancelling, // may still run; its stop is not confirmed
    Done,
    Failed,
    Cancelled,
};
std::string_view nameOf(task_state state);

// What the table holds about a task. Running and Evicting are stored as Placed.
struct task_record
{
    task_state state = task_state::Pending;
    std::uint32_t attempt = 0; // newest that was ever placed; only a conditional write raises it
    std::string worker;        // while Placed or Cancelling
    std::uint64_t incarnation = 0;
    std::string checkpoint;
    std::uint32_t failures = 0;
    bool ahead = false; // backlog: placed before there is room

    bool operator==(const task_record &) const = default;
};

struct job_spec
{
    std::string id;
    std::uint64_t generation = 0;
    std::uint32_t firstTask = 0; // this shard's range of the job's tasks
    std::uint32_t tasks = 0;
    failover_class failover = failover_class::Lease;
    bool service = false;          // a task that ends is started again
    std::uint32_t maxFailures = 3; // a batch task fails for good after this many
    Json::Value spec;              // handed to the worker unread
};
Json::Value toJson(const job_spec &spec);
job_spec jobSpecFromJson(const Json::Value &value);

// Events.
struct job_accepted // idempotent; a newer generation adds or cancels tasks at the end of the range
{
    job_spec spec;
};
struct cancel_job
{
    std::string job;
};
struct place_decided
{
    task_id task;
    std::string worker;
    bool ahead = false; // backlog
};
struct evict_decided
{
    task_id task;
};
struct report_received
{
    agent_report report;
};
struct write_settled
{
    std::string operationId;
    write_result result;
};
struct rows_read // answers read_rows (the rows that exist) and scan_rows
{
    std::vector<std::string> keys; // that were asked for; empty for a scan
    std::vector<table_row> rows;
};
struct horizon_moved // shard_owner::mayGrantUntil
{
    time_point until;
};
struct table_tick
{ };
using table_event =
        std::variant<job_accepted, cancel_job, place_decided, evict_decided, report_received,
                     write_settled, rows_read, horizon_moved, table_tick>;

// Actions.
struct commit_rows
{
    table_transaction transaction;
};
struct read_rows // answered by rows_read; asked again after a while if no answer comes
{
    std::vector<std::string> keys;
};
struct scan_rows // answered by rows_read without keys
{
    std::string prefix;
};
struct send_grant
{
    worker_grant grant;
};
// The placer's ledger follows these: a task occupies its worker from the decision to place it until
// Freed. Reverted: the placement did not take effect, the task is Pending as before.
enum class task_change { Placed, Started, Freed, Reverted, Ended };
struct task_settled
{
    task_id task;
    task_change change = task_change::Placed;
    task_state state = task_state::Pending; // after the change
    std::string worker;                     // where it is, or where it was
    std::uint32_t attempt = 0;
    task_event_kind reason = task_event_kind::Started; // for Freed and Ended: what the agent said
};
struct fenced // another entry holds the shard: discard this table
{
    int shard = 0;
};
enum class table_count {
    CommitRefused,  // the table refused: nothing changed
    CommitUnknown,  // no answer: read back and settled
    CommitConflict, // a row had changed: it is read again, the rest goes on without it
    CommitResent,
    StaleIncarnation, // report of an earlier life of a worker
    StaleSession,     // report of a superseded agent
    StaleReport,      // doubled or reordered report
    StaleEvent,       // about an attempt that is no longer current
    NewerEpoch,       // an agent has seen a newer owner
    NotPlaceable,     // placement of a task that is not pending, or on a worker that may not get it
    BacklogFull,
    HorizonPassed, // no lease given: the owner's own right has lapsed
    WorkerSilent,
    WorkerBack,
    FailedOver,   // a task of a silent worker may start elsewhere
    ProvenGone,   // a newer incarnation proved that a task has ended
    StrayStopped, // an agent runs an attempt that is not current
};
std::string_view nameOf(table_count reason);
struct count_table
{
    table_count reason;
};
using table_action = std::variant<commit_rows, read_rows, scan_rows, send_grant, task_settled,
                                  fenced, count_table>;

struct table_settings
{
    lease_settings leases;
    milliseconds groupWindow{100}; // changes are collected this long
    std::size_t groupRows = 50;    // most rows in one transaction
    milliseconds firstRetry{100};  // after a refused or unknown write; doubles each time
    milliseconds lastRetry{5'000};
    std::size_t aheadTasks = 4;   // largest backlog of one worker
    bool workersKeepEpoch = true; // false: a silent worker is waited for as if it never attached
};

struct table_owner
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t shardVersion = 0;
    time_point waitForSilentUntil;
};

class task_table
{
public:
    // `operationPrefix` is unique for each process and shard.
    task_table(table_owner owner, std::string operationPrefix, table_settings settings);

    std::vector<table_action> handle(const table_event &event, time_point now);

    bool ready() const { return m_ready; } // rows were read; before that it decides nothing
    // The newest intention, whether settled or not; nullptr for an unknown task.
    std::optional<task_record> find(const task_id &task) const;
    // With the states that only this process knows.
    std::optional<task_state> stateOf(const task_id &task) const;
    // Settled as Pending, with no write on its way: may be placed.
    bool placeable(const task_id &task) const;
    std::vector<task_id> placeableTasks(std::size_t most) const;
    const job_spec *job(const std::string &id) const;
    std::vector<std::string> jobs() const;
    bool cancelled(const std::string &job) const;
    // Every task that occupies a worker (Placed, Running, Evicting, Cancelling; settled or not).
    std::vector<std::pair<task_id, task_record>> occupying() const;
    bool tableDown() const { return m_failures > 0; }

private:
    static constexpr std::uint32_t ChunkTasks = 64;

    struct chunk_key
    {
        std::string job;
        std::uint32_t chunk = 0;
        auto operator<=>(const chunk_key &) const = default;
    };
    using record_map = std::map<std::uint32_t, task_record>; // by the task's index

    struct chunk_state
    {
        std::uint64_t version = 0; // 0: no row yet
        record_map settled;        // as the table holds it; absent: never placed
        record_map sent;           // in the transaction on its way
        record_map wanted;         // changed since
    };

    struct job_state
    {
        job_spec spec;
        bool cancelled = false;
        std::uint64_t version = 0;
        bool dirty = false;
        bool sent = false;
    };

    struct worker_state
    {
        std::uint64_t incarnation = 0;
        std::string session; // agent that is answered
        std::set<std::string> oldSessions;
        std::uint64_t sequence = 0; // newest report of the session
        time_point reportedAt;
        bool attached = false; // has acknowledged this epoch
        time_point leaseUntil; // may hold a lease until then, allowance included
        bool silent = false;   // as settled, or being written
        std::uint64_t lastEvent = 0;
    };

    struct transaction_state
    {
        table_transaction transaction;
        std::vector<chunk_key> chunks;
        std::vector<std::string> jobs;
        bool silentRow = false;
        bool everUnknown = false; // a copy may still take effect later
        bool settling = false;    // waits for its rows to be read back
        time_point nextAt;        // of the next sending or reading
        write_outcome lastOutcome = write_outcome::Unknown;
    };

    struct soft_state // known only to this process
    {
        std::uint32_t attempt = 0;
        std::string startedBy; // session that said it runs
        bool evicting = false;
    };

    // Events.
    void handleJob(const job_accepted &event, time_point now);
    void handleCancel(const std::string &job, time_point now);
    void handlePlace(const place_decided &event, time_point now);
    void handleEvict(const task_id &task, time_point now);
    void handleReport(const agent_report &report, time_point now);
    void handleSettled(const write_settled &event, time_point now);
    void handleRows(const rows_read &event, time_point now);
    void handleTick(time_point now);

    // Reports.
    bool acceptReport(const agent_report &report, worker_state &worker, time_point now);
    void applyEvent(const agent_report &report, const task_event &event, time_point now);
    void applyEnd(const task_id &task, task_record record, const task_event &event, time_point now);
    void applyIncarnation(const std::string &worker, std::uint64_t incarnation, time_point now);
    bool durablyHandled(const agent_report &report, const task_event &event) const;
    worker_grant makeGrant(const std::string &name, worker_state &worker);
    void addTasks(worker_grant &grant, const worker_state &worker) const;

    // Silent workers.
    void checkSilent(time_point now);
    bool mayHoldLease(const worker_state &worker, time_point now) const;
    void declareSilent(const std::string &name, worker_state &worker, time_point now);

    // Records.
    const task_record &effective(const task_id &task) const;
    const task_record &settledRecord(const task_id &task) const;
    bool inFlight(const task_id &task) const;
    bool inRange(const task_id &task) const;
    void want(const task_id &task, const task_record &record, time_point now);
    void cancelTasks(const std::string &job, std::uint32_t from, time_point now);
    void forEachTask(const std::string &job,
                     const std::function<void(const task_id &)> &body) const;

    // Transactions.
    void markDirty(time_point now);
    void flush(time_point now);
    void send(time_point now);
    void applied(std::uint64_t version, time_point now);
    void unsend();
    void settleFromRows(const rows_read &event, time_point now);
    void reload(const chunk_key &key, const table_row *row, time_point now);
    void settleRecord(const task_id &task, const task_record &before, const task_record &after);
    void load(const std::vector<table_row> &rows, time_point now);
    void loadRow(const table_row &row);
    Json::Value chunkValue(const chunk_key &key, const chunk_state &chunk,
                           const std::string &operation) const;
    void delayRetry(time_point now);

    table_owner m_owner;
    std::string m_operationPrefix;
    table_settings m_settings;
    std::uint64_t m_operations = 0;
    bool m_ready = false;
    bool m_fenced = false;
    time_point m_scanAt;
    time_point m_mayGrantUntil = Never;
    std::map<std::string, job_state> m_jobs;
    std::map<chunk_key, chunk_state> m_chunks;
    std::set<chunk_key> m_dirtyChunks;
    std::map<std::string, worker_state> m_workers;
    std::map<std::string, std::set<task_id>> m_onWorker; // effective or settled there
    std::map<task_id, soft_state> m_soft;
    std::uint64_t m_silentVersion = 0;
    bool m_silentDirty = false;
    time_point m_dirtySince = Never;
    std::optional<transaction_state> m_transaction;
    int m_failures = 0; // of the table, in a row
    time_point m_retryAt;
    std::vector<table_action> m_actions;
};

} // namespace zinniabarrow::work
