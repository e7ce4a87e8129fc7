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
constexpr int AnsweredEvery = 4;

} // namespace

std::string_view nameOf(leave_reason reason)
{
    return nameOf(ReasonNames, reason);
}

membership::membership(membership_settings settings)
    : m_settings(std::move(settings))
{ }

announce_outcome membership::heard(const announcement &message, time_point now)
{
    return accept(message, true, now);
}

announce_outcome membership::accept(const announcement &message, bool whole, time_point now)
{
    const auto found = m_members.find(message.agentId);
    if (found != m_members.end() && isLate(found->second, message)) {
        ++m_counters.late;
        return refusal(error_kind::StaleIncarnation, message);
    }
    announce_outcome outcome;
    member *known = memberFor(message);
    if (!known)
        return refusal(error_kind::OverCapacity, message);
    ++m_counters.accepted;
    adopt(*known, message, outcome.changes);
    const auto promised = known->period;
    noteHeard(*known, now);
    evaluate(*known, outcome.changes, now);
    if (known->isRoutable) {
        outcome.changes.emplace_back(
                upstream_reported{message.agentId, message.incarnation, message.load});
    }
    outcome.reply = {message.sequence, std::nullopt, message.incarnation, false, known->period};
    outcome.replyDue = whole || known->period != promised || ++known->unanswered >= AnsweredEvery;
    if (outcome.replyDue)
        known->unanswered = 0;
    return outcome;
}

announce_outcome membership::heard(const heartbeat &message, time_point now)
{
    const auto found = m_members.find(message.agentId);
    if (found == m_members.end() || found->second.last.incarnation < message.incarnation) {
        announce_outcome outcome;
        outcome.reply = {message.sequence, std::nullopt, message.incarnation, true,
                         grantedPeriod()};
        return outcome;
    }
    announcement whole = found->second.last;
    whole.incarnation = message.incarnation;
    whole.sequence = message.sequence;
    whole.state = message.state;
    whole.load = message.load;
    return accept(whole, false, now);
}

announce_outcome membership::refusal(error_kind kind, const announcement &message)
{
    const auto found = m_members.find(message.agentId);
    const auto known = found == m_members.end() ? 0 : found->second.last.incarnation;
    announce_outcome outcome;
    outcome.reply = {message.sequence, kind, known, false, grantedPeriod()};
    return outcome;
}

// A late message of an old incarnation would bring back the address of an instance that is gone;
// one of an older sequence would take back a Leaving. Both are refused by their numbers alone.
bool membership::isLate(const member &known, const announcement &message) const
{
    const auto &last = known.last;
    if (message.incarnation != last.incarnation)
        return message.incarnation < last.incarnation;
    const bool goesBack =
            last.state == upstream_state::Leaving && message.state != upstream_state::Leaving;
    return message.sequence <= last.sequence || goesBack;
}

membership::member *membership::memberFor(const announcement &message)
{
    const auto found = m_members.find(message.agentId);
    if (found != m_members.end())
        return &found->second;
    if (m_members.size() >= m_settings.memberLimit && !makeRoom()) {
        ++m_counters.overLimit;
        return nullptr;
    }
    return &m_members[message.agentId];
}

// Takes over a message that is not late.
void membership::adopt(member &known, const announcement &message, changes &out)
{
    const bool newIncarnation =
            message.incarnation > known.last.incarnation || known.last.agentId.empty();
    if (newIncarnation) {
        if (known.isRoutable) {
            out.emplace_back(upstream_left{known.last.agentId, known.last.incarnation,
                                           leave_reason::Replaced});
            ++m_counters.left[leave_reason::Replaced];
        }
        m_heardDirectly -= known.heard ? 1 : 0;
        known = member{};
    }
    const bool changed = newIncarnation || message.state != known.last.state
                         || message.address != known.last.address
                         || message.slots != known.last.slots;
    known.last = message;
    if (changed)
        touch(known);
}

void membership::noteHeard(member &known, time_point now)
{
    if (known.last.state == upstream_state::Leaving) {
        m_heardDirectly -= known.heard ? 1 : 0;
        known.heard = false;
        return;
    }
    known.interval = known.everHeard ? now - known.heardAt : duration{};
    known.heardAt = now;
    known.everHeard = true;
    if (!known.heard) {
        known.heard = true;
        ++m_heardDirectly;
        touch(known);
    }
    known.period = grantedPeriod();
}

