// The entry daemon: serves callers' requests, schedules tasks and distributes the configuration.
#pragma once

#include "config/settings.h"

namespace zinniabarrow {

// Serves until SIGTERM, then drains. Returns the exit code.
int runEntry(const config::entry_settings &settings);

} // namespace zinniabarrow
