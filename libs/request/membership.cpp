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

// Must be less than announcer_settings::replaceAfterPeriods, or agents would replace this entry as
// unresponsive.
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
    member *memberRecord = findOrAddMember(message);
    if (!memberRecord)
        return makeRefusal(error_kind::OverCapacity, message);
    ++m_counters.accepted;
    applyAnnouncement(*memberRecord, message, outcome.changes);
    const auto earlierPeriod = memberRecord->period;
    recordHeartbeat(*memberRecord, now);
    updateRoutability(*memberRecord, outcome.changes, now);
    if (memberRecord->isRoutable) {
        outcome.changes.emplace_back(
                upstream_load_reported{message.agentId, message.incarnation, message.load});
    }
    outcome.reply = {message.sequence, std::nullopt, message.incarnation, false,
                     memberRecord->period};
    outcome.shouldReply = isFull || memberRecord->period != earlierPeriod
                          || ++memberRecord->unansweredHeartbeats >= HeartbeatsPerReply;
    if (outcome.shouldReply)
        memberRecord->unansweredHeartbeats = 0;
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
    announcement updated = found->second.lastMessage;
    updated.incarnation = message.incarnation;
    updated.sequence = message.sequence;
    updated.state = message.state;
    updated.load = message.load;
    return acceptMessage(updated, false, now);
}

announce_outcome membership::makeRefusal(error_kind kind, const announcement &message)
{
    const auto found = m_members.find(message.agentId);
    const auto newestIncarnation =
            found == m_members.end() ? 0 : found->second.lastMessage.incarnation;
    announce_outcome outcome;
    outcome.reply = {message.sequence, kind, newestIncarnation, false, grantedPeriod()};
    return outcome;
}

// A late message of an old incarnation would restore the address of an instance that is gone, and
// one with an old sequence would revert the Leaving state. Incarnation and sequence suffice to
// recognize both.
bool membership::isStale(const member &memberRecord, const announcement &message) const
{
    const auto &last = memberRecord.lastMessage;
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

// Takes over a message that is not stale.
void membership::applyAnnouncement(member &memberRecord, const announcement &message, changes &out)
{
    const bool newIncarnation = message.incarnation > memberRecord.lastMessage.incarnation
                                || memberRecord.lastMessage.agentId.empty();
    if (newIncarnation) {
        if (memberRecord.isRoutable) {
            out.emplace_back(upstream_left{memberRecord.lastMessage.agentId,
                                           memberRecord.lastMessage.incarnation,
                                           leave_reason::Replaced});
            ++m_counters.departures[leave_reason::Replaced];
        }
        m_directMemberCount -= memberRecord.hasDirectHeartbeats ? 1 : 0;
        memberRecord = member{};
    }
    const bool changed = newIncarnation || message.state != memberRecord.lastMessage.state
                         || message.address != memberRecord.lastMessage.address
                         || message.slots != memberRecord.lastMessage.slots;
    memberRecord.lastMessage = message;
    if (changed)
        bumpVersion(memberRecord);
}

void membership::recordHeartbeat(member &memberRecord, time_point now)
{
    if (memberRecord.lastMessage.state == upstream_state::Leaving) {
        m_directMemberCount -= memberRecord.hasDirectHeartbeats ? 1 : 0;
        memberRecord.hasDirectHeartbeats = false;
        return;
    }
    memberRecord.lastInterval =
            memberRecord.hadDirectHeartbeat ? now - memberRecord.lastHeartbeatAt : duration{};
    memberRecord.lastHeartbeatAt = now;
    memberRecord.hadDirectHeartbeat = true;
    if (!memberRecord.hasDirectHeartbeats) {
        memberRecord.hasDirectHeartbeats = true;
        ++m_directMemberCount;
        bumpVersion(memberRecord);
    }
    memberRecord.period = grantedPeriod();
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
        digest_outcome staleOutcome;
        if (message.incarnation < sender->incarnation)
            staleOutcome.ack = digest_ack{m_settings.entryId, sender->incarnation, 0};
        return staleOutcome;
    }
    if (message.incarnation != sender->incarnation) {
        // A new process of the peer: its versions start again, and the reports of the old one are
        // void.
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
    // A sinceVersion above the applied version counts on records that only an earlier process of
    // this entry has received. The ack then has the version that is really applied, and the sender
    // continues from there. Otherwise the records before sinceVersion would never arrive.
    if (message.sinceVersion <= sender->appliedVersion)
        sender->appliedVersion = std::max(sender->appliedVersion, message.upToVersion);
    const bool hasChanges =
            !message.records.empty() || message.sinceVersion != sender->appliedVersion;
    if (hasChanges)
        outcome.ack = digest_ack{m_settings.entryId, message.incarnation, sender->appliedVersion};
    return outcome;
}

void membership::applyRecord(const digest_record &record, const std::string &reportingPeer,
                             changes &out, time_point now)
{
    const auto &upstream = record.upstream;
    const bool isReported = record.hasDirectHeartbeats || upstream.state == upstream_state::Leaving;
    if (!isReported && !m_members.contains(upstream.agentId))
        return;
    member *memberRecord = findOrAddMember(upstream);
    if (!memberRecord)
        return;
    const bool isNew = memberRecord->lastMessage.agentId.empty();
    if (isNew || !isStale(*memberRecord, upstream))
        applyAnnouncement(*memberRecord, upstream, out);
    if (upstream.incarnation == memberRecord->lastMessage.incarnation) {
        if (record.hasDirectHeartbeats)
            memberRecord->monitoringPeers.insert(reportingPeer);
        else
            memberRecord->monitoringPeers.erase(reportingPeer);
    }
    updateRoutability(*memberRecord, out, now);
}

void membership::handleMessage(const digest_ack &message)
{
    const auto found = m_peers.find(message.senderId);
    if (found == m_peers.end())
        return;
    // If the wall clock was set back since an earlier process of this entry, the peers treat every
    // digest as stale, so the incarnation is raised above the one that they know. A process that
    // was acknowledged before is the older of two processes and keeps its incarnation.
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
    for (auto &[id, memberRecord] : m_members) {
        if (memberRecord.hasDirectHeartbeats
            && memberRecord.lastHeartbeatAt + heartbeatTimeout(memberRecord) <= now) {
            memberRecord.hasDirectHeartbeats = false;
            --m_directMemberCount;
            bumpVersion(memberRecord);
        }
        updateRoutability(memberRecord, out, now);
    }
    removeDeparted(now);
    return out;
}

// Instances are replaced all the time. If departed members and peers were kept, new ones would
// eventually be refused because of maxMembers and maxPeers.
void membership::removeDeparted(time_point now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const auto &memberRecord = entry.second;
        return memberRecord.departedAt != Never
               && memberRecord.departedAt + m_settings.departedRetention <= now;
    });
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto lastContact = std::max(entry.second.lastDigestAt, entry.second.digestSentAt);
        return lastContact + m_settings.departedRetention <= now;
    });
}

