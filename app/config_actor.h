// The entry's configuration duty: watches the operators' folder, accepts generations, tells the
// other processes, and answers operators.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "app/await_reply.h"
#include "app/outbound_calls.h"
#include "app/request_actor.h"
#include "base/log.h"
#include "config/generations.h"
#include "config/operator_view.h"
#include "config/settings.h"
#include "runtime/event_actor.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

struct adopted_configuration
{
    std::uint64_t generation = 0;
    std::shared_ptr<const config::configuration> mergedConfig;
};

class config_actor
{
public:
    config_actor(actor_runtime &system, const config::entry_settings &settings,
                 const process_identity &self, platform_executor &platform, rpc_sender &sender,
                 metrics &counters, const logger &log,
                 std::function<void(adopted_configuration)> adopted);
    ~config_actor();

    // May this entry serve callers? Not before it knows the highest generation in force.
    bool isReady() const { return m_ready; }
    std::uint64_t generation() const { return m_generation; }

    void receiveReport(const config::generation_report &report);
    Json::Value ownReport() const; // this entry's own
    void membersChanged(const members_snapshot &snapshot);

    // JSON-RPC bodies; they wait for the duty or for the platform.
    Json::Value
    handleGenerationPush(const Json::Value &parameters);    // {report}; answers the own report
    Json::Value readContent(const Json::Value &parameters); // {digest}
    Json::Value folderView();
    Json::Value fileStatus(const Json::Value &parameters); // {name, version}
    Json::Value putFile(const Json::Value &parameters);    // {name, content, version?}
    Json::Value removeFile(const Json::Value &parameters); // {name, version?}

    void stop();

private:
    struct manager_query
    {
        std::function<Json::Value(const config::generation_manager &, time_point)> answer;
        reply_promise reply;
    };
    struct process_addresses
    {
        std::map<std::string, std::string> addresses; // by process id
    };
    using event = std::variant<config::generation_event, manager_query, process_addresses>;

    Json::Value
    queryAndWait(std::function<Json::Value(const config::generation_manager &, time_point)> how);
    Json::Value writeFile(std::function<write_result(platform_client &)> write);

    void handle(event &newEvent);
    void feed(const config::generation_event &newEvent);
    void perform(const config::read_accepted_row &action);
    void perform(const config::list_folder &action);
    void perform(const config::read_files &action);
    void perform(const config::write_content &action);
    void perform(const config::commit_generation &action);
    void perform(const config::remove_content &action);
    void perform(const config::read_content &action);
    void perform(const config::adopt_generation &action);
    void perform(const config::push_generation &action);
    void push(const std::string &address, const config::generation_report &report);
    void post(config::generation_event newEvent);

    const config::entry_settings m_settings;
    const process_identity m_self;
    platform_executor &m_platform;
    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;
    std::function<void(adopted_configuration)> m_onAdopted;
    std::atomic<bool> m_ready{false};
    std::atomic<std::uint64_t> m_generation{0};

    mutable std::mutex m_mutex;
    Json::Value m_report; // under m_mutex

    // Touched by the duty's thread alone.
    config::generation_manager m_manager;
    std::map<std::string, std::string> m_addresses; // by process id

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all of the above
};

} // namespace zinniabarrow
