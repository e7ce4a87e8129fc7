// Membership: which upstreams an entry may route to.
//
//   membership_settings   own identity, periods, bounds
//   membership_change     upstream_joined, upstream_left, upstream_reported: input of the router
//   membership            announcements, heartbeats and digests in; changes and digests out
//   announceTargets       which entries an agent announces to
//
// An upstream is routable while its state is Serving and somebody hears its agent: this entry, or
// a peer entry that vouches for it and is itself heard. Leaving counts at once, through any peer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "request/announcement.h"

namespace zinniabarrow::request {

struct membership_settings
{
    std::string entryId;                // of this entry
    std::uint64_t incarnation = 0;      // of this process, newer ones are higher
    milliseconds minPeriod{1000};       // between heartbeats, when agents are few
    milliseconds maxPeriod{15 * 1000};  // between heartbeats, when they are many
    int heartbeatBytes = 105;           // of one heartbeat and its part of an answer, as sent
    int heartbeatBytesPerSecond = 1300; // share of the control budget
    int missedHeartbeatLimit = 3;       // without a heartbeat, until an agent is silent
    milliseconds minDigestPeriod{1000}; // between digests to a peer without news
    int digestBytes = 80;               // of one digest without news, as sent
    int digestBytesPerSecond = 500;     // share of the control budget, both directions
    int reannouncePeriods = 10;         // that agents need to find another entry
    int missedDigestLimit = 3;          // until a peer's word counts no more
    milliseconds departedRetention{10 * 60
                                   * 1000}; // upstreams that are gone, to know late messages
    std::size_t maxMembers = 4096;          // remembered ones included
    std::size_t maxPeers = 64;
    std::size_t maxDigestRecords = 16; // bound on one digest; the rest follows
};

struct upstream_joined
{
    announcement upstream;
};

enum class leave_reason {
    Left,     // announced Leaving
    Silent,   // nobody hears its agent
    Replaced, // a newer incarnation is there
    NotReady, // Serving no more, and not Leaving
};
std::string_view nameOf(leave_reason reason);

struct upstream_left
{
    std::string agentId;
    std::uint64_t incarnation = 0;
    leave_reason reason = leave_reason::Left;
};

struct upstream_reported
{
    std::string agentId;
    std::uint64_t incarnation = 0;
    upstream_load load;
};

using membership_change = std::variant<upstream_joined, upstream_left, upstream_reported>;

struct announce_outcome
{
    announce_reply reply;
    bool shouldReply = true; // false: the agent would learn nothing new, no answer is needed
    std::vector<membership_change> changes;
};

struct digest_outcome
{
    std::optional<digest_ack> ack; // absent: no news, or the digest came late
    std::vector<membership_change> changes;
};

struct membership_counters
{
    std::uint64_t accepted = 0;      // announcements and heartbeats
    std::uint64_t staleMessages = 0; // old incarnation or sequence
    std::uint64_t overLimit = 0;     // refused for the bound on members or peers
    std::uint64_t staleDigests = 0;
    std::uint64_t resyncs = 0; // peers that had to start from the beginning
    std::map<leave_reason, std::uint64_t> left;
};

class membership
{
public:
    explicit membership(membership_settings settings);

    announce_outcome handleMessage(const announcement &message, time_point now);
    announce_outcome handleMessage(const heartbeat &message, time_point now);
    digest_outcome handleMessage(const digest &message, time_point now);
    void handleMessage(const digest_ack &message);

    // What went silent meanwhile. Call it several times in the shortest period.
    std::vector<membership_change> tick(time_point now);

    // The digest that is due for `peer`: at once after a change, else every digestPeriod().
    std::optional<digest> digestFor(const std::string &peer, time_point now);

    // Between digests to a peer without news; by the number of peers.
    milliseconds digestPeriod() const;

    std::vector<announcement> routableUpstreams() const;
    std::vector<announcement> knownUpstreams() const; // silent and left ones included
    std::size_t size() const { return m_members.size(); }
    const membership_counters &counters() const { return m_counters; }

private:
    struct member
    {
        announcement lastMessage;
        time_point lastHeartbeatAt{};          // directly, by this entry
        milliseconds period{};                 // promised to the agent
        duration lastInterval{};               // between its last two heartbeats
        int unansweredHeartbeats = 0;          // heartbeats since the last answer
        bool hasDirectHeartbeats = false;      // directly, and not silent since
        bool hadDirectHeartbeat = false;       // directly, in this incarnation
        std::set<std::string> monitoringPeers; // peers that hear it
        std::uint64_t version = 0;             // of this entry's table, at the last change
        bool isRoutable = false;               // as last told to the router
        time_point departedAt = Never;         // since when nobody hears it or it is leaving
    };
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;       // of its last digest
        std::uint64_t appliedVersion = 0; // version of its table that is applied here
        time_point lastDigestAt{};
        bool hasReceivedDigest = false;
        std::uint64_t ackedVersion = 0; // version of this table that it has applied
        std::uint64_t sentVersion = 0;  // version last sent
        time_point digestSentAt{};
        bool hasSent = false;
    };
    using changes = std::vector<membership_change>;

    member *findOrAddMember(const announcement &message);
    bool isStale(const member &known, const announcement &message) const;
    void applyAnnouncement(member &known, const announcement &message, changes &out);
    void recordHeartbeat(member &known, time_point now);
    void applyRecord(const digest_record &record, const std::string &from, changes &out,
                     time_point now);
    void updateRoutability(member &known, changes &out, time_point now);
    bool isMonitoredByPeer(const member &known, time_point now) const;
    bool shouldShare(const member &known) const;
    bool evictOldestDeparted();
    peer *findOrAddPeer(const std::string &id);
    void removeMonitoringPeer(const std::string &peerId);
    announce_outcome acceptMessage(const announcement &message, bool isFull, time_point now);
    announce_outcome makeRefusal(error_kind kind, const announcement &message);
    void removeDeparted(time_point now);
    milliseconds grantedPeriod() const;
    duration heartbeatTimeout(const member &known) const;
    duration peerTimeout() const;
    void bumpVersion(member &known) { known.version = ++m_version; }

    membership_settings m_settings;
    membership_counters m_counters;
    std::map<std::string, member> m_members; // by agent id
    std::map<std::string, peer> m_peers;     // by entry id
    std::uint64_t m_version = 0;
    std::uint64_t m_digestSequence = 0;
    std::size_t m_directMemberCount = 0;
    bool m_wasAcknowledged = false; // by any peer, in this incarnation
};

// The entries that `agentId` announces to: all of them when there are at most `count`, else the
// first `count` in rendezvous order, leaving out those that do not answer while others do.
std::vector<std::string> announceTargets(const std::string &agentId,
                                         const std::vector<std::string> &entries, std::size_t count,
                                         const std::set<std::string> &unresponsive = {});

} // namespace zinniabarrow::request
