// Asks entries whether they reach the platform's store while this agent doesn't. Used by the agent;
// what the answers mean is decided by jobs::outage_evidence.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/store_client.h"
#include "base/event_log.h"
#include "jobs/outage_evidence.h"
#include "net/http_client.h"

namespace zinniabarrow {

constexpr const char *StoreStatePath = "/v1/store-state"; // answered by entries
constexpr milliseconds OutageProbeInterval{400};

class outage_probe
{
public:
    using entries_provider = std::function<std::vector<std::string>()>;

    // `entries` returns the internal addresses of all entries.
    outage_probe(net::http_client &client, const store_client &store, entries_provider entries,
                 event_log &log);

    void probe(); // called every OutageProbeInterval
    bool isStoreAwayForEntries(time_point now) const
    {
        return m_evidence.isStoreAwayForEntries(now);
    }

private:
    void ask(const std::string &entry);
    void logChange(time_point now);

    net::http_client &m_client;
    const store_client &m_store;
    entries_provider m_entries;
    event_log &m_log;
    jobs::outage_evidence m_evidence;
    std::size_t m_nextEntry = 0;
    bool m_wasAway = false; // at the last logChange()
};

} // namespace zinniabarrow
