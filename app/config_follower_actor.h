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

class follow_duty
{
public:
    follow_duty(duty_system &system, const config::agent_settings &settings, rpc_sender &sender,
                metrics &counters, const logger &log);
    ~follow_duty();

    // JSON-RPC body: {report, address}; answers this process's own report.
    Json::Value generationPushed(const Json::Value &parameters);
    // Goes with every announcement, so that entries know who works by which generation.
    config::generation_report report() const;
    void stop();

private:
    struct pushed
    {
        config::generation_report report;
        std::string address; // of the entry that tells
        reply_promise reply;
    };
    using event = std::variant<pushed, config::content_read>;

    void handle(event &what);
    void feed(const config::generation_event &what);
    void fetch(const config::read_content &action);

    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;

    mutable std::mutex m_mutex;
    config::generation_report m_report; // under m_mutex

    // Touched by the duty's thread alone.
    config::generation_follower m_follower;
    std::map<std::string, std::string> m_addresses; // of entries, by id
    std::string m_lastAddress;                      // of the entry that told last

    std::unique_ptr<duty<event>> m_duty; // last: its thread uses all of the above
};

} // namespace zinniabarrow
