// One shard that this entry owns: its task table and its placer, kept in step with each other.
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

// Where a worker is, as its agent reports it.
struct reported_worker
{
    placement::worker_info worker;
    std::string agentAddress; // ip:port
    bool serving = true;      // false: it is leaving and takes no new tasks
};

class owned_shard
{
public:
    owned_shard(const work::shard_tenure &owner, const std::string &operationPrefix,
                const work::coordinator_settings &coordinatorSettings,
                const placement::placer_settings &placerSettings, std::size_t shardCount,
                metrics &counters, const logger &log);

    int number() const { return m_tenure.shard; }
    std::uint64_t epoch() const { return m_tenure.epoch; }

    // Each returns what the daemon must do at the table and at the agents.
    std::vector<work::coordinator_action> handle(const work::coordinator_event &event,
                                                 time_point now);
    // Brings jobs, teams, pools and workers up to date.
    std::vector<work::coordinator_action>
    reconcile(const adopted_configuration &adopted,
              const std::map<std::string, reported_worker> &workers, time_point now);
    // Decides placements, evictions and throttles.
    std::vector<work::coordinator_action> plan(time_point now);

    void usageSampled(const placement::usage_sample &sample, time_point now);
    void latencySampled(const std::string &worker, const std::string &service, microseconds p99,
                        time_point measuredAt, time_point now);

    work::unresponsive_workers currentUnresponsiveWorkers(time_point now) const
    {
        return m_coordinator.unresponsiveWorkers(now);
    }
    Json::Value status(time_point now) const;
    std::string explain(const work::task_id &task, time_point now) const;
    bool containsTask(const work::task_id &task) const;

private:
    void applyPlacement(const placement::place_action &action,
                        std::vector<work::coordinator_action> &actions, time_point now);
    void updateLocalQuotas(std::vector<work::coordinator_action> &actions, time_point now);
    void resolveAdoptedBacklog(std::vector<work::coordinator_action> &actions, time_point now);
    void updateBacklogs(std::vector<work::coordinator_action> &actions, time_point now);
    void feedCoordinator(const work::coordinator_event &event,
                         std::vector<work::coordinator_action> &actions, time_point now);
    void handleTaskChange(const work::task_changed &change, time_point now);
    void adoptRecordedTasks(time_point now);
    void acceptJob(const work::job_spec &job, const placement::task_spec &pattern,
                   std::vector<work::coordinator_action> &actions, time_point now);
    resources reservationFor(const placement::task_spec &task, const std::string &worker) const;
    void cancelRemovedJobs(const std::set<std::string> &wantedJobs,
                           std::vector<work::coordinator_action> &actions, time_point now);
    void reconcileWorkers(const std::map<std::string, reported_worker> &workers, time_point now);
    std::string jobIdFor(const std::string &name, std::uint64_t generation) const;
    work::job_spec shardPartOf(work::job_spec job) const;
    work::cpu_limit_decided cpuLimitFor(const placement::throttle_action &action);
    resources reservationAboveDeclared(const placement::task_ref &task,
                                       const resources &reserved) const;
    void logTask(std::string_view event, const work::task_changed &change) const;

    work::shard_tenure m_tenure;
    work::task_coordinator m_coordinator;
    work::quota_parts m_quotaParts;
    std::map<std::string, resources> m_teamLimits; // by team that has one
    work::lease_settings m_leaseSettings;          //
    std::size_t m_maxBacklogPerWorker;             // tasks placed ahead, at most
    placement::placer m_placer;
    std::size_t m_shardCount; // all there are; a job's tasks are dealt out to them in turn
    metrics &m_metrics;
    const logger &m_log;

    bool m_hasAdopted = false; // the placer knows what the table held at takeover
    // Backlogs of an earlier owner, and when a task that nothing was heard of is known to wait.
    std::map<work::task_id, time_point> m_adoptedBacklog;
    std::uint64_t m_appliedGeneration = 0; // followed
    std::set<std::string> m_usableWorkers; // the placer may use
    std::set<work::task_id>
            m_tasksKnownBySizeOnly; // adopted at takeover, their configuration is not known
    std::map<work::task_id, std::uint32_t> m_seenFailures; // as last seen
    std::map<std::string, std::string> m_refusalReasons;   // by task, the newest reason
    std::map<std::string, microseconds> m_latencyTargets;  // by service job id
};

} // namespace zinniabarrow
