// The operators' folder: small JSON files, merged in the order of their names into one
// configuration of services, jobs, instance pools and teams.
//
// Merging (RFC 7396, JSON merge patch): files are taken in the byte order of their names. Objects
// are merged member by member; any other value replaces the earlier one whole, arrays included;
// null deletes what earlier files gave and is nothing where they gave nothing.
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

enum class priority_class { Urgent, Normal, Low };
std::string_view nameOf(priority_class priority);

struct service_spec
{
    std::string team;                // whose quota it counts against
    std::string pool;                // whose workers run it
    std::int64_t replicas = 1;       //
    resources size;                  // of one replica
    std::uint16_t port = 0;          // that a replica listens on; 0: given at start
    milliseconds latencyTarget{100}; // 99th percentile of its answers
    priority_class priority = priority_class::Normal; //
    failover_class failover = failover_class::Lease;  //
    std::string interferenceClass;                    // measured together; empty: its own name
    bool operator==(const service_spec &) const = default;
};

struct job_spec
{
    std::string team;                                 // whose quota it counts against
    std::string pool;                                 // whose workers run it
    std::int64_t tasks = 1;                           //
    resources size;                                   // of one task
    milliseconds runTimeEstimate{60'000};             // of one task
    bool isCheckpointable = false;                    // an evicted task resumes where it was
    priority_class priority = priority_class::Normal; //
    failover_class failover = failover_class::Lease;  //
    std::string interferenceClass;                    // measured together; empty: its own name
    bool operator==(const job_spec &) const = default;
};

struct pool_spec
{
    std::vector<std::string> zones; // availability zones of its workers
    std::int64_t workers = 1;       // how many it has
    resources workerSize;           // size of the largest one
    bool operator==(const pool_spec &) const = default;
};

struct team_spec
{
    resources quota;   // of all its services and running tasks together
    double weight = 1; // share of what is left over
    bool operator==(const team_spec &) const = default;
};

struct configuration
{
    std::map<std::string, service_spec> services;
    std::map<std::string, job_spec> jobs;
    std::map<std::string, pool_spec> pools;
    std::map<std::string, team_spec> teams;
    bool operator==(const configuration &) const = default;
};

// Canonical: every member is written, keys in order.
Json::Value toJson(const configuration &configuration);
configuration configurationFromJson(const Json::Value &value); // throws BadRequest

// One file of the folder as it was read.
struct folder_file
{
    std::string name; // without the folder
    std::string content;
};

// Files that belong to the folder end in ".json" and do not start with '.'; others are ignored.
bool isFolderFile(std::string_view name);

struct merged_folder
{
    Json::Value value{Json::objectValue};                // defaults are not filled in
    std::map<std::string, text_location> valueLocations; // where each value in force was written
    std::map<std::string, std::string> overriddenBy;     // file without a value left: by which file

    // Where `pointer`, or its nearest parent that was written, stands.
    text_location locationOf(const std::string &pointer) const;
};

// `files` may come in any order; the result is the same.
merged_folder merge(std::vector<json_text> files);

// The schema of the merged folder.
const json_schema &folderSchema();
// The schema of one file: members may be missing, null deletes.
const json_schema &folderFileSchema();

} // namespace zinniabarrow::config
