// The text of a job's record: short names, since each change writes the whole row and the bytes of
// the platform's store are paid for. Values that are zero, empty or false are left out.
#include <json/json.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

namespace {

constexpr int RecordVersion = 1;

void put(Json::Value &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = Json::Int64(value);
}

void put(Json::Value &object, const char *name, const std::string &value)
{
    if (!value.empty())
        object[name] = value;
}

void putFlag(Json::Value &object, const char *name, bool value)
{
    if (value)
        object[name] = 1;
}

std::int64_t number(const Json::Value &object, const char *name)
{
    return object.get(name, 0).asInt64();
}

int smallNumber(const Json::Value &object, const char *name)
{
    return object.get(name, 0).asInt();
}

std::string text(const Json::Value &object, const char *name)
{
    return object.get(name, "").asString();
}

Json::Value toJson(const step_spec &step)
{
    Json::Value value(Json::objectValue);
    put(value, "n", step.count);
    put(value, "c", step.size.millicores);
    put(value, "m", step.size.memoryMb);
    put(value, "g", step.size.accelerators);
    put(value, "e", step.estimateMs);
    for (const int earlier : step.after)
        value["a"].append(earlier);
    putFlag(value, "ck", step.checkpointing);
    putFlag(value, "ga", step.gang);
    putFlag(value, "sr", step.sameRack);
    put(value, "rl", step.requiredLabel);
    put(value, "dr", step.dataRack);
    put(value, "mw", step.mostPerWorker);
    putFlag(value, "sp", step.speculative);
    putFlag(value, "la", step.lasting);
    put(value, "im", step.image);
    put(value, "tg", step.targetMs);
    putFlag(value, "fi", step.fills);
    put(value, "mu", step.mostUnavailable);
    return value;
}

step_spec stepFrom(const Json::Value &value)
{
    step_spec step;
    step.count = smallNumber(value, "n");
    step.size = {number(value, "c"), number(value, "m"), number(value, "g")};
    step.estimateMs = number(value, "e");
    for (const auto &earlier : value["a"])
        step.after.push_back(earlier.asInt());
    step.checkpointing = value.isMember("ck");
    step.gang = value.isMember("ga");
    step.sameRack = value.isMember("sr");
    step.requiredLabel = text(value, "rl");
    step.dataRack = text(value, "dr");
    step.mostPerWorker = smallNumber(value, "mw");
    step.speculative = value.isMember("sp");
    step.lasting = value.isMember("la");
    step.image = text(value, "im");
    step.targetMs = number(value, "tg");
    step.fills = value.isMember("fi");
    step.mostUnavailable = smallNumber(value, "mu");
    return step;
}

// A task that never started is 0, one that is done 1; any other is an object.
Json::Value toJson(const task_state &task)
{
    if (task.done)
        return 1;
    if (task.lastRun == 0)
        return 0;
    Json::Value value(Json::objectValue);
    put(value, "r", task.lastRun);
    put(value, "f", task.failures);
    put(value, "k", task.checkpoint);
    for (const auto &where : task.placements) {
        Json::Value row(Json::arrayValue);
        row.append(where.worker);
        row.append(Json::Int64(where.epoch));
        row.append(where.run);
        value["p"].append(std::move(row));
    }
    return value;
}

task_state taskFrom(const Json::Value &value)
{
    task_state task;
    if (value.isInt()) {
        task.done = value.asInt() == 1;
        task.lastRun = value.asInt(); // how often a task that is done ran matters no more
        return task;
    }
    task.lastRun = smallNumber(value, "r");
    task.failures = smallNumber(value, "f");
    task.checkpoint = text(value, "k");
    for (const auto &row : value["p"])
        task.placements.push_back({row[0].asString(), row[1].asInt64(), row[2].asInt()});
    return task;
}

Json::Value toJson(const queue_policy &policy)
{
    Json::Value value(Json::objectValue);
    put(value, "q", policy.queue);
    put(value, "s", policy.service);
    put(value, "p", policy.priority);
    put(value, "x", policy.maxAttempts);
    value["t"] = policy.stretch;
    put(value, "l", policy.targetLatencyMs);
    return value;
}

queue_policy policyFrom(const Json::Value &value)
{
    return {text(value, "q"),
            text(value, "s"),
            smallNumber(value, "p"),
            smallNumber(value, "x"),
            value.get("t", 1.0).asDouble(),
            number(value, "l")};
}

} // namespace

std::string toText(const job_record &record)
{
    Json::Value value(Json::objectValue);
    value["v"] = RecordVersion;
    value["o"] = record.owner.entry;
    value["i"] = Json::Int64(record.owner.incarnation);
    value["w"] = record.write;
    value["q"] = toJson(record.policy);
    for (const auto &step : record.steps)
        value["s"].append(toJson(step));
    put(value, "oc", record.occurrences);
    put(value, "od", record.firstDueMs);
    put(value, "oi", record.intervalMs);
    put(value, "at", record.acceptedAtMs);
    putFlag(value, "cx", record.cancelled);
    putFlag(value, "fx", record.failed);
    for (const auto &inOccurrence : record.tasks) {
        Json::Value steps(Json::arrayValue);
        for (const auto &inStep : inOccurrence) {
            Json::Value row(Json::arrayValue);
            for (const auto &task : inStep)
                row.append(toJson(task));
            steps.append(std::move(row));
        }
        value["t"].append(std::move(steps));
    }
    return compactJson(value);
}

job_record recordFrom(const std::string &text)
{
    try {
        const auto value = parseJsonObject(text);
        if (number(value, "v") != RecordVersion)
            throw error(error_kind::BadRequest, "a job's record of another version");
        job_record record;
        record.owner = {jobs::text(value, "o"), number(value, "i")};
        record.write = jobs::text(value, "w");
        record.policy = policyFrom(value["q"]);
        for (const auto &step : value["s"])
            record.steps.push_back(stepFrom(step));
        record.occurrences = smallNumber(value, "oc");
        record.firstDueMs = number(value, "od");
        record.intervalMs = number(value, "oi");
        record.acceptedAtMs = number(value, "at");
        record.cancelled = value.isMember("cx");
        record.failed = value.isMember("fx");
        for (const auto &steps : value["t"]) {
            occurrence_tasks inOccurrence;
            for (const auto &row : steps) {
                auto &inStep = inOccurrence.emplace_back();
                for (const auto &task : row)
                    inStep.push_back(taskFrom(task));
            }
            if (inOccurrence.size() != record.steps.size())
                throw error(error_kind::BadRequest, "a job's record whose steps don't agree");
            record.tasks.push_back(std::move(inOccurrence));
        }
        return record;
    } catch (const Json::Exception &problem) {
        throw error(error_kind::BadRequest, std::string("a job's record: ") + problem.what());
    }
}

std::string toText(const handed_job &job)
{
    Json::Value value(Json::objectValue);
    value["record"] = toText(job.record);
    value["payload"] = job.payload;
    return compactJson(value);
}

handed_job handedJobFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    return {recordFrom(stringMember(value, "record")), stringMember(value, "payload")};
}

} // namespace zinniabarrow::jobs
