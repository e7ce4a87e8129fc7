// The entry's side of configuration: watches the operators' folder, accepts generations (states of
// the whole folder), tells the other processes of them and answers operators' commands. The
// decisions are made by config/generations.h; the actor has the thread and makes the calls.
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

// A generation that came into force in this entry.
struct adopted_configuration
{
    std::uint64_t generation = 0;
    std::shared_ptr<const config::configuration> mergedConfig;
};

// The public functions may be called from any thread. `onAdopted` is called on the actor's thread.
class config_actor
{
public:
    config_actor(actor_runtime &system, const config::entry_settings &settings,
                 const process_identity &self, platform_executor &platform, rpc_sender &sender,
                 metrics &counters, const logger &log,
                 std::function<void(adopted_configuration)> onAdopted);
    ~config_actor();

    // Whether this entry may serve callers; see generation_manager::isReady.
    bool isReady() const { return m_isReady; }
    std::uint64_t generation() const { return m_generation; } // in force in this entry; 0: none yet

    // Called with each report of another process that arrives in an announcement or heartbeat.
    void receiveReport(const config::generation_report &report);
    Json::Value ownReport() const; // the generation_report of this entry
    // Called when the known agents or entries change; reports are pushed to their addresses.
    void updateMembers(const members_snapshot &snapshot);

    // JSON-RPC methods. They block until the actor or the platform has answered.
    // {report, address}, of which only the report is used; returns this entry's own report
    Json::Value handleGenerationPush(const Json::Value &parameters);
    Json::Value readContent(const Json::Value &parameters); // {digest, scope?, have?}
    Json::Value folderView();                               // a folder_view
    Json::Value fileStatus(const Json::Value &parameters);  // {name, version}
    Json::Value putFile(const Json::Value &parameters);     // {name, content, version?}
    Json::Value removeFile(const Json::Value &parameters);  // {name, version?}

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
    queryAndWait(std::function<Json::Value(const config::generation_manager &, time_point)> query);
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
    std::atomic<bool> m_isReady{false};
    std::atomic<std::uint64_t> m_generation{0};

    mutable std::mutex m_mutex;
    Json::Value m_report; // guarded by m_mutex

    // Used only on the actor's thread.
    config::generation_manager m_manager;
    std::map<std::string, std::string> m_processAddresses; // by process id

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all members above
};

} // namespace zinniabarrow
