// A pool of workers that has learned what presses on what, and the reports that it knows them by.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/worker_pool.h"

namespace zinniabarrow::tests {

constexpr std::int64_t MillicoresPerCore = 1000; // millicores

// Of an empty worker of 16 cores that may be given runs.
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

// Teaches that `filling` presses on `serving` by `press` for each core.
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
