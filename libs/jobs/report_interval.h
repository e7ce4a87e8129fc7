// How often an entry wants reports that only update a worker's free capacity.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace zinniabarrow::jobs {

// The shortest interval between two such reports of one worker, at which the reports of all
// `workers` take a tenth of the entry's processor time at most. `millicores`: that time, 1/1000
// core; 0 counts as one core.
milliseconds reportInterval(std::size_t workers, std::int64_t millicores);

// How many requests for reports take half of the entry's processor time within `time`, at the cost
// of a report each; at least one. The reports that follow aren't counted.
std::size_t affordableReports(milliseconds time, std::int64_t millicores);

} // namespace zinniabarrow::jobs
