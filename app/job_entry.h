// The daemon beside the balancer: takes callers' jobs, owns those that it accepted, and takes over
// those of entries that are gone.
#pragma once

#include "app/job_settings.h"

namespace zinniabarrow {

int runJobEntry(const job_entry_settings &settings);

} // namespace zinniabarrow
