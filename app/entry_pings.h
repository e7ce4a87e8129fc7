// The entries tell each other that they live, whether they leave, and which configuration they work
// by.
#pragma once

#include <functional>
#include <string>

#include "app/configuration_follower.h"
#include "app/entry_directory.h"
#include "base/event_log.h"
#include "net/http_caller.h"

namespace zinniabarrow {

// What an entry consists of, as far as its pings need it; all of it outlives them.
struct entry_pings_dependencies
{
    net::http_caller &caller;
    configuration_follower &configuration;
    entry_directory &directory;
    event_log &log;
};

class entry_pings
{
public:
    entry_pings(std::string self, const entry_pings_dependencies &dependencies,
                std::function<bool()> isLeaving);

    void setOwnRow(const entry_row &ownRow) { m_ownRow = ownRow; } // this life of the entry
    void pingAll();
    // Another entry's ping, and what it is answered. Throws error BadRequest.
    std::string handlePing(const std::string &ping);

private:
    std::string selfDescription() const;
    void applyDescription(const std::string &text);

    std::string m_self;
    net::http_caller &m_caller;
    configuration_follower &m_configuration;
    entry_directory &m_directory;
    event_log &m_log;
    std::function<bool()> m_isLeaving;
    entry_row m_ownRow;
};

} // namespace zinniabarrow
