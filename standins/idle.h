// Cost of a fleet's processes while no caller sends requests: processor time and wake-ups from
// /proc, bytes of control messages from their metrics.
#pragma once

#include "base/time.h"
#include "standins/fleet.h"

namespace zinniabarrow::standins {

// Observes `system` for `observedTime` and prints a table by role: the mean process and the busiest
// one.
void printIdleCost(fleet &system, seconds observedTime);

} // namespace zinniabarrow::standins
