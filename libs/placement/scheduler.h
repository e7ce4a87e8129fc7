// The placer: decides which task runs on which worker, and what makes room.
//
//   configuration   setPool, setTeam
//   workers         addWorker, resizeWorker, removeWorker
//   tasks           taskPending … taskFailed, cancelTasks, cancelJob
//   measurements    usageSampled, latencySampled
//   decisions       plan, explain
//   watching        stats, ledgerOf
//
// It does no I/O and takes `now` with each event. One thread at a time.
//
// The order of calls for one task: taskPending; plan returns a place_action; taskSettled with the
// outcome of the write; taskRunning; then one of taskEnded, taskFailed, or taskStopping followed by
// taskReleased. After a restart taskPlaced takes in a task that the table says is placed. Each
// event names the worker, and an event for another worker than the one that the task is placed on
// is ignored and counted: it is late or doubled. Filter by attempt before calling.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "placement/actions.h"
#include "placement/ledger.h"
#include "placement/resources.h"

#include <map>
#include <set>

namespace zinniabarrow::placement {

struct placer_settings
{
    int placeDecisions = 256; // upper bound of one plan() when the caller gives none
};

// Counters since start.
struct placer_stats
{
    std::uint64_t placed = 0;
    std::uint64_t preempted = 0;
    std::uint64_t throttled = 0;
    std::uint64_t refused = 0;
    std::uint64_t staleEvents = 0;
};

class placer
{
public:
    explicit placer(placer_settings settings);

    void setPool(const pool_info &pool, time_point now);
    void setTeam(const team_quota &quota);

    // Also for a worker that is known: brings it back, or changes its place and size.
    void addWorker(const worker_info &worker, time_point now);
    void resizeWorker(const std::string &worker, const resources &size, time_point now);
    // No new tasks. Its tasks count until each is released, ended or failed.
    void removeWorker(const std::string &worker, time_point now);

    void taskPending(const task_spec &task, time_point now);
    // Takes in a placement that the table already holds, even when it does not fit.
    void taskPlaced(const task_spec &task, const std::string &worker, const resources &reserved,
                    entry_state state, time_point now);
    void taskSettled(const task_ref &task, const std::string &worker, placement_outcome outcome,
                     time_point now);
    void taskRunning(const task_ref &task, const std::string &worker, time_point now);
    // A stop was asked for; it counts until taskReleased or taskEnded.
    void taskStopping(const task_ref &task, const std::string &worker, time_point now);
    // Proven to run nowhere (evicted, lease lapsed, worker gone): pending again.
    void taskReleased(const task_ref &task, const std::string &worker, time_point now);
    // Finished its work, or was stopped for good.
    void taskEnded(const task_ref &task, const std::string &worker, time_point now);
    // Ended by itself without finishing: pending again, unless its job is quarantined.
    void taskFailed(const task_ref &task, const std::string &worker, const std::string &reason,
                    time_point now);
    // Never placed again. Returns those that hold a worker: stop them, then call taskEnded.
    std::vector<task_ref> cancelTasks(std::span<const task_ref> tasks, time_point now);
    std::vector<task_ref> cancelJob(const std::string &jobId, time_point now);

    void usageSampled(const usage_sample &sample, time_point now);
    void latencySampled(const latency_sample &sample, time_point now);

    // The next decisions, at most `maxDecisions`. Each is already counted in the ledgers.
    std::vector<placement_action> plan(time_point now, int maxDecisions);

    // Why the task waits, or where it is, in one sentence for operators.
    std::string explain(const task_ref &task, time_point now) const;
    const placer_stats &stats() const { return m_stats; }
    const ledger *ledgerOf(const std::string &worker) const; // null: not known
    std::size_t pendingTasks() const { return m_pending.size(); }

private:
    struct worker_slot
    {
        worker_info info;
        ledger book;
        bool removed = false;
    };
    struct task_record
    {
        task_spec spec;
        std::string worker; // empty: pending
        bool cancelled = false;
    };

    task_record *placedOn(const task_ref &task, const std::string &worker);
    void free(const task_ref &task, task_record &record);
    void requeue(const task_ref &task, const std::string &worker);

    placer_settings m_settings;
    placer_stats m_stats;
    std::map<std::string, worker_slot> m_workers;
    std::map<task_ref, task_record> m_tasks;
    std::set<task_ref> m_pending;
};

} // namespace zinniabarrow::placement
