#include "request/membership.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/names.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<leave_reason, 4> ReasonNames{{
        {leave_reason::Left, "left"},
        {leave_reason::Silent, "silent"},
        {leave_reason::Replaced, "replaced"},
        {leave_reason::NotReady, "not_ready"},
}};

// Fewer than announcer_settings::unansweredLimit: the agent must not take this entry for deaf.
constexpr int HeartbeatsPerReply = 4;

} // namespace

std::string_view nameOf(leave_reason reason)
{
    return nameOf(ReasonNames, reason);
}

membership::membership(membership_settings settings)
    : m_settings(std::move(settings))
{ }

announce_outcome membership::handleMessage(const announcement &message, time_point now)
{
    return acceptMessage(message, true, now);
}

announce_outcome membership::acceptMessage(const announcement &message, bool isFull, time_point now)
{
    const auto found = m_members.find(message.agentId);
    if (found != m_members.end() && isStale(found->second, message)) {
        ++m_counters.staleMessages;
        return makeRefusal(error_kind::StaleIncarnation, message);
    }
    announce_outcome outcome;
    member *known = findOrAddMember(message);
    if (!known)
        return makeRefusal(error_kind::OverCapacity, message);
    ++m_counters.accepted;
    applyAnnouncement(*known, message, outcome.changes);
    const auto earlierPeriod = known->period;
    recordHeartbeat(*known, now);
    updateRoutability(*known, outcome.changes, now);
    if (known->isRoutable) {
        outcome.changes.emplace_back(
                upstream_reported{message.agentId, message.incarnation, message.load});
    }
    outcome.reply = {message.sequence, std::nullopt, message.incarnation, false, known->period};
    outcome.shouldReply = isFull || known->period != earlierPeriod
                          || ++known->unansweredHeartbeats >= HeartbeatsPerReply;
    if (outcome.shouldReply)
        known->unansweredHeartbeats = 0;
    return outcome;
}

announce_outcome membership::handleMessage(const heartbeat &message, time_point now)
{
    const auto found = m_members.find(message.agentId);
    if (found == m_members.end() || found->second.lastMessage.incarnation < message.incarnation) {
        announce_outcome outcome;
        outcome.reply = {message.sequence, std::nullopt, message.incarnation, true,
                         grantedPeriod()};
        return outcome;
    }
    announcement isFull = found->second.lastMessage;
    isFull.incarnation = message.incarnation;
    isFull.sequence = message.sequence;
    isFull.state = message.state;
    isFull.load = message.load;
    return acceptMessage(isFull, false, now);
}

announce_outcome membership::makeRefusal(error_kind kind, const announcement &message)
{
    const auto found = m_members.find(message.agentId);
    const auto known = found == m_members.end() ? 0 : found->second.lastMessage.incarnation;
    announce_outcome outcome;
    outcome.reply = {message.sequence, kind, known, false, grantedPeriod()};
    return outcome;
}

// A late message of an old incarnation would bring back the address of an instance that is gone;
// one of an older sequence would take back a Leaving. Both are refused by their numbers alone.
bool membership::isStale(const member &known, const announcement &message) const
{
    const auto &last = known.lastMessage;
    if (message.incarnation != last.incarnation)
        return message.incarnation < last.incarnation;
    const bool isLeavingReverted =
            last.state == upstream_state::Leaving && message.state != upstream_state::Leaving;
    return message.sequence <= last.sequence || isLeavingReverted;
}

membership::member *membership::findOrAddMember(const announcement &message)
{
    const auto found = m_members.find(message.agentId);
    if (found != m_members.end())
        return &found->second;
    if (m_members.size() >= m_settings.maxMembers && !evictOldestDeparted()) {
        ++m_counters.overLimit;
        return nullptr;
    }
    return &m_members[message.agentId];
}

