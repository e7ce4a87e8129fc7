// The agent daemon: one runs beside each upstream, on the upstream's worker. It admits the requests
// that entries forward to the upstream, and has the worker run the tasks that the shard's owner
// grants.
#pragma once

#include "config/settings.h"

namespace zinniabarrow {

// Serves until SIGTERM, then drains. Returns the exit code.
int runAgent(const config::agent_settings &settings);

} // namespace zinniabarrow