digest_outcome membership::heard(const digest &message, time_point now)
{
    peer *sender = peerNamed(message.from);
    if (!sender || message.from == m_settings.entryId) {
        ++m_counters.overLimit;
        return {};
    }
    const auto number = std::pair(message.incarnation, message.sequence);
    if (sender->everHeard && number <= std::pair(sender->incarnation, sender->sequence)) {
        ++m_counters.lateDigests;
        digest_outcome late;
        if (message.incarnation < sender->incarnation)
            late.ack = digest_ack{m_settings.entryId, sender->incarnation, 0};
        return late;
    }
    if (message.incarnation != sender->incarnation) {
        // A new process under the peer's name: its versions start again, its old word is void.
        forgetVouchesOf(message.from);
        sender->incarnation = message.incarnation;
        sender->applied = 0;
    }
    sender->sequence = message.sequence;
    sender->heardAt = now;
    sender->everHeard = true;
    digest_outcome outcome;
    for (const auto &record : message.records)
        applyRecord(record, message.from, outcome.changes, now);
    // The sender believes that this entry knows more than it does (this process is new): the ack
    // names what is applied, and the sender starts again from there. Without it the records
    // before `since` would never be seen here.
    if (message.since <= sender->applied)
        sender->applied = std::max(sender->applied, message.upTo);
    const bool news = !message.records.empty() || message.since != sender->applied;
    if (news)
        outcome.ack = digest_ack{m_settings.entryId, message.incarnation, sender->applied};
    return outcome;
}

void membership::applyRecord(const digest_record &record, const std::string &from, changes &out,
                             time_point now)
{
    const auto &upstream = record.upstream;
    const bool telling = record.heard || upstream.state == upstream_state::Leaving;
    if (!telling && !m_members.contains(upstream.agentId))
        return;
    member *known = memberFor(upstream);
    if (!known)
        return;
    const bool isNew = known->last.agentId.empty();
    if (isNew || !isLate(*known, upstream))
        adopt(*known, upstream, out);
    if (upstream.incarnation == known->last.incarnation) {
        if (record.heard)
            known->vouchers.insert(from);
        else
            known->vouchers.erase(from);
    }
    evaluate(*known, out, now);
}

void membership::heard(const digest_ack &message)
{
    const auto found = m_peers.find(message.from);
    if (found == m_peers.end())
        return;
    // The clock stepped back since an earlier process of this entry: its peers would take every
    // digest for a late one. An entry that was acknowledged before is itself the old process.
    if (message.incarnation > m_settings.incarnation && !m_acknowledged)
        m_settings.incarnation = message.incarnation + 1;
    if (message.incarnation != m_settings.incarnation)
        return;
    m_acknowledged = true;
    auto &receiver = found->second;
    if (message.upTo < receiver.acked) {
        ++m_counters.resyncs;
        receiver.sent = message.upTo;
    }
    receiver.acked = message.upTo;
}

std::vector<membership_change> membership::tick(time_point now)
{
    changes out;
    for (auto &[id, known] : m_members) {
        if (known.heard && known.heardAt + silentAfter(known) <= now) {
            known.heard = false;
            --m_heardDirectly;
            touch(known);
        }
        evaluate(known, out, now);
    }
    forgetGone(now);
    return out;
}

// Instances are replaced all the time. If the names of old ones were kept, the bounds would in the
// end refuse the new ones.
void membership::forgetGone(time_point now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const auto &known = entry.second;
        return known.goneAt != Never && known.goneAt + m_settings.rememberFor <= now;
    });
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto lastTalk = std::max(entry.second.heardAt, entry.second.sentAt);
        return lastTalk + m_settings.rememberFor <= now;
    });
}

// Tells the router where the answer to "may it be routed to" has changed.
void membership::evaluate(member &known, changes &out, time_point now)
{
    const bool alive = known.heard || isVouched(known, now);
    const bool leaving = known.last.state == upstream_state::Leaving;
    const bool serving = known.last.state == upstream_state::Serving;
    if (alive && !leaving)
        known.goneAt = Never;
    else if (known.goneAt == Never)
        known.goneAt = now;
    if (serving && alive && !known.isRoutable) {
        known.isRoutable = true;
        out.emplace_back(upstream_joined{known.last});
        return;
    }
    if (!known.isRoutable || (serving && alive))
        return;
    known.isRoutable = false;
    const auto reason = leaving   ? leave_reason::Left
                        : serving ? leave_reason::Silent
                                  : leave_reason::NotReady;
    ++m_counters.left[reason];
    out.emplace_back(upstream_left{known.last.agentId, known.last.incarnation, reason});
}

bool membership::isVouched(const member &known, time_point now) const
{
    return std::any_of(known.vouchers.begin(), known.vouchers.end(), [&](const auto &id) {
        const auto found = m_peers.find(id);
        return found != m_peers.end() && found->second.heardAt + peerSilentAfter() > now;
    });
}