// Takes over a message that is not late.
void membership::applyAnnouncement(member &known, const announcement &message, changes &out)
{
    const bool newIncarnation = message.incarnation > known.lastMessage.incarnation
                                || known.lastMessage.agentId.empty();
    if (newIncarnation) {
        if (known.isRoutable) {
            out.emplace_back(upstream_left{known.lastMessage.agentId, known.lastMessage.incarnation,
                                           leave_reason::Replaced});
            ++m_counters.left[leave_reason::Replaced];
        }
        m_directMemberCount -= known.hasDirectHeartbeats ? 1 : 0;
        known = member{};
    }
    const bool changed = newIncarnation || message.state != known.lastMessage.state
                         || message.address != known.lastMessage.address
                         || message.slots != known.lastMessage.slots;
    known.lastMessage = message;
    if (changed)
        bumpVersion(known);
}

void membership::recordHeartbeat(member &known, time_point now)
{
    if (known.lastMessage.state == upstream_state::Leaving) {
        m_directMemberCount -= known.hasDirectHeartbeats ? 1 : 0;
        known.hasDirectHeartbeats = false;
        return;
    }
    known.lastInterval = known.hadDirectHeartbeat ? now - known.lastHeartbeatAt : duration{};
    known.lastHeartbeatAt = now;
    known.hadDirectHeartbeat = true;
    if (!known.hasDirectHeartbeats) {
        known.hasDirectHeartbeats = true;
        ++m_directMemberCount;
        bumpVersion(known);
    }
    known.period = grantedPeriod();
}

digest_outcome membership::handleMessage(const digest &message, time_point now)
{
    peer *sender = findOrAddPeer(message.senderId);
    if (!sender || message.senderId == m_settings.entryId) {
        ++m_counters.overLimit;
        return {};
    }
    const auto messageNumber = std::pair(message.incarnation, message.sequence);
    if (sender->hasReceivedDigest
        && messageNumber <= std::pair(sender->incarnation, sender->sequence)) {
        ++m_counters.staleDigests;
        digest_outcome late;
        if (message.incarnation < sender->incarnation)
            late.ack = digest_ack{m_settings.entryId, sender->incarnation, 0};
        return late;
    }
    if (message.incarnation != sender->incarnation) {
        // A new process under the peer's name: its versions start again, its old word is void.
        removeMonitoringPeer(message.senderId);
        sender->incarnation = message.incarnation;
        sender->appliedVersion = 0;
    }
    sender->sequence = message.sequence;
    sender->lastDigestAt = now;
    sender->hasReceivedDigest = true;
    digest_outcome outcome;
    for (const auto &record : message.records)
        applyRecord(record, message.senderId, outcome.changes, now);
    // The sender believes that this entry knows more than it does (this process is new): the ack
    // names what is applied, and the sender starts again from there. Without it the records
    // before `since` would never be seen here.
    if (message.sinceVersion <= sender->appliedVersion)
        sender->appliedVersion = std::max(sender->appliedVersion, message.upToVersion);
    const bool news = !message.records.empty() || message.sinceVersion != sender->appliedVersion;
    if (news)
        outcome.ack = digest_ack{m_settings.entryId, message.incarnation, sender->appliedVersion};
    return outcome;
}

void membership::applyRecord(const digest_record &record, const std::string &from, changes &out,
                             time_point now)
{
    const auto &upstream = record.upstream;
    const bool isReported = record.hasDirectHeartbeats || upstream.state == upstream_state::Leaving;
    if (!isReported && !m_members.contains(upstream.agentId))
        return;
    member *known = findOrAddMember(upstream);
    if (!known)
        return;
    const bool isNew = known->lastMessage.agentId.empty();
    if (isNew || !isStale(*known, upstream))
        applyAnnouncement(*known, upstream, out);
    if (upstream.incarnation == known->lastMessage.incarnation) {
        if (record.hasDirectHeartbeats)
            known->monitoringPeers.insert(from);
        else
            known->monitoringPeers.erase(from);
    }
    updateRoutability(*known, out, now);
}

