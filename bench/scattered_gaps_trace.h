// Seeded sequences of long-running jobs and of workers that leave, for scattered_gaps_model. They
// do not depend on the policy, so every policy gets the same jobs at the same times.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace zinniabarrow::bench {

// Workers and task sizes of a deployment.
struct gap_site
{
    std::string name;
    int workers = 0;
    std::vector<std::int64_t> capacities; // millicores, assigned to the workers in turn
    std::int64_t minTask = 0;             // millicores
    std::int64_t maxTask = 0;             // millicores
};
std::vector<gap_site> gapSites();

struct trace_settings
{
    std::uint64_t seed = 1;
    double load = 0.8;              // processors asked for, share of all workers'
    double seconds = 900;           // of virtual time
    double meanStay = 300;          // seconds until a job is cancelled
    double meanJobInterval = 2;     // seconds between jobs while the load leaves room for the next
    double meanLeaveInterval = 120; // seconds between workers that leave
    double meanAbsence = 30;        // seconds until such a worker is back
};

struct trace_job
{
    int tasks = 1;
    std::int64_t millicores = 0; // of each task
    int maxPerWorker = 0;        // 0: no limit
    int image = 0;
    double arrivesAt = 0; // seconds
    double endsAt = 0;    // seconds
};

struct worker_absence
{
    int worker = 0;
    double from = 0; // seconds
    double to = 0;   // seconds
};

struct gap_trace
{
    std::vector<std::int64_t> capacities; // millicores by worker
    std::vector<trace_job> jobs;          // by arrival
    std::vector<worker_absence> absences;
    double seconds = 0;
};
gap_trace makeTrace(const gap_site &site, const trace_settings &settings);

} // namespace zinniabarrow::bench
