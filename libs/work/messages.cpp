#include "work/messages.h"

#include <charconv>
#include <utility>

#include "base/errors.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<task_event_kind, 8> EventNames = {{
        {task_event_kind::Started, "started"},
        {task_event_kind::Checkpointed, "checkpointed"},
        {task_event_kind::Evicted, "evicted"},
        {task_event_kind::Succeeded, "succeeded"},
        {task_event_kind::Failed, "failed"},
        {task_event_kind::Stopped, "stopped"},
        {task_event_kind::Refused, "refused"},
        {task_event_kind::Lost, "lost"},
}};

task_event_kind eventKindFromName(std::string_view name)
{
    const auto kind = valueOf(EventNames, name);
    if (!kind)
        throw error(error_kind::BadRequest, "unknown task event \"" + std::string(name) + "\"");
    return *kind;
}

Json::Value toJson(const task_event &event)
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::UInt64(event.number);
    value["task"] = textOf(event.task);
    value["attempt"] = event.attempt;
    value["kind"] = std::string(nameOf(event.kind));
    if (!event.checkpoint.empty())
        value["checkpoint"] = event.checkpoint;
    if (!event.detail.empty())
        value["detail"] = event.detail;
    return value;
}

task_event taskEventFromJson(const Json::Value &value)
{
    task_event event;
    event.number = countMember(value, "number");
    event.task = taskIdFromText(stringMember(value, "task"));
    event.attempt = smallCountMember(value, "attempt");
    event.kind = eventKindFromName(stringMember(value, "kind"));
    event.checkpoint = stringMemberOr(value, "checkpoint", "");
    event.detail = stringMemberOr(value, "detail", "");
    return event;
}

Json::Value toJson(const granted_task &task)
{
    Json::Value value(Json::objectValue);
    value["task"] = textOf(task.task);
    value["attempt"] = task.attempt;
    value["failover"] = std::string(nameOf(task.failover));
    if (!task.checkpoint.empty())
        value["checkpoint"] = task.checkpoint;
    for (const auto &name : task.newerCheckpoints)
        value["newerCheckpoints"].append(name);
    return value;
}

granted_task grantedTaskFromJson(const Json::Value &value)
{
    granted_task task;
    task.task = taskIdFromText(stringMember(value, "task"));
    task.attempt = smallCountMember(value, "attempt");
    task.failover = failoverClassFromName(stringMember(value, "failover"));
    task.checkpoint = stringMemberOr(value, "checkpoint", "");
    if (!value.isMember("newerCheckpoints"))
        return task;
    for (const auto &name : arrayMember(value, "newerCheckpoints")) {
        if (!name.isString())
            throw error(error_kind::BadRequest,
                        "member \"newerCheckpoints\" must be a list of strings");
        task.newerCheckpoints.push_back(name.asString());
    }
    return task;
}

Json::Value toJson(const task_reservation &reservation)
{
    Json::Value value = work::toJson(reservation.attempt);
    value["millicores"] = Json::Int64(reservation.reserved.millicores);
    value["bytes"] = Json::Int64(reservation.reserved.bytes);
    value["accelerators"] = Json::Int64(reservation.reserved.accelerators);
    return value;
}

task_reservation taskReservationFromJson(const Json::Value &value)
{
    return {taskAttemptFromJson(value),
            {static_cast<std::int64_t>(countMember(value, "millicores")),
             static_cast<std::int64_t>(countMember(value, "bytes")),
             static_cast<std::int64_t>(countMember(value, "accelerators"))}};
}

Json::Value toJson(const cpu_limit &limit)
{
    Json::Value value = work::toJson(limit.attempt);
    value["millicores"] = Json::Int64(limit.millicores);
    return value;
}

cpu_limit cpuLimitFromJson(const Json::Value &value)
{
    return {taskAttemptFromJson(value),
            static_cast<std::int64_t>(countMember(value, "millicores"))};
}

template <typename Item>
Json::Value listToJson(const std::vector<Item> &items)
{
    Json::Value list(Json::arrayValue);
    for (const auto &item : items)
        list.append(toJson(item));
    return list;
}

template <typename Item>
std::vector<Item> listFromJson(const Json::Value &value, const char *name,
                               Item (*read)(const Json::Value &))
{
    std::vector<Item> items;
    for (const auto &item : arrayMember(value, name))
        items.push_back(read(item));
    return items;
}

} // namespace

std::string textOf(const task_id &task)
{
    return task.job + "/" + std::to_string(task.index);
}

task_id taskIdFromText(std::string_view text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
        throw error(error_kind::BadRequest,
                    "task \"" + std::string(text) + "\" is not of the form job/index");
    task_id task{std::string(text.substr(0, slash)), 0};
    const auto digits = text.substr(slash + 1);
    const char *end = digits.data() + digits.size();
    const auto [parsedEnd, conversionError] = std::from_chars(digits.data(), end, task.index);
    if (conversionError != std::errc() || parsedEnd != end)
        throw error(error_kind::BadRequest,
                    "task \"" + std::string(text) + "\" has an invalid index");
    return task;
}

