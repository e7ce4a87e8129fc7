#include "work/task_records.h"

#include <algorithm>

#include "base/errors.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<task_state, 8> StateNames = {{
        {task_state::Pending, "pending"},
        {task_state::Placed, "placed"},
        {task_state::Running, "running"},
        {task_state::Evicting, "evicting"},
        {task_state::Cancelling, "cancelling"},
        {task_state::Done, "done"},
        {task_state::Failed, "failed"},
        {task_state::Cancelled, "cancelled"},
}};

// One letter for each stored state, as rows hold thousands of them.
constexpr name_table<task_state, 6> StoredStateNames = {{
        {task_state::Pending, "p"},
        {task_state::Placed, "w"},
        {task_state::Cancelling, "c"},
        {task_state::Done, "d"},
        {task_state::Failed, "f"},
        {task_state::Cancelled, "x"},
}};

// Positions in the list of a stored record. Trailing default values are left out.
enum record_member {
    State,
    Attempt,
    Checkpoint,
    Failures,
    Worker,
    Incarnation,
    Backlogged,
    MemberCount
};

Json::Value memberOr(const Json::Value &list, int index, const Json::Value &defaultValue)
{
    const auto at = static_cast<Json::ArrayIndex>(index);
    return at < list.size() ? list[at] : defaultValue;
}

} // namespace

std::string_view nameOf(task_state state)
{
    return nameOf(StateNames, state);
}

bool occupiesWorker(const task_record &record)
{
    return record.state == task_state::Placed || record.state == task_state::Cancelling;
}

bool isTerminal(const task_record &record)
{
    return record.state == task_state::Done || record.state == task_state::Failed
           || record.state == task_state::Cancelled;
}

Json::Value toJson(const job_spec &spec)
{
    Json::Value value(Json::objectValue);
    value["id"] = spec.id;
    value["generation"] = Json::UInt64(spec.generation);
    value["firstTask"] = spec.firstTaskIndex;
    value["stride"] = spec.indexStride;
    value["tasks"] = spec.taskCount;
    value["failover"] = std::string(nameOf(spec.failover));
    value["service"] = spec.isService;
    value["maxFailures"] = spec.maxFailures;
    value["spec"] = spec.taskSpec;
    return value;
}

job_spec jobSpecFromJson(const Json::Value &value)
{
    job_spec spec;
    spec.id = stringMember(value, "id");
    spec.generation = countMember(value, "generation");
    spec.firstTaskIndex = smallCountMember(value, "firstTask");
    spec.indexStride = std::max<std::uint32_t>(smallCountMember(value, "stride"), 1);
    spec.taskCount = smallCountMember(value, "tasks");
    spec.failover = failoverClassFromName(stringMember(value, "failover"));
    spec.isService = boolMember(value, "service");
    spec.maxFailures = smallCountMember(value, "maxFailures");
    spec.taskSpec = objectMember(value, "spec");
    return spec;
}

Json::Value toJson(const task_record &record)
{
    if (record == task_record())
        return 0;
    Json::Value list(Json::arrayValue);
    list.append(std::string(nameOf(StoredStateNames, record.state)));
    list.append(record.attempt);
    list.append(record.checkpoint);
    list.append(record.failures);
    if (occupiesWorker(record)) {
        list.append(record.worker);
        list.append(Json::UInt64(record.incarnation));
        list.append(record.isBacklogged ? 1 : 0);
    }
    const task_record defaultValue;
    while (list.size() > 2) {
        const Json::Value &last = list[list.size() - 1];
        const bool isDefault = last.isString() ? last.asString().empty() : last.asUInt64() == 0;
        if (!isDefault)
            break;
        list.resize(list.size() - 1);
    }
    return list;
}

task_record taskRecordFromJson(const Json::Value &value)
{
    task_record record;
    if (value.isInt() && value.asInt() == 0)
        return record;
    if (!value.isArray() || value.size() < 2 || value.size() > MemberCount || !value[0].isString())
        throw error(error_kind::BadRequest, "a task record must be a list of 2 to 7 members");
    const auto state = valueOf(StoredStateNames, value[State].asString());
    if (!state)
        throw error(error_kind::BadRequest,
                    "unknown state in a task record: " + value[State].asString());
    record.state = *state;
    record.attempt = value[Attempt].asUInt();
    record.checkpoint = memberOr(value, Checkpoint, "").asString();
    record.failures = memberOr(value, Failures, 0).asUInt();
    record.worker = memberOr(value, Worker, "").asString();
    record.incarnation = memberOr(value, Incarnation, 0).asUInt64();
    record.isBacklogged = memberOr(value, Backlogged, 0).asUInt() != 0;
    return record;
}

} // namespace zinniabarrow::work
