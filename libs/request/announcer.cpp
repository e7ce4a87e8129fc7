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
        m_targets[entry].period = m_settings.initialPeriod;
}

void announcer::setState(upstream_state state)
{
    if (m_self.state == upstream_state::Leaving || m_self.state == state)
        return;
    m_self.state = state;
    resetAcks();
}

void announcer::resetAcks()
{
    for (auto &[entry, target] : m_targets) {
        target.isAnnouncementAcked = false;
        target.ackableFromSequence = m_self.sequence + 1;
        target.nextSendAt = time_point{};
    }
}

std::vector<std::string> announcer::targets() const
{
    return preferredTargets(unresponsiveEntries());
}

std::vector<std::string>
announcer::preferredTargets(const std::set<std::string> &unresponsive) const
{
    // Normally only a few entries receive this agent's messages and pass them on in digests.
    // Leaving is sent to all entries: one that is disconnected from those few must not keep sending
    // requests to an upstream that is leaving.
    if (m_self.state == upstream_state::Leaving
        || m_settings.entries.size() <= m_settings.announceToAllUpTo) {
        return m_settings.entries;
    }
    return announceTargets(m_self.agentId, m_settings.entries, m_settings.targetCount,
                           unresponsive);
}

std::set<std::string> announcer::unresponsiveEntries() const
{
    std::set<std::string> result;
    for (const auto &[entry, target] : m_targets) {
        if (target.isUnresponsive)
            result.insert(entry);
    }
    return result;
}

std::vector<announcer::outgoing_message> announcer::tick(time_point now)
{
    std::vector<outgoing_message> messages;
    if (m_isSuperseded)
        return messages;
    for (auto &[entry, target] : m_targets)
        checkUnresponsive(target, now);
    // An unresponsive entry is contacted from time to time in addition to its substitute. If it
    // were contacted instead of the substitute, two failed entries contacted at the same time would
    // leave the agent without any entry that receives its heartbeats.
    const auto currentTargets = targets();
    std::set<std::string> dueEntries(currentTargets.begin(), currentTargets.end());
    for (const auto &entry : preferredTargets({}))
        dueEntries.insert(entry);
    for (auto &[entry, target] : m_targets) {
        if (!dueEntries.contains(entry)) {
            target.hasSent = false; // not a target: missing replies from now on are expected
            continue;
        }
        const bool isDone = m_self.state == upstream_state::Leaving && target.isAnnouncementAcked;
        if (target.nextSendAt <= now && !isDone)
            messages.push_back(makeMessage(entry, target, now));
    }
    return messages;
}

// A failed entry does not reply. If the agent kept sending to it, and the other entries that
// receive the agent's heartbeats failed as well, a healthy upstream would be removed from routing
// everywhere. Since heartbeats may remain unanswered and replies may be lost, the entry is first
// sent full announcements, each of which must be answered.
void announcer::checkUnresponsive(announce_target &target, time_point now) const
{
    if (!target.hasSent || target.isUnresponsive
        || target.lastReplyAt + target.period * m_settings.requestReplyAfterPeriods > now)
        return;
    if (target.isAnnouncementAcked)
        target.nextSendAt = now;
    target.isAnnouncementAcked = false;
    target.isUnresponsive =
            target.lastReplyAt + target.period * m_settings.replaceAfterPeriods <= now;
}

announcer::outgoing_message announcer::makeMessage(const std::string &entry,
                                                   announce_target &target, time_point now)
{
    ++m_self.sequence;
    if (!target.hasSent) {
        target.hasSent = true;
        target.lastReplyAt = now;
    }
    if (target.isAnnouncementAcked) {
        target.nextSendAt = now + target.period;
        return {entry, heartbeatOf(m_self)};
    }
    target.nextSendAt = now
                        + (target.isUnresponsive ? m_settings.unresponsiveRetryInterval
                                                 : m_settings.announcementRetryInterval);
    return {entry, m_self};
}

void announcer::handleReply(const std::string &entry, const announce_reply &reply, time_point now)
{
    const auto found = m_targets.find(entry);
    if (found == m_targets.end())
        return;
    auto &target = found->second;
    target.lastReplyAt = now;
    target.isUnresponsive = false;
    if (reply.period.count() > 0)
        target.period = reply.period;
    if (reply.refusalKind == error_kind::StaleIncarnation) {
        // Before the first acceptance, the wall clock may have been set back since an earlier
        // process: continue with an incarnation above the one that the entries know. After an
        // acceptance, this process is the older one: it was paused and has been replaced. If it
        // raised its incarnation above that of its successor, two agents would take turns on one
        // worker.
        if (!m_wasAccepted && reply.knownIncarnation >= m_self.incarnation) {
            m_self.incarnation = reply.knownIncarnation + 1;
            resetAcks();
        } else if (reply.knownIncarnation > m_self.incarnation) {
            m_isSuperseded = true;
        }
        return;
    }
    if (reply.refusalKind) {
        target.nextSendAt = now + target.period;
        return;
    }
    if (reply.knownIncarnation != m_self.incarnation)
        return;
    if (reply.needsFullAnnouncement) {
        target.isAnnouncementAcked = false;
        target.nextSendAt = now;
        return;
    }
    m_wasAccepted = true;
    // A reply to an earlier message does not show that the entry knows the Leaving state. If it
    // counted as an acknowledgement, Leaving would not be repeated and the entry would keep sending
    // requests.
    if (target.isAnnouncementAcked || reply.sequence < target.ackableFromSequence)
        return;
    target.isAnnouncementAcked = true;
    target.nextSendAt = now + target.period;
}

bool announcer::isLeaveComplete() const
{
    return m_self.state == upstream_state::Leaving
           && std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &item) {
                  return item.second.isAnnouncementAcked || item.second.isUnresponsive;
              });
}

} // namespace zinniabarrow::request
