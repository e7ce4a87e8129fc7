// Configuration files and the batch job of the demo and the process tests, and checks of its
// outcome.
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
    int runMs = 300;                    // run time of one task
    std::string failover = "lease";     // or "proof", see failover_class
    std::int64_t millicores = 2000;     // of each task
    std::int64_t bytes = 4'000'000'000; // of each task
    std::string priority = "normal";
};

// Content of the configuration file with the team, the pool and the fleet's service, which every
// folder needs.
Json::Value makeBaseConfig(const fleet_options &options);
// Content of a configuration file with one batch job.
Json::Value makeBatchConfig(const batch_options &options);

// Number of tasks of the named job by state, summed over the shards of all running entries.
std::map<std::string, unsigned> countTasksByState(fleet &system, const std::string &job);

// Merges the workers' traces and the entries' logs by time and checks them with
// work::trace_checker. `isFinished`: all jobs had time to finish, so that a task that hasn't ended
// is reported as lost.
std::vector<work::trace_violation> checkFleetTrace(const fleet &system, bool isFinished = false);
// Number of events of that name in the workers' traces whose task belongs to `job`.
unsigned countTraced(const fleet &system, const std::string &event, const std::string &job);
// The same, by worker.
std::map<std::string, unsigned> countTracedByWorker(const fleet &system, const std::string &event,
                                                    const std::string &job);

} // namespace zinniabarrow::standins
