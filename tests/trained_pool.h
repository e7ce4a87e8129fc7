// Helpers for worker pools: the report of an empty worker, and training of the interference
// estimates.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/worker_pool.h"

namespace zinniabarrow::tests {

constexpr std::int64_t MillicoresPerCore = 1000;

// The report of an empty worker with 16 cores that accepts runs.
inline jobs::worker_report acceptingReport(const std::string &worker)
{
    jobs::worker_report report;
    report.worker = worker;
    report.epoch = 1;
    report.service = "tickets";
    report.isAccepting = true;
    report.capacity = {16 * MillicoresPerCore, 64'000, 0};
    return report;
}

// Trains the pool with samples in which each core that `bestEffort` uses adds `loadPerCore` to the
// load of `serving`.
inline void trainInterference(jobs::worker_pool &pool, const std::string &serving,
                              const std::string &bestEffort, double loadPerCore, int samples = 200)
{
    constexpr double FloorMs = 25;
    for (int sample = 0; sample < samples; ++sample) {
        const double cores = sample % 2 == 0 ? 0.0 : 4.0;
        const double load = 0.4 + loadPerCore * cores;
        const auto tail = static_cast<std::int64_t>(FloorMs / (1 - load));
        pool.interferenceEstimator().learn({serving, tail, 150, {{bestEffort, cores}}});
    }
}

} // namespace zinniabarrow::tests
