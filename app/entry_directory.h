// The entries of the system: which there are, where, and which of them live.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow {

// An entry as its row in the platform's store tells it.
struct entry_row
{
    std::int64_t incarnation = 0; // rises with each life
    std::string internalAddress;  // "ip:port" for the system's own processes
    std::string callerAddress;    // "ip:port" for callers
};
std::string toText(const entry_row &row);
entry_row entryRowFrom(const std::string &text); // throws error BadRequest

struct known_entry
{
    entry_row row;
    time_point lastHeartbeatAt{};
    bool isLeaving = false; // a planned stop: its jobs go to others at once
};

class entry_directory
{
public:
    // An entry that is silent for longer is taken as gone: its jobs go to others. A false alarm
    // costs a write a job, since rows change owner only under a condition; three calls in a row
    // have to fail.
    static constexpr milliseconds HeartbeatTimeout{1600};

    explicit entry_directory(std::string self, time_point startedAt);

    void updateRow(const std::string &entry, const entry_row &row);
    void recordHeartbeat(const std::string &entry, std::int64_t incarnation, bool leaving,
                         time_point now);
    void removeEntry(const std::string &entry);

    const known_entry *find(const std::string &entry) const;
    const std::map<std::string, known_entry> &entries() const { return m_entries; }
    bool isAlive(const std::string &entry, time_point now) const;
    std::vector<std::string>
    liveInternalAddresses(time_point now) const; // internal addresses, live ones
    // Living entries other than this one, in an order that differs by key: who passes work on
    // spreads it so.
    std::vector<std::string> liveEntriesFor(const std::string &key, time_point now) const;
    // The entry that places what all entries should place as one; the same at all of them as long
    // as they agree on who lives.
    std::string placerOf(const std::string &service, time_point now) const;
    // The entry that should take over a job of `owner`; none: the owner lives.
    std::optional<std::string> successorOf(const std::string &job, const jobs::owner_id &owner,
                                           const jobs::owner_id &self, time_point now) const;

private:
    std::vector<std::string> liveEntries(time_point now) const;
    // The same at all entries that agree on who lives.
    std::string preferredLiveEntry(const std::string &key, time_point now) const;

    std::string m_self;
    time_point m_startedAt;
    std::map<std::string, known_entry> m_entries; // without itself
};

} // namespace zinniabarrow
