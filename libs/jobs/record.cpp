// The stored text of a job's record. Member names are short because each change writes the whole
// row, and the bytes written to the platform's store are paid for. Members that are zero, empty or
// false are left out.
#include <algorithm>
#include <utility>

#include <json/json.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "base/large_json.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

namespace {

constexpr int RecordVersion = 1;

void putIfSet(Json::Value &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = Json::Int64(value);
}

void putIfSet(Json::Value &object, const char *name, const std::string &value)
{
    if (!value.empty())
        object[name] = value;
}

void putIfTrue(Json::Value &object, const char *name, bool value)
{
    if (value)
        object[name] = 1;
}

Json::Value toJson(const step_spec &step)
{
    Json::Value value(Json::objectValue);
    putIfSet(value, "n", step.count);
    putIfSet(value, "c", step.size.millicores);
    putIfSet(value, "m", step.size.memoryMb);
    putIfSet(value, "g", step.size.accelerators);
    putIfSet(value, "e", step.estimateMs);
    for (const int earlierStep : step.after)
        value["a"].append(earlierStep);
    putIfTrue(value, "ck", step.checkpointing);
    putIfTrue(value, "ga", step.isGang);
    putIfTrue(value, "sr", step.prefersSameRack);
    putIfSet(value, "rl", step.requiredLabel);
    putIfSet(value, "dr", step.dataRack);
    putIfSet(value, "mw", step.maxPerWorker);
    putIfTrue(value, "sp", step.isSpeculative);
    putIfTrue(value, "la", step.isLongRunning);
    putIfSet(value, "im", step.image);
    putIfSet(value, "tg", step.latencyTargetMs);
    putIfTrue(value, "fi", step.isBestEffort);
    putIfSet(value, "mu", step.maxUnavailable);
    return value;
}

step_spec stepFrom(const large_json::value &value)
{
    using namespace large_json;
    step_spec step;
    step.count = countOr0(value, "n");
    step.size = {numberOr0(value, "c"), numberOr0(value, "m"), numberOr0(value, "g")};
    step.estimateMs = numberOr0(value, "e");
    forEach(value, "a",
            [&](const auto &earlierStep) { step.after.push_back(asCount(earlierStep)); });
    step.checkpointing = find(value, "ck") != nullptr;
    step.isGang = find(value, "ga") != nullptr;
    step.prefersSameRack = find(value, "sr") != nullptr;
    step.requiredLabel = textOrEmpty(value, "rl");
    step.dataRack = textOrEmpty(value, "dr");
    step.maxPerWorker = countOr0(value, "mw");
    step.isSpeculative = find(value, "sp") != nullptr;
    step.isLongRunning = find(value, "la") != nullptr;
    step.image = textOrEmpty(value, "im");
    step.latencyTargetMs = numberOr0(value, "tg");
    step.isBestEffort = find(value, "fi") != nullptr;
    step.maxUnavailable = countOr0(value, "mu");
    return step;
}

Json::Value toJson(const placement &runPlacement)
{
    Json::Value row(Json::arrayValue);
    row.append(runPlacement.worker);
    row.append(Json::Int64(runPlacement.epoch));
    row.append(runPlacement.run);
    return row;
}

// A task that was never placed is stored as 0, one that is done as 1, any other as an object.
Json::Value toJson(const task_state &task)
{
    if (task.done)
        return 1;
    if (task.lastRun == 0)
        return 0;
    Json::Value value(Json::objectValue);
    putIfSet(value, "r", task.lastRun);
    putIfSet(value, "f", task.failures);
    putIfSet(value, "k", task.checkpoint);
    // Agent incarnations are stored in an array of their own: the previous release requires that a
    // placement has exactly three members.
    for (const auto &runPlacement : task.placements) {
        value["p"].append(toJson(runPlacement));
        value["l"].append(Json::Int64(runPlacement.agentIncarnation));
    }
    for (const int run : task.unreportedRuns)
        value["u"].append(run);
    return value;
}

placement placementFrom(const large_json::value &row)
{
    constexpr rapidjson::SizeType MemberCount = 3;
    if (!row.IsArray() || row.Size() != MemberCount)
        throw error(error_kind::BadRequest, "job record: a placement must have three members");
    return {large_json::asText(row[0]), large_json::asNumber(row[1]), large_json::asCount(row[2])};
}

void readRedundantRun(const large_json::value &row, job_record &record)
{
    constexpr rapidjson::SizeType MemberCount = 7;
    if (!row.IsArray() || row.Size() != MemberCount)
        throw error(error_kind::BadRequest, "job record: a redundant run must have seven members");
    auto *task = record.find({"", large_json::asCount(row[3]), large_json::asCount(row[4]),
                              large_json::asCount(row[5])});
    if (task == nullptr || !task->done)
        throw error(error_kind::BadRequest,
                    "job record: a redundant run belongs to a task that is not done");
    task->placements.push_back({large_json::asText(row[0]), large_json::asNumber(row[1]),
                                large_json::asCount(row[2]), large_json::asNumber(row[6])});
}

// Redundant runs: placements of tasks that are done, which are being stopped. They are stored apart
// from the tasks because the previous release also stores a done task as 1. It drops these runs
// when it rewrites the row.
Json::Value redundantRuns(const std::vector<occurrence_tasks> &tasks)
{
    Json::Value rows(Json::arrayValue);
    for (std::size_t occurrence = 0; occurrence < tasks.size(); ++occurrence) {
        for (std::size_t step = 0; step < tasks[occurrence].size(); ++step) {
            const auto &stepTasks = tasks[occurrence][step];
            for (std::size_t index = 0; index < stepTasks.size(); ++index) {
                for (const auto &runPlacement : stepTasks[index].placements) {
                    if (!stepTasks[index].done)
                        continue;
                    Json::Value row = toJson(runPlacement);
                    for (const auto member : {occurrence, step, index})
                        row.append(Json::UInt64(member));
                    row.append(Json::Int64(runPlacement.agentIncarnation));
                    rows.append(std::move(row));
                }
            }
        }
    }
    return rows;
}

task_state taskFrom(const large_json::value &value)
{
    using namespace large_json;
    task_state task;
    if (value.IsInt()) {
        task.done = value.GetInt() == 1;
        // The stored 1 also serves as run number of a done task, whose real one is no longer
        // needed.
        task.lastRun = value.GetInt();
        return task;
    }
    task.lastRun = countOr0(value, "r");
    task.failures = countOr0(value, "f");
    task.checkpoint = textOrEmpty(value, "k");
    forEach(value, "p", [&](const auto &row) { task.placements.push_back(placementFrom(row)); });
    std::size_t placementIndex = 0;
    forEach(value, "l", [&](const auto &storedIncarnation) {
        if (placementIndex < task.placements.size())
            task.placements[placementIndex++].agentIncarnation = asNumber(storedIncarnation);
    });
    forEach(value, "u", [&](const auto &run) { task.unreportedRuns.push_back(asCount(run)); });
    return task;
}

occurrence_tasks occurrenceFrom(const large_json::value &steps)
{
    if (!steps.IsArray())
        throw error(error_kind::BadRequest, "job record: steps must be an array");
    occurrence_tasks result;
    for (const auto &row : steps.GetArray()) {
        if (!row.IsArray())
            throw error(error_kind::BadRequest, "job record: tasks must be an array");
        auto &stepTasks = result.emplace_back();
        stepTasks.reserve(row.Size());
        for (const auto &task : row.GetArray())
            stepTasks.push_back(taskFrom(task));
    }
    return result;
}

Json::Value toJson(const queue_policy &policy)
{
    Json::Value value(Json::objectValue);
    putIfSet(value, "q", policy.queue);
    putIfSet(value, "s", policy.service);
    putIfSet(value, "p", policy.priority);
    putIfSet(value, "x", policy.maxAttempts);
    value["t"] = policy.stretch;
    putIfSet(value, "l", policy.targetLatencyMs);
    return value;
}

queue_policy policyFrom(const large_json::value &value)
{
    using namespace large_json;
    return {textOrEmpty(value, "q"), textOrEmpty(value, "s"), countOr0(value, "p"),
            countOr0(value, "x"),    realOr(value, "t", 1.0), numberOr0(value, "l")};
}

} // namespace

