// The entry's scheduling duty: owns shards of workers, places tasks, grants them to agents.
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

class schedule_duty
{
public:
    schedule_duty(duty_system &system, const config::entry_settings &settings,
                  const process_identity &self, platform_lane &platform, rpc_sender &sender,
                  metrics &counters, const logger &log);
    ~schedule_duty();

    void membersChanged(members_snapshot snapshot);
    void configurationAdopted(adopted_configuration adopted);

    // JSON-RPC bodies; they wait for the duty.
    Json::Value report(const Json::Value &parameters); // an agent's report; may answer a grant
    Json::Value usage(const Json::Value &parameters);  // an agent's late measurements
    Json::Value status();
    Json::Value explain(const Json::Value &parameters); // {task}

    void drain(); // hands the shards over
    bool drained() const { return m_drained; }
    void stop();

private:
    struct report_heard
    {
        work::agent_report report;
        worker_place place;
        reply_promise reply;
    };
    struct usage_heard
    {
        Json::Value parameters;
        reply_promise reply;
    };
    struct status_asked
    {
        reply_promise reply;
    };
    struct explain_asked
    {
        work::task_id task;
        reply_promise reply;
    };
    struct table_answer // for the task table that was owned under `epoch`
    {
        int shard = 0;
        std::uint64_t epoch = 0;
        work::coordinator_event answer;
    };
    using event = std::variant<members_snapshot, adopted_configuration, work::shard_rows_read,
                               work::shard_write_answered, table_answer, report_heard, usage_heard,
                               status_asked, explain_asked, work::release_shards>;

    void handle(event &what);
    void on(members_snapshot &what);
    void on(adopted_configuration &what);
    void on(work::shard_rows_read &what);
    void on(work::shard_write_answered &what);
    void on(table_answer &what);
    void on(report_heard &what);
    void on(usage_heard &what);
    void on(status_asked &what);
    void on(explain_asked &what);
    void on(work::release_shards &what);
    void tick();

    std::map<int, work::unresponsive_workers> quietWorkers() const;
    void feedOwner(const work::ownership_event &what);
    void perform(const work::commit_shard &action);
    void perform(const work::scan_shards &action);
    void perform(const work::became_owner &action);
    void perform(const work::lost_shard &action);
    void performAll(owned_shard &shard, const std::vector<work::coordinator_action> &actions);
    void commitRows(const owned_shard &shard, const work::commit_rows &action);
    void readRows(const owned_shard &shard, std::vector<std::string> keys, std::string prefix);
    void sendGrant(const work::worker_grant &grant);
    owned_shard *shardOf(const std::string &worker);

    const config::entry_settings m_settings;
    const process_identity m_self;
    platform_lane &m_platform;
    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;
    std::atomic<bool> m_drained{false};

    // Touched by the duty's thread alone.
    std::vector<work::shard_info> m_shardInfos;
    work::shard_ownership m_owner;
    std::map<int, std::unique_ptr<owned_shard>> m_shards;
    std::map<std::string, worker_place> m_workers; // by worker id
    work::usage_tracker m_usage;                   // of the workers of the own shards
    adopted_configuration m_configuration;
    std::optional<work::worker_grant> m_replyGrant; // to the report being handled
    std::optional<work::agent_report> m_handling;   // the report being handled
    bool m_releasing = false;
    time_point m_planAt{}; // next round of placement

    std::unique_ptr<duty<event>> m_duty; // last: its thread uses all of the above
};

} // namespace zinniabarrow
