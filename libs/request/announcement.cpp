#include "request/announcement.h"

#include <array>
#include <span>

#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<upstream_state, 3> StateNames{{
        {upstream_state::Starting, "starting"},
        {upstream_state::Serving, "serving"},
        {upstream_state::Leaving, "leaving"},
}};

// Numbers are limited to signed 64 bits, since other JSON readers don't support more.
Json::Value toJsonNumber(std::uint64_t value)
{
    return Json::Value(static_cast<Json::Int64>(value));
}

std::uint64_t unsignedMember(const Json::Value &json, const char *name)
{
    return static_cast<std::uint64_t>(countMember(json, name));
}

upstream_state stateNamed(const std::string &name)
{
    const auto state = valueOf(StateNames, name);
    if (!state)
        throw error(error_kind::BadRequest, "'state' must be starting, serving or leaving");
    return *state;
}

std::string idMember(const Json::Value &json, const char *name)
{
    auto id = stringMember(json, name);
    if (id.empty())
        throw error(error_kind::BadRequest, std::string("'") + name + "' must not be empty");
    return id;
}

// Frequent messages are JSON arrays: the values of these members in this order, without names.
constexpr std::array HeartbeatMembers{"agentId",  "incarnation", "sequence", "state",
                                      "inFlight", "queued",      "latencyUs"};
constexpr std::array DigestMembers{"from", "incarnation", "sequence", "since", "upTo", "records"};
constexpr std::array AckMembers{"from", "incarnation", "upTo"};
constexpr std::array RecordMembers{"heard",      "agentId",  "address",     "zone",
                                   "region",     "rack",     "service",     "workerId",
                                   "workerSize", "slots",    "incarnation", "sequence",
                                   "state",      "inFlight", "queued",      "latencyUs"};

using member_names = std::span<const char *const>;

Json::Value packValues(const Json::Value &json, member_names names)
{
    Json::Value values(Json::arrayValue);
    for (const char *name : names)
        values.append(json[name]);
    return values;
}

Json::Value unpackValues(const Json::Value &values, member_names names, const char *description)
{
    if (!values.isArray() || values.size() != names.size()) {
        throw error(error_kind::BadRequest, std::string(description) + " must be an array of "
                                                    + std::to_string(names.size()) + " values");
    }
    Json::Value json(Json::objectValue);
    for (Json::ArrayIndex i = 0; i < values.size(); ++i)
        json[names[i]] = values[i];
    return json;
}

upstream_load loadFromJson(const Json::Value &json)
{
    return {smallIntegerMember(json, "inFlight"), smallIntegerMember(json, "queued"),
            microseconds(countMember(json, "latencyUs"))};
}

} // namespace

std::string_view nameOf(upstream_state state)
{
    return nameOf(StateNames, state);
}

Json::Value toJson(const announcement &message)
{
    Json::Value json(Json::objectValue);
    json["agentId"] = message.agentId;
    json["address"] = message.address;
    json["zone"] = message.zone;
    json["region"] = message.region;
    json["rack"] = message.rack;
    json["service"] = message.service;
    json["workerId"] = message.workerId;
    json["workerSize"]["millicores"] = Json::Int64(message.workerSize.millicores);
    json["workerSize"]["memoryBytes"] = Json::Int64(message.workerSize.memoryBytes);
    json["workerSize"]["accelerators"] = Json::Int64(message.workerSize.accelerators);
    json["slots"] = message.slots;
    json["incarnation"] = toJsonNumber(message.incarnation);
    json["sequence"] = toJsonNumber(message.sequence);
    json["state"] = std::string(nameOf(message.state));
    json["inFlight"] = message.load.inFlight;
    json["queued"] = message.load.queued;
    json["latencyUs"] = Json::Int64(message.load.latency.count());
    return json;
}

announcement announcementFromJson(const Json::Value &json)
{
    announcement message;
    message.agentId = idMember(json, "agentId");
    message.address = idMember(json, "address");
    message.zone = stringMember(json, "zone");
    message.region = stringMember(json, "region");
    message.rack = stringMember(json, "rack");
    message.service = idMember(json, "service");
    message.workerId = stringMember(json, "workerId");
    const auto &size = objectMember(json, "workerSize");
    message.workerSize.millicores = countMember(size, "millicores");
    message.workerSize.memoryBytes = countMember(size, "memoryBytes");
    message.workerSize.accelerators = countMember(size, "accelerators");
    message.slots = smallIntegerMember(json, "slots");
    message.incarnation = unsignedMember(json, "incarnation");
    message.sequence = unsignedMember(json, "sequence");
    message.state = stateNamed(stringMember(json, "state"));
    message.load = loadFromJson(json);
    return message;
}

