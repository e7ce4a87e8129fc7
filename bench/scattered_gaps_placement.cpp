#include "scattered_gaps_placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace zinniabarrow::bench {

gap_placement::gap_placement(const gap_trace &trace)
    : m_trace(&trace)
{
    for (const auto capacity : trace.capacities)
        m_workers.push_back({capacity, capacity, false, {}});
}

int gap_placement::addTask(int job, double now)
{
    gap_task added;
    added.job = job;
    added.waitsSince = now;
    m_tasks.push_back(added);
    return static_cast<int>(m_tasks.size()) - 1;
}

void gap_placement::place(int task, int worker)
{
    m_tasks[index(task)].worker = worker;
    m_workers[index(worker)].free -= sizeOf(task);
    m_workers[index(worker)].tasks.push_back(task);
}

void gap_placement::remove(int task)
{
    auto &from = m_workers[index(m_tasks[index(task)].worker)];
    from.free += sizeOf(task);
    std::erase(from.tasks, task);
    m_tasks[index(task)].worker = -1;
}

std::int64_t gap_placement::sizeOf(int task) const
{
    return m_trace->jobs[index(m_tasks[index(task)].job)].millicores;
}

std::int64_t gap_placement::freeInSum() const
{
    std::int64_t sum = 0;
    for (const auto &worker : m_workers)
        sum += worker.isAway ? 0 : worker.free;
    return sum;
}

std::int64_t gap_placement::largestFree() const
{
    std::int64_t largest = 0;
    for (const auto &worker : m_workers)
        largest = std::max(largest, worker.isAway ? 0 : worker.free);
    return largest;
}

bool gap_placement::isAtLimit(int worker, int job) const
{
    const auto limit = m_trace->jobs[index(job)].maxPerWorker;
    if (limit == 0)
        return false;
    const auto &tasks = m_workers[index(worker)].tasks;
    return std::count_if(tasks.begin(), tasks.end(),
                         [&](int task) { return m_tasks[index(task)].job == job; })
           >= limit;
}

bool gap_placement::canTake(int worker, int task) const
{
    const auto &candidate = m_workers[index(worker)];
    return !candidate.isAway && candidate.free >= sizeOf(task)
           && !isAtLimit(worker, m_tasks[index(task)].job);
}

// Counts from the tasks' own workers, not from `free`, so that an error in its upkeep shows.
bool gap_placement::isAnyLimitExceeded() const
{
    std::vector<std::int64_t> used(m_workers.size(), 0);
    std::map<std::pair<int, int>, int> tasksByWorkerAndJob;
    bool isExceeded = false;
    for (const auto &task : m_tasks) {
        if (task.worker < 0)
            continue;
        const auto &job = m_trace->jobs[index(task.job)];
        used[index(task.worker)] += job.millicores;
        const int sameJob = ++tasksByWorkerAndJob[{task.worker, task.job}];
        isExceeded |= used[index(task.worker)] > m_workers[index(task.worker)].capacity
                      || (job.maxPerWorker > 0 && sameJob > job.maxPerWorker);
    }
    return isExceeded;
}

namespace {

class move_search
{
public:
    move_search(const gap_placement &placement, int waitingTask, const move_scope &scope)
        : m_placement(placement)
        , m_waitingTask(waitingTask)
        , m_scope(scope)
        , m_largestFree(placement.largestFree())
    { }

    std::vector<task_move> run();

private:
    void makeRoomOn(int worker, int run);
    void makeRoomForRunOn(int target, const task_move &wanted);
    bool mayMove(int run) const;
    bool mayMoveTo(int run, int target) const;
    std::optional<int> tightestTarget(int run, int excluded) const;
    void consider(std::vector<task_move> moves);
    std::int64_t sumOf(const std::vector<task_move> &moves) const;

