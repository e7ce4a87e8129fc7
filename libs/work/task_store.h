// The rows of one shard's jobs and tasks: what the table holds, what is on its way there, and what
// is wanted next.
//
// Rows, all under "work/<shard>/" and written only under the shard's epoch:
//   job/<id>             specification, range of tasks, whether the job is cancelled
//   task/<id>/<chunk>    records of 64 tasks; tasks without a record were never placed
//   silent               workers that were declared silent: no grant until they are removed again
//   followed             newest generation of the configuration that was carried out here
// Changes are collected for a short window and go out as one transaction, one at a time.
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
    milliseconds groupWindow{100};  // changes are collected this long
    milliseconds lazyWindow{1'000}; // the same for changes that nobody waits for
    std::size_t groupRows = 50;     // most rows in one transaction
    std::uint32_t chunkTasks = 64;  // indexes in one row: 64 for each step of the jobs' strides
    milliseconds firstRetry{100};   // after a refused or unknown write; doubles each time
    milliseconds lastRetry{5'000};
    milliseconds downAfter{3'000}; // the table counts as down after failing this long
};

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
struct fenced // another entry holds the shard: discard this table
{
    int shard = 0;
};
enum class store_count {
    CommitRefused,  // the table refused: nothing changed
    CommitUnknown,  // no answer: read back and settled
    CommitConflict, // a row had changed: it is read again, the rest goes on without it
    CommitResent,   // the same transaction once more
};
std::string_view nameOf(store_count reason);
using store_action = std::variant<commit_rows, read_rows, scan_rows, fenced, store_count>;

// Events of the platform.
struct write_settled
{
    std::string operationId;
    write_result result;
};
struct rows_read
{
    std::vector<std::string> keys; // that were asked for; empty for a scan
    std::vector<table_row> rows;   // those that exist
};

// A record that the table holds now. Reverted: the wanted change did not take effect.
struct record_change
{
    task_id task;
    task_record before;
    task_record after;
    bool reverted = false;
};

struct stored_job
{
    job_spec spec;
    std::uint32_t range = 0; // tasks ever; those past spec.tasks are cancelled
    bool cancelled = false;

    bool operator==(const stored_job &other) const
    {
        return spec.generation == other.spec.generation && cancelled == other.cancelled;
    }
};

// A job whose row has been written or loaded.
struct settled_job
{
    std::string id;
    bool cancelledNow = false; // by this write
};

class task_store
{
public:
    // `shardVersion` of the shard's row: every write is conditional on it. `operationPrefix` is
    // unique for each tenure of a shard.
    task_store(int shard, std::uint64_t shardVersion, std::string operationPrefix,
               store_settings settings);

    bool ready() const { return m_ready; } // rows were read
    bool isFenced() const { return m_fenced; }
    bool down(time_point now) const;

    // A job's cancellation changes each of its tasks at once, without a write for each: Pending
    // reads as Cancelled, Placed as Cancelling.
    task_record effective(const task_id &task) const; // newest intention
    task_record settled(const task_id &task) const;   // as the table holds it
    bool inFlight(const task_id &task) const;         // the two may differ
    bool known(const task_id &task) const;            // in the range of a job
    bool jobInFlight(const std::string &id) const;
    // Lazy: nobody waits for this change.
    void want(const task_id &task, const task_record &record, time_point now, bool lazy = false);

    const stored_job *job(const std::string &id) const; // newest intention
    std::vector<std::string> jobs() const;
    void wantJob(const stored_job &job, time_point now);
    // Every task that was ever placed, settled or not.
    std::vector<task_id> touched() const;
    std::vector<task_id> touched(const std::string &job) const;

    bool silent(const std::string &worker) const;        // settled, on its way, or wanted
    bool silentSettled(const std::string &worker) const; // as the table holds it
    void wantSilent(const std::string &worker, bool silent, time_point now);

    std::uint64_t followed() const; // generation; newest intention
    void wantFollowed(std::uint64_t generation, time_point now);

    void handle(const write_settled &event, time_point now);
    void handle(const rows_read &event, time_point now);
    void tick(time_point now);

    std::vector<store_action> takeActions() { return std::exchange(m_actions, {}); }
    std::vector<record_change> takeChanges() { return std::exchange(m_changes, {}); }
    std::vector<settled_job> takeSettledJobs() { return std::exchange(m_settledJobs, {}); }

private:
    // Followed comes first: a change of a job is never in the table without its generation.
    enum class row_kind { Followed, Job, Chunk, Silent, Removal };

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
        std::uint64_t version = 0; // 0: no row yet
        record_map settled;        // absent: never placed
        record_map sent;           // in the transaction on its way
        record_map wanted;         // changed since
    };

    template <typename Value>
    struct row_state
    {
        std::uint64_t version = 0;
        std::optional<Value> settled;
        std::optional<Value> sent;
        std::optional<Value> wanted;
    };
    using silent_set = std::set<std::string>;

    struct transaction_state
    {
        table_transaction transaction;
        std::vector<row_id> rows;
        bool inDoubt = false;      // a copy may have taken effect, or may still do so
        bool settling = false;     // waits for its rows to be read back
        time_point nextAt = Never; // of the next sending or reading, if no answer comes before
    };

    // Keys and values of rows.
    std::string prefix() const;
    std::string keyOf(const row_id &row) const;
    std::optional<row_id> rowOf(const std::string &key) const;
    Json::Value valueOf(const row_id &row) const;
    std::uint64_t &versionOf(const row_id &row);
    row_id chunkOf(const task_id &task) const;
    const chunk_state *findChunk(const task_id &task) const;
    static task_record view(const task_record &record, const std::optional<stored_job> &job);

    // Transactions.
    void markDirty(const row_id &row, time_point due);
    void flush(time_point now);
    void send(time_point now);
    void addRow(const row_id &row);
    void addRemoval(const std::string &job);
    void moveToSent(const row_id &row);
    void moveBack(const row_id &row);
    void applied(std::uint64_t version, time_point now);
    void appliedRow(const row_id &row, std::uint64_t version);
    void removeJob(const std::string &id);
    void giveBack(time_point now);
    void settleFromRows(const rows_read &event, time_point now);
    bool tookEffect(const std::map<std::string, const table_row *> &rows,
                    std::uint64_t *version) const;
    void failed(time_point now);
    milliseconds retryDelay() const;
    bool drained(const std::string &id) const;

    // Rows that were read.
    void load(const std::vector<table_row> &rows);
    void loadRow(const table_row &row);
    void reload(const row_id &row, const table_row *found);
    void loadChunk(const row_id &row, const table_row *found, chunk_state &chunk);

    int m_shard;
    std::uint64_t m_shardVersion;
    std::string m_operationPrefix;
    store_settings m_settings;
    std::uint64_t m_operations = 0;
    bool m_ready = false;
    bool m_fenced = false;
    time_point m_scanAt;
    std::map<std::string, row_state<stored_job>> m_jobs;
    std::map<row_id, chunk_state> m_chunks;
    row_state<silent_set> m_silent;
    row_state<std::uint64_t> m_followed;
    std::map<row_id, time_point> m_dirty; // when each is due to be sent
    std::set<std::pair<time_point, row_id>> m_due;
    std::optional<transaction_state> m_transaction;
    int m_failures = 0; // of the table, in a row
    time_point m_failingSince = Never;
    time_point m_retryAt;
    std::vector<store_action> m_actions;
    std::vector<record_change> m_changes;
    std::vector<settled_job> m_settledJobs;
};

} // namespace zinniabarrow::work
