// Largest values that a row or a message may have, whoever wrote it. What is within them can be
// added, multiplied by the tasks of a job and converted to time points without an overflow.
#pragma once

#include <cstdint>

namespace zinniabarrow::jobs {

constexpr std::int64_t MaxAmount = 1'000'000'000;          // millicores, MB or devices
constexpr std::int64_t MaxTimeMs = 4'000'000'000'000;      // any clock, Unix time, durations; ms
constexpr std::int64_t MaxCounter = std::int64_t{1} << 53; // epochs, fences, incarnations
constexpr int MaxRunNumber = 1'000'000'000;                // also of failures and attempts
constexpr double MaxStretch = 10'000;                      // see queue_policy
constexpr double MaxReal = 1e9;                            // magnitude of loads and latencies

} // namespace zinniabarrow::jobs
