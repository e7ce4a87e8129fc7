// Messages by which upstreams and entries know each other.
//
//   announcement    an agent about its upstream, whole: at start, on a change, when asked for it
//   heartbeat       the same agent later on, compact: what changes all the time
//   announce_reply  the entry's answer: accepted or not, and when to announce next
//   digest          one entry to another: what changed since the last acknowledged digest
//   digest_ack      how far the receiver has come
//
// fromJson throws error BadRequest and names the member that is wrong.
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
    Starting, // takes no requests yet
    Serving,
    Leaving, // takes no new requests; the last state of an incarnation
};
std::string_view nameOf(upstream_state state);

// What the upstream's agent knows of its load.
struct upstream_load
{
    int inFlight = 0;   // requests that run
    int queued = 0;     // requests that wait in the agent
    duration latency{}; // learned service time
};

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
    int slots = 0;                 // requests the upstream runs at once
    std::uint64_t incarnation = 0; // of the agent's process, newer ones are higher
    std::uint64_t sequence = 0;    // within the incarnation, raised by every message
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
Json::Value toJson(const heartbeat &message); // an array, see announcement.cpp
heartbeat heartbeatFromJson(const Json::Value &values);
heartbeat heartbeatOf(const announcement &full);

struct announce_reply
{
    std::uint64_t sequence = 0; // of the message that is answered
    std::optional<error_kind> refusalKind;
    std::uint64_t knownIncarnation = 0; // the newest the entry has seen of this agent
    bool needsFullAnnouncement = false; // the entry lacks the whole announcement
    milliseconds period{};              // until the next heartbeat is due
};
Json::Value toJson(const announce_reply &message);
announce_reply announceReplyFromJson(const Json::Value &json);

struct digest_record
{
    announcement upstream;
    bool hasDirectHeartbeats = false; // the sender hears this agent itself
};

struct digest
{
    std::string senderId;           // entry id
    std::uint64_t incarnation = 0;  // of the sending entry's process
    std::uint64_t sequence = 0;     // within the incarnation
    std::uint64_t sinceVersion = 0; // the receiver's last acknowledged version
    std::uint64_t upToVersion = 0;  // version reached with these records
    std::vector<digest_record> records;
};
Json::Value toJson(const digest &message); // an array
digest digestFromJson(const Json::Value &values);

struct digest_ack
{
    std::string senderId;          // entry id of the receiver of the digest
    std::uint64_t incarnation = 0; // of the digest's sender, as the receiver saw it
    std::uint64_t upToVersion = 0; // version applied; lower than `since` asks for a resync
};
Json::Value toJson(const digest_ack &message); // an array
digest_ack digestAckFromJson(const Json::Value &values);

} // namespace zinniabarrow::request
