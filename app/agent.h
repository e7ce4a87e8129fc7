// The agent daemon: one runs beside each upstream, on the upstream's worker.
#pragma once

#include "config/settings.h"

namespace zinniabarrow {

// Serves until SIGTERM, then drains. Returns the exit code.
int runAgent(const config::agent_settings &settings);

} // namespace zinniabarrow
