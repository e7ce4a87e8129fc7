// The entry daemon: callers' requests, scheduling and configuration.
#pragma once

#include "config/settings.h"

namespace zinniabarrow {

// Serves until SIGTERM, then drains. Returns the exit code.
int runEntry(const config::entry_settings &settings);

} // namespace zinniabarrow
