// Agents and entries that exchange the real messages in virtual time, with every byte counted.
//
//   mesh_settings   sizes and delays
//   mesh            runs on step by step; ways can be cut, nodes stopped and started again
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "request/announcer.h"
#include "request/membership.h"

namespace zinniabarrow {

using namespace request;

struct mesh_settings
{
    int agents = 11;
    int entries = 3;
    milliseconds step{100};     // a message arrives one step after it was sent
    int packetHeaderBytes = 28; // of the headers of one datagram
    double lossFraction = 0;    // of messages that never arrive
    std::uint64_t seed = 1;     // of the losses
    announcer_settings announcerSettings;
    membership_settings membershipSettings;
};

class mesh
{
public:
    explicit mesh(const mesh_settings &settings);

    void runFor(milliseconds time);
    time_point now() const { return m_now; }

    static std::string agentName(int index) { return "agent-" + std::to_string(index); }
    static std::string entryName(int index) { return "10.0.9." + std::to_string(index) + ":7000"; }

    membership &entry(int index) { return *m_entries.at(entryName(index)).membershipState; }
    announcer &agent(int index) { return *m_agents.at(agentName(index)); }
    const std::vector<std::string> &entryNames() const { return m_entryNames; }
    bool canRoute(int entryIndex, int agentIndex) const;
    int countRoutableAt(int entryIndex) const; // upstreams that this entry may route to
    int countEntriesRoutingTo(int agentIndex) const;

    // Between two nodes, in both directions.
    void disconnect(const std::string &firstNode, const std::string &secondNode);
    void reconnectAll() { m_disconnected.clear(); }

    void stopAgent(int index);
    void startAgent(int index); // as a new process with a newer incarnation
    void stopEntry(int index);
    void startEntry(int index);

    struct traffic
    {
        std::uint64_t sent = 0; // bytes, packet headers included
        std::uint64_t received = 0;
        std::uint64_t messages = 0; // both ways
    };
    const traffic &trafficOf(const std::string &node) { return m_traffic[node]; }
    void resetTraffic() { m_traffic.clear(); }

private:
    struct entry_node
    {
        std::unique_ptr<membership> membershipState;
        std::set<std::string> routable; // as a router would have it
    };

    void step();
    void sendMessage(const std::string &from, const std::string &to, const Json::Value &message,
                     std::function<void()> deliver);
    void sendAnnouncements(const std::string &name, announcer &sender);
    void receive(const std::string &entry, const std::string &agent,
                 const announcer::outgoing_message &outgoing);
    void sendDigests(const std::string &name, entry_node &sender);
    void receive(const std::string &entry, const digest &message);
    static void apply(entry_node &receiver, const std::vector<membership_change> &changes);
    std::uint64_t nextIncarnation() { return ++m_incarnation; }

    mesh_settings m_settings;
    random_generator m_random;
    time_point m_now{seconds(1000)};
    std::uint64_t m_incarnation = 1764716400000;
    std::map<std::string, std::unique_ptr<announcer>> m_agents;
    std::map<std::string, entry_node> m_entries;
    std::vector<std::string> m_entryNames;
    std::set<std::pair<std::string, std::string>> m_disconnected;
    std::map<std::string, traffic> m_traffic;
    std::deque<std::function<void()>> m_messagesInFlight;
};

} // namespace zinniabarrow
