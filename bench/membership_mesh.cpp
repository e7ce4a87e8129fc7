#include "membership_mesh.h"

#include <utility>

#include "base/json.h"

namespace zinniabarrow {

mesh::mesh(const mesh_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    for (int i = 0; i < settings.entries; ++i)
        m_entryNames.push_back(entryName(i));
    for (int i = 0; i < settings.entries; ++i)
        startEntry(i);
    for (int i = 0; i < settings.agents; ++i)
        startAgent(i);
}

void mesh::startEntry(int index)
{
    auto settings = m_settings.membershipSettings;
    settings.entryId = entryName(index);
    settings.incarnation = nextIncarnation();
    m_entries[settings.entryId] = {std::make_unique<membership>(settings), {}};
}

void mesh::stopEntry(int index)
{
    m_entries.erase(entryName(index));
}

void mesh::startAgent(int index)
{
    auto settings = m_settings.announcerSettings;
    settings.entries = m_entryNames;
    announcement sender;
    sender.agentId = agentName(index);
    sender.address =
            "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7100";
    sender.zone = "kartli-a";
    sender.region = "kartli";
    sender.rack = "rack-" + std::to_string(index / 3);
    sender.service = "tickets";
    sender.workerId = "worker-" + std::to_string(index);
    sender.workerSize = {16000, 60LL << 30, 2};
    sender.slots = 8;
    sender.incarnation = nextIncarnation();
    sender.state = upstream_state::Serving;
    sender.load = {5, 2, microseconds(20000)};
    m_agents[sender.agentId] = std::make_unique<announcer>(settings, sender);
}

void mesh::stopAgent(int index)
{
    m_agents.erase(agentName(index));
}

bool mesh::canRoute(int entryIndex, int agentIndex) const
{
    return m_entries.at(entryName(entryIndex)).routable.contains(agentName(agentIndex));
}

int mesh::countRoutableAt(int entryIndex) const
{
    return static_cast<int>(m_entries.at(entryName(entryIndex)).routable.size());
}

int mesh::countEntriesRoutingTo(int agentIndex) const
{
    int count = 0;
    for (const auto &[name, node] : m_entries)
        count += node.routable.contains(agentName(agentIndex)) ? 1 : 0;
    return count;
}

void mesh::disconnect(const std::string &firstNode, const std::string &secondNode)
{
    m_disconnected.insert({firstNode, secondNode});
    m_disconnected.insert({secondNode, firstNode});
}

void mesh::runFor(milliseconds time)
{
    for (milliseconds done{0}; done < time; done += m_settings.step)
        step();
}

void mesh::step()
{
    m_now += m_settings.step;
    const auto arriving = std::exchange(m_messagesInFlight, {});
    for (const auto &deliver : arriving)
        deliver();
    for (auto &[name, node] : m_entries)
        apply(node, node.membershipState->tick(m_now));
    for (auto &[name, sender] : m_agents)
        sendAnnouncements(name, *sender);
    for (auto &[name, node] : m_entries)
        sendDigests(name, node);
}

void mesh::sendMessage(const std::string &from, const std::string &to, const Json::Value &message,
                       std::function<void()> deliver)
{
    const auto bytes =
            compactJson(message).size() + static_cast<std::size_t>(m_settings.packetHeaderBytes);
    m_traffic[from].sent += bytes;
    ++m_traffic[from].messages;
    if (m_disconnected.contains({from, to}) || drawUniform(m_random) < m_settings.lossFraction)
        return;
    m_traffic[to].received += bytes;
    ++m_traffic[to].messages;
    m_messagesInFlight.push_back(std::move(deliver));
}

void mesh::sendAnnouncements(const std::string &name, announcer &sender)
{
    for (const auto &outgoing : sender.tick(m_now)) {
        const auto json =
                std::visit([](const auto &message) { return toJson(message); }, outgoing.message);
        sendMessage(name, outgoing.entry, json,
                    [=, this] { receive(outgoing.entry, name, outgoing); });
    }
}

void mesh::receive(const std::string &entry, const std::string &agent,
                   const announcer::outgoing_message &outgoing)
{
    const auto receiver = m_entries.find(entry);
    if (receiver == m_entries.end())
        return;
    const auto outcome = std::visit(
            [&](const auto &message) {
                return receiver->second.membershipState->handleMessage(message, m_now);
            },
            outgoing.message);
    apply(receiver->second, outcome.changes);
    if (!outcome.shouldReply && std::holds_alternative<heartbeat>(outgoing.message))
        return;
    sendMessage(entry, agent, toJson(outcome.reply), [=, this] {
        const auto found = m_agents.find(agent);
        if (found != m_agents.end())
            found->second->handleReply(entry, outcome.reply, m_now);
    });
}

void mesh::sendDigests(const std::string &name, entry_node &sender)
{
    for (const auto &peer : m_entryNames) {
        if (peer == name)
            continue;
        const auto message = sender.membershipState->digestFor(peer, m_now);
        if (message)
            sendMessage(name, peer, toJson(*message), [=, this] { receive(peer, *message); });
    }
}

void mesh::receive(const std::string &entry, const digest &message)
{
    const auto receiver = m_entries.find(entry);
    if (receiver == m_entries.end())
        return;
    const auto outcome = receiver->second.membershipState->handleMessage(message, m_now);
    apply(receiver->second, outcome.changes);
    if (!outcome.ack)
        return;
    sendMessage(entry, message.senderId, toJson(*outcome.ack), [=, this] {
        const auto found = m_entries.find(message.senderId);
        if (found != m_entries.end())
            found->second.membershipState->handleMessage(*outcome.ack);
    });
}

void mesh::apply(entry_node &receiver, const std::vector<membership_change> &changes)
{
    for (const auto &change : changes) {
        if (const auto *joined = std::get_if<upstream_joined>(&change))
            receiver.routable.insert(joined->upstream.agentId);
        if (const auto *left = std::get_if<upstream_left>(&change))
            receiver.routable.erase(left->agentId);
    }
}

} // namespace zinniabarrow
