// The agent's part in configuration: works by the highest generation that the entries tell of.
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

class config_follower_actor
{
public:
    config_follower_actor(actor_runtime &system, const config::agent_settings &settings,
                          rpc_sender &sender, metrics &counters, const logger &log);
    ~config_follower_actor();

    // JSON-RPC body: {report, address}; answers this process's own report.
    Json::Value handleGenerationPush(const Json::Value &parameters);
    // Goes with every announcement, so that entries know who works by which generation.
    config::generation_report report() const;
    void stop();

private:
    struct generation_push
    {
        config::generation_report report;
        std::string address; // of the entry that tells
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
    config::generation_report m_report; // under m_mutex

    // Touched by the duty's thread alone.
    config::generation_follower m_follower;
    std::map<std::string, std::string> m_entryAddresses; // of entries, by id
    std::string m_lastEntryAddress;                      // of the entry that told last

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all of the above
};

} // namespace zinniabarrow
