// The daemon beside a worker: the only one that speaks to it, and the last check before anything is
// started there.
#pragma once

#include "app/job_settings.h"

namespace zinniabarrow {

int runJobAgent(const job_agent_settings &settings);

} // namespace zinniabarrow
