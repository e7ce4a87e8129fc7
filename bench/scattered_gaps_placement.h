// The tasks on each worker in scattered_gaps_model, and the search for runs to move so that a
// waiting task fits on a worker.
#pragma once

#include <cstdint>
#include <vector>

#include "scattered_gaps_trace.h"

namespace zinniabarrow::bench {

struct gap_task
{
    int job = 0;
    int worker = -1;                 // -1: none
    double waitsSince = 0;           // seconds
    double startsAt = 0;             // seconds; before, its processors are only reserved
    double movableAt = 0;            // seconds; not moved before
    double stillFrom = 0;            // seconds; start of its last move
    double stillUntil = 0;           // seconds; end of its last move
    std::vector<int> earlierWorkers; // that it was moved away from since it was placed

    bool isRunning(double now) const { return worker >= 0 && now >= startsAt; }
    bool standsStill(double now) const { return now >= stillFrom && now < stillUntil; }
};

struct gap_worker
{
    std::int64_t capacity = 0; // millicores
    std::int64_t free = 0;     // millicores
    bool isAway = false;
    std::vector<int> tasks; // indexes
};

struct task_move
{
    int task = 0;
    int from = 0;
    int to = 0;
};

class gap_placement
{
public:
    explicit gap_placement(const gap_trace &trace);

    int addTask(int job, double now); // returns its index
    void place(int task, int worker);
    void remove(int task); // from its worker
    void setAway(int worker, bool isAway) { m_workers[index(worker)].isAway = isAway; }

    gap_task &task(int number) { return m_tasks[index(number)]; }
    const gap_task &task(int number) const { return m_tasks[index(number)]; }
    const std::vector<gap_worker> &workers() const { return m_workers; }
    const gap_worker &worker(int number) const { return m_workers[index(number)]; }
    std::int64_t sizeOf(int task) const;
    std::int64_t freeInSum() const; // on the workers that are there
    std::int64_t largestFree() const;
    bool isAtLimit(int worker, int job) const; // has as many of its tasks as maxPerWorker allows
    bool canTake(int worker, int task) const;
    // Whether some worker has more on it than its size, or more tasks of a job than it may.
    bool isAnyLimitExceeded() const;

private:
    static std::size_t index(int number) { return static_cast<std::size_t>(number); }

    const gap_trace *m_trace; // of the model, which outlives it
    std::vector<gap_task> m_tasks;
    std::vector<gap_worker> m_workers;
};

// Which runs may be moved for a task.
struct move_scope
{
    double now = 0;                      // seconds
    int owners = 1;                      // job j belongs to owner j % owners
    bool mayMoveOtherOwnersRuns = false; // not only runs of the waiting task's owner
    int maxMoves = 1; // 1 or 2; with 2, the first move frees processors for the second one
};

// Returns the moves after which the waiting task fits on the worker that the last one leaves, in
// the order in which they are carried out: one move if possible, and the fewest millicores. Empty:
// none found.
std::vector<task_move> findMoves(const gap_placement &placement, int waitingTask,
                                 const move_scope &scope);

} // namespace zinniabarrow::bench
