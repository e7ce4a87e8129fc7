// The agent's side of configuration: puts the highest generation in force that any entry reports.
// The decisions are made by config/generation_follower.h; the actor has the thread and makes the
// calls.
#pragma once

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "app/await_reply.h"
#include "app/outbound_calls.h"
#include "base/log.h"
#include "config/generation_follower.h"
#include "config/settings.h"
#include "runtime/event_actor.h"

namespace zinniabarrow {

// The public functions may be called from any thread.
class config_follower_actor
{
public:
    config_follower_actor(actor_runtime &system, const config::agent_settings &settings,
                          rpc_sender &sender, metrics &counters, const logger &log);
    ~config_follower_actor();

    // JSON-RPC method with {report, address}, where `address` is the rpc address of the entry that
    // sent the report. Returns this process's own report.
    Json::Value handleGenerationPush(const Json::Value &parameters);
    // Sent with announcements, so that entries know which generation is in force in each process.
    config::generation_report report() const;
    void stop();

private:
    struct generation_push
    {
        config::generation_report report;
        std::string address; // rpc address of the entry that pushes
        reply_promise reply;
    };
    using event = std::variant<generation_push, config::content_read>;

    void handle(event &newEvent);
    void feed(const config::generation_event &newEvent);
    void fetchContent(const config::read_content &action);

    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;

    mutable std::mutex m_mutex;
    config::generation_report m_report; // guarded by m_mutex

    // Used only on the actor's thread.
    config::generation_follower m_follower;
    std::map<std::string, std::string> m_entryAddresses; // rpc addresses, by entry id
    std::string m_lastEntryAddress; // rpc address of the entry that pushed most recently

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all members above
};

} // namespace zinniabarrow
