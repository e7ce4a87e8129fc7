// The agent's announce duty: tells the entries of its upstream and worker.
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
    announcement_actor(actor_runtime &system, const config::agent_settings &settings,
                       const process_identity &self, const std::string &ownAddress,
                       rpc_sender &sender, std::function<request::upstream_load()> load,
                       std::function<config::generation_report()> generationReport,
                       std::function<void()> onSuperseded);
    ~announcement_actor();

    // Leaving goes to every entry at once, and again until each has answered or was given up.
    void setState(request::upstream_state state);
    bool isLeaveComplete() const { return m_isLeaveComplete; }
    void stop();

private:
    struct announce_reply
    {
        std::string entry;
        std::optional<config::generation_report> sentReport; // by the message that is answered
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
    std::function<void()> m_onSuperseded; // a newer process announces under this id: stop
    bool m_isSupersededReported = false;

    // Touched by the duty's thread alone.
    request::announcer m_announcer;
    config::report_throttle m_reportThrottle;

    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all of the above
};

} // namespace zinniabarrow
