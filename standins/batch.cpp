#include "standins/batch.h"

#include <algorithm>
#include <fstream>

#include "base/errors.h"
#include "base/json.h"
#include "rpc/rpc.h"

namespace zinniabarrow::standins {

namespace {

constexpr std::int64_t ServiceMillicores = 4000;
constexpr std::int64_t ServiceBytes = 8'000'000'000;

Json::Value size(std::int64_t millicores, std::int64_t bytes)
{
    Json::Value json(Json::objectValue);
    json["millicores"] = Json::Int64(millicores);
    json["bytes"] = Json::Int64(bytes);
    return json;
}

bool isTaskOfJob(const Json::Value &line, const std::string &job)
{
    const auto prefix = job + "@";
    return line["task"].asString().compare(0, prefix.size(), prefix) == 0;
}

// Adds a trace line for each task of an accepted job.
void addAcceptedTasks(const Json::Value &log, std::vector<Json::Value> &lines)
{
    const auto first = log["first_task"].asUInt();
    for (unsigned position = 0; position < log["tasks"].asUInt(); ++position) {
        const auto index = first + position * log["stride"].asUInt();
        Json::Value line(Json::objectValue);
        line["event"] = "accepted";
        line["task"] = log["job"].asString() + "/" + std::to_string(index);
        line["service"] = log["service"];
        line["failover"] = log["failover"];
        line["at_us"] = log["at_us"];
        lines.push_back(std::move(line));
    }
}

// Converts the entries' decisions from their logs to trace lines.
void addEntryDecisions(const fleet &system, std::vector<Json::Value> &lines)
{
    for (unsigned index = 0; index < system.options().entries; ++index) {
        std::ifstream file(system.scratchFolder() + "/entry-" + std::to_string(index) + ".err");
        std::string text;
        while (std::getline(file, text)) {
            auto log = parseJson(text);
            if (log["event"] == "job_accepted") {
                addAcceptedTasks(log, lines);
            } else if (log["event"] == "task_placed") {
                log["event"] = "placed";
                lines.push_back(std::move(log));
            } else if (log["event"] == "task_ended") {
                log["event"] = log["state"]; // done, failed or cancelled
                lines.push_back(std::move(log));
            }
        }
    }
}

} // namespace

Json::Value makeBaseConfig(const fleet_options &options)
{
    Json::Value json(Json::objectValue);
    auto &team = json["teams"]["rinks"];
    team["quota"] = size(options.millicores * options.workers, options.bytes * options.workers);
    auto &pool = json["pools"]["shared"];
    for (const auto &zone : options.zones)
        pool["zones"].append(zone);
    pool["workers"] = options.workers;
    pool["worker"] = size(options.millicores, options.bytes);
    auto &service = json["services"][options.service];
    service["team"] = "rinks";
    service["pool"] = "shared";
    service["replicas"] = options.workers;
    service["size"] = size(ServiceMillicores, ServiceBytes);
    return json;
}

Json::Value makeBatchConfig(const batch_options &options)
{
    Json::Value json(Json::objectValue);
    auto &job = json["jobs"][options.job];
    job["team"] = "rinks";
    job["pool"] = "shared";
    job["tasks"] = options.tasks;
    job["size"] = size(options.millicores, options.bytes);
    job["run_time_estimate_ms"] = options.runMs;
    job["checkpointable"] = true;
    job["failover"] = options.failover;
    job["priority"] = options.priority;
    return json;
}

std::map<std::string, unsigned> countTasksByState(fleet &system, const std::string &job)
{
    std::map<std::string, unsigned> states;
    const auto prefix = job + "@";
    for (unsigned index = 0; index < system.options().entries; ++index) {
        try {
            const auto status = system.rpc(index, "status", Json::objectValue);
            for (const auto &shard : status["scheduling"]["shards"]) {
                for (const auto &id : shard["jobs"].getMemberNames()) {
                    if (id.compare(0, prefix.size(), prefix) != 0)
                        continue;
                    for (const auto &state : shard["jobs"][id].getMemberNames())
                        states[state] += shard["jobs"][id][state].asUInt();
                }
            }
        } catch (const rpc_failure &) {
            continue; // the entry is not running
        }
    }
    return states;
}

std::vector<work::trace_violation> checkFleetTrace(const fleet &system, bool isFinished)
{
    auto lines = system.workerTrace();
    addEntryDecisions(system, lines);
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
        return left["at_us"].asInt64() < right["at_us"].asInt64();
    });
    work::trace_checker checker;
    for (const auto &line : lines)
        checker.addEvent(line);
    return checker.finish(isFinished);
}

std::map<std::string, unsigned> countTracedByWorker(const fleet &system, const std::string &event,
                                                    const std::string &job)
{
    std::map<std::string, unsigned> counts;
    for (const auto &line : system.workerTrace()) {
        if (line["event"] == event && isTaskOfJob(line, job))
            ++counts[line["worker"].asString()];
    }
    return counts;
}

unsigned countTraced(const fleet &system, const std::string &event, const std::string &job)
{
    unsigned sum = 0;
    for (const auto &[worker, count] : countTracedByWorker(system, event, job))
        sum += count;
    return sum;
}

} // namespace zinniabarrow::standins
