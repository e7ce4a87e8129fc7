// Announces the agent's upstream and worker to the entries: which service the upstream serves, its
// state and load, and which configuration generation the agent follows. Entries route requests only
// to upstreams that are announced.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/outbound_calls.h"
#include "app/request_actor.h"
#include "config/report_throttle.h"
#include "config/settings.h"
#include "request/announcer.h"
#include "runtime/event_actor.h"

namespace zinniabarrow {

class announcement_actor
{
public:
    // `load` and `generationReport` are called on the actor's thread for the messages.
    // `onSuperseded` is called there once, when a newer process announces itself under this agent's
    // id: this process must stop then.
    announcement_actor(actor_runtime &system, const config::agent_settings &settings,
                       const process_identity &self, const std::string &ownAddress,
                       rpc_sender &sender, std::function<request::upstream_load()> load,
                       std::function<config::generation_report()> generationReport,
                       std::function<void()> onSuperseded);
    ~announcement_actor();

    // Announces the new state. Leaving is sent to every entry immediately and repeated until each
    // entry has acknowledged it or counts as unresponsive; isLeaveComplete() is true then.
    void setState(request::upstream_state state);
    bool isLeaveComplete() const { return m_isLeaveComplete; }
    void stop();

private:
    struct announce_reply
    {
        std::string entry;
        std::optional<config::generation_report> sentReport; // with the answered message
        std::optional<Json::Value> reply;
    };
    using event = std::variant<request::upstream_state, announce_reply>;

    void handle(event &newEvent);
    void tick();
    void handleReply(const announce_reply &answer);
    void send(const request::announcer::outgoing_message &message);

    rpc_sender &m_sender;
    std::function<request::upstream_load()> m_load;
    std::function<config::generation_report()> m_generationReport;
    std::atomic<bool> m_isLeaveComplete{false};
    std::function<void()> m_onSuperseded;
    bool m_isSupersededReported = false;

    // Used only on the actor's thread.
    request::announcer m_announcer;
    config::report_throttle m_reportThrottle;

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all members above
};

} // namespace zinniabarrow
