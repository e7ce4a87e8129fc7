// Settings of the two daemon roles: JSON text, checked against a schema, into plain structs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "base/log.h"
#include "base/time.h"
#include "config/endpoint.h"
#include "config/resources.h"

namespace zinniabarrow::config {

struct listen_settings
{
    std::string address;               // IP number of this process
    std::uint16_t port = 0;            // 0: any free port
    std::optional<endpoint> advertise; // told to the others; none: the address above
};

struct platform_settings
{
    endpoint address;           // of the platform's table and object store
    milliseconds timeout{1000}; // for one read or write; then its outcome is unknown
};

struct retry_settings
{
    double budgetShare = 0.1; // retries allowed for each first try
    double minPerSecond = 3;  // retries a second that are always allowed
};

// How much each of the three measures counts when they pull apart; only their ratios matter.
struct policy_weights
{
    double tailLatency = 1;  // of services
    double throughput = 0.5; // of batch jobs
    double evictions = 0.5;  // fewer is better
};

struct placement_settings
{
    milliseconds tickInterval{100};       // between two rounds of placement
    std::size_t backlogPerWorker = 4;     // batch tasks placed ahead; 0: none
    std::size_t maxTasksPerCommit = 64;   // tasks written in one transaction of the table
    std::size_t jobQuarantineWorkers = 3; // distinct workers a job fails on before it is held
    std::size_t workerQuarantineJobs = 3; // distinct jobs that fail on a worker before it is left
    std::size_t evictionsPerMinute = 6;   // by one entry, for interference
};

enum class routing_policy { TwoChoices, RoundRobin, LeastKnownLoad };
std::string_view nameOf(routing_policy policy);

struct routing_settings
{
    routing_policy policy = routing_policy::TwoChoices;
    double spillThreshold =
            1; // share of the own zone's slots in use above which other zones are used
};

// One entry: carries callers' requests, schedules workers, accepts configuration.
struct entry_settings
{
    std::string id;                           // unique among all processes
    std::string region;                       //
    std::string zone;                         // availability zone
    listen_settings listen;                   // for callers
    listen_settings rpc;                      // for entries and agents
    std::vector<endpoint> peers;              // rpc addresses of the other entries; none
    platform_settings platform;               //
    std::size_t shards = 1;                   // the workers are split into; alike on all entries
    milliseconds shardLease{1'800'000};       // owner's lease on a shard: the horizon of an outage
    milliseconds agentLease{15'000};          // short lease given to agents, without the table
    milliseconds clockMargin{500};            // added wherever another process's lease must be over
    milliseconds announceTimeout{3000};       // after which an announcer counts as gone
    std::size_t maxAnswerBytes = 67'108'864;  // of an answer; large ones are streamed
    std::size_t maxBodyBytes = 1'048'576;     // of a caller's request
    std::size_t maxConnections = 256;         // of callers at once; a thread each
    std::size_t maxConnectionsPerAddress = 0; // of one caller's address; 0: no bound
    milliseconds requestReadTimeout{10'000};  // from a request's first byte until it is whole
    milliseconds answerWriteTimeout{30'000};  // until the caller has taken its answer
    milliseconds defaultRequestDeadline{10'000}; // for requests that name none
    retry_settings retry;                        //
    milliseconds drainTimeout{30'000};           // longest wait for requests in flight at a stop
    policy_weights weights;                      //
    milliseconds configPollInterval{1000};       // between two looks at the accepted generation
    placement_settings placement;                //
    routing_settings routing;                    //
    log_level logLevel = log_level::Info;        // lowest level written
};

struct upstream_settings
{
    endpoint address;             // of the upstream beside the agent
    std::string service;          // that it serves
    std::size_t slots = 8;        // requests it runs at once
    std::size_t connections = 64; // it accepts at once
};

struct worker_settings
{
    endpoint address; // of the worker's own interface
    std::string id;   // unique among all workers
    std::string pool; // instance pool it belongs to
    resources size;   // all it has
};

struct agent_lease_settings
{
    milliseconds clockMargin{500};  // stop this long before a lease from the owner ends
    milliseconds taskLease{10'000}; // given to the worker for each task; outlasts an agent restart
    milliseconds renewInterval{1000};       // between two renewals of the tasks' leases
    milliseconds ownerReportInterval{4000}; // between two reports that the owner answers
};

// One agent: admits requests to its upstream, runs the tasks of its worker, announces both.
struct agent_settings
{
    std::string id;                          // unique among all processes
    std::string region;                      //
    std::string zone;                        // availability zone
    std::string rack;                        //
    listen_settings listen;                  // for entries: requests and rpc
    std::vector<endpoint> entries;           // their rpc addresses; one or more
    upstream_settings upstream;              //
    worker_settings worker;                  //
    milliseconds announceInterval{500};      // between two announcements
    agent_lease_settings lease;              //
    std::size_t queueLength = 16;            // requests that wait for a slot
    std::size_t maxBodyBytes = 1'048'576;    // of a request
    std::size_t maxAnswerBytes = 67'108'864; // of an answer; large ones are streamed
    milliseconds drainTimeout{30'000};       // longest wait for requests in flight at a stop
    log_level logLevel = log_level::Info;    // lowest level written
};

// Throw error BadSettings; its text has a line for each fault: file, line, what was found and what
// is allowed. Unknown keys are faults.
entry_settings entrySettingsFrom(const std::string &fileName, const std::string &text);
agent_settings agentSettingsFrom(const std::string &fileName, const std::string &text);

Json::Value toJson(const entry_settings &settings);
Json::Value toJson(const agent_settings &settings);

// The schemas; docs/SETTINGS.md is made from them (`schemaTable`).
const Json::Value &entrySettingsSchema();
const Json::Value &agentSettingsSchema();

} // namespace zinniabarrow::config
