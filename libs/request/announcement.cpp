#include "request/announcement.h"

#include <limits>

#include "base/names.h"
#include "request/json_members.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<upstream_state, 3> StateNames{{
        {upstream_state::Starting, "starting"},
        {upstream_state::Serving, "serving"},
        {upstream_state::Leaving, "leaving"},
}};

// Compact forms keep to signed 64 bits: other JSON readers stop there.
Json::Value number(std::uint64_t value)
{
    return Json::Value(static_cast<Json::Int64>(value));
}

std::uint64_t numberIn(const Json::Value &json, const char *name)
{
    return static_cast<std::uint64_t>(countIn(json, name));
}

upstream_state stateNamed(const std::string &name)
{
    const auto state = valueOf(StateNames, name);
    if (!state)
        throw error(error_kind::BadRequest, "'state' must be starting, serving or leaving");
    return *state;
}

std::string idIn(const Json::Value &json, const char *name)
{
    auto id = textIn(json, name);
    if (id.empty())
        throw error(error_kind::BadRequest, std::string("'") + name + "' must not be empty");
    return id;
}

// The members of a heartbeat in their order, under the names they have in an announcement.
constexpr std::array HeartbeatMembers{"agentId",  "incarnation", "sequence", "state",
                                      "inFlight", "queued",      "latencyUs"};

Json::Value named(const Json::Value &compact)
{
    if (!compact.isArray() || compact.size() != HeartbeatMembers.size())
        throw error(error_kind::BadRequest, "a heartbeat is an array of 7 values");
    Json::Value json(Json::objectValue);
    for (Json::ArrayIndex i = 0; i < compact.size(); ++i)
        json[HeartbeatMembers.at(i)] = compact[i];
    return json;
}

upstream_load loadIn(const Json::Value &json)
{
    return {smallCountIn(json, "inFlight"), smallCountIn(json, "queued"),
            microseconds(countIn(json, "latencyUs"))};
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
    json["incarnation"] = number(message.incarnation);
    json["sequence"] = number(message.sequence);
    json["state"] = std::string(nameOf(message.state));
    json["inFlight"] = message.load.inFlight;
    json["queued"] = message.load.queued;
    json["latencyUs"] = Json::Int64(message.load.latency.count());
    return json;
}

announcement announcementFromJson(const Json::Value &json)
{
    announcement message;
    message.agentId = idIn(json, "agentId");
    message.address = idIn(json, "address");
    message.zone = textIn(json, "zone");
    message.region = textIn(json, "region");
    message.rack = textIn(json, "rack");
    message.service = idIn(json, "service");
    message.workerId = textIn(json, "workerId");
    const auto &size = objectIn(json, "workerSize");
    message.workerSize.millicores = countIn(size, "millicores");
    message.workerSize.memoryBytes = countIn(size, "memoryBytes");
    message.workerSize.accelerators = countIn(size, "accelerators");
    message.slots = smallCountIn(json, "slots");
    message.incarnation = numberIn(json, "incarnation");
    message.sequence = numberIn(json, "sequence");
    message.state = stateNamed(textIn(json, "state"));
    message.load = loadIn(json);
    return message;
}

Json::Value toJson(const heartbeat &message)
{
    Json::Value json(Json::arrayValue);
    json.append(message.agentId);
    json.append(number(message.incarnation));
    json.append(number(message.sequence));
    json.append(std::string(nameOf(message.state)));
    json.append(message.load.inFlight);
    json.append(message.load.queued);
    json.append(Json::Int64(message.load.latency.count()));
    return json;
}

heartbeat heartbeatFromJson(const Json::Value &json)
{
    const Json::Value members = named(json);
    heartbeat message;
    message.agentId = idIn(members, "agentId");
    message.incarnation = numberIn(members, "incarnation");
    message.sequence = numberIn(members, "sequence");
    message.state = stateNamed(textIn(members, "state"));
    message.load = loadIn(members);
    return message;
}

heartbeat heartbeatOf(const announcement &whole)
{
    return {whole.agentId, whole.incarnation, whole.sequence, whole.state, whole.load};
}

Json::Value toJson(const announce_reply &message)
{
    Json::Value json(Json::objectValue);
    if (message.refused)
        json["refused"] = std::string(nameOf(*message.refused));
    json["knownIncarnation"] = number(message.knownIncarnation);
    json["sendWhole"] = message.sendWhole;
    json["periodMs"] = Json::Int64(message.period.count());
    return json;
}

announce_reply announceReplyFromJson(const Json::Value &json)
{
    announce_reply message;
    message.knownIncarnation = numberIn(json, "knownIncarnation");
    message.sendWhole = flagIn(json, "sendWhole");
    message.period = milliseconds(countIn(json, "periodMs"));
    if (json.isMember("refused")) {
        message.refused = errorKindNamed(textIn(json, "refused"));
        if (!message.refused)
            throw error(error_kind::BadRequest, "'refused' must be the name of an error kind");
    }
    return message;
}

Json::Value toJson(const digest &message)
{
    Json::Value json(Json::objectValue);
    json["from"] = message.from;
    json["incarnation"] = number(message.incarnation);
    json["sequence"] = number(message.sequence);
    json["since"] = number(message.since);
    json["upTo"] = number(message.upTo);
    json["records"] = Json::Value(Json::arrayValue);
    for (const auto &record : message.records) {
        Json::Value item = toJson(record.upstream);
        item["heard"] = record.heard;
        json["records"].append(std::move(item));
    }
    return json;
}

digest digestFromJson(const Json::Value &json)
{
    digest message;
    message.from = idIn(json, "from");
    message.incarnation = numberIn(json, "incarnation");
    message.sequence = numberIn(json, "sequence");
    message.since = numberIn(json, "since");
    message.upTo = numberIn(json, "upTo");
    for (const auto &item : arrayIn(json, "records"))
        message.records.push_back({announcementFromJson(item), flagIn(item, "heard")});
    return message;
}

Json::Value toJson(const digest_ack &message)
{
    Json::Value json(Json::objectValue);
    json["from"] = message.from;
    json["incarnation"] = number(message.incarnation);
    json["upTo"] = number(message.upTo);
    return json;
}

digest_ack digestAckFromJson(const Json::Value &json)
{
    return {idIn(json, "from"), numberIn(json, "incarnation"), numberIn(json, "upTo")};
}

} // namespace zinniabarrow::request