Json::Value toJson(const heartbeat &message)
{
    announcement full;
    full.agentId = message.agentId;
    full.incarnation = message.incarnation;
    full.sequence = message.sequence;
    full.state = message.state;
    full.load = message.load;
    return packValues(toJson(full), HeartbeatMembers);
}

heartbeat heartbeatFromJson(const Json::Value &values)
{
    const Json::Value members = unpackValues(values, HeartbeatMembers, "a heartbeat");
    heartbeat message;
    message.agentId = idMember(members, "agentId");
    message.incarnation = unsignedMember(members, "incarnation");
    message.sequence = unsignedMember(members, "sequence");
    message.state = stateNamed(stringMember(members, "state"));
    message.load = loadFromJson(members);
    return message;
}

heartbeat heartbeatOf(const announcement &full)
{
    return {full.agentId, full.incarnation, full.sequence, full.state, full.load};
}

Json::Value toJson(const announce_reply &message)
{
    Json::Value json(Json::objectValue);
    if (message.refusalKind)
        json["refused"] = std::string(nameOf(*message.refusalKind));
    json["sequence"] = toJsonNumber(message.sequence);
    json["knownIncarnation"] = toJsonNumber(message.knownIncarnation);
    json["sendWhole"] = message.needsFullAnnouncement;
    json["periodMs"] = Json::Int64(message.period.count());
    return json;
}

announce_reply announceReplyFromJson(const Json::Value &json)
{
    announce_reply message;
    message.sequence = unsignedMember(json, "sequence");
    message.knownIncarnation = unsignedMember(json, "knownIncarnation");
    message.needsFullAnnouncement = boolMember(json, "sendWhole");
    message.period = milliseconds(countMember(json, "periodMs"));
    if (json.isMember("refused")) {
        message.refusalKind = errorKindNamed(stringMember(json, "refused"));
        if (!message.refusalKind)
            throw error(error_kind::BadRequest, "'refused' must be the name of an error kind");
    }
    return message;
}

Json::Value toJson(const digest &message)
{
    Json::Value json(Json::objectValue);
    json["from"] = message.senderId;
    json["incarnation"] = toJsonNumber(message.incarnation);
    json["sequence"] = toJsonNumber(message.sequence);
    json["since"] = toJsonNumber(message.sinceVersion);
    json["upTo"] = toJsonNumber(message.upToVersion);
    json["records"] = Json::Value(Json::arrayValue);
    for (const auto &record : message.records) {
        Json::Value item = toJson(record.upstream);
        item["heard"] = record.hasDirectHeartbeats;
        json["records"].append(packValues(item, RecordMembers));
    }
    return packValues(json, DigestMembers);
}

digest digestFromJson(const Json::Value &values)
{
    const Json::Value json = unpackValues(values, DigestMembers, "a digest");
    digest message;
    message.senderId = idMember(json, "from");
    message.incarnation = unsignedMember(json, "incarnation");
    message.sequence = unsignedMember(json, "sequence");
    message.sinceVersion = unsignedMember(json, "since");
    message.upToVersion = unsignedMember(json, "upTo");
    for (const auto &record : arrayMember(json, "records")) {
        const Json::Value item = unpackValues(record, RecordMembers, "a record of a digest");
        message.records.push_back({announcementFromJson(item), boolMember(item, "heard")});
    }
    return message;
}

Json::Value toJson(const digest_ack &message)
{
    Json::Value json(Json::objectValue);
    json["from"] = message.senderId;
    json["incarnation"] = toJsonNumber(message.incarnation);
    json["upTo"] = toJsonNumber(message.upToVersion);
    return packValues(json, AckMembers);
}

digest_ack digestAckFromJson(const Json::Value &values)
{
    const Json::Value json = unpackValues(values, AckMembers, "an acknowledgement of a digest");
    return {idMember(json, "from"), unsignedMember(json, "incarnation"),
            unsignedMember(json, "upTo")};
}

} // namespace zinniabarrow::request
