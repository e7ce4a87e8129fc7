// The folder and the season batch of the demo and the process tests, and what became of it.
#pragma once

#include <string>
#include <vector>

#include <json/json.h>

#include "standins/fleet.h"
#include "work/trace_checker.h"

namespace zinniabarrow::standins {

struct batch_options
{
    std::string job = "season";
    int tasks = 40;
    int runMs = 300; // of one task
    std::string failover = "lease";
    std::int64_t millicores = 2000;
    std::int64_t bytes = 4'000'000'000;
    std::string priority = "normal";
};

// Teams, the pool and the fleet's service: the file every folder starts with.
Json::Value makeBaseConfig(const fleet_options &options);
Json::Value makeBatchConfig(const batch_options &options);

// Tasks by state over all shards of all entries that answer, for the job of that name.
std::map<std::string, unsigned> taskStates(fleet &system, const std::string &job);

// The workers' traces and the entries' placements in the order of time, checked.
// Complete: it was given time to finish, so what has not happened is lost.
std::vector<work::trace_violation> checkFleetTrace(const fleet &system, bool isFinished = false);
// Events of that name in the workers' traces whose task belongs to `job`.
unsigned countTraced(const fleet &system, const std::string &event, const std::string &job);
// The same by worker.
std::map<std::string, unsigned> countTracedByWorker(const fleet &system, const std::string &event,
                                                    const std::string &job);

} // namespace zinniabarrow::standins
