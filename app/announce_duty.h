// The agent's announce duty: tells the entries of its upstream and worker.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/lanes.h"
#include "app/request_duty.h"
#include "config/settings.h"
#include "request/announcement.h"
#include "runtime/duty.h"

namespace zinniabarrow {

class announce_duty
{
public:
    announce_duty(duty_system &system, const config::agent_settings &settings,
                  const process_identity &self, const std::string &ownAddress, rpc_sender &sender,
                  std::function<request::upstream_load()> load);
    ~announce_duty();

    // Leaving goes to every entry at once, and again until each has acknowledged it.
    void setState(request::upstream_state state);
    // Every entry that answers at all has acknowledged the newest state.
    bool acknowledged() const { return m_acknowledged; }
    void stop();

private:
    struct state_change
    {
        request::upstream_state state;
    };
    struct reply_heard
    {
        std::size_t entry;
        request::upstream_state told;
        std::optional<Json::Value> reply;
    };
    using event = std::variant<state_change, reply_heard>;

    struct entry_target
    {
        std::string address;
        bool whole = true; // the next message is the whole announcement
        bool waiting = false;
        bool answered = false; // its last message
        request::upstream_state acknowledged = request::upstream_state::Starting;
        time_point dueAt{};
    };

    void handle(event &what);
    void tick();
    void announceTo(std::size_t index, time_point now);
    void noteAcknowledged();

    const config::agent_settings m_settings;
    rpc_sender &m_sender;
    std::function<request::upstream_load()> m_load;
    std::atomic<bool> m_acknowledged{false};

    // Touched by the duty's thread alone.
    request::announcement m_self;
    std::vector<entry_target> m_entries;

    std::unique_ptr<duty<event>> m_duty; // last: its thread uses all of the above
};

} // namespace zinniabarrow