// Reports a change to the router if the upstream became routable or stopped being so.
void membership::updateRoutability(member &memberRecord, changes &out, time_point now)
{
    const bool isAlive = memberRecord.hasDirectHeartbeats || isMonitoredByPeer(memberRecord, now);
    const bool leaving = memberRecord.lastMessage.state == upstream_state::Leaving;
    const bool isServing = memberRecord.lastMessage.state == upstream_state::Serving;
    if (isAlive && !leaving)
        memberRecord.departedAt = Never;
    else if (memberRecord.departedAt == Never)
        memberRecord.departedAt = now;
    if (isServing && isAlive && !memberRecord.isRoutable) {
        memberRecord.isRoutable = true;
        out.emplace_back(upstream_joined{memberRecord.lastMessage});
        return;
    }
    if (!memberRecord.isRoutable || (isServing && isAlive))
        return;
    memberRecord.isRoutable = false;
    const auto reason = leaving     ? leave_reason::Left
                        : isServing ? leave_reason::Silent
                                    : leave_reason::NotReady;
    ++m_counters.departures[reason];
    out.emplace_back(upstream_left{memberRecord.lastMessage.agentId,
                                   memberRecord.lastMessage.incarnation, reason});
}

bool membership::isMonitoredByPeer(const member &memberRecord, time_point now) const
{
    return std::any_of(memberRecord.monitoringPeers.begin(), memberRecord.monitoringPeers.end(),
                       [&](const auto &id) {
                           const auto found = m_peers.find(id);
                           return found != m_peers.end()
                                  && found->second.lastDigestAt + peerTimeout() > now;
                       });
}

// An entry reports only agents whose heartbeats it receives itself, so that a record is sent to
// each peer once and not by every peer. Leaving is reported by all entries: it must also reach an
// entry that is disconnected both from the agent and from the entries that receive its heartbeats.
bool membership::shouldShare(const member &memberRecord) const
{
    return memberRecord.hadDirectHeartbeat
           || memberRecord.lastMessage.state == upstream_state::Leaving;
}

