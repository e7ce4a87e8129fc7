// A seeded simulation, without network, of long-running tasks that wait for a worker although
// enough processors are free on all workers together. It compares placement algorithms, and
// measures the effect of a limited migration: when a task has waited for some seconds, one run
// moves to another worker, and the task starts on the worker that this run has left. Used by
// scattered_gaps_bench and scattered_gaps_test.
//
//   makeTrace   the jobs and the absences of workers (scattered_gaps_trace.h)
//   runGaps     the result of one policy on this trace
//
// Owners see the present state of all workers. Not simulated: interference, delayed reports, lost
// messages.
#pragma once

#include <string_view>
#include <vector>

#include "scattered_gaps_trace.h"

namespace zinniabarrow::bench {

enum class gap_fit {
    Scored,          // jobs::worker_pool::chooseWorker, as in the daemons
    Tightest,        // the worker with the least free processors
    TightestByClass, // first workers most of whose runs are of like size, then empty ones
    Repacked         // where a task would wait, all are packed anew: unlimited moves
};
std::string_view nameOf(gap_fit fit);

struct gap_policy
{
    gap_fit fit = gap_fit::Scored;
    int maxMoves = 0;                    // runs moved for one task, 0 to 2
    int owners = 1;                      // job j belongs to owner j % owners
    bool mayMoveOtherOwnersRuns = false; // not only runs of the waiting task's owner
    double waitBeforeMove = 3;           // seconds that a task waits before a run is moved for it
    double standstill = 1.5;             // seconds that a run stands still when it is moved
    double moveInterval = 60;            // seconds until a run may be moved again
};

struct move_record
{
    double at = 0;    // seconds
    int owner = 0;    // of the task for which the run is moved
    int runOwner = 0; // of the run
    int task = 0;
    int placementNumber = 0; // how often the task has been placed, moves not included
    int from = 0;
    int to = 0;
};

// Task-seconds are counted from `warmUp` on.
struct gap_result
{
    double taskSeconds = 0;       // asked for
    double waitingSeconds = 0;    // without a running worker
    double scatteredSeconds = 0;  // of these: the sum of all free processors would suffice
    double standstillSeconds = 0; // lost by runs that were moved
    double measuredSeconds = 0;
    int countedMoves = 0;           // since warmUp
    int limitViolations = 0;        // ticks at which a worker exceeded its capacity or a task limit
    std::vector<move_record> moves; // all of them

    double waitingShare() const { return waitingSeconds / taskSeconds; }
    double scatteredShare() const { return scatteredSeconds / taskSeconds; }
    double standstillShare() const { return standstillSeconds / taskSeconds; }
    double movesPerMinute() const { return 60 * countedMoves / measuredSeconds; }
};
// The same trace and policy always give the same result.
gap_result runGaps(const gap_trace &trace, const gap_policy &policy, double warmUp = 120);

} // namespace zinniabarrow::bench
