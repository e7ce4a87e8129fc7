// Compares placement policies on the same seeded sequences at two loads.
//
//   placement_bench [seed...]
//
// Columns that are not named like their member of model_result:
//   p99/goal  serviceP99Ratio       (interf)  evictionsForInterference
//   late      serviceLateFraction   killed    memoryKills
//   slowdown  meanSlowdown          waste-h   wastedHours
//   finished  batchFinished         limits    throttles
//   cpu-h     finishedHours         urgent    maxUrgentDelay
#include <cstdlib>
#include <vector>

#include <fmt/core.h>

#include "placement_model.h"

using namespace zinniabarrow::bench;

namespace {

void compare(std::uint64_t seed, double jobInterval)
{
    model_settings settings;
    settings.seed = seed;
    settings.jobInterval = jobInterval;
    fmt::print("seed {}, {} workers, {} minutes, a batch job every {} s\n", seed, settings.workers,
               settings.minutes, jobInterval);
    fmt::print("{:26} {:>8} {:>6} {:>8} {:>8} {:>7} {:>6} {:>8} {:>6} {:>6} {:>7} {:>7} {:>7}\n",
               "policy", "p99/goal", "late", "slowdown", "finished", "cpu-h", "evict", "(interf)",
               "killed", "failed", "waste-h", "limits", "urgent");
    for (const auto &policy : comparedPolicies()) {
        const auto result = runModel(policy.settings, settings);
        fmt::print("{:26} {:8.2f} {:5.1f}% {:8.3f} {:8} {:7.1f} {:6} {:8} {:6} {:6} {:7.2f} {:7} "
                   "{:6.1f}s\n",
                   policy.name, result.serviceP99Ratio, result.serviceLateFraction * 100,
                   result.meanSlowdown, result.batchFinished, result.finishedHours,
                   result.evictions, result.evictionsForInterference, result.memoryKills,
                   result.failures, result.wastedHours, result.throttles, result.maxUrgentDelay);
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::uint64_t> seeds;
    for (int index = 1; index < argc; ++index)
        seeds.push_back(std::strtoull(argv[index], nullptr, 10));
    if (seeds.empty())
        seeds = {1};
    for (const auto seed : seeds) {
        for (const double jobInterval : {12.0, 18.0})
            compare(seed, jobInterval);
    }
    return 0;
}
