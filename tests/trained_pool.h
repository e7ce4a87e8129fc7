// A pool of workers that has learned what presses on what, and the reports that it knows them by.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/worker_pool.h"

namespace zinniabarrow::tests {

constexpr std::int64_t Cores = 1000; // millicores

// Of an empty worker of 16 cores that may be given runs.
inline jobs::worker_report openReport(const std::string &worker)
{
    jobs::worker_report report;
    report.worker = worker;
    report.epoch = 1;
    report.service = "tickets";
    report.accepting = true;
    report.capacity = {16 * Cores, 64'000, 0};
    return report;
}

// Teaches that `filling` presses on `serving` by `press` for each core.
inline void teach(jobs::worker_pool &pool, const std::string &serving, const std::string &filling,
                  double press, int turns = 200)
{
    constexpr double FloorMs = 25;
    for (int turn = 0; turn < turns; ++turn) {
        const double cores = turn % 2 == 0 ? 0.0 : 4.0;
        const double load = 0.4 + press * cores;
        const auto tail = static_cast<std::int64_t>(FloorMs / (1 - load));
        pool.disturbance().learn({serving, tail, 150, {{filling, cores}}});
    }
}

} // namespace zinniabarrow::tests
