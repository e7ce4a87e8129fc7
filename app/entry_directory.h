// The other entries of the system as one entry knows them: their addresses and whether they are
// alive. Decides which entry takes over the jobs of a dead one, and which places a service's tasks.
//
// Placers are the entries that own jobs and place their tasks: those with at least a quarter of the
// processor time of the strongest live one. The others only take callers' requests and hand jobs to
// placers, because reports of all workers would use up what little processor time they have.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow {

// An entry's row in the platform's store.
struct entry_row
{
    std::int64_t incarnation = 0; // higher after each restart
    std::string internalAddress;  // "ip:port" for zinniabarrow's own processes
    std::string callersAddress;   // "ip:port" for callers
    std::int64_t millicores = 0;  // processor capacity of its instance, 1/1000 core; 0: unknown
};
std::string toText(const entry_row &row);
entry_row entryRowFrom(const std::string &text); // throws error BadRequest

// What is known of another entry.
struct known_entry
{
    entry_row row;
    time_point lastHeartbeatAt{};
    bool isLeaving = false; // is shutting down gracefully: other entries take over its jobs at once
};

class entry_directory
{
public:
    // An entry without a heartbeat for this long counts as dead, and other entries take over its
    // jobs. The limit is long enough that three pings in a row have to fail. A false alarm is safe
    // and costs one write per job, because the owner of a row changes only by a conditional write.
    static constexpr milliseconds HeartbeatTimeout{1600};

    // `self`: the name of the entry that keeps this directory; `millicores`: as in its entry_row.
    explicit entry_directory(std::string self, time_point startedAt, std::int64_t millicores = 0);

    // Applies an entry's row from the store or from a ping. Rows of earlier incarnations are
    // ignored.
    void updateRow(const std::string &entry, const entry_row &row);
    // Applies a ping or the answer to one. Ignored for unknown entries and earlier incarnations.
    void recordHeartbeat(const std::string &entry, std::int64_t incarnation, bool leaving,
                         time_point now);
    void removeEntry(const std::string &entry);

    const known_entry *find(const std::string &entry) const;
    const std::map<std::string, known_entry> &entries() const { return m_entries; }
    // Alive: heard from within HeartbeatTimeout and not leaving. False for unknown entries.
    bool isAlive(const std::string &entry, time_point now) const;
    std::vector<std::string> liveInternalAddresses(time_point now) const;
    bool isPlacer(time_point now) const; // this entry
    // The live placers except this entry, in an order that depends on the key, so that forwarded
    // work is spread over all of them.
    std::vector<std::string> placersFor(const std::string &key, time_point now) const;
    // Whether this entry has to ping the other one. Of a placer and another entry, the other one
    // pings; the answer is a heartbeat, too.
    bool shouldPing(const std::string &entry, time_point now) const;
    // To be called at least once per ping interval. While this entry is no placer it does not know
    // which of the other non-placers are alive; successorOf() takes that into account.
    void recordRole(time_point now);
    // The one entry that places all long-running tasks of a service. All entries choose the same
    // one while they agree on which entries are alive.
    std::string placerOf(const std::string &service, time_point now) const;
    // The entry that prefers this worker when it places tasks. Entries that prefer different
    // workers rarely choose the same free capacity at the same moment.
    std::string homeOf(const std::string &worker, time_point now) const;
    // The entry that should take over a job of `owner`; `self` is this entry. An entry takes over
    // the jobs of its own earlier incarnation. None if the owner is alive, or if this entry has not
    // run long enough to judge that.
    std::optional<std::string> successorOf(const std::string &job, const jobs::owner_id &owner,
                                           const jobs::owner_id &self, time_point now) const;

private:
    std::vector<std::string> liveEntries(time_point now) const;
    std::vector<std::string> livePlacers(time_point now) const; // this entry included, if it is one
    // Least processor time of a placer, 1/1000 core.
    std::int64_t minPlacerMillicores(time_point now) const;
    // The live placer, this one included, that ranks first for the key. The same at all entries
    // that agree on which entries are alive.
    std::string preferredLiveEntry(const std::string &key, time_point now) const;

    std::string m_self;
    std::int64_t m_millicores; // 0: unknown, and then this entry is a placer
    time_point m_startedAt;
    time_point m_lastNoPlacerAt{}; // when this entry was last seen not to be a placer
    std::map<std::string, known_entry> m_entries; // without this entry itself
};

} // namespace zinniabarrow
