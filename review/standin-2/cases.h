// The cases that are played by scripts. Each returns whether its rule held.
#pragma once

#include "runner.h"

namespace review {

bool playRebornRunner(record &log, bool hasTrouble);
bool playSuspendedMachine(record &log, bool hasTrouble);
bool playCrashLoop(record &log, bool hasTrouble);
bool playLatePause(record &log, bool hasTrouble);

} // namespace review
