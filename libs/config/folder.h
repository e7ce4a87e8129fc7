// The operators' configuration folder: small JSON files that are merged into one configuration of
// services, jobs, instance pools and teams. config/validate.h checks a folder and merges it.
//
// Each file is applied as a JSON merge patch (RFC 7396), in the byte order of the file names.
// Objects are merged member by member. Any other value, arrays included, replaces the earlier value
// as a whole. null deletes the value from earlier files; it has no effect if there is none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/failover.h"
#include "base/time.h"
#include "config/json_text.h"
#include "config/resources.h"
#include "config/schema.h"

namespace zinniabarrow::config {

// Services and jobs of a higher class, in this order, are placed first.
enum class priority_class { Urgent, Normal, Low };
std::string_view nameOf(priority_class priority); // as in the files: "urgent", ...

// A latency-critical service.
struct service_spec
{
    std::string team;                // the service counts against this team's quota
    std::string pool;                // instance pool whose workers run the replicas
    std::int64_t replicas = 1;       // number of replicas that run at once
    resources size;                  // of one replica
    std::uint16_t port = 0;          // each replica listens on it; 0: assigned when it starts
    milliseconds latencyTarget{100}; // target for the 99th percentile of answer times
    priority_class priority = priority_class::Normal; // order of placement
    failover_class failover = failover_class::Lease;  // when a silent worker's replica is replaced,
                                                      // see base/failover.h
    std::string interferenceClass; // services and jobs of one class share interference
                                   // measurements; empty: a class of its own, by its name
    bool operator==(const service_spec &) const = default;
};

// A batch job.
struct job_spec
{
    std::string team;                                 // the job counts against this team's quota
    std::string pool;                                 // instance pool whose workers run the tasks
    std::int64_t tasks = 1;                           // number of tasks; each runs once
    resources size;                                   // of one task
    milliseconds runTimeEstimate{60'000};             // of one task
    bool isCheckpointable = false;                    // an evicted task resumes from its checkpoint
    priority_class priority = priority_class::Normal; // order of placement
    failover_class failover = failover_class::Lease;  // when a silent worker's task is replaced,
                                                      // see base/failover.h
    std::string interferenceClass;                    // as in service_spec
    bool operator==(const job_spec &) const = default;
};

// An instance pool: a group of workers, which services and jobs refer to by the pool's name.
struct pool_spec
{
    std::vector<std::string> zones; // availability zones of its workers
    std::int64_t workers = 1;       // number of workers
    resources workerSize; // size of the largest worker; config/validate.h counts every worker
                          // with it
    bool operator==(const pool_spec &) const = default;
};

// A team, with the resources that its services and jobs may use.
struct team_spec
{
    resources quota;   // limit on the team's services and running tasks together
    double weight = 1; // relative share when teams compete for capacity
    bool operator==(const team_spec &) const = default;
};

// The merged configuration; all maps are by name.
struct configuration
{
    std::map<std::string, service_spec> services;
    std::map<std::string, job_spec> jobs;
    std::map<std::string, pool_spec> pools;
    std::map<std::string, team_spec> teams;
    bool operator==(const configuration &) const = default;
};

// Canonical form: writes every member, also those with default values, with keys in byte order.
Json::Value toJson(const configuration &configuration);
configuration configurationFromJson(const Json::Value &value); // throws BadRequest

// One file of the folder as it was read.
struct folder_file
{
    std::string name; // file name without the folder
    std::string content;
};

// True for names that end in ".json" and don't start with '.'. Other files in the folder are
// ignored.
bool isFolderFile(std::string_view name);

// Result of merging the files of a folder.
struct merged_folder
{
    Json::Value value{Json::objectValue}; // only what files contain; defaults are not filled in
    std::map<std::string, text_location> valueLocations; // of each merged value, by JSON pointer
    // By name of a file of which no value is in force: the file that replaced its last value.
    std::map<std::string, std::string> overriddenBy;

    // File and line of the value at this JSON pointer, or of its nearest parent that a file
    // contains.
    text_location locationOf(const std::string &pointer) const;
};

// Merges files in the order of their names, whatever the order of `files`.
merged_folder mergeFiles(std::vector<json_text> files);

// Schema of the merged folder.
const json_schema &folderSchema();
// Schema of a single file: any member may be missing, and null deletes a member.
const json_schema &folderFileSchema();

} // namespace zinniabarrow::config