    const gap_placement &m_placement;
    int m_waitingTask;
    const move_scope &m_scope;
    std::int64_t m_largestFree;
    std::vector<task_move> m_best;
    std::int64_t m_bestSum = std::numeric_limits<std::int64_t>::max(); // millicores
};

std::vector<task_move> move_search::run()
{
    const auto job = m_placement.task(m_waitingTask).job;
    const auto size = m_placement.sizeOf(m_waitingTask);
    for (int worker = 0; worker < static_cast<int>(m_placement.workers().size()); ++worker) {
        const auto &candidate = m_placement.worker(worker);
        if (candidate.isAway || m_placement.isAtLimit(worker, job))
            continue;
        for (const auto run : candidate.tasks) {
            if (mayMove(run) && candidate.free + m_placement.sizeOf(run) >= size)
                makeRoomOn(worker, run);
        }
    }
    return m_best;
}

bool move_search::mayMove(int run) const
{
    const auto &task = m_placement.task(run);
    const bool isOwn =
            task.job % m_scope.owners == m_placement.task(m_waitingTask).job % m_scope.owners;
    return task.isRunning(m_scope.now) && m_scope.now >= task.movableAt
           && (isOwn || m_scope.mayMoveOtherOwnersRuns);
}

bool move_search::mayMoveTo(int run, int target) const
{
    const auto &task = m_placement.task(run);
    return !m_placement.worker(target).isAway && target != task.worker
           && std::find(task.earlierWorkers.begin(), task.earlierWorkers.end(), target)
                      == task.earlierWorkers.end()
           && !m_placement.isAtLimit(target, task.job);
}

std::optional<int> move_search::tightestTarget(int run, int excluded) const
{
    const auto size = m_placement.sizeOf(run);
    std::optional<int> best;
    for (int target = 0;
         size <= m_largestFree && target < static_cast<int>(m_placement.workers().size());
         ++target) {
        const auto free = m_placement.worker(target).free;
        if (free < size || target == excluded || !mayMoveTo(run, target))
            continue;
        if (!best || free < m_placement.worker(*best).free)
            best = target;
    }
    return best;
}

std::int64_t move_search::sumOf(const std::vector<task_move> &moves) const
{
    std::int64_t sum = 0;
    for (const auto &move : moves)
        sum += m_placement.sizeOf(move.task);
    return sum;
}

// One move is preferred to two whatever their sizes: each one is a start that may fail.
void move_search::consider(std::vector<task_move> moves)
{
    const auto sum = sumOf(moves);
    const bool isShorter = !m_best.empty() && moves.size() < m_best.size();
    const bool isLonger = !m_best.empty() && moves.size() > m_best.size();
    if (isLonger || (!isShorter && sum >= m_bestSum))
        return;
    m_best = std::move(moves);
    m_bestSum = sum;
}

void move_search::makeRoomOn(int worker, int run)
{
    const auto size = m_placement.sizeOf(run);
    if (m_best.size() == 1 && size >= m_bestSum)
        return;
    if (const auto target = tightestTarget(run, worker)) {
        consider({{run, worker, *target}});
        return;
    }
    if (m_scope.maxMoves < 2 || m_best.size() == 1)
        return;
    for (int target = 0; target < static_cast<int>(m_placement.workers().size()); ++target) {
        if (mayMoveTo(run, target))
            makeRoomForRunOn(target, {run, worker, target});
    }
}

void move_search::makeRoomForRunOn(int target, const task_move &wanted)
{
    const auto &candidate = m_placement.worker(target);
    const auto size = m_placement.sizeOf(wanted.task);
    for (const auto second : candidate.tasks) {
        const auto sum = size + m_placement.sizeOf(second);
        if (candidate.free + m_placement.sizeOf(second) < size || !mayMove(second)
            || sum >= m_bestSum)
            continue;
        // The free processors of `wanted.from` are needed for the waiting task itself.
        if (const auto secondTarget = tightestTarget(second, wanted.from))
            consider({{second, target, *secondTarget}, wanted});
    }
}

} // namespace

std::vector<task_move> findMoves(const gap_placement &placement, int waitingTask,
                                 const move_scope &scope)
{
    return move_search(placement, waitingTask, scope).run();
}

} // namespace zinniabarrow::bench
