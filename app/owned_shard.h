// One shard that this entry owns. An entry is a process that takes callers' requests and schedules
// tasks; a shard is the part of all tasks that one entry schedules at a time. The table is the
// platform's store of rows.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "app/config_actor.h"
#include "base/log.h"
#include "placement/scheduler.h"
#include "runtime/metrics.h"
#include "work/quota_parts.h"
#include "work/task_coordinator.h"

namespace zinniabarrow {

// A worker's description, as its agent reports it.
struct reported_worker
{
    placement::worker_info worker;
    std::string agentAddress; // ip:port
    bool serving = true;      // false: the agent is leaving and takes no new tasks
};

// Keeps a shard's task coordinator, which stores the tasks in the table, and its scheduler, which
// decides where they run, consistent with each other. The scheduling actor has one for each shard
// that it owns, and calls it on its own thread only. Resources are in millicores, bytes and
// accelerators.
class owned_shard
{
public:
    // `operationPrefix` starts the ids of all writes to the table. It must be unique for each
    // tenure, the ownership of a shard during one epoch.
    owned_shard(const work::shard_tenure &tenure, const std::string &operationPrefix,
                const work::coordinator_settings &coordinatorSettings,
                const placement::scheduler_settings &schedulerSettings, std::size_t shardCount,
                metrics &counters, const logger &log);

    int number() const { return m_tenure.shard; }
    std::uint64_t epoch() const { return m_tenure.epoch; }

    // handle(), reconcile() and plan() return the actions that the caller must perform at the table
    // and at the agents.

    // Applies one coordinator event. May be called before the coordinator has read the table.
    std::vector<work::coordinator_action> handle(const work::coordinator_event &event,
                                                 time_point now);
    // Applies the reported workers to the scheduler, and a configuration that is newer than the
    // last one to jobs, teams and pools of workers. `workers` is by worker id. Called at each tick;
    // does nothing until the coordinator has read the table.
    std::vector<work::coordinator_action>
    reconcile(const adopted_configuration &adopted,
              const std::map<std::string, reported_worker> &workers, time_point now);
    // Makes one planning run: decides placements, evictions, throttles and backlogs. A worker's
    // backlog is the tasks that were placed on it before it has free capacity for them. Called at
    // the planning interval; does nothing until the coordinator has read the table.
    std::vector<work::coordinator_action> plan(time_point now);

    void usageSampled(const placement::usage_sample &sample, time_point now);
    // `service` is the name in the configuration, not a job id. Ignored when `p99` is 0: there were
    // no answers.
    void latencySampled(const std::string &worker, const std::string &service, microseconds p99,
                        time_point measuredAt, time_point now);

    work::unresponsive_workers currentUnresponsiveWorkers(time_point now) const
    {
        return m_coordinator.unresponsiveWorkers(now);
    }
    // For operators: tasks by job and state, workers with their reservations, and refused tasks.
    Json::Value status(time_point now) const;
    // For operators, in one sentence: why the task is refused or pending, or where it is.
    std::string explain(const work::task_id &task, time_point now) const;
    bool containsTask(const work::task_id &task) const;

private:
    void applyPlacement(const placement::place_action &action,
                        std::vector<work::coordinator_action> &actions, time_point now);
    // Local quota: this shard's part of a team's quota.
    void updateLocalQuotas(std::vector<work::coordinator_action> &actions, time_point now);
    void resolveAdoptedBacklog(std::vector<work::coordinator_action> &actions, time_point now);
    void updateBacklogs(std::vector<work::coordinator_action> &actions, time_point now);
    void feedCoordinator(const work::coordinator_event &event,
                         std::vector<work::coordinator_action> &actions, time_point now);
    void handleTaskChange(const work::task_changed &change, time_point now);
    void adoptRecordedTasks(time_point now);
    void acceptJob(const work::job_spec &job, const placement::task_spec &taskTemplate,
                   std::vector<work::coordinator_action> &actions, time_point now);
    resources reservationFor(const placement::task_spec &task, const std::string &worker) const;
    void cancelRemovedJobs(const std::set<std::string> &wantedJobs,
                           std::vector<work::coordinator_action> &actions, time_point now);
    void reconcileWorkers(const std::map<std::string, reported_worker> &workers, time_point now);
    // `generation` is the configuration's; a new job's id is "name@generation".
    std::string jobIdFor(const std::string &name, std::uint64_t generation) const;
    work::job_spec shardPartOf(work::job_spec job) const;
    work::cpu_limit_decided cpuLimitFor(const placement::throttle_action &action);
    resources reservationAboveDeclared(const placement::task_ref &task,
                                       const resources &reserved) const;
    void logTask(std::string_view event, const work::task_changed &change) const;

    work::shard_tenure m_tenure; // shard number, and the epoch of this ownership of it
    work::task_coordinator m_coordinator;
    work::quota_parts m_quotaParts;
    std::map<std::string, resources> m_teamLimits; // by team; only teams with a quota
    work::lease_settings m_leaseSettings;
    std::size_t m_maxBacklogPerWorker; // tasks placed before the worker has capacity
    placement::scheduler m_scheduler;
    std::size_t m_shardCount; // shards in total; a job's tasks are distributed over them in turn
    metrics &m_metrics;
    const logger &m_log;

    bool m_hasAdopted = false; // the scheduler has the tasks that the table held at takeover
    // Backlog tasks that an earlier owner placed and may have allowed to start. A task that no
    // agent has reported by the given time has not started.
    std::map<work::task_id, time_point> m_adoptedBacklog;
    std::uint64_t m_appliedGeneration = 0; // of the configuration that was applied last
    std::set<std::string> m_usableWorkers; // workers that the scheduler may use
    // Tasks taken over from the table of which the scheduler knows the declared size at most, until
    // a configuration describes them.
    std::set<work::task_id> m_sizeOnlyTasks;
    // Number of the task's failed attempts when it was last requeued.
    std::map<work::task_id, std::uint32_t> m_seenFailures;
    std::map<std::string, std::string> m_refusalReasons;  // newest reason by task
    std::map<std::string, microseconds> m_latencyTargets; // by service job id
};

} // namespace zinniabarrow
