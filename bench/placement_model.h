// A seeded simulation of workers in virtual time, used by placement_bench and
// placement_policy_test. It measures the effect of a placement policy on services and batch work;
// every policy gets the same sequence of jobs.
//
// Batch tasks slow the services beside them, and how much depends on the two classes. Declared
// sizes are wrong, samples are delayed, and a worker and some jobs fail.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/scheduler_settings.h"

namespace zinniabarrow::bench {

// Size, load and faults of one simulation.
struct model_settings
{
    std::uint64_t seed = 1;
    int minutes = 120;       // of virtual time
    int workers = 24;        // each with 16 processors and 60 GB
    double jobInterval = 12; // seconds between batch jobs; 12 gives more work than fits the workers
    bool hasWaves = true;    // jobs that interfere strongly arrive in waves
    // One worker fails all batch tasks for a while; 1 of 50 jobs always fails.
    bool hasFailures = true;
};

// Measured over the whole simulation. A sample is the p99 latency of one service task at one time.
struct model_result
{
    double serviceP99Ratio = 0;     // p99 of (p99 latency / target) over all samples
    double serviceLateFraction = 0; // fraction of samples whose p99 latency was above the target
    // Mean over samples of the p99 latency divided by that without interference.
    double meanSlowdown = 0;
    int batchFinished = 0;    // finished batch tasks
    double finishedHours = 0; // processor hours of finished batch tasks
    int evictions = 0;        // for any reason
    int evictionsForInterference = 0;
    int memoryKills = 0; // tasks that the kernel killed for memory
    int failures = 0;    // failed attempts of failing jobs' tasks and on the failing worker
    // Processor hours of tasks that were evicted, killed or failed: work since the last checkpoint,
    // which is lost, and work for loading the checkpoint.
    double wastedHours = 0;
    int throttles = 0;         // decisions of the scheduler to set or lift a CPU limit
    double maxUrgentDelay = 0; // seconds from pending to the first run, urgent tasks
    double urgentP99Delay = 0; // p99 of the same delay, in seconds
    // How often a worker had more reserved than its size; each worker is checked every 500 ms.
    int overCapacityCount = 0;
};

// Settings of the scheduler under test, and the name to print.
struct named_policy
{
    std::string name;
    placement::scheduler_settings settings;
};

// Returns, in this order:
//   "first fit, declared sizes": placement_algorithm::FirstFit without learning, relieveServices,
//       avoidInterference and quarantine
//   "no learning": Scored with Mtkvari's weights, without learning of sizes and interference
//   "chosen, Mtkvari's weights": the default settings with weights that favour tail latency
//   "chosen, VTAV's weights": the same with weights that favour throughput and few evictions
//   "Mtkvari's, no relief": with Mtkvari's weights, without relieveServices
//   "Mtkvari's, effects unknown": with Mtkvari's weights, without learning of interference
std::vector<named_policy> comparedPolicies();
// The same policy and settings always give the same result.
model_result runModel(const placement::scheduler_settings &policy, const model_settings &settings);

} // namespace zinniabarrow::bench
