// Bodies of the jobs that the callers of a soak submit.
#pragma once

#include <cstdint>
#include <string>

#include "soak/load.h"
#include "soak/random.h"

namespace zinniabarrow::soak {

// Counts are drawn from `random`. The occurrences of a scheduled job are due shortly after
// `nowUnixMs`.
std::string makeJobBody(job_kind kind, const load_options &options, std::int64_t nowUnixMs,
                        random_source &random);

} // namespace zinniabarrow::soak
