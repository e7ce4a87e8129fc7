// Simulated workers that are saturated by long-running tasks and by short ones, which ask for more
// than the remaining capacity.
#pragma once

#include <fmt/core.h>

#include "placement_simulation.h"
#include "section.h"

namespace zinniabarrow::tests {

inline constexpr std::int64_t Cores = 1000; // millicores

inline jobs::step_spec longRunningStep(int count, std::int64_t millicores)
{
    jobs::step_spec step;
    step.count = count;
    step.size = {millicores, 1000, 0};
    step.isLongRunning = true;
    step.estimateMs = 500;
    return step;
}

inline jobs::step_spec shortStep(int count)
{
    jobs::step_spec step;
    step.count = count;
    step.size = {Cores / 2, 500, 0};
    step.estimateMs = 640;
    return step;
}

inline constexpr int WorkerCount = 8;
inline constexpr int OwnerCount = 3;
inline constexpr milliseconds ShortRunTime{640};

// On each worker, long-running tasks reserve 10 of the 16 cores, and jobs of short tasks ask for
// more than the rest.
struct saturated_workers
{
    int ownerCount = OwnerCount;
    placement_simulation simulation;
    int submittedJobs = 0;

    explicit saturated_workers(int entryCount = OwnerCount, const simulated_delays &delays = {})
        : ownerCount(entryCount)
        , simulation(entryCount, delays)
    {
        for (int number = 0; number < WorkerCount; ++number)
            simulation.addWorker({16 * Cores, 64'000, 0});
        simulation.advance(milliseconds(1000));
        auto small = longRunningStep(4 * WorkerCount, 2500);
        small.maxPerWorker = 4;
        simulation.submit(0, "small-services", small);
        advanceUnderLoad(milliseconds(4000));
        require(simulation.countRunning("small-services") == 4 * WorkerCount);
    }

    // Submits short tasks that ask for 1.5 times the 6 cores that each worker has left.
    void advanceUnderLoad(milliseconds duration)
    {
        constexpr milliseconds SubmitInterval{40};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += SubmitInterval) {
            simulation.submit(submittedJobs % ownerCount, fmt::format("short-{}", submittedJobs),
                              shortStep(9), ShortRunTime);
            ++submittedJobs;
            simulation.advance(SubmitInterval);
        }
    }
};

} // namespace zinniabarrow::tests
