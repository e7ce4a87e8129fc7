// The rows of one shard's jobs and tasks. Each value has up to three versions: committed (what the
// table holds), in flight (in the transaction that was sent) and staged (changed since).
//
// Rows, all under "work/<shard>/" and written only under the shard's epoch:
//   job/<id>             specification, range of tasks, whether the job is cancelled
//   task/<id>/<chunk>    records of 64 tasks; tasks without a record were never placed
//   silent               workers declared silent, see task_coordinator.h; they get no grant while
//                        this row lists them
//   followed             newest generation of the configuration that was applied here, the
//                        "applied generation"
// Changes are collected for a short window and sent as one transaction. Only one transaction is in
// flight at a time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "platform/records.h"
#include "work/task_records.h"

namespace zinniabarrow::work {

struct store_settings
{
    milliseconds commitWindow{100};       // how long changes are collected before they are sent
    milliseconds lazyCommitWindow{1'000}; // the same for changes that nobody waits for
    std::size_t maxRowsPerCommit = 50;
    // Task indexes per row. Set to 64 times the number of shards, which is job_spec::indexStride,
    // so that a row holds 64 of the shard's tasks.
    std::uint32_t tasksPerChunk = 64;
    milliseconds initialRetryDelay{100}; // after a refused or unanswered write; doubles each time
    milliseconds maxRetryDelay{5'000};
    milliseconds outageThreshold{3'000}; // the table counts as down after failing for this long
};

// Actions.
struct commit_rows
{
    table_transaction transaction;
};
struct read_rows // answered by rows_read; repeated if no answer comes
{
    std::vector<std::string> keys;
};
struct scan_rows // answered by rows_read without keys
{
    std::string prefix;
};
struct fenced // another entry owns the shard: discard this coordinator
{
    int shard = 0;
};
// Increment this counter of the metrics.
enum class store_counter {
    CommitRefused,  // the platform refused the transaction: nothing changed
    CommitUnknown,  // outcome unknown: the rows are read back to find out
    CommitConflict, // a row had changed: it is read again, the other rows are sent without it
    CommitResent,   // the same transaction was sent again
};
std::string_view nameOf(store_counter counter); // as in the metrics
using store_action = std::variant<commit_rows, read_rows, scan_rows, fenced, store_counter>;

// Events of the platform.
struct write_answered
{
    std::string operationId;
    write_result result;
};
struct rows_read
{
    std::vector<std::string> keys; // of the read_rows; empty for a scan
    std::vector<table_row> rows;   // those of them that exist
};

// A change of a task's committed record from `before` to `after`. If `isReverted`, a staged change
// was dropped: `before` is the dropped record, `after` the committed one. Taken by
// task_coordinator.
struct record_change
{
    task_id task;
    task_record before;
    task_record after;
    bool isReverted = false;
};

struct stored_job
{
    job_spec spec;
    // Largest spec.taskCount so far. Tasks beyond the present spec.taskCount are cancelled.
    std::uint32_t peakTaskCount = 0;
    bool isCancelled = false;

    bool operator==(const stored_job &other) const
    {
        return spec.generation == other.spec.generation && isCancelled == other.isCancelled;
    }
};

// A job whose row has been written or loaded.
struct committed_job
{
    std::string id;
    bool isNewlyCancelled = false; // this write cancelled it
};

// Keeps the three versions of each row, and sends, retries and resolves transactions. Used by
// task_coordinator. Performs no I/O: events go in, actions come out.
class task_store
{
public:
    // `shardVersion` is the version of the shard's row; every write is conditional on it.
    // `operationPrefix` starts the id of each write and must be unique for each tenure of a shard
    // (shard_tenure).
    task_store(int shard, std::uint64_t shardVersion, std::string operationPrefix,
               store_settings settings);

    bool isReady() const { return m_isReady; } // the rows were read
    bool isFenced() const { return m_isFenced; }
    bool isDown(time_point now) const; // the table has failed for outageThreshold or longer

    // Cancelling a job changes all of its tasks at once, without a write for each task: Pending
    // reads as Cancelled, Placed as Cancelling.
    task_record newestRecord(const task_id &task) const; // staged, else in flight, else committed
    task_record committedRecord(const task_id &task) const; // as the table holds it
    bool hasUncommittedChange(const task_id &task) const;   // if so, these records may differ
    // The index is that of a task that the job has in this shard, or had before it shrank.
    bool isInJobRange(const task_id &task) const;
    bool hasUncommittedJobChange(const std::string &id) const;
    // `isLazy`: nobody waits for this change; it is collected for lazyCommitWindow.
    void stageRecord(const task_id &task, const task_record &record, time_point now,
                     bool isLazy = false);

    const stored_job *job(const std::string &id) const; // newest version; null: no such job
    std::vector<std::string> jobs() const;
    void stageJob(const stored_job &job, time_point now);
    // All tasks with a record in any version: those that were ever placed.
    std::vector<task_id> everPlacedTasks() const;
    std::vector<task_id> everPlacedTasks(const std::string &job) const;

    bool isDeclaredSilent(const std::string &worker) const;  // in any of the three versions
    bool isCommittedSilent(const std::string &worker) const; // as the table holds it
    void stageSilent(const std::string &worker, bool isSilent, time_point now);

    // Newest generation of the configuration that was applied here, committed or not; 0: none.
    std::uint64_t appliedGeneration() const;
    void stageAppliedGeneration(std::uint64_t generation, time_point now);

    void handle(const write_answered &event, time_point now);
    void handle(const rows_read &event, time_point now);
    void tick(time_point now);

    std::vector<store_action> takeActions() { return std::exchange(m_actions, {}); }
    std::vector<record_change> takeChanges() { return std::exchange(m_changes, {}); }
    std::vector<committed_job> takeCommittedJobs() { return std::exchange(m_committedJobs, {}); }

private:
    // Rows that are due at the same time are sent in this order. AppliedGeneration comes first, so
    // that a change of a job is never in the table without its generation. Removal stands for the
    // deletion of a job's row and chunks.
    enum class row_kind { AppliedGeneration, Job, Chunk, Silent, Removal };

    struct row_id
    {
        row_kind kind = row_kind::Job;
        std::string job;
        std::uint32_t chunk = 0;
        bool operator<(const row_id &other) const
        {
            return std::tie(kind, job, chunk) < std::tie(other.kind, other.job, other.chunk);
        }
    };
    using record_map = std::map<std::uint32_t, task_record>; // by the task's index

    struct chunk_state
    {
        std::uint64_t version = 0; // of the row; 0: no row yet
        record_map committed;      // a task without a record was never placed
        record_map inFlight;       // in the transaction that was sent
        record_map staged;         // changed since
    };

    template <typename Value>
    struct row_state
    {
        std::uint64_t version = 0;
        std::optional<Value> committed;
        std::optional<Value> inFlight;
        std::optional<Value> staged;
    };
    using silent_set = std::set<std::string>;

    struct transaction_state
    {
        table_transaction transaction;
        std::vector<row_id> rows;
        bool isInDoubt = false;     // a copy may have taken effect, or may still do so
        bool isResolving = false;   // its rows are read back to find out whether it took effect
        time_point retryAt = Never; // next sending or reading, if no answer comes before
    };

    // Keys and values of rows.
    std::string prefix() const;
    std::string keyOf(const row_id &row) const;
    std::optional<row_id> rowIdFromKey(const std::string &key) const;
    Json::Value valueOf(const row_id &row) const;
    std::uint64_t &versionOf(const row_id &row);
    row_id chunkRowOf(const task_id &task) const;
    const chunk_state *findChunk(const task_id &task) const;
    static task_record view(const task_record &record, const std::optional<stored_job> &job);

    // Transactions.
    void markDirty(const row_id &row, time_point due);
    void sendIfDue(time_point now);
    void sendTransaction(time_point now);
    void addRow(const row_id &row);
    void addRemoval(const std::string &job);
    void moveToInFlight(const row_id &row);
    void moveBackToStaged(const row_id &row);
    void onApplied(std::uint64_t version, time_point now);
    void onRowApplied(const row_id &row, std::uint64_t version);
    void removeJob(const std::string &id);
    void restageTransaction(time_point now);
    void resolveFromRows(const rows_read &event, time_point now);
    bool hasTakenEffect(const std::map<std::string, const table_row *> &rows,
                        std::uint64_t *version) const;
    void recordFailure(time_point now);
    milliseconds retryDelay() const;
    bool canRemoveJob(const std::string &id) const;

    // Rows that were read.
    void load(const std::vector<table_row> &rows);
    void loadRow(const table_row &row);
    void reloadRow(const row_id &row, const table_row *found);
    void loadChunk(const row_id &row, const table_row *found, chunk_state &chunk);

    int m_shard;
    std::uint64_t m_shardVersion;
    std::string m_operationPrefix;
    store_settings m_settings;
    std::uint64_t m_operationCount = 0;
    bool m_isReady = false;
    bool m_isFenced = false;
    time_point m_nextScanAt;
    std::map<std::string, row_state<stored_job>> m_jobs;
    std::map<row_id, chunk_state> m_chunks;
    row_state<silent_set> m_silentWorkers;
    row_state<std::uint64_t> m_appliedGeneration;
    std::map<row_id, time_point> m_dirtyRows; // staged rows, with the time at which each is due
    std::set<std::pair<time_point, row_id>> m_rowsByDueTime;
    std::optional<transaction_state> m_transaction;
    int m_consecutiveFailures = 0; // writes refused or without a known outcome since a success
    time_point m_failingSince = Never;
    time_point m_retryAt; // earliest time of the next transaction
    std::vector<store_action> m_actions;
    std::vector<record_change> m_changes;
    std::vector<committed_job> m_committedJobs;
};

} // namespace zinniabarrow::work
