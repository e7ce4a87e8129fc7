// The entry's scheduling: owns shards of workers, places tasks on them and sends grants to their
// agents. A grant is the owner's message to an agent that says which tasks may run, with which
// leases.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "app/await_reply.h"
#include "app/config_actor.h"
#include "app/outbound_calls.h"
#include "app/owned_shard.h"
#include "app/request_actor.h"
#include "base/log.h"
#include "config/settings.h"
#include "runtime/event_actor.h"
#include "runtime/metrics.h"
#include "work/ownership.h"
#include "work/usage.h"

namespace zinniabarrow {

class scheduling_actor
{
public:
    scheduling_actor(actor_runtime &system, const config::entry_settings &settings,
                     const process_identity &self, platform_executor &platform, rpc_sender &sender,
                     metrics &counters, const logger &log);
    ~scheduling_actor();

    // Called with the entries that are alive; all of them share the shards.
    void updateMembers(members_snapshot snapshot);
    // Called when the configuration in force has changed.
    void applyConfiguration(adopted_configuration adopted);

    // JSON-RPC methods. They block until the actor has answered.
    Json::Value
    report(const Json::Value &parameters); // an agent's report; the answer may contain a grant
    Json::Value
    usage(const Json::Value &parameters); // an agent's measurements of usage and latency
    Json::Value status();
    Json::Value explain(const Json::Value &parameters); // {task}

    void drain(); // hands all owned shards over to other entries
    bool isDrained() const { return m_isDrained; }
    void stop();

private:
    struct report_request
    {
        work::agent_report report;
        reported_worker reportedWorker;
        reply_promise reply;
    };
    struct usage_request
    {
        Json::Value parameters;
        reply_promise reply;
    };
    struct status_request
    {
        reply_promise reply;
    };
    struct explain_request
    {
        work::task_id task;
        reply_promise reply;
    };
    struct coordinator_answer // for the coordinator of the shard that was owned under `epoch`
    {
        int shard = 0;
        std::uint64_t epoch = 0;
        work::coordinator_event answer;
    };
    using event =
            std::variant<members_snapshot, adopted_configuration, work::shard_rows_read,
                         work::shard_write_answered, coordinator_answer, report_request,
                         usage_request, status_request, explain_request, work::release_shards>;

    void handle(event &newEvent);
    void on(members_snapshot &newEvent);
    void on(adopted_configuration &newEvent);
    void on(work::shard_rows_read &newEvent);
    void on(work::shard_write_answered &newEvent);
    void on(coordinator_answer &newEvent);
    void on(report_request &newEvent);
    void on(usage_request &newEvent);
    void on(status_request &newEvent);
    void on(explain_request &newEvent);
    void on(work::release_shards &newEvent);
    void tick();

    std::map<int, work::unresponsive_workers> listUnresponsiveWorkers() const;
    void feedOwnership(const work::ownership_event &newEvent);
    void perform(const work::commit_shard &action);
    void perform(const work::scan_shards &action);
    void perform(const work::became_owner &action);
    void perform(const work::lost_shard &action);
    void performActions(owned_shard &shard, const std::vector<work::coordinator_action> &actions);
    void commitRows(const owned_shard &shard, const work::commit_rows &action);
    void readRows(const owned_shard &shard, std::vector<std::string> keys, std::string prefix);
    void sendGrant(const work::worker_grant &grant);
    owned_shard *findOwnedShard(const std::string &worker);

    const config::entry_settings m_settings;
    const process_identity m_self;
    platform_executor &m_platform;
    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;
    std::atomic<bool> m_isDrained{false};

    // Used only on the actor's thread.
    std::vector<work::shard_info> m_shardInfos;
    work::shard_ownership m_ownership;
    std::map<int, std::unique_ptr<owned_shard>> m_shards;
    std::map<std::string, reported_worker> m_reportedWorkers; // by worker id
    work::usage_tracker m_usageTracker;                       // of the workers in owned shards
    adopted_configuration m_configuration;
    std::optional<work::worker_grant>
            m_replyGrant; // grant to return with the answer to m_currentReport
    std::optional<work::agent_report> m_currentReport; // set while a report is being handled
    bool m_isReleasing = false;
    time_point m_nextPlanAt{}; // time of the next placement run

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all members above
};

} // namespace zinniabarrow
