#include "request/announcer.h"

#include <algorithm>
#include <utility>

#include "request/membership.h"

namespace zinniabarrow::request {

announcer::announcer(announcer_settings settings, announcement self)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
{
    for (const auto &entry : m_settings.entries)
        m_listeners[entry].period = m_settings.firstPeriod;
}

void announcer::setState(upstream_state state)
{
    if (m_self.state == upstream_state::Leaving || m_self.state == state)
        return;
    m_self.state = state;
    forgetAnswers();
}

void announcer::forgetAnswers()
{
    for (auto &[entry, to] : m_listeners) {
        to.knowsWhole = false;
        to.wholeSince = m_self.sequence + 1;
        to.nextAt = time_point{};
    }
}

std::vector<std::string> announcer::targets() const
{
    return preferred(deaf());
}

std::vector<std::string> announcer::preferred(const std::set<std::string> &unresponsive) const
{
    // Only a few entries hear the agent all the time, but one that is cut off from these must not
    // go on sending requests to an upstream that leaves: Leaving is told to all.
    if (m_self.state == upstream_state::Leaving
        || m_settings.entries.size() <= m_settings.fewEntries) {
        return m_settings.entries;
    }
    return announceTargets(m_self.agentId, m_settings.entries, m_settings.count, unresponsive);
}

std::set<std::string> announcer::deaf() const
{
    std::set<std::string> result;
    for (const auto &[entry, to] : m_listeners) {
        if (to.deaf)
            result.insert(entry);
    }
    return result;
}

std::vector<announcer::send> announcer::tick(time_point now)
{
    std::vector<send> messages;
    if (m_superseded)
        return messages;
    for (auto &[entry, to] : m_listeners)
        noteSilence(to, now);
    // A deaf entry is tried now and then beside those that stand in for it. In their place, two
    // dead entries that are tried in the same moment would leave the agent unheard.
    const auto standing = targets();
    std::set<std::string> due(standing.begin(), standing.end());
    for (const auto &entry : preferred({}))
        due.insert(entry);
    for (auto &[entry, to] : m_listeners) {
        if (!due.contains(entry)) {
            to.everSent = false; // its silence from now on means nothing
            continue;
        }
        const bool done = m_self.state == upstream_state::Leaving && to.knowsWhole;
        if (to.nextAt <= now && !done)
            messages.push_back(messageFor(entry, to, now));
    }
    return messages;
}

// An entry that is gone answers nothing. If the agent kept to it, and the other entries that hear
// the agent went too, a healthy upstream would leave routing everywhere. Heartbeats may go without
// an answer and answers may be lost, so whole announcements, each of which is answered, go first.
void announcer::noteSilence(listener &to, time_point now) const
{
    if (!to.everSent || to.deaf || to.answeredAt + to.period * m_settings.askAfter > now)
        return;
    if (to.knowsWhole)
        to.nextAt = now;
    to.knowsWhole = false;
    to.deaf = to.answeredAt + to.period * m_settings.unansweredLimit <= now;
}

announcer::send announcer::messageFor(const std::string &entry, listener &to, time_point now)
{
    ++m_self.sequence;
    if (!to.everSent) {
        to.everSent = true;
        to.answeredAt = now;
    }
    if (to.knowsWhole) {
        to.nextAt = now + to.period;
        return {entry, heartbeatOf(m_self)};
    }
    to.nextAt = now + (to.deaf ? m_settings.tryAgainAfter : m_settings.repeatWhole);
    return {entry, m_self};
}

void announcer::answered(const std::string &entry, const announce_reply &reply, time_point now)
{
    const auto found = m_listeners.find(entry);
    if (found == m_listeners.end())
        return;
    auto &to = found->second;
    to.answeredAt = now;
    to.deaf = false;
    if (reply.period.count() > 0)
        to.period = reply.period;
    if (reply.refused == error_kind::StaleIncarnation) {
        // Before the first acceptance the clock may have stepped back since an earlier process:
        // step over what the entries remember. Afterwards it is this process that is the old one
        // (it was paused and has been replaced): to outbid its successor would have two agents
        // take turns on one worker.
        if (!m_accepted && reply.knownIncarnation >= m_self.incarnation) {
            m_self.incarnation = reply.knownIncarnation + 1;
            forgetAnswers();
        } else if (reply.knownIncarnation > m_self.incarnation) {
            m_superseded = true;
        }
        return;
    }
    if (reply.refused) {
        to.nextAt = now + to.period;
        return;
    }
    if (reply.knownIncarnation != m_self.incarnation)
        return;
    if (reply.sendWhole) {
        to.knowsWhole = false;
        to.nextAt = now;
        return;
    }
    m_accepted = true;
    // The answer to an earlier message does not show that the entry knows of the Leaving: it would
    // not be repeated, and the entry would go on sending requests.
    if (to.knowsWhole || reply.sequence < to.wholeSince)
        return;
    to.knowsWhole = true;
    to.nextAt = now + to.period;
}

bool announcer::leftEverywhere() const
{
    return m_self.state == upstream_state::Leaving
           && std::all_of(m_listeners.begin(), m_listeners.end(), [&](const auto &item) {
                  return item.second.knowsWhole || item.second.deaf;
              });
}

} // namespace zinniabarrow::request
