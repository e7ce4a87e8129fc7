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
    auto settings = m_settings.member;
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
    auto settings = m_settings.announce;
    settings.entries = m_entryNames;
    announcement self;
    self.agentId = agentName(index);
    self.address =
            "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7100";
    self.zone = "kartli-a";
    self.region = "kartli";
    self.rack = "rack-" + std::to_string(index / 3);
    self.service = "tickets";
    self.workerId = "worker-" + std::to_string(index);
    self.workerSize = {16000, 60LL << 30, 2};
    self.slots = 8;
    self.incarnation = nextIncarnation();
    self.state = upstream_state::Serving;
    self.load = {5, 2, microseconds(20000)};
    m_agents[self.agentId] = std::make_unique<announcer>(settings, self);
}

void mesh::stopAgent(int index)
{
    m_agents.erase(agentName(index));
}

bool mesh::routes(int entryIndex, int agentIndex) const
{
    return m_entries.at(entryName(entryIndex)).routable.contains(agentName(agentIndex));
}

int mesh::routesAt(int entryIndex) const
{
    return static_cast<int>(m_entries.at(entryName(entryIndex)).routable.size());
}

int mesh::entriesThatRoute(int agentIndex) const
{
    int count = 0;
    for (const auto &[name, node] : m_entries)
        count += node.routable.contains(agentName(agentIndex)) ? 1 : 0;
    return count;
}

void mesh::cut(const std::string &one, const std::string &other)
{
    m_cut.insert({one, other});
    m_cut.insert({other, one});
}

void mesh::runFor(milliseconds time)
{
    for (milliseconds done{0}; done < time; done += m_settings.step)
        step();
}

void mesh::step()
{
    m_now += m_settings.step;
    const auto arriving = std::exchange(m_arriving, {});
    for (const auto &arrive : arriving)
        arrive();
    for (auto &[name, node] : m_entries)
        apply(node, node.members->tick(m_now));
    for (auto &[name, self] : m_agents)
        announceFrom(name, *self);
    for (auto &[name, node] : m_entries)
        digestsFrom(name, node);
}

void mesh::transfer(const std::string &from, const std::string &to, const Json::Value &message,
                    std::function<void()> arrive)
{
    const auto bytes =
            compactJson(message).size() + static_cast<std::size_t>(m_settings.packetBytes);
    m_traffic[from].sent += bytes;
    ++m_traffic[from].messages;
    if (m_cut.contains({from, to}) || drawUniform(m_random) < m_settings.lossShare)
        return;
    m_traffic[to].received += bytes;
    ++m_traffic[to].messages;
    m_arriving.push_back(std::move(arrive));
}

void mesh::announceFrom(const std::string &name, announcer &self)
{
    for (const auto &sent : self.tick(m_now)) {
        const auto json =
                std::visit([](const auto &message) { return toJson(message); }, sent.message);
        transfer(name, sent.entry, json, [=, this] { receive(sent.entry, name, sent); });
    }
}

void mesh::receive(const std::string &entry, const std::string &agent,
                   const announcer::outgoing_message &sent)
{
    const auto at = m_entries.find(entry);
    if (at == m_entries.end())
        return;
    const auto outcome = std::visit(
            [&](const auto &message) { return at->second.members->handleMessage(message, m_now); },
            sent.message);
    apply(at->second, outcome.changes);
    if (!outcome.shouldReply && std::holds_alternative<heartbeat>(sent.message))
        return;
    transfer(entry, agent, toJson(outcome.reply), [=, this] {
        const auto found = m_agents.find(agent);
        if (found != m_agents.end())
            found->second->handleReply(entry, outcome.reply, m_now);
    });
}

void mesh::digestsFrom(const std::string &name, entry_node &self)
{
    for (const auto &peer : m_entryNames) {
        if (peer == name)
            continue;
        const auto message = self.members->digestFor(peer, m_now);
        if (message)
            transfer(name, peer, toJson(*message), [=, this] { receive(peer, *message); });
    }
}

void mesh::receive(const std::string &entry, const digest &message)
{
    const auto at = m_entries.find(entry);
    if (at == m_entries.end())
        return;
    const auto outcome = at->second.members->handleMessage(message, m_now);
    apply(at->second, outcome.changes);
    if (!outcome.ack)
        return;
    transfer(entry, message.senderId, toJson(*outcome.ack), [=, this] {
        const auto found = m_entries.find(message.senderId);
        if (found != m_entries.end())
            found->second.members->handleMessage(*outcome.ack);
    });
}

void mesh::apply(entry_node &at, const std::vector<membership_change> &changes)
{
    for (const auto &change : changes) {
        if (const auto *joined = std::get_if<upstream_joined>(&change))
            at.routable.insert(joined->upstream.agentId);
        if (const auto *left = std::get_if<upstream_left>(&change))
            at.routable.erase(left->agentId);
    }
}

} // namespace zinniabarrow
