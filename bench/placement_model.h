// A small seeded simulation of workers in virtual time, with pairs of classes that interfere, wrong
// declared sizes, delayed samples, and a worker and jobs that fail.
//
// It measures the effect of a placement policy on services and batch work; every policy gets the
// same sequence of jobs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/placer_settings.h"

namespace zinniabarrow::bench {

struct model_settings
{
    std::uint64_t seed = 1;
    int minutes = 120;       // of virtual time
    int workers = 24;        // each with 16 processors and 60 GB
    double jobInterval = 12; // seconds between batch jobs; 12 exceeds the workers' capacity
    bool hasWaves = true;    // jobs that interfere strongly arrive in waves
    bool hasFailures = true; // one worker fails all tasks for a while, and 1 of 50 jobs always
};

struct model_result
{
    double serviceP99Ratio = 0;     // p99 of (p99 latency / target) over all instances and samples
    double serviceLateFraction = 0; // fraction of samples whose p99 latency was above the target
    double meanSlowdown = 0;        // p99 latency divided by that without interference
    int batchFinished = 0;          // batch tasks
    double finishedHours = 0;       // processor hours of finished batch tasks
    int evictions = 0;              // for any reason
    int evictionsForInterference = 0;
    int memoryKills = 0;       // tasks that the kernel killed for memory
    int failures = 0;          // of failing jobs and on the failing worker
    double wastedHours = 0;    // processor hours repeated or lost
    int throttles = 0;         //
    double maxUrgentDelay = 0; // seconds from pending to running, urgent tasks
    double urgentP99Delay = 0; // likewise
    int overCapacityCount = 0; // worker ticks with more reserved than the worker's size
};

struct named_policy
{
    std::string name;
    placement::placer_settings settings;
};

// First fit on declared sizes, the policy without learning, the chosen policy with the weights of
// each deployment, and variants of it without relief and without known interference effects.
std::vector<named_policy> comparedPolicies();
// The same policy and settings always give the same result.
model_result runModel(const placement::placer_settings &policy, const model_settings &settings);

} // namespace zinniabarrow::bench
