#include "scattered_gaps_model.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/random.h"
#include "jobs/worker_pool.h"
#include "scattered_gaps_placement.h"

namespace zinniabarrow::bench {

namespace {

constexpr double TickSeconds = 0.5;
// A search that found no move is repeated after this time: little has changed before.
constexpr double SearchInterval = 1;   // seconds
constexpr std::int64_t TargetMs = 150; // makes a step a serving one; the value does not matter
constexpr std::int64_t TaskMemoryMb = 1;
constexpr std::int64_t WorkerMemoryMb = 1000; // never short

// The entry's pool, whose time stands still: each report is exact and counts as fresh.
class scored_workers
{
public:
    explicit scored_workers(const gap_trace &trace)
        : m_trace(trace)
        , m_isStale(trace.capacities.size(), true)
    { }

    void workerChanged(int worker) { m_isStale[static_cast<std::size_t>(worker)] = true; }
    std::optional<int> choose(const gap_placement &placement, int task, int waitingTasks);

private:
    void refresh(const gap_placement &placement);
    jobs::worker_report reportOf(const gap_placement &placement, int worker) const;
    jobs::step_spec stepOf(int job) const;

    static constexpr time_point Now{std::chrono::hours(1)};

    const gap_trace &m_trace;
    std::vector<bool> m_isStale;
    jobs::worker_pool m_pool;
};

jobs::step_spec scored_workers::stepOf(int job) const
{
    const auto &traced = m_trace.jobs[static_cast<std::size_t>(job)];
    jobs::step_spec step;
    step.count = traced.tasks;
    step.size = {traced.millicores, TaskMemoryMb, 0};
    step.isLongRunning = true;
    step.latencyTargetMs = TargetMs;
    step.image = std::to_string(traced.image);
    step.maxPerWorker = traced.maxPerWorker;
    return step;
}

jobs::worker_report scored_workers::reportOf(const gap_placement &placement, int worker) const
{
    const auto &source = placement.worker(worker);
    jobs::worker_report report;
    report.worker = std::to_string(worker);
    report.epoch = 1;
    report.isAccepting = !source.isAway;
    report.capacity = {source.capacity, WorkerMemoryMb, 0};
    report.used = {source.capacity - source.free, 0, 0};
    report.usedByLongRunning = report.used;
    for (const auto task : source.tasks) {
        const auto job = placement.task(task).job;
        report.serving.push_back({stepOf(job).image, 0, std::to_string(job)});
    }
    return report;
}

void scored_workers::refresh(const gap_placement &placement)
{
    for (std::size_t worker = 0; worker < m_isStale.size(); ++worker) {
        if (m_isStale[worker])
            m_pool.update(reportOf(placement, static_cast<int>(worker)), Now);
        m_isStale[worker] = false;
    }
}

std::optional<int> scored_workers::choose(const gap_placement &placement, int task,
                                          int waitingTasks)
{
    refresh(placement);
    const auto job = placement.task(task).job;
    std::vector<std::string> fullWorkers;
    for (int worker = 0; worker < static_cast<int>(m_isStale.size()); ++worker) {
        if (placement.isAtLimit(worker, job))
            fullWorkers.push_back(std::to_string(worker));
    }
    jobs::placement_preferences preferences;
    preferences.waitingTasks = waitingTasks;
    preferences.tieBreakSeed = static_cast<std::uint64_t>(task) + 1;
    const auto chosen = m_pool.chooseWorker("", stepOf(job), fullWorkers, Now, preferences);
    return chosen ? std::optional<int>(std::stoi(*chosen)) : std::nullopt;
}

class gap_model
{
public:
    gap_model(const gap_trace &trace, const gap_policy &policy, double warmUp)
        : m_trace(trace)
        , m_policy(policy)
        , m_warmUp(warmUp)
        , m_placement(trace)
        , m_scored(trace)
        , m_tasksOf(trace.jobs.size())
        , m_nextSearch(trace.jobs.size(), 0)
        , m_busyUntil(static_cast<std::size_t>(policy.owners), 0)
    { }

