// A seeded model of workers in virtual time, small enough to read: pairs of classes that disturb
// each other, sizes that are declared wrong, samples that come late, a worker and jobs that fail.
//
// It measures what a placement policy does to services and to batch work on one and the same
// sequence.
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
    int workers = 24;        // of 16 processors and 60 GB
    double jobInterval = 12; // seconds between batch jobs: 12 is more than the workers can do
    bool hasWaves = true;    // noisy jobs arrive in waves
    bool hasFailures = true; // one worker fails everything for a while, one job in fifty always
};

struct model_result
{
    double serviceP99Ratio = 0;     // of p99 / target over all instances and moments
    double serviceLateFraction = 0; // part of the moments in which p99 was above its target
    double meanSlowdown = 0;        // p99 over that of the service alone
    int batchFinished = 0;          // tasks
    double finishedHours = 0;       // processor hours finished
    int evictions = 0;              // of any reason
    int evictionsForInterference = 0;
    int memoryKills = 0;       // tasks that the kernel ended
    int failures = 0;          // of bad jobs, and on the bad worker
    double wastedHours = 0;    // processor hours done twice or for nothing
    int throttles = 0;         //
    double maxUrgentDelay = 0; // seconds from pending to running
    double urgentP99Delay = 0; //
    int overCapacityCount = 0; // moments in which reservations exceeded a worker
};

struct named_policy
{
    std::string name;
    placement::placer_settings settings;
};

// First fit on declared sizes, no learning, and the chosen policy with the weights of each
// deployment.
std::vector<named_policy> comparedPolicies();
model_result runModel(const placement::placer_settings &policy, const model_settings &settings);

} // namespace zinniabarrow::bench
