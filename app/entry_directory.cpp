#include "app/entry_directory.h"

#include <algorithm>

#include "base/hash.h"
#include "base/json.h"
#include "base/json_member.h"
#include "jobs/value_limits.h"
#include "runtime/http.h"

namespace zinniabarrow {

std::string toText(const entry_row &row)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = Json::Int64(row.incarnation);
    value["internal"] = row.internalAddress;
    value["callers"] = row.callersAddress;
    if (row.millicores > 0)
        value["millicores"] = Json::Int64(row.millicores);
    return compactJson(value);
}

entry_row entryRowFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    entry_row row{integerMemberUpTo(value, "incarnation", jobs::MaxCounter),
                  stringMember(value, "internal"), stringMember(value, "callers")};
    for (const auto &address : {row.internalAddress, row.callersAddress})
        parseAddress(address);
    // Entries of the previous release don't write it.
    if (value.isMember("millicores"))
        row.millicores = integerMemberUpTo(value, "millicores", jobs::MaxAmount);
    return row;
}

entry_directory::entry_directory(std::string self, time_point startedAt, std::int64_t millicores)
    : m_self(std::move(self))
    , m_millicores(millicores)
    , m_startedAt(startedAt)
{ }

void entry_directory::updateRow(const std::string &entry, const entry_row &row)
{
    if (entry == m_self)
        return;
    auto &known = m_entries[entry];
    if (row.incarnation < known.row.incarnation)
        return;
    if (row.incarnation > known.row.incarnation)
        known.isLeaving = false;
    known.row = row;
}

void entry_directory::recordHeartbeat(const std::string &entry, std::int64_t incarnation,
                                      bool leaving, time_point now)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end() || incarnation < found->second.row.incarnation)
        return;
    found->second.row.incarnation = incarnation;
    found->second.lastHeartbeatAt = now;
    found->second.isLeaving = leaving;
}

void entry_directory::removeEntry(const std::string &entry)
{
    m_entries.erase(entry);
}

const known_entry *entry_directory::find(const std::string &entry) const
{
    const auto found = m_entries.find(entry);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool entry_directory::isAlive(const std::string &entry, time_point now) const
{
    const auto *known = find(entry);
    return known != nullptr && !known->isLeaving && now - known->lastHeartbeatAt < HeartbeatTimeout;
}

std::vector<std::string> entry_directory::liveInternalAddresses(time_point now) const
{
    std::vector<std::string> addresses;
    for (const auto &name : liveEntries(now))
        addresses.push_back(find(name)->row.internalAddress);
    return addresses;
}

std::string entry_directory::placerOf(const std::string &service, time_point now) const
{
    return preferredLiveEntry(service, now);
}

std::string entry_directory::homeOf(const std::string &worker, time_point now) const
{
    return preferredLiveEntry(worker, now);
}

std::string entry_directory::preferredLiveEntry(const std::string &key, time_point now) const
{
    return rendezvousOrder(key, livePlacers(now)).front();
}

std::int64_t entry_directory::minPlacerMillicores(time_point now) const
{
    // With less, the workers' reports leave an entry too little processor time for callers.
    constexpr std::int64_t StrongestToLeast = 4;
    auto strongest = m_millicores;
    for (const auto &name : liveEntries(now))
        strongest = std::max(strongest, find(name)->row.millicores);
    return strongest / StrongestToLeast;
}

bool entry_directory::isPlacer(time_point now) const
{
    return m_millicores == 0 || m_millicores >= minPlacerMillicores(now);
}

std::vector<std::string> entry_directory::livePlacers(time_point now) const
{
    const auto least = minPlacerMillicores(now);
    std::vector<std::string> placers;
    for (const auto &name : liveEntries(now)) {
        const auto millicores = find(name)->row.millicores;
        if (millicores == 0 || millicores >= least)
            placers.push_back(name);
    }
    if (m_millicores == 0 || m_millicores >= least)
        placers.push_back(m_self);
    return placers;
}

std::vector<std::string> entry_directory::placersFor(const std::string &key, time_point now) const
{
    auto placers = rendezvousOrder(key, livePlacers(now));
    std::erase(placers, m_self);
    return placers;
}

bool entry_directory::shouldPing(const std::string &entry, time_point now) const
{
    const auto *known = find(entry);
    if (known == nullptr)
        return false;
    const auto millicores = known->row.millicores;
    return millicores == 0 || millicores >= minPlacerMillicores(now);
}

void entry_directory::recordRole(time_point now)
{
    if (!isPlacer(now))
        m_lastNoPlacerAt = now;
}

std::vector<std::string> entry_directory::liveEntries(time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, known] : m_entries) {
        if (isAlive(name, now))
            names.push_back(name);
    }
    return names;
}

std::optional<std::string> entry_directory::successorOf(const std::string &job,
                                                        const jobs::owner_id &owner,
                                                        const jobs::owner_id &self,
                                                        time_point now) const
{
    if (owner.entry == self.entry)
        return owner.incarnation == self.incarnation ? std::nullopt : std::optional(self.entry);
    if (isAlive(owner.entry, now)) {
        // Also if it has restarted: then it takes over the jobs of its own earlier incarnation.
        return std::nullopt;
    }
    // After this entry's start, or since it has become a placer, no other one counts as dead before
    // it had time to send a heartbeat.
    if (now - std::max(m_startedAt, m_lastNoPlacerAt) < HeartbeatTimeout)
        return std::nullopt;
    return preferredLiveEntry(job, now);
}

} // namespace zinniabarrow