    gap_result run();

private:
    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    int ownerOf(int task) const { return m_placement.task(task).job % m_policy.owners; }
    void place(int task, int worker);
    void release(int task);
    void workersLeaveAndReturn();
    void jobsEnd();
    void jobsArrive();
    std::vector<int> waitingTasksOf(int job) const;
    void placeWaiting();
    void placeTasksOf(int job);
    void repack();
    std::size_t placeInOrder(const std::vector<std::pair<double, int>> &tasks);
    std::optional<int> makeRoomFor(int task);
    std::optional<int> chooseWorker(int task, int waitingTasks);
    std::optional<int> tightestWorker(int task, bool byClass) const;
    int classRank(int worker, int task) const;
    void moveRuns();
    void moveFor(int task);
    void carryOut(const std::vector<task_move> &moves, int waitingTask);
    void measure();
    int countHeldInSum(std::vector<std::int64_t> sizes) const;

    const gap_trace &m_trace;
    const gap_policy &m_policy;
    double m_warmUp;
    gap_placement m_placement;
    scored_workers m_scored;
    std::vector<std::vector<int>> m_tasksOf; // by job, while it is present
    std::vector<int> m_presentJobs;          // by arrival
    std::size_t m_nextJob = 0;
    std::vector<double> m_nextSearch;      // by job, seconds
    std::vector<double> m_busyUntil;       // by owner, seconds: the end of its move under way
    std::map<int, int> m_placementNumbers; // by task
    bool m_hasChanged = true;              // since tasks were last placed
    double m_now = 0;                      // seconds
    random_generator m_random{1};          // varies the orders of packing
    gap_result m_result;
};

void gap_model::place(int task, int worker)
{
    m_placement.place(task, worker);
    m_scored.workerChanged(worker);
}

void gap_model::release(int task)
{
    m_scored.workerChanged(m_placement.task(task).worker);
    m_placement.remove(task);
    m_hasChanged = true;
}

void gap_model::workersLeaveAndReturn()
{
    for (const auto &absence : m_trace.absences) {
        const bool isAway = absence.from <= m_now && m_now < absence.to;
        const bool wasAway = m_placement.worker(absence.worker).isAway;
        const bool ends = absence.to <= m_now && m_now < absence.to + TickSeconds;
        if (isAway == wasAway || (!isAway && !ends))
            continue;
        m_placement.setAway(absence.worker, isAway);
        m_scored.workerChanged(absence.worker);
        m_hasChanged = true;
        const auto tasks = m_placement.worker(absence.worker).tasks;
        for (const auto task : tasks) {
            release(task);
            m_placement.task(task).waitsSince = m_now;
        }
    }
}

void gap_model::jobsEnd()
{
    std::erase_if(m_presentJobs, [&](int job) {
        if (m_trace.jobs[index(job)].endsAt > m_now)
            return false;
        for (const auto task : m_tasksOf[index(job)]) {
            if (m_placement.task(task).worker >= 0)
                release(task);
        }
        return true;
    });
}

void gap_model::jobsArrive()
{
    while (m_nextJob < m_trace.jobs.size() && m_trace.jobs[m_nextJob].arrivesAt <= m_now) {
        const auto job = static_cast<int>(m_nextJob++);
        m_presentJobs.push_back(job);
        for (int task = 0; task < m_trace.jobs[index(job)].tasks; ++task)
            m_tasksOf[index(job)].push_back(m_placement.addTask(job, m_now));
        m_hasChanged = true;
    }
}

std::vector<int> gap_model::waitingTasksOf(int job) const
{
    std::vector<int> waiting;
    for (const auto task : m_tasksOf[index(job)]) {
        if (m_placement.task(task).worker < 0)
            waiting.push_back(task);
    }
    return waiting;
}

void gap_model::placeWaiting()
{
    if (!m_hasChanged)
        return;
    m_hasChanged = false;
    if (m_policy.fit == gap_fit::Repacked) {
        repack();
        return;
    }
    for (const auto job : m_presentJobs)
        placeTasksOf(job);
}

void gap_model::placeTasksOf(int job)
{
    const auto waiting = waitingTasksOf(job);
    auto unplaced = static_cast<int>(waiting.size());
    for (const auto task : waiting) {
        if (m_placement.sizeOf(task) > m_placement.largestFree())
            return; // the other tasks are of the same size
        const auto worker = chooseWorker(task, unplaced--);
        if (!worker)
            return;
        place(task, *worker);
        auto &placed = m_placement.task(task);
        placed.startsAt = m_now;
        placed.movableAt = m_now;
        placed.stillUntil = m_now;
        placed.earlierWorkers.clear();
        ++m_placementNumbers[task];
    }
}

std::optional<int> gap_model::chooseWorker(int task, int waitingTasks)
{
    if (m_policy.fit == gap_fit::Scored)
        return m_scored.choose(m_placement, task, waitingTasks);
    return tightestWorker(task, m_policy.fit == gap_fit::TightestByClass);
}

std::optional<int> gap_model::tightestWorker(int task, bool byClass) const
{
    std::optional<int> best;
    std::pair<int, std::int64_t> bestOrder;
    for (int worker = 0; worker < static_cast<int>(m_placement.workers().size()); ++worker) {
        if (!m_placement.canTake(worker, task))
            continue;
        const std::pair order{byClass ? classRank(worker, task) : 0,
                              m_placement.worker(worker).free};
        if (best && order >= bestOrder)
            continue;
        best = worker;
        bestOrder = order;
    }
    return best;
}

// 0: most runs are of like size, 1: no runs, 2: others. Sizes are alike within a quarter.
int gap_model::classRank(int worker, int task) const
{
    constexpr double LikeSize = 1.25;
    const auto &tasks = m_placement.worker(worker).tasks;
    const auto size = static_cast<double>(m_placement.sizeOf(task));
    const auto alike = std::count_if(tasks.begin(), tasks.end(), [&](int other) {
        const auto otherSize = static_cast<double>(m_placement.sizeOf(other));
        return std::max(size, otherSize) <= LikeSize * std::min(size, otherSize);
    });
    if (tasks.empty())
        return 1;
    return 2 * alike > static_cast<std::ptrdiff_t>(tasks.size()) ? 0 : 2;
}

// Keeps the placement while no task waits. Otherwise packs all tasks anew in several orders, of
// which the first is by decreasing size and the others vary it, and takes the placement that
// leaves the fewest waiting. A heuristic: the least number possible may be lower.
void gap_model::repack()
{
    constexpr int Orders = 50;
    constexpr double Variation = 0.3; // of a size
    std::vector<std::pair<double, int>> tasks;
    for (const auto job : m_presentJobs) {
        for (const auto task : m_tasksOf[index(job)])
            tasks.emplace_back(0, task);
    }
    auto fewestWaiting = placeInOrder(tasks);
    auto best = m_placement;
    for (int order = 0; order < Orders && fewestWaiting > 0; ++order) {
        for (auto &[rank, task] : tasks) {
            const auto factor = order == 0 ? 1 : 1 + Variation * drawUniform(m_random);
            rank = -factor * static_cast<double>(m_placement.sizeOf(task));
            if (m_placement.task(task).worker >= 0)
                m_placement.remove(task);
        }
        std::sort(tasks.begin(), tasks.end());
        const auto waiting = placeInOrder(tasks);
        if (waiting >= fewestWaiting)
            continue;
        fewestWaiting = waiting;
        best = m_placement;
    }
    m_placement = best;
}

// Places the tasks that have no worker, and moves up to two runs for each that fits on none.
// Returns the number of tasks that are still without a worker.
std::size_t gap_model::placeInOrder(const std::vector<std::pair<double, int>> &tasks)
{
    std::size_t waiting = 0;
    for (const auto &[rank, task] : tasks) {
        if (m_placement.task(task).worker >= 0)
            continue;
        auto worker = tightestWorker(task, false);
        if (!worker)
            worker = makeRoomFor(task);
        if (worker)
            m_placement.place(task, *worker);
        waiting += worker ? 0 : 1;
    }
    return waiting;
}

// Moves up to two runs of any owner without delay or standstill. Returns the worker whose free
// processors then suffice for the task; none: no such move was found.
std::optional<int> gap_model::makeRoomFor(int task)
{
    const auto moves = findMoves(m_placement, task, {m_now, 1, true, 2});
    for (const auto &move : moves) {
        m_placement.remove(move.task);
        m_placement.place(move.task, move.to);
    }
    return moves.empty() ? std::nullopt : std::optional<int>(moves.back().from);
}

void gap_model::moveRuns()
{
    if (m_policy.maxMoves == 0)
        return;
    for (const auto job : m_presentJobs) {
        const auto waiting = waitingTasksOf(job);
        if (!waiting.empty())
            moveFor(waiting.front()); // the other tasks are of the same size
    }
}

void gap_model::moveFor(int task)
{
    const auto job = m_placement.task(task).job;
    if (m_now - m_placement.task(task).waitsSince < m_policy.waitBeforeMove
        || m_now < m_nextSearch[index(job)] || m_now < m_busyUntil[index(ownerOf(task))]
        || m_placement.freeInSum() < m_placement.sizeOf(task))
        return;
    const auto moves =
            findMoves(m_placement, task,
                      {m_now, m_policy.owners, m_policy.mayMoveOtherOwnersRuns, m_policy.maxMoves});
    m_nextSearch[index(job)] = m_now + SearchInterval;
    if (!moves.empty())
        carryOut(moves, task);
}

// Carries the moves out one after the other, each with its standstill. The processors that the last
// one frees are reserved for the waiting task, which starts when all moves are over.
void gap_model::carryOut(const std::vector<task_move> &moves, int waitingTask)
{
    double startsAt = m_now;
    for (const auto &move : moves) {
        release(move.task);
        place(move.task, move.to);
        auto &moved = m_placement.task(move.task);
        moved.earlierWorkers.push_back(move.from);
        moved.movableAt = m_now + m_policy.moveInterval;
        moved.stillFrom = startsAt;
        moved.stillUntil = startsAt += m_policy.standstill;
        m_result.countedMoves += m_now >= m_warmUp ? 1 : 0;
        m_result.moves.push_back({m_now, ownerOf(waitingTask), ownerOf(move.task), move.task,
                                  m_placementNumbers[move.task], move.from, move.to});
    }
    place(waitingTask, moves.back().from);
    auto &task = m_placement.task(waitingTask);
    task.startsAt = startsAt;
    task.movableAt = startsAt;
    task.stillUntil = m_now;
    task.earlierWorkers.clear();
    ++m_placementNumbers[waitingTask];
    m_busyUntil[index(ownerOf(waitingTask))] = startsAt;
}

void gap_model::measure()
{
    m_result.limitViolations += m_placement.isAnyLimitExceeded() ? 1 : 0;
    if (m_now < m_warmUp)
        return;
    m_result.measuredSeconds += TickSeconds;
    std::vector<std::int64_t> unplacedSizes;
    for (const auto job : m_presentJobs) {
        for (const auto number : m_tasksOf[index(job)]) {
            const auto &task = m_placement.task(number);
            const bool isWaiting = !task.isRunning(m_now);
            m_result.taskSeconds += TickSeconds;
            m_result.waitingSeconds += isWaiting ? TickSeconds : 0;
            m_result.standstillSeconds += !isWaiting && task.standsStill(m_now) ? TickSeconds : 0;
            // A task for which processors are reserved waits for moves, so for scattered
            // processors.
            m_result.scatteredSeconds += isWaiting && task.worker >= 0 ? TickSeconds : 0;
            if (task.worker < 0)
                unplacedSizes.push_back(m_placement.sizeOf(number));
        }
    }
    m_result.scatteredSeconds += TickSeconds * countHeldInSum(std::move(unplacedSizes));
}

// How many tasks of these sizes the processors that are free in sum would hold at a time.
int gap_model::countHeldInSum(std::vector<std::int64_t> sizes) const
{
    std::sort(sizes.begin(), sizes.end());
    auto free = m_placement.freeInSum();
    int held = 0;
    for (const auto size : sizes) {
        free -= size;
        held += free >= 0 ? 1 : 0;
    }
    return held;
}

gap_result gap_model::run()
{
    for (int tick = 0; (m_now = tick * TickSeconds) < m_trace.seconds; ++tick) {
        workersLeaveAndReturn();
        jobsEnd();
        jobsArrive();
        placeWaiting();
        moveRuns();
        measure();
    }
    return m_result;
}

} // namespace

std::string_view nameOf(gap_fit fit)
{
    switch (fit) {
    case gap_fit::Scored:
        return "as it is";
    case gap_fit::Tightest:
        return "tightest";
    case gap_fit::TightestByClass:
        return "tightest by class";
    case gap_fit::Repacked:
        return "repacked";
    }
    return "";
}

gap_result runGaps(const gap_trace &trace, const gap_policy &policy, double warmUp)
{
    return gap_model(trace, policy, warmUp).run();
}

} // namespace zinniabarrow::bench