std::optional<digest> membership::digestFor(const std::string &peerId, time_point now)
{
    peer *receiver = findOrAddPeer(peerId);
    if (!receiver)
        return std::nullopt;
    const bool isDue = !receiver->hasSent || receiver->digestSentAt + digestPeriod() <= now;
    const std::uint64_t since = receiver->ackedVersion;
    if (!isDue && m_version <= std::max(receiver->sentVersion, since))
        return std::nullopt;
    std::vector<const member *> changed;
    bool hasUnsentChange = false;
    for (const auto &[id, memberRecord] : m_members) {
        if (memberRecord.version <= since || !shouldShare(memberRecord))
            continue;
        changed.push_back(&memberRecord);
        hasUnsentChange = hasUnsentChange || memberRecord.version > receiver->sentVersion;
    }
    if (!isDue && !hasUnsentChange)
        return std::nullopt;
    std::sort(changed.begin(), changed.end(),
              [](const member *a, const member *b) { return a->version < b->version; });
    digest message{
            m_settings.entryId, m_settings.incarnation, ++m_digestSequence, since, m_version, {}};
    if (changed.size() > m_settings.maxDigestRecords) {
        changed.resize(m_settings.maxDigestRecords);
        message.upToVersion = changed.back()->version;
    }
    for (const member *memberRecord : changed)
        message.records.push_back({memberRecord->lastMessage, memberRecord->hasDirectHeartbeats});
    receiver->sentVersion = message.upToVersion;
    receiver->digestSentAt = now;
    receiver->hasSent = true;
    return message;
}

std::vector<announcement> membership::routableUpstreams() const
{
    std::vector<announcement> result;
    for (const auto &[id, memberRecord] : m_members) {
        if (memberRecord.isRoutable)
            result.push_back(memberRecord.lastMessage);
    }
    return result;
}

std::vector<announcement> membership::knownUpstreams() const
{
    std::vector<announcement> result;
    for (const auto &[id, memberRecord] : m_members)
        result.push_back(memberRecord.lastMessage);
    return result;
}

// At the limit, the upstream that departed first is removed. Live upstreams are never removed:
// otherwise a flood of new agent ids would remove serving upstreams from routing.
bool membership::evictOldestDeparted()
{
    auto oldest = m_members.end();
    for (auto candidate = m_members.begin(); candidate != m_members.end(); ++candidate) {
        if (candidate->second.departedAt == Never)
            continue;
        if (oldest == m_members.end() || candidate->second.departedAt < oldest->second.departedAt)
            oldest = candidate;
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
    for (auto &[id, memberRecord] : m_members)
        memberRecord.monitoringPeers.erase(peerId);
}

// Keeps the heartbeats of all agents that this entry receives within heartbeatBytesPerSecond.
milliseconds membership::grantedPeriod() const
{
    const auto bytes = static_cast<std::int64_t>(m_directMemberCount) * m_settings.heartbeatBytes;
    const milliseconds needed(bytes * 1000 / m_settings.heartbeatBytesPerSecond);
    return std::clamp(needed, m_settings.minHeartbeatPeriod, m_settings.maxHeartbeatPeriod);
}

milliseconds membership::digestPeriod() const
{
    constexpr std::int64_t Directions = 2;
    const auto peers = static_cast<std::int64_t>(m_peers.size());
    const auto bytes = Directions * peers * m_settings.digestBytes;
    const milliseconds needed(bytes * 1000 / m_settings.digestBytesPerSecond);
    return std::max(needed, m_settings.minDigestPeriod);
}

// An agent that missed the reply with a shorter period keeps its old period. A timeout computed
// from the new period alone would remove its healthy upstream from routing.
duration membership::heartbeatTimeout(const member &memberRecord) const
{
    const duration interval =
            std::min<duration>(memberRecord.lastInterval, m_settings.maxHeartbeatPeriod);
    const duration period = std::max<duration>(memberRecord.period, interval);
    // Half a period allows for the transmission time: otherwise the heartbeat after two lost ones
    // would arrive just too late.
    return period * m_settings.missedHeartbeatLimit + period / 2;
}

// The failure of a peer says nothing about the agents whose heartbeats it received. These agents
// need several heartbeat periods to notice the failure and to announce to another entry; a shorter
// timeout would remove healthy upstreams from routing.
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
    std::vector<std::string> unresponsiveEntries;
    for (const auto &entry : rendezvousOrder(agentId, entries))
        (unresponsive.contains(entry) ? unresponsiveEntries : targets).push_back(entry);
    targets.insert(targets.end(), unresponsiveEntries.begin(), unresponsiveEntries.end());
    targets.resize(count);
    return targets;
}

} // namespace zinniabarrow::request
