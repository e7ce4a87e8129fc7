#include "app/announce_duty.h"

#include <algorithm>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 1024;
constexpr milliseconds TickEvery{20};
constexpr milliseconds RetryAfterSilence{200};

} // namespace

announce_duty::announce_duty(duty_system &system, const config::agent_settings &settings,
                             const process_identity &self, const std::string &ownAddress,
                             rpc_sender &sender, std::function<request::upstream_load()> load)
    : m_settings(settings)
    , m_sender(sender)
    , m_load(std::move(load))
{
    m_self.agentId = settings.id;
    m_self.address = ownAddress;
    m_self.zone = settings.zone;
    m_self.region = settings.region;
    m_self.rack = settings.rack;
    m_self.service = settings.upstream.service;
    m_self.workerId = settings.worker.id;
    m_self.workerSize = {settings.worker.size.millicores, settings.worker.size.bytes,
                         settings.worker.size.accelerators};
    m_self.slots = static_cast<int>(settings.upstream.slots);
    m_self.incarnation = self.incarnation;
    for (const auto &entry : settings.entries) {
        entry_target target;
        target.address = config::toText(entry);
        m_entries.push_back(target);
    }
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { tick(); });
}

announce_duty::~announce_duty() = default;

void announce_duty::setState(request::upstream_state state)
{
    m_acknowledged = false;
    while (!m_duty->post(state_change{state}))
        std::this_thread::sleep_for(TickEvery);
}

void announce_duty::stop()
{
    m_duty->stop();
}

void announce_duty::handle(event &what)
{
    const auto now = monotonic_clock::now();
    if (const auto *change = std::get_if<state_change>(&what)) {
        m_self.state = change->state;
        m_acknowledged = false;
        for (auto &entry : m_entries) {
            entry.whole = true;
            entry.dueAt = now;
        }
        return;
    }
    const auto &heard = std::get<reply_heard>(what);
    auto &entry = m_entries.at(heard.entry);
    entry.waiting = false;
    entry.answered = heard.reply.has_value();
    if (!heard.reply) {
        entry.whole = true; // it may have been replaced and know nothing
        entry.dueAt = now + RetryAfterSilence;
        noteAcknowledged();
        return;
    }
    try {
        const auto reply = request::announceReplyFromJson(*heard.reply);
        entry.whole = reply.sendWhole || heard.told != m_self.state;
        entry.acknowledged = heard.told;
        entry.dueAt = entry.whole ? now : now + std::min(reply.period, m_settings.announce);
    } catch (const error &) {
        entry.dueAt = now + RetryAfterSilence;
    }
    noteAcknowledged();
}

void announce_duty::noteAcknowledged()
{
    m_acknowledged = std::all_of(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
        return entry.acknowledged == m_self.state || (!entry.answered && !entry.waiting);
    });
}

void announce_duty::tick()
{
    const auto now = monotonic_clock::now();
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (!m_entries[index].waiting && now >= m_entries[index].dueAt)
            announceTo(index, now);
    }
}

void announce_duty::announceTo(std::size_t index, time_point now)
{
    auto &entry = m_entries[index];
    m_self.sequence += 1;
    m_self.load = m_load();
    Json::Value parameters(Json::objectValue);
    if (entry.whole)
        parameters["whole"] = toJson(m_self);
    else
        parameters["beat"] = toJson(request::heartbeatOf(m_self));
    const auto told = m_self.state;
    entry.waiting = m_sender.call(entry.address, "announce", parameters,
                                  [this, index, told](std::optional<Json::Value> reply) {
                                      m_duty->post(reply_heard{index, told, std::move(reply)});
                                  });
    if (!entry.waiting)
        entry.dueAt = now + RetryAfterSilence;
}

} // namespace zinniabarrow
