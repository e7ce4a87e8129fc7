// What the processes of a fleet cost while no caller asks anything: processor time and wake-ups
// from /proc, bytes of control from their metrics.
#pragma once

#include "base/time.h"
#include "standins/fleet.h"

namespace zinniabarrow::standins {

// Watches `system` for `watched` and prints a table by role: the mean process and the busiest one.
void printIdleCost(fleet &system, seconds observedTime);

} // namespace zinniabarrow::standins
