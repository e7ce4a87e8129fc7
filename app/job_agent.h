// The daemon that runs next to a worker, a process of the users that executes tasks. Only the agent
// calls the worker, and it makes the last checks before a task is started there.
#pragma once

#include "app/job_settings.h"

namespace zinniabarrow {

// Runs until the process is told to stop. Returns the exit code.
int runJobAgent(const job_agent_settings &settings);

} // namespace zinniabarrow
