// The daemon behind the load balancer. It accepts callers' jobs, owns those that it accepted, and
// takes over the jobs of entries that are gone. An entry with little processor time hands callers'
// jobs to stronger ones; see app/entry_directory.h.
#pragma once

#include "app/job_settings.h"

namespace zinniabarrow {

// Runs until the process is told to stop. Returns the exit code.
int runJobEntry(const job_entry_settings &settings);

} // namespace zinniabarrow