void membership::handleMessage(const digest_ack &message)
{
    const auto found = m_peers.find(message.senderId);
    if (found == m_peers.end())
        return;
    // The clock stepped back since an earlier process of this entry: its peers would take every
    // digest for a late one. An entry that was acknowledged before is itself the old process.
    if (message.incarnation > m_settings.incarnation && !m_wasAcknowledged)
        m_settings.incarnation = message.incarnation + 1;
    if (message.incarnation != m_settings.incarnation)
        return;
    m_wasAcknowledged = true;
    auto &receiver = found->second;
    if (message.upToVersion < receiver.ackedVersion) {
        ++m_counters.resyncs;
        receiver.sentVersion = message.upToVersion;
    }
    receiver.ackedVersion = message.upToVersion;
}

std::vector<membership_change> membership::tick(time_point now)
{
    changes out;
    for (auto &[id, known] : m_members) {
        if (known.hasDirectHeartbeats && known.lastHeartbeatAt + heartbeatTimeout(known) <= now) {
            known.hasDirectHeartbeats = false;
            --m_directMemberCount;
            bumpVersion(known);
        }
        updateRoutability(known, out, now);
    }
    removeDeparted(now);
    return out;
}

// Instances are replaced all the time. If the names of old ones were kept, the bounds would in the
// end refuse the new ones.
void membership::removeDeparted(time_point now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const auto &known = entry.second;
        return known.departedAt != Never && known.departedAt + m_settings.departedRetention <= now;
    });
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto lastContact = std::max(entry.second.lastDigestAt, entry.second.digestSentAt);
        return lastContact + m_settings.departedRetention <= now;
    });
}

// Tells the router where the answer to "may it be routed to" has changed.
void membership::updateRoutability(member &known, changes &out, time_point now)
{
    const bool alive = known.hasDirectHeartbeats || isMonitoredByPeer(known, now);
    const bool leaving = known.lastMessage.state == upstream_state::Leaving;
    const bool serving = known.lastMessage.state == upstream_state::Serving;
    if (alive && !leaving)
        known.departedAt = Never;
    else if (known.departedAt == Never)
        known.departedAt = now;
    if (serving && alive && !known.isRoutable) {
        known.isRoutable = true;
        out.emplace_back(upstream_joined{known.lastMessage});
        return;
    }
    if (!known.isRoutable || (serving && alive))
        return;
    known.isRoutable = false;
    const auto reason = leaving   ? leave_reason::Left
                        : serving ? leave_reason::Silent
                                  : leave_reason::NotReady;
    ++m_counters.left[reason];
    out.emplace_back(
            upstream_left{known.lastMessage.agentId, known.lastMessage.incarnation, reason});
}

bool membership::isMonitoredByPeer(const member &known, time_point now) const
{
    return std::any_of(
            known.monitoringPeers.begin(), known.monitoringPeers.end(), [&](const auto &id) {
                const auto found = m_peers.find(id);
                return found != m_peers.end() && found->second.lastDigestAt + peerTimeout() > now;
            });
}

// Each entry tells of the agents that it hears itself, so a record crosses the mesh once and not
// once by every way. Leaving is told by everyone: it must reach an entry that is cut off from both
// the agent and the entries that heard it.
bool membership::shouldShare(const member &known) const
{
    return known.hadDirectHeartbeat || known.lastMessage.state == upstream_state::Leaving;
}

std::optional<digest> membership::digestFor(const std::string &peerId, time_point now)
{
    peer *receiver = findOrAddPeer(peerId);
    if (!receiver)
        return std::nullopt;
    const bool due = !receiver->hasSent || receiver->digestSentAt + digestPeriod() <= now;
    const std::uint64_t since = receiver->ackedVersion;
    if (!due && m_version <= std::max(receiver->sentVersion, since))
        return std::nullopt;
    std::vector<const member *> changed;
    bool hasUnsentChange = false;
    for (const auto &[id, known] : m_members) {
        if (known.version <= since || !shouldShare(known))
            continue;
        changed.push_back(&known);
        hasUnsentChange = hasUnsentChange || known.version > receiver->sentVersion;
    }
    if (!due && !hasUnsentChange)
        return std::nullopt;
    std::sort(changed.begin(), changed.end(),
              [](const member *a, const member *b) { return a->version < b->version; });
    digest message{
            m_settings.entryId, m_settings.incarnation, ++m_digestSequence, since, m_version, {}};
    if (changed.size() > m_settings.maxDigestRecords) {
        changed.resize(m_settings.maxDigestRecords);
        message.upToVersion = changed.back()->version;
    }
    for (const member *known : changed)
        message.records.push_back({known->lastMessage, known->hasDirectHeartbeats});
    receiver->sentVersion = message.upToVersion;
    receiver->digestSentAt = now;
    receiver->hasSent = true;
    return message;
}

