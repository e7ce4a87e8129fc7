// Membership: the set of upstreams that an entry may route requests to.
//
//   membership_settings   identity of this entry, periods, limits
//   membership_change     upstream_joined, upstream_left or upstream_load_reported: input of the
//                         router
//   membership            takes announcements, heartbeats and digests; returns changes and digests
//   announceTargets       the entries that an agent announces its upstream to
//
// An announcement is an agent's full description of its upstream, a heartbeat its short periodic
// message. A digest is sent by an entry to a peer entry: the members that changed since the last
// digest that the peer acknowledged.
//
// An upstream is routable while its state is Serving and an entry receives heartbeats of its agent:
// this entry, or a peer entry that reports so in its digests and whose digests still arrive. The
// Leaving state takes effect at once, whichever peer reports it.
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
    std::string entryId;                   // id of this entry
    std::uint64_t incarnation = 0;         // of this process; a newer process has a higher number
    milliseconds minHeartbeatPeriod{1000}; // shortest heartbeat period, used with few agents
    milliseconds maxHeartbeatPeriod{15 * 1000}; // longest heartbeat period, used with many agents
    int heartbeatBytes = 105; // size on the wire of one heartbeat, replies included on average
    // Limit for the heartbeats of all agents that send to this entry; their period follows from it.
    int heartbeatBytesPerSecond = 1300;
    int missedHeartbeatLimit = 3;       // missed heartbeats until an agent counts as silent
    milliseconds minDigestPeriod{1000}; // least time between digests without changes to one peer
    int digestBytes = 80;               // size on the wire of one digest without changes
    int digestBytesPerSecond = 500;     // limit for digests with all peers, both directions
    // Heartbeat periods that an agent needs to replace a failed entry by another one. The reports
    // of a peer whose digests stopped arriving count for this much longer.
    int reannouncePeriods = 10;
    int missedDigestLimit = 3; // missed digests until a peer's reports no longer count
    // How long departed upstreams are kept, so that late messages about them are recognized.
    milliseconds departedRetention{10 * 60 * 1000};
    std::size_t maxMembers = 4096;     // including departed upstreams that are still kept
    std::size_t maxPeers = 64;         // peer entries
    std::size_t maxDigestRecords = 16; // records in one digest; the rest follows in the next one
};

struct upstream_joined
{
    announcement upstream;
};

enum class leave_reason {
    Left,     // its agent announced Leaving
    Silent,   // no entry receives heartbeats of its agent
    Replaced, // a newer incarnation has announced itself
    NotReady, // state changed from Serving to Starting
};
std::string_view nameOf(leave_reason reason);

struct upstream_left
{
    std::string agentId;
    std::uint64_t incarnation = 0; // of the agent
    leave_reason reason = leave_reason::Left;
};

// New load figures of a routable upstream.
struct upstream_load_reported
{
    std::string agentId;
    std::uint64_t incarnation = 0; // of the agent
    upstream_load load;
};

using membership_change = std::variant<upstream_joined, upstream_left, upstream_load_reported>;

struct announce_outcome
{
    announce_reply reply;
    bool shouldReply = true; // false: the reply is left out, as it has nothing new for the agent
    std::vector<membership_change> changes;
};

struct digest_outcome
{
    std::optional<digest_ack> ack; // absent: the digest had no changes or was stale
    std::vector<membership_change> changes;
};

struct membership_counters
{
    std::uint64_t accepted = 0;      // announcements and heartbeats
    std::uint64_t staleMessages = 0; // refused for an old incarnation or sequence
    std::uint64_t overLimit = 0;     // refused because of maxMembers or maxPeers
    std::uint64_t staleDigests = 0;
    std::uint64_t resyncs = 0; // times a peer lost its records and had to be sent them again
    std::map<leave_reason, std::uint64_t> departures; // upstreams that stopped being routable
};

// Keeps the upstreams that this entry knows, and decides which are routable. The entry calls it
// with each message and passes the changes on to the router. Not thread-safe.
class membership
{
public:
    explicit membership(membership_settings settings);

