#include "placement/resources.h"

#include <algorithm>
#include <limits>

#include "base/errors.h"
#include "base/names.h"

namespace zinniabarrow::placement {

namespace {

constexpr name_table<task_kind, 2> KindNames{{
        {task_kind::Service, "service"},
        {task_kind::Batch, "batch"},
}};

constexpr name_table<task_priority, 3> PriorityNames{{
        {task_priority::Urgent, "urgent"},
        {task_priority::Normal, "normal"},
        {task_priority::Low, "low"},
}};

[[noreturn]] void throwInvalidMember(const char *member, const char *expected)
{
    throw error(error_kind::BadRequest,
                std::string("member \"") + member + "\" must be " + expected);
}

const Json::Value &memberOf(const Json::Value &value, const char *member)
{
    if (!value.isObject())
        throwInvalidMember(member, "in a JSON object");
    return value[member];
}

// Larger amounts are rejected, so that a sum of many thousands of amounts cannot overflow.
constexpr std::int64_t MaxAmount = std::numeric_limits<std::int64_t>::max() / 1'000'000;

std::int64_t readAmount(const Json::Value &value, const char *member)
{
    const auto &found = memberOf(value, member);
    if (!found.isInt64() || found.asInt64() < 0 || found.asInt64() > MaxAmount)
        throwInvalidMember(member, "a non-negative integer within range");
    return found.asInt64();
}

std::int32_t readIndex(const Json::Value &value, const char *member)
{
    const auto &found = memberOf(value, member);
    if (!found.isInt() || found.asInt() < 0)
        throwInvalidMember(member, "a non-negative integer");
    return found.asInt();
}

std::string readText(const Json::Value &value, const char *member)
{
    const auto &found = memberOf(value, member);
    if (!found.isString() || found.asString().empty())
        throwInvalidMember(member, "a non-empty string");
    return found.asString();
}

template <typename Enum, std::size_t Size>
Enum readEnum(const Json::Value &value, const char *member, const name_table<Enum, Size> &names)
{
    const auto found = valueOf(names, readText(value, member));
    if (!found)
        throwInvalidMember(member, "one of the known names");
    return *found;
}

double ratioOf(std::int64_t part, std::int64_t whole)
{
    if (part <= 0)
        return 0;
    if (whole <= 0)
        return 1;
    return static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

resources minOfEach(const resources &left, const resources &right)
{
    return {std::min(left.millicores, right.millicores), std::min(left.bytes, right.bytes),
            std::min(left.accelerators, right.accelerators)};
}

double dominantShare(const resources &part, const resources &whole)
{
    return std::max({ratioOf(part.millicores, whole.millicores), ratioOf(part.bytes, whole.bytes),
                     ratioOf(part.accelerators, whole.accelerators)});
}

std::string_view nameOf(task_kind kind)
{
    return nameOf(KindNames, kind);
}

std::string_view nameOf(task_priority priority)
{
    return nameOf(PriorityNames, priority);
}

std::string toText(const task_ref &task)
{
    return task.jobId + "/" + std::to_string(task.taskIndex);
}

std::string toText(const resources &amount)
{
    return std::to_string(amount.millicores) + " millicores, " + std::to_string(amount.bytes)
           + " bytes, " + std::to_string(amount.accelerators) + " accelerators";
}

Json::Value toJson(const resources &amount)
{
    Json::Value value(Json::objectValue);
    value["millicores"] = Json::Int64(amount.millicores);
    value["bytes"] = Json::Int64(amount.bytes);
    value["accelerators"] = Json::Int64(amount.accelerators);
    return value;
}

Json::Value toJson(const task_ref &task)
{
    Json::Value value(Json::objectValue);
    value["jobId"] = task.jobId;
    value["taskIndex"] = task.taskIndex;
    return value;
}

Json::Value toJson(const task_spec &task)
{
    Json::Value value = toJson(task.ref());
    value["kind"] = std::string(nameOf(task.kind));
    value["jobClass"] = task.jobClass;
    value["team"] = task.team;
    value["priority"] = std::string(nameOf(task.priority));
    value["pool"] = task.pool;
    value["declared"] = toJson(task.declared);
    value["replicas"] = task.replicas;
    value["failover"] = std::string(nameOf(task.failover));
    return value;
}

Json::Value toJson(const worker_info &worker)
{
    Json::Value value(Json::objectValue);
    value["id"] = worker.id;
    value["zone"] = worker.zone;
    value["rack"] = worker.rack;
    value["pool"] = worker.pool;
    value["size"] = toJson(worker.size);
    return value;
}

resources resourcesFromJson(const Json::Value &value)
{
    return {readAmount(value, "millicores"), readAmount(value, "bytes"),
            readAmount(value, "accelerators")};
}

task_ref taskRefFromJson(const Json::Value &value)
{
    return {readText(value, "jobId"), readIndex(value, "taskIndex")};
}

task_spec taskSpecFromJson(const Json::Value &value)
{
    const auto ref = taskRefFromJson(value);
    task_spec task;
    task.jobId = ref.jobId;
    task.taskIndex = ref.taskIndex;
    task.kind = readEnum(value, "kind", KindNames);
    task.jobClass = readText(value, "jobClass");
    task.team = readText(value, "team");
    task.priority = readEnum(value, "priority", PriorityNames);
    task.pool = readText(value, "pool");
    task.declared = resourcesFromJson(memberOf(value, "declared"));
    task.replicas = readIndex(value, "replicas");
    task.failover = failoverClassFromName(readText(value, "failover"));
    return task;
}

worker_info workerInfoFromJson(const Json::Value &value)
{
    return {readText(value, "id"), readText(value, "zone"), readText(value, "rack"),
            readText(value, "pool"), resourcesFromJson(memberOf(value, "size"))};
}

} // namespace zinniabarrow::placement