std::string toText(const job_record &record)
{
    Json::Value value(Json::objectValue);
    value["v"] = RecordVersion;
    value["o"] = record.owner.entry;
    value["i"] = Json::Int64(record.owner.incarnation);
    value["w"] = record.writeId;
    value["q"] = toJson(record.policy);
    for (const auto &step : record.steps)
        value["s"].append(toJson(step));
    putIfSet(value, "oc", record.occurrences);
    putIfSet(value, "od", record.firstOccurrenceMs);
    putIfSet(value, "oi", record.intervalMs);
    putIfSet(value, "at", record.acceptedAtMs);
    putIfTrue(value, "cx", record.cancelled);
    putIfTrue(value, "fx", record.failed);
    putIfTrue(value, "bg", record.hasStarted);
    for (const auto &occurrenceSteps : record.tasks) {
        Json::Value steps(Json::arrayValue);
        for (const auto &stepTasks : occurrenceSteps) {
            Json::Value row(Json::arrayValue);
            for (const auto &task : stepTasks)
                row.append(toJson(task));
            steps.append(std::move(row));
        }
        value["t"].append(std::move(steps));
    }
    auto redundant = redundantRuns(record.tasks);
    if (!redundant.empty())
        value["x"] = std::move(redundant);
    return compactUtf8Json(value);
}

