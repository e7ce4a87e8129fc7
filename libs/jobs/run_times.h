// Learns how long runs really take, as a ratio to the estimates of their steps.
//
// Call recordDone() for each run that was done, and quantileMs() to ask for a run time. Until
// enough runs of a kind were seen, the estimate is the answer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::jobs {

// Runs that are expected to take alike long for their estimate.
struct run_kind
{
    std::string queue;
    std::string image; // empty: unknown

    friend auto operator<=>(const run_kind &, const run_kind &) = default;
};

// What is known of a step whose runs are asked about.
struct step_context
{
    run_kind kind;
    std::int64_t estimateMs = 0;          // of its specification, ms
    std::vector<std::int64_t> siblingsMs; // run times of its tasks that are done, ms
};

class run_times
{
public:
    // A run was done `duration` after its start.
    void recordDone(const step_context &step, milliseconds duration);
    // The run time that the given share of runs, 0 to 1, is expected not to exceed, ms.
    std::int64_t quantileMs(const step_context &step, double share) const;
};

} // namespace zinniabarrow::jobs