std::vector<announcement> membership::routableUpstreams() const
{
    std::vector<announcement> result;
    for (const auto &[id, known] : m_members) {
        if (known.isRoutable)
            result.push_back(known.lastMessage);
    }
    return result;
}

std::vector<announcement> membership::knownUpstreams() const
{
    std::vector<announcement> result;
    for (const auto &[id, known] : m_members)
        result.push_back(known.lastMessage);
    return result;
}

// At the bound, the upstream that has been gone longest is forgotten first. A live one never is:
// else a flood of new names would push serving upstreams out of routing.
bool membership::evictOldestDeparted()
{
    auto oldest = m_members.end();
    for (auto at = m_members.begin(); at != m_members.end(); ++at) {
        if (at->second.departedAt == Never)
            continue;
        if (oldest == m_members.end() || at->second.departedAt < oldest->second.departedAt)
            oldest = at;
    }
    if (oldest == m_members.end())
        return false;
    m_directMemberCount -= oldest->second.hasDirectHeartbeats ? 1 : 0;
    m_members.erase(oldest);
    return true;
}

membership::peer *membership::findOrAddPeer(const std::string &id)
{
    const auto found = m_peers.find(id);
    if (found != m_peers.end())
        return &found->second;
    if (m_peers.size() >= m_settings.maxPeers)
        return nullptr;
    return &m_peers[id];
}

void membership::removeMonitoringPeer(const std::string &peerId)
{
    for (auto &[id, known] : m_members)
        known.monitoringPeers.erase(peerId);
}

// Heartbeats of all agents heard here together stay within their share of the control budget.
milliseconds membership::grantedPeriod() const
{
    const auto bytes = static_cast<std::int64_t>(m_directMemberCount) * m_settings.heartbeatBytes;
    const milliseconds needed(bytes * 1000 / m_settings.heartbeatBytesPerSecond);
    return std::clamp(needed, m_settings.minPeriod, m_settings.maxPeriod);
}

milliseconds membership::digestPeriod() const
{
    constexpr std::int64_t Directions = 2;
    const auto peers = static_cast<std::int64_t>(m_peers.size());
    const auto bytes = Directions * peers * m_settings.digestBytes;
    const milliseconds needed(bytes * 1000 / m_settings.digestBytesPerSecond);
    return std::max(needed, m_settings.minDigestPeriod);
}

// An agent that missed the answer with a shorter period still keeps to its old one: going by the
// promise alone would take it for silent, and drop a healthy upstream from routing.
duration membership::heartbeatTimeout(const member &known) const
{
    const duration interval = std::min<duration>(known.lastInterval, m_settings.maxPeriod);
    const duration period = std::max<duration>(known.period, interval);
    // Half a period for the way: else the heartbeat after two lost ones comes a moment too late.
    return period * m_settings.missedHeartbeatLimit + period / 2;
}

// A peer that died says nothing about the agents it heard. They need some periods to notice and to
// announce to another entry; dropping them sooner would take healthy upstreams out of routing.
duration membership::peerTimeout() const
{
    return digestPeriod() * m_settings.missedDigestLimit
           + grantedPeriod() * m_settings.reannouncePeriods;
}

std::vector<std::string> announceTargets(const std::string &agentId,
                                         const std::vector<std::string> &entries, std::size_t count,
                                         const std::set<std::string> &unresponsive)
{
    if (entries.size() <= count)
        return entries;
    std::vector<std::string> targets;
    std::vector<std::string> silent;
    for (const auto &entry : rendezvousOrder(agentId, entries))
        (unresponsive.contains(entry) ? silent : targets).push_back(entry);
    targets.insert(targets.end(), silent.begin(), silent.end());
    targets.resize(count);
    return targets;
}

} // namespace zinniabarrow::request