// Each entry tells of the agents that it hears itself, so a record crosses the mesh once and not
// once by every way. Leaving is told by everyone: it must reach an entry that is cut off from both
// the agent and the entries that heard it.
bool membership::isShared(const member &known) const
{
    return known.everHeard || known.last.state == upstream_state::Leaving;
}

std::optional<digest> membership::digestFor(const std::string &peerId, time_point now)
{
    peer *receiver = peerNamed(peerId);
    if (!receiver)
        return std::nullopt;
    const bool due = !receiver->everSent || receiver->sentAt + digestPeriod() <= now;
    const std::uint64_t since = receiver->acked;
    if (!due && m_version <= std::max(receiver->sent, since))
        return std::nullopt;
    std::vector<const member *> changed;
    bool urgent = false;
    for (const auto &[id, known] : m_members) {
        if (known.version <= since || !isShared(known))
            continue;
        changed.push_back(&known);
        urgent = urgent || known.version > receiver->sent;
    }
    if (!due && !urgent)
        return std::nullopt;
    std::sort(changed.begin(), changed.end(),
              [](const member *a, const member *b) { return a->version < b->version; });
    digest message{
            m_settings.entryId, m_settings.incarnation, ++m_digestSequence, since, m_version, {}};
    if (changed.size() > m_settings.recordsPerDigest) {
        changed.resize(m_settings.recordsPerDigest);
        message.upTo = changed.back()->version;
    }
    for (const member *known : changed)
        message.records.push_back({known->last, known->heard});
    receiver->sent = message.upTo;
    receiver->sentAt = now;
    receiver->everSent = true;
    return message;
}

std::vector<announcement> membership::routable() const
{
    std::vector<announcement> result;
    for (const auto &[id, known] : m_members) {
        if (known.isRoutable)
            result.push_back(known.last);
    }
    return result;
}

std::vector<announcement> membership::known() const
{
    std::vector<announcement> result;
    for (const auto &[id, known] : m_members)
        result.push_back(known.last);
    return result;
}

// At the bound, the upstream that has been gone longest is forgotten first. A live one never is:
// else a flood of new names would push serving upstreams out of routing.
bool membership::makeRoom()
{
    auto oldest = m_members.end();
    for (auto at = m_members.begin(); at != m_members.end(); ++at) {
        if (at->second.goneAt == Never)
            continue;
        if (oldest == m_members.end() || at->second.goneAt < oldest->second.goneAt)
            oldest = at;
    }
    if (oldest == m_members.end())
        return false;
    m_heardDirectly -= oldest->second.heard ? 1 : 0;
    m_members.erase(oldest);
    return true;
}

membership::peer *membership::peerNamed(const std::string &id)
{
    const auto found = m_peers.find(id);
    if (found != m_peers.end())
        return &found->second;
    if (m_peers.size() >= m_settings.peerLimit)
        return nullptr;
    return &m_peers[id];
}

void membership::forgetVouchesOf(const std::string &peerId)
{
    for (auto &[id, known] : m_members)
        known.vouchers.erase(peerId);
}

// Heartbeats of all agents heard here together stay within their share of the control budget.
milliseconds membership::grantedPeriod() const
{
    const auto bytes = static_cast<std::int64_t>(m_heardDirectly) * m_settings.announceBytes;
    const milliseconds needed(bytes * 1000 / m_settings.announceBytesPerSecond);
    return std::clamp(needed, m_settings.shortestPeriod, m_settings.longestPeriod);
}

milliseconds membership::digestPeriod() const
{
    constexpr std::int64_t Directions = 2;
    const auto peers = static_cast<std::int64_t>(m_peers.size());
    const auto bytes = Directions * peers * m_settings.digestBytes;
    const milliseconds needed(bytes * 1000 / m_settings.digestBytesPerSecond);
    return std::max(needed, m_settings.shortestDigestPeriod);
}

// An agent that missed the answer with a shorter period still keeps to its old one: going by the
// promise alone would take it for silent, and drop a healthy upstream from routing.
duration membership::silentAfter(const member &known) const
{
    const duration interval = std::min<duration>(known.interval, m_settings.longestPeriod);
    const duration period = std::max<duration>(known.period, interval);
    // Half a period for the way: else the heartbeat after two lost ones comes a moment too late.
    return period * m_settings.missedPeriods + period / 2;
}

// A peer that died says nothing about the agents it heard. They need some periods to notice and to
// announce to another entry; dropping them sooner would take healthy upstreams out of routing.
duration membership::peerSilentAfter() const
{
    return digestPeriod() * m_settings.missedDigests + grantedPeriod() * m_settings.rehomePeriods;
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
