// Heartbeats between entries. Each ping and each answer carries the sender's name and its row of
// the store's table of entries, whether it is shutting down, and the version of the configuration
// that it uses, by which an entry with an older one learns that its own is outdated.
#pragma once

#include <functional>
#include <string>

#include "app/configuration_follower.h"
#include "app/entry_directory.h"
#include "base/event_log.h"
#include "net/http_client.h"

namespace zinniabarrow {

// The parts of an entry that entry_pings uses. All of them must outlive it.
struct entry_pings_dependencies
{
    net::http_client &client; // sends the pings
    configuration_follower &configuration;
    entry_directory &directory;
    event_log &log;
};

class entry_pings
{
public:
    // `self`: name of this entry. `isLeaving`: whether it is shutting down.
    entry_pings(std::string self, const entry_pings_dependencies &dependencies,
                std::function<bool()> isLeaving);

    // The row of this incarnation of the entry, to be sent in pings. Set before the first ping.
    void setOwnRow(const entry_row &ownRow) { m_ownRow = ownRow; }
    // Sends a ping to each entry that entry_directory::shouldPing() names, alive or not, and
    // applies the answers when they arrive. Called periodically, and at once when the directory or
    // isLeaving has changed.
    void pingAll();
    // Applies another entry's ping and returns the body of the answer. Throws error BadRequest.
    std::string handlePing(const std::string &ping);

private:
    // The content of a ping, and of the answer to one.
    std::string selfDescription() const;
    void applyDescription(const std::string &text);

    std::string m_self;
    net::http_client &m_client;
    configuration_follower &m_configuration;
    entry_directory &m_directory;
    event_log &m_log;
    std::function<bool()> m_isLeaving;
    entry_row m_ownRow;
};

} // namespace zinniabarrow