std::string toTextWithin(const job_record &record, std::size_t maxBytes)
{
    auto text = toText(record);
    if (text.size() <= maxBytes)
        return text;
    auto shortened = record;
    std::vector<task_state *> byLength;
    for (auto &occurrenceSteps : shortened.tasks) {
        for (auto &stepTasks : occurrenceSteps) {
            for (auto &task : stepTasks)
                byLength.push_back(&task);
        }
    }
    std::sort(byLength.begin(), byLength.end(), [](const auto *left, const auto *right) {
        return left->checkpoint.size() > right->checkpoint.size();
    });
    auto excess = text.size() - maxBytes;
    for (auto *task : byLength) {
        const auto length = compactUtf8Json(std::exchange(task->checkpoint, {})).size();
        if (length >= excess)
            break;
        excess -= length;
    }
    return toText(shortened);
}

bool isRecordOfOtherRelease(const std::string &text)
{
    try {
        const auto version = large_json::number(large_json::parseObject(text), "v");
        return version > 0 && version != RecordVersion;
    } catch (const error & /*not a record at all*/) {
        return false;
    }
}

job_record recordFrom(const std::string &text)
{
    using namespace large_json;
    const auto value = parseObject(text);
    if (numberOr0(value, "v") != RecordVersion)
        throw error(error_kind::BadRequest, "job record: unknown version");
    job_record record;
    record.owner = {textOrEmpty(value, "o"), numberOr0(value, "i")};
    record.writeId = textOrEmpty(value, "w");
    if (const auto *policy = find(value, "q"))
        record.policy = policyFrom(*policy);
    forEach(value, "s", [&](const auto &step) { record.steps.push_back(stepFrom(step)); });
    record.occurrences = countOr0(value, "oc");
    record.firstOccurrenceMs = numberOr0(value, "od");
    record.intervalMs = numberOr0(value, "oi");
    record.acceptedAtMs = numberOr0(value, "at");
    record.cancelled = find(value, "cx") != nullptr;
    record.failed = find(value, "fx") != nullptr;
    record.hasStarted = find(value, "bg") != nullptr;
    forEach(value, "t", [&](const auto &steps) { record.tasks.push_back(occurrenceFrom(steps)); });
    forEach(value, "x", [&](const auto &row) { readRedundantRun(row, record); });
    checkRecord(record);
    return record;
}

std::string toText(const forwarded_job &job)
{
    Json::Value value(Json::objectValue);
    value["record"] = toText(job.record);
    value["payload"] = job.payload;
    return compactUtf8Json(value);
}

forwarded_job forwardedJobFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    forwarded_job job{recordFrom(stringMember(value, "record")), stringMember(value, "payload")};
    checkSpec(specOf(job));
    return job;
}

} // namespace zinniabarrow::jobs
