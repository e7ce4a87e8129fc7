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
struct worker_place
{
    placement::worker_info worker;
    std::string agentAddress; // ip:port
    bool serving = true;      // false: it is leaving and takes no new tasks
};

class owned_shard
{
public:
    owned_shard(const work::shard_tenure &owner, const std::string &operationPrefix,
                const work::coordinator_settings &tableSettings,
                const placement::placer_settings &placerSettings, std::size_t shards,
                metrics &counters, const logger &log);

    int number() const { return m_owner.shard; }
    std::uint64_t epoch() const { return m_owner.epoch; }

    // Each returns what the daemon must do at the table and at the agents.
    std::vector<work::coordinator_action> handle(const work::coordinator_event &event,
                                                 time_point now);
    // Brings jobs, teams, pools and workers up to date.
    std::vector<work::coordinator_action> follow(const adopted_configuration &adopted,
                                                 const std::map<std::string, worker_place> &workers,
                                                 time_point now);
    // Decides placements, evictions and throttles.
    std::vector<work::coordinator_action> plan(time_point now);

    void usageSampled(const placement::usage_sample &sample, time_point now);
    void latencySampled(const std::string &worker, const std::string &service, microseconds p99,
                        time_point measuredAt, time_point now);

    work::unresponsive_workers quietWorkers(time_point now) const
    {
        return m_table.unresponsiveWorkers(now);
    }
    Json::Value status(time_point now) const;
    std::string explain(const work::task_id &task, time_point now) const;
    bool knows(const work::task_id &task) const;

private:
    void decide(const placement::place_action &action,
                std::vector<work::coordinator_action> &actions, time_point now);
    void shareQuotas(std::vector<work::coordinator_action> &actions, time_point now);
    void decideAdopted(std::vector<work::coordinator_action> &actions, time_point now);
    void decideBacklog(std::vector<work::coordinator_action> &actions, time_point now);
    void feed(const work::coordinator_event &event, std::vector<work::coordinator_action> &actions,
              time_point now);
    void settled(const work::task_changed &change, time_point now);
    void adopt(time_point now);
    void acceptJob(const work::job_spec &job, const placement::task_spec &pattern,
                   std::vector<work::coordinator_action> &actions, time_point now);
    resources reservedFor(const placement::task_spec &task, const std::string &worker) const;
    void cancelMissing(const std::set<std::string> &wanted,
                       std::vector<work::coordinator_action> &actions, time_point now);
    void followWorkers(const std::map<std::string, worker_place> &workers, time_point now);
    std::string jobIdFor(const std::string &name, std::uint64_t generation) const;
    work::job_spec sliceOf(work::job_spec job) const;
    work::cpu_limit_decided limitFor(const placement::throttle_action &action);
    resources aboveDeclared(const placement::task_ref &task, const resources &reserved) const;
    void logTask(std::string_view event, const work::task_changed &change) const;

    work::shard_tenure m_owner;
    work::task_coordinator m_table;
    work::quota_parts m_quotas;
    std::map<std::string, resources> m_teamLimits; // by team that has one
    work::lease_settings m_leases;                 //
    std::size_t m_backlogPerWorker;                // tasks placed ahead, at most
    placement::placer m_placer;
    std::size_t m_shards; // all there are; a job's tasks are dealt out to them in turn
    metrics &m_metrics;
    const logger &m_log;

    bool m_adopted = false; // the placer knows what the table held at takeover
    // Backlogs of an earlier owner, and when a task that nothing was heard of is known to wait.
    std::map<work::task_id, time_point> m_adoptedAhead;
    std::uint64_t m_generation = 0;        // followed
    std::set<std::string> m_workers;       // the placer may use
    std::set<work::task_id> m_bySizeAlone; // adopted at takeover, their configuration is not known
    std::map<work::task_id, std::uint32_t> m_failures;    // as last seen
    std::map<std::string, std::string> m_refusals;        // by task, the newest reason
    std::map<std::string, microseconds> m_latencyTargets; // by service job id
};

} // namespace zinniabarrow