std::string checkpointName(const task_attempt &attempt)
{
    return "checkpoint/" + textOf(attempt.task) + "/" + std::to_string(attempt.attempt);
}

std::string_view nameOf(task_event_kind kind)
{
    return nameOf(EventNames, kind);
}

Json::Value toJson(const task_attempt &attempt)
{
    Json::Value value(Json::objectValue);
    value["task"] = textOf(attempt.task);
    value["attempt"] = attempt.attempt;
    return value;
}

task_attempt taskAttemptFromJson(const Json::Value &value)
{
    return {taskIdFromText(stringMember(value, "task")), smallCountMember(value, "attempt")};
}

Json::Value toJson(const agent_report &report)
{
    Json::Value value(Json::objectValue);
    value["worker"] = report.worker;
    value["incarnation"] = Json::UInt64(report.incarnation);
    value["session"] = report.session;
    value["sequence"] = Json::UInt64(report.sequence);
    value["epoch"] = Json::UInt64(report.epoch);
    value["events"] = listToJson(report.events);
    if (report.ackedReservation > 0)
        value["reservationsTaken"] = Json::UInt64(report.ackedReservation);
    return value;
}

agent_report agentReportFromJson(const Json::Value &value)
{
    agent_report report;
    report.worker = stringMember(value, "worker");
    report.incarnation = countMember(value, "incarnation");
    report.session = stringMember(value, "session");
    report.sequence = countMember(value, "sequence");
    report.epoch = countMember(value, "epoch");
    report.events = listFromJson(value, "events", taskEventFromJson);
    if (value.isMember("reservationsTaken")) // agents of earlier versions don't send it
        report.ackedReservation = countMember(value, "reservationsTaken");
    return report;
}

Json::Value toJson(const worker_grant &grant)
{
    Json::Value value(Json::objectValue);
    value["shard"] = grant.shard;
    value["epoch"] = Json::UInt64(grant.epoch);
    value["worker"] = grant.worker;
    value["incarnation"] = Json::UInt64(grant.incarnation);
    value["session"] = grant.session;
    value["replyTo"] = Json::UInt64(grant.replyTo);
    value["leaseMs"] = Json::Int64(grant.lease.count());
    value["ackedThrough"] = Json::UInt64(grant.ackedEvent);
    value["startAhead"] = grant.mayStartBacklog;
    value["tasks"] = listToJson(grant.tasks);
    value["backlog"] = listToJson(grant.backlog);
    value["stops"] = listToJson(grant.stops);
    value["checkpoints"] = listToJson(grant.evictions);
    value["specs"] = Json::Value(Json::objectValue);
    for (const auto &[job, spec] : grant.specs)
        value["specs"][job] = spec;
    if (!grant.reservations.empty())
        value["reservations"] = listToJson(grant.reservations);
    if (grant.newestReservation > 0)
        value["reservationsThrough"] = Json::UInt64(grant.newestReservation);
    if (grant.cpuLimits)
        value["limits"] = listToJson(*grant.cpuLimits);
    return value;
}

worker_grant workerGrantFromJson(const Json::Value &value)
{
    worker_grant grant;
    grant.shard = static_cast<int>(smallCountMember(value, "shard"));
    grant.epoch = countMember(value, "epoch");
    grant.worker = stringMember(value, "worker");
    grant.incarnation = countMember(value, "incarnation");
    grant.session = stringMember(value, "session");
    grant.replyTo = countMember(value, "replyTo");
    grant.lease = milliseconds(countMember(value, "leaseMs"));
    grant.ackedEvent = countMember(value, "ackedThrough");
    grant.mayStartBacklog = boolMember(value, "startAhead");
    grant.tasks = listFromJson(value, "tasks", grantedTaskFromJson);
    grant.backlog = listFromJson(value, "backlog", grantedTaskFromJson);
    grant.stops = listFromJson(value, "stops", taskAttemptFromJson);
    grant.evictions = listFromJson(value, "checkpoints", taskAttemptFromJson);
    const Json::Value &specs = objectMember(value, "specs");
    for (const auto &job : specs.getMemberNames())
        grant.specs[job] = specs[job];
    // Owners of earlier versions send no reservations: the declared sizes hold then.
    if (value.isMember("reservations"))
        grant.reservations = listFromJson(value, "reservations", taskReservationFromJson);
    if (value.isMember("reservationsThrough"))
        grant.newestReservation = countMember(value, "reservationsThrough");
    if (value.isMember("limits"))
        grant.cpuLimits = listFromJson(value, "limits", cpuLimitFromJson);
    return grant;
}

resources declaredSize(const Json::Value &spec)
{
    return {spec["millicores"].asInt64(), spec["bytes"].asInt64(), spec["accelerators"].asInt64()};
}

} // namespace zinniabarrow::work
