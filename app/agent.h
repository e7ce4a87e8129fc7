// The agent's daemon: one beside each upstream, on its worker.
#pragma once

#include "config/settings.h"

namespace zinniabarrow {

// Serves until SIGTERM, drains, returns the exit code.
int runAgent(const config::agent_settings &settings);

} // namespace zinniabarrow
