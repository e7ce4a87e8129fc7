// Messages with which agents announce their upstreams to entries, and entries inform each other.
//
//   announcement    full description of an upstream: sent at the start, after a change, and when an
//                   entry asks for it
//   heartbeat       periodic compact message of the same agent: state and load only
//   announce_reply  the entry's reply: accepted or refused, and the heartbeat period
//   digest          sent by one entry to another: what changed since the last acknowledged digest
//   digest_ack      reply to a digest: the version up to which the receiver has applied changes
//
// The ...FromJson functions throw error BadRequest, whose text names the invalid member.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "base/errors.h"
#include "base/time.h"

namespace zinniabarrow::request {

enum class upstream_state {
    Starting, // does not accept requests yet
    Serving,
    Leaving, // accepts no new requests; final state of an incarnation
};
std::string_view nameOf(upstream_state state);

// The load of an upstream as its agent sees it.
struct upstream_load
{
    int inFlight = 0;   // requests that are running
    int queued = 0;     // requests that wait in the agent
    duration latency{}; // estimated mean service time
};

// Resources of the worker on which the upstream runs.
struct announced_size
{
    std::int64_t millicores = 0;
    std::int64_t memoryBytes = 0;
    std::int64_t accelerators = 0;
};

struct announcement
{
    std::string agentId;
    std::string address; // ip:port of the agent
    std::string zone;
    std::string region;
    std::string rack;
    std::string service;
    std::string workerId;
    announced_size workerSize;
    int slots = 0;                 // requests that the upstream runs at the same time
    std::uint64_t incarnation = 0; // of the agent's process; a newer process has a higher number
    std::uint64_t sequence = 0;    // increased by each message of the incarnation
    upstream_state state = upstream_state::Starting;
    upstream_load load;
};
Json::Value toJson(const announcement &message);
announcement announcementFromJson(const Json::Value &json);

struct heartbeat
{
    std::string agentId;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    upstream_state state = upstream_state::Starting;
    upstream_load load;
};
Json::Value toJson(const heartbeat &message); // JSON array without member names
heartbeat heartbeatFromJson(const Json::Value &values);
heartbeat heartbeatOf(const announcement &full);

struct announce_reply
{
    std::uint64_t sequence = 0;            // of the message that this replies to
    std::optional<error_kind> refusalKind; // absent: accepted
    // Highest incarnation of this agent that the entry has seen.
    std::uint64_t knownIncarnation = 0;
    bool needsFullAnnouncement = false; // the entry does not have the agent's announcement
    milliseconds period{};              // until the next heartbeat is due
};
Json::Value toJson(const announce_reply &message);
announce_reply announceReplyFromJson(const Json::Value &json);

struct digest_record
{
    announcement upstream;
    bool hasDirectHeartbeats = false; // the sender itself receives heartbeats of this agent
};

struct digest
{
    std::string senderId;           // id of the sending entry
    std::uint64_t incarnation = 0;  // of the sending entry's process
    std::uint64_t sequence = 0;     // increased by each digest of the incarnation
    std::uint64_t sinceVersion = 0; // version of the sender that the receiver acknowledged last
    std::uint64_t upToVersion = 0;  // version that the receiver has after applying the records
    std::vector<digest_record> records;
};
Json::Value toJson(const digest &message); // JSON array without member names
digest digestFromJson(const Json::Value &values);

struct digest_ack
{
    std::string senderId;          // id of the entry that received the digest
    std::uint64_t incarnation = 0; // of the digest's sender, as known to the receiver
    // Version that the receiver has applied. If it is below the digest's sinceVersion, the sender
    // sends all later records again.
    std::uint64_t upToVersion = 0;
};
Json::Value toJson(const digest_ack &message); // JSON array without member names
digest_ack digestAckFromJson(const Json::Value &values);

} // namespace zinniabarrow::request
