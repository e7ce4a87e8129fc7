// Simulates agents and entries that exchange their real messages in virtual time, and counts bytes.
// Each agent has one upstream, to which entries route requests.
//
//   mesh_settings   sizes and delays
//   mesh            advances in steps; nodes can be disconnected, stopped and restarted
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
    milliseconds step{100};     // a message is delivered one step after it was sent
    int packetHeaderBytes = 28; // added to the size of each message
    double lossFraction = 0;    // fraction of messages that are lost, 0 to 1
    std::uint64_t seed = 1;     // of the random message loss
    announcer_settings announcerSettings;
    membership_settings membershipSettings;
};

// Runs the real announcers of agents and the real membership of entries. A node is an agent or an
// entry; its name is agentName() or entryName().
class mesh
{
public:
    explicit mesh(const mesh_settings &settings);

    void runFor(milliseconds time);
    time_point now() const { return m_now; }

    static std::string agentName(int index) { return "agent-" + std::to_string(index); }
    // An entry is identified by its address.
    static std::string entryName(int index) { return "10.0.9." + std::to_string(index) + ":7000"; }

    membership &entry(int index) { return *m_entries.at(entryName(index)).membershipState; }
    announcer &agent(int index) { return *m_agents.at(agentName(index)); }
    const std::vector<std::string> &entryNames() const { return m_entryNames; }
    // Whether the entry may route to the agent's upstream.
    bool canRoute(int entryIndex, int agentIndex) const;
    int countRoutableAt(int entryIndex) const; // agents whose upstream the entry may route to
    int countEntriesRoutingTo(int agentIndex) const;

    // Drops all messages between two nodes, in both directions.
    void disconnect(const std::string &firstNode, const std::string &secondNode);
    void reconnectAll() { m_disconnected.clear(); }

    void stopAgent(int index);
    void startAgent(int index); // as a new process with a newer incarnation
    void stopEntry(int index);
    void startEntry(int index); // likewise; it knows no agents yet

    struct traffic
    {
        std::uint64_t sent = 0; // bytes, packet headers and lost messages included
        std::uint64_t received = 0;
        std::uint64_t messages = 0; // number of sent and of received messages, added up
    };
    const traffic &trafficOf(const std::string &node) { return m_traffic[node]; }
    void resetTraffic() { m_traffic.clear(); }

private:
    struct entry_node
    {
        std::unique_ptr<membership> membershipState;
        // Agents whose upstream has joined and not left by the changes that membershipState
        // returned: a router would route to these.
        std::set<std::string> routable;
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
    std::uint64_t m_incarnation = 1764716400000; // as many digits as a Unix time in ms
    std::map<std::string, std::unique_ptr<announcer>> m_agents;
    std::map<std::string, entry_node> m_entries;
    std::vector<std::string> m_entryNames;
    std::set<std::pair<std::string, std::string>> m_disconnected;
    std::map<std::string, traffic> m_traffic;
    std::deque<std::function<void()>> m_messagesInFlight;
};

} // namespace zinniabarrow
