// Tests that large long-running tasks are placed among small short ones.
#include <criterion/criterion.h>

#include "saturated_workers.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// Required time limit for placing long-running tasks when the workers have capacity for twice as
// many.
constexpr milliseconds PlacementTimeLimit{3000};

} // namespace

// Guards against large long-running tasks that never get a worker because each gap that opens is
// too small for them and goes to the next short task.
Test(large_long_running_tasks, large_tasks_get_room_among_small_ones)
{
    saturated_workers workers;
    workers.simulation.submit(0, "large-service", longRunningStep(6, 4 * Cores));
    workers.advanceUnderLoad(PlacementTimeLimit);
    cr_expect(workers.simulation.countRunning("large-service") == 6, "%d of 6 tasks running",
              workers.simulation.countRunning("large-service"));
}
