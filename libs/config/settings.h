// Settings of the two kinds of daemons, entry and agent. Each daemon reads one JSON file at its
// start; the file is checked against a schema and read into plain structs.
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
    std::string address;               // IP address to listen on
    std::uint16_t port = 0;            // TCP port; 0: any free port
    std::optional<endpoint> advertise; // address given to other processes, if they reach this one
                                       // under another one; empty: the address listened on
};

struct platform_settings
{
    endpoint address;           // of the platform's table and object store
    milliseconds timeout{1000}; // for one read or write; after it the outcome is unknown
};

// Retry budget for callers' requests.
struct retry_settings
{
    double budgetShare = 0.1; // retries allowed for each first attempt
    double minPerSecond = 3;  // retries per second that are always allowed
};

// Weights of the three goals of placement where they conflict; only the ratios matter.
struct policy_weights
{
    double tailLatency = 1;  // low tail latency of services
    double throughput = 0.5; // high throughput of batch jobs
    double evictions = 0.5;  // few evictions
};

struct placement_settings
{
    milliseconds tickInterval{100};       // between two rounds of placement
    std::size_t backlogPerWorker = 4;     // batch tasks placed ahead on each worker, to start while
                                          // the platform is down; 0: none
    std::size_t maxTasksPerCommit = 64;   // tasks written in one transaction of the table
    std::size_t jobQuarantineWorkers = 3; // a job that failed on so many distinct workers is
                                          // quarantined
    std::size_t workerQuarantineJobs = 3; // a worker on which so many distinct jobs failed is
                                          // quarantined
    std::size_t evictionsPerMinute = 6;   // limit for evictions by one entry due to interference
};

// How an upstream is chosen for a request.
enum class routing_policy { TwoChoices, RoundRobin, LeastKnownLoad };
std::string_view nameOf(routing_policy policy);

struct routing_settings
{
    routing_policy policy = routing_policy::TwoChoices;
    double spillThreshold = 1; // if a larger share of the slots in the own availability zone is
                               // in use, requests go to other zones too
};

// An entry forwards callers' requests, places jobs and services on workers, and accepts
// configuration.
struct entry_settings
{
    std::string id;                          // unique among all processes
    std::string region;                      // region that the process runs in
    std::string zone;                        // availability zone that the process runs in
    listen_settings listen;                  // for callers
    listen_settings rpc;                     // for entries and agents
    std::vector<endpoint> peers;             // rpc addresses of the other entries; may be empty
    platform_settings platform;              // table and object store
    std::size_t shards = 1;                  // number of shards of workers; equal on all entries
    milliseconds shardLease{1'800'000};      // of an entry on a shard; tasks keep running through a
                                             // platform outage of at most this length
    milliseconds agentLease{15'000};         // that a shard's owner gives to agents by itself,
                                             // without a write to the table
    milliseconds clockMargin{500};           // waited in addition before another process's lease
                                             // counts as expired
    milliseconds announceTimeout{3000};      // a process that sent no announcement for this long
                                             // counts as gone
    std::size_t maxAnswerBytes = 67'108'864; // largest body of an answer; large bodies are streamed
    std::size_t maxBodyBytes = 1'048'576;    // largest body of a caller's request
    std::size_t maxConnections = 256;        // callers' connections at once; each has a thread
    std::size_t maxConnectionsPerAddress = 0; // connections at once from one address; 0: no limit
    milliseconds requestReadTimeout{10'000};  // from the first to the last byte of a request
    milliseconds answerWriteTimeout{30'000};  // until the caller has received its answer
    milliseconds defaultRequestDeadline{10'000}; // for requests without a deadline
    retry_settings retry;                        // retry budget
    milliseconds drainTimeout{30'000};     // longest wait for requests in flight before a stop
    policy_weights weights;                // goals of placement
    milliseconds configPollInterval{1000}; // between two polls of the accepted generation
    placement_settings placement;          // placement of tasks on workers
    routing_settings routing;              // choice of upstreams
    log_level logLevel = log_level::Info;  // lowest level that is logged
};

// The upstream to which an agent admits requests.
struct upstream_settings
{
    endpoint address;             // of the upstream on the agent's instance
    std::string service;          // service that the upstream serves
    std::size_t slots = 8;        // requests that it processes at once
    std::size_t connections = 64; // connections that it accepts at once
};

// The worker whose tasks an agent runs.
struct worker_settings
{
    endpoint address; // of the worker's control interface
    std::string id;   // unique among all workers
    std::string pool; // instance pool that the worker belongs to
    resources size;   // total resources of the worker
};

struct agent_lease_settings
{
    milliseconds clockMargin{500};    // a lease from the shard's owner counts as expired this long
                                      // before its end
    milliseconds taskLease{10'000};   // given to the worker for each task; longer than a restart of
                                      // the agent takes
    milliseconds renewInterval{1000}; // between two renewals of the task leases
    milliseconds ownerReportInterval{4000}; // between two reports to the shard's owner, while it
                                            // answers; renewInterval otherwise
};

// An agent admits requests to its upstream, runs the tasks of its worker, and announces both to the
// entries.
struct agent_settings
{
    std::string id;                          // unique among all processes
    std::string region;                      // region that the process runs in
    std::string zone;                        // availability zone that the process runs in
    std::string rack;                        // rack of the worker
    listen_settings listen;                  // for entries: requests and rpc
    std::vector<endpoint> entries;           // rpc addresses of the entries; at least one
    upstream_settings upstream;              // upstream on the agent's instance
    worker_settings worker;                  // worker on the agent's instance
    milliseconds announceInterval{500};      // between two announcements
    agent_lease_settings lease;              // leases and their renewal
    std::size_t queueLength = 16;            // limit on requests that wait for a slot
    std::size_t maxBodyBytes = 1'048'576;    // largest body of a request
    std::size_t maxAnswerBytes = 67'108'864; // largest body of an answer; large bodies are streamed
    milliseconds drainTimeout{30'000};       // longest wait for requests in flight before a stop
    log_level logLevel = log_level::Info;    // lowest level that is logged
};

// Parse a settings file; `fileName` is used only in error messages. They throw error BadSettings;
// its text has one line for each problem: file, line, JSON pointer, what was found and what is
// allowed. Unknown keys are problems too.
entry_settings entrySettingsFrom(const std::string &fileName, const std::string &text);
agent_settings agentSettingsFrom(const std::string &fileName, const std::string &text);

Json::Value toJson(const entry_settings &settings);
Json::Value toJson(const agent_settings &settings);

// The schemas of the settings files. The tables in docs/SETTINGS.md are generated from them with
// `schemaTable`.
const Json::Value &entrySettingsSchema();
const Json::Value &agentSettingsSchema();

} // namespace zinniabarrow::config