    announce_outcome handleMessage(const announcement &message, time_point now);
    announce_outcome handleMessage(const heartbeat &message, time_point now);
    digest_outcome handleMessage(const digest &message, time_point now);
    void handleMessage(const digest_ack &message);

    // Returns the upstreams that became silent. Call it several times per heartbeat period.
    std::vector<membership_change> tick(time_point now);

    // Returns the digest that is due for `peer`: at once after a change, otherwise every
    // digestPeriod(). The returned digest counts as sent. A peer that is not known yet is added.
    // Absent if none is due, or if the peer is not known and maxPeers is reached.
    std::optional<digest> digestFor(const std::string &peer, time_point now);

    // Time between digests without changes to the same peer; grows with the number of peers.
    milliseconds digestPeriod() const;

    std::vector<announcement> routableUpstreams() const;
    std::vector<announcement> knownUpstreams() const; // includes silent and departed ones
    std::size_t size() const { return m_members.size(); }
    const membership_counters &counters() const { return m_counters; }

private:
    struct member
    {
        announcement lastMessage;
        time_point lastHeartbeatAt{};          // last message received directly by this entry
        milliseconds period{};                 // heartbeat period that the agent was told
        duration lastInterval{};               // between its last two heartbeats
        int unansweredHeartbeats = 0;          // heartbeats since the last reply
        bool hasDirectHeartbeats = false;      // received by this entry, and not timed out
        bool hadDirectHeartbeat = false;       // this entry received one in this incarnation
        std::set<std::string> monitoringPeers; // peers that receive its heartbeats
        std::uint64_t version = 0;             // value of m_version at its last change
        bool isRoutable = false;               // as last reported to the router
        time_point departedAt = Never;         // since when it is silent or leaving
    };
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;       // of its last digest
        std::uint64_t appliedVersion = 0; // version of its members that this entry has applied
        time_point lastDigestAt{};        // when its last digest arrived
        bool hasReceivedDigest = false;
        std::uint64_t ackedVersion = 0; // version of this entry's members that it acknowledged
        std::uint64_t sentVersion = 0;  // version of this entry's members that was last sent to it
        time_point digestSentAt{};      // when a digest was last sent to it
        bool hasSent = false;
    };
    using changes = std::vector<membership_change>;

    member *findOrAddMember(const announcement &message);
    bool isStale(const member &memberRecord, const announcement &message) const;
    void applyAnnouncement(member &memberRecord, const announcement &message, changes &out);
    void recordHeartbeat(member &memberRecord, time_point now);
    void applyRecord(const digest_record &record, const std::string &reportingPeer, changes &out,
                     time_point now);
    void updateRoutability(member &memberRecord, changes &out, time_point now);
    bool isMonitoredByPeer(const member &memberRecord, time_point now) const;
    bool shouldShare(const member &memberRecord) const;
    bool evictOldestDeparted();
    peer *findOrAddPeer(const std::string &id);
    void removeMonitoringPeer(const std::string &peerId);
    announce_outcome acceptMessage(const announcement &message, bool isFull, time_point now);
    announce_outcome makeRefusal(error_kind kind, const announcement &message);
    void removeDeparted(time_point now);
    milliseconds grantedPeriod() const;
    duration heartbeatTimeout(const member &memberRecord) const;
    duration peerTimeout() const;
    void bumpVersion(member &memberRecord) { memberRecord.version = ++m_version; }

    membership_settings m_settings;
    membership_counters m_counters;
    std::map<std::string, member> m_members; // by agent id
    std::map<std::string, peer> m_peers;     // by entry id
    std::uint64_t m_version = 0;             // of m_members; increased by each change
    std::uint64_t m_digestSequence = 0;
    std::size_t m_directMemberCount = 0; // members with direct heartbeats
    bool m_wasAcknowledged = false;      // by any peer, in this incarnation
};

// Returns the entries that `agentId` announces to: all of them if there are at most `count`,
// otherwise the first `count` in rendezvous order. Entries in `unresponsive` come last and are used
// only if the others are too few.
std::vector<std::string> announceTargets(const std::string &agentId,
                                         const std::vector<std::string> &entries, std::size_t count,
                                         const std::set<std::string> &unresponsive = {});

} // namespace zinniabarrow::request
