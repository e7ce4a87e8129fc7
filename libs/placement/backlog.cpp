// Backlogs: batch tasks that are assigned to a worker before it has free capacity, so that they can
// start there while the table is unavailable.
//
// A task in a backlog counts neither against its worker nor against its team's quota. plan()
// reserves its resources when both allow it, and only then may the task start. A backlog therefore
// never takes capacity from other tasks.
#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MaxAssignedPerPlan = 64; // tasks that one planBacklog() call may assign
// How long capacity on the new worker is held while the withdrawal is confirmed and stored.
constexpr seconds WithdrawalHoldTime{5};

// Tasks with failover_class::Proof are excluded: if the worker stopped responding, such a task
// would wait for this worker until it returned.
bool canJoinBacklog(const job_record &job)
{
    return job.spec.kind == task_kind::Batch && job.spec.priority != task_priority::Urgent
           && job.spec.failover == failover_class::Lease;
}

} // namespace

std::size_t scheduler::backlogLengthOf(const std::string &worker) const
{
    const int slot = m_workers.slotOf(worker);
    return slot == worker_table::NoSlot ? 0 : m_workers.at(slot).backlogLength;
}

// Starts tasks of this rank from the backlogs, each on its assigned worker only.
void scheduler::startFromBacklogs(planning_pass &pass, int rank)
{
    const std::vector<task_ref> tasks(m_backlogTasks.begin(), m_backlogTasks.end());
    for (const auto &task : tasks) {
        if (pass.isFull())
            return;
        const auto [job, record] = findTask(task);
        const bool isBeingWithdrawn = record->holdSlot != NoWorker;
        if (job->rank != rank || !record->isBacklogStored || isBeingWithdrawn
            || !m_quarantine.canStartJob(task.jobId, pass.now))
            continue;
        const int slot = record->backlogSlot;
        const auto demand = demandOf(*job);
        if (!demand.fitsIn(m_workers.freeCapacity(slot)) || !m_quotas.canReserve(job->team, demand))
            continue;
        auto request = requestFor(*job, *record, demand, pass.now);
        request.requiredSlot = slot;
        if (m_chooser.choose(request).outcome != choice_outcome::Found)
            continue;
        removeFromBacklog(task, *record);
        place(pass, *job, task.taskIndex, slot, demand);
    }
}

backlog_plan scheduler::planBacklog(time_point now, std::size_t perWorker)
{
    backlog_plan plan;
    withdrawFromBacklogs(plan, now);
    if (perWorker == 0)
        return plan;
    // Jobs that wait for capacity come before those of teams at their quota, which would otherwise
    // fill the backlogs and exclude tasks that could run.
    for (const auto reason : {wait_reason::NoCapacity, wait_reason::TeamAtQuota}) {
        for (int rank = 0; rank < RankCount; ++rank) {
            for (auto &[team, jobs] : m_queue.teamsAtRank(rank)) {
                // A copy, because a job leaves the queue with its last pending task.
                const auto pendingCopy = jobs;
                for (const auto &[sequence, job] : pendingCopy) {
                    if (job->waitReason == reason && canJoinBacklog(*job))
                        assignToBacklog(plan, *job, perWorker, now);
                }
            }
        }
    }
    return plan;
}

void scheduler::assignToBacklog(backlog_plan &plan, job_record &job, std::size_t perWorker,
                                time_point now)
{
    const auto demand = demandOf(job);
    const std::vector<std::int32_t> pendingCopy(job.pending.begin(), job.pending.end());
    for (const auto index : pendingCopy) {
        const bool isPlanFull = plan.assigned.size() >= MaxAssignedPerPlan;
        const int slot = isPlanFull ? NoWorker : chooseBacklogSlot(job, demand, perWorker);
        if (slot == NoWorker)
            return;
        auto &record = job.tasks.at(index);
        if (record.holdSlot != NoWorker || now < record.avoidUntil)
            continue;
        const task_ref task{job.spec.jobId, index};
        dequeue(job, index);
        addToBacklog(task, record, slot, now);
        ++m_stats.backlogAssigned;
        plan.assigned.push_back({task, m_workers.at(slot).info.id, demand});
    }
}

void scheduler::addToBacklog(const task_ref &task, task_record &record, int slot, time_point now)
{
    record.backlogSlot = slot;
    record.isBacklogStored = false;
    record.withdrawableFrom = now + m_settings.minBacklogTime;
    ++m_workers.at(slot).backlogLength;
    m_backlogTasks.insert(task);
}

bool scheduler::isWithinLimits(const task_ref &task) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || !job->tasks.contains(task.taskIndex))
        return false;
    const auto &record = job->tasks.at(task.taskIndex);
    return record.workerSlot != NoWorker
           && resources{}.fitsIn(m_workers.at(record.workerSlot).ledger.available())
           && m_quotas.canReserve(record.team, resources{});
}

void scheduler::taskInBacklog(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = findOnWorker(task, worker);
    if (!found || found.task->cancelled)
        return;
    const int slot = found.task->workerSlot;
    // Added to the backlog first: removeFromWorker() would otherwise free the slot.
    addToBacklog(task, *found.task, slot, now);
    found.task->isBacklogStored = true;
    removeFromWorker(task, *found.task, now);
}

// Returns the slot of the worker in the job's pool with the shortest backlog.
int scheduler::chooseBacklogSlot(const job_record &job, const resources &demand,
                                 std::size_t perWorker) const
{
    int bestSlot = NoWorker;
    std::size_t shortestLength = perWorker;
    for (const int slot : m_workers.pool(job.pool).slots) {
        const auto &worker = m_workers.at(slot);
        const bool canTake = !worker.isQuarantined && demand.fitsIn(worker.info.size);
        if (!canTake || worker.backlogLength >= shortestLength)
            continue;
        shortestLength = worker.backlogLength;
        bestSlot = slot;
    }
    return bestSlot;
}

// Withdraws tasks from backlogs. Otherwise the last tasks of a job would wait for one busy worker
// while others are idle.
void scheduler::withdrawFromBacklogs(backlog_plan &plan, time_point now)
{
    const std::vector<task_ref> tasks(m_backlogTasks.begin(), m_backlogTasks.end());
    for (const auto &task : tasks) {
        const auto [job, record] = findTask(task);
        if (!record->isBacklogStored || !shouldWithdraw(*job, *record, now))
            continue;
        ++m_stats.backlogWithdrawn;
        plan.withdrawn.push_back({task, m_workers.at(record->backlogSlot).info.id, demandOf(*job)});
    }
}

// Returns true if the assigned worker no longer accepts tasks, or if another worker has free
// capacity that plan() did not use. That capacity is then held for this task, so that several tasks
// are not withdrawn for the same capacity.
bool scheduler::shouldWithdraw(const job_record &job, task_record &record, time_point now)
{
    if (record.holdSlot != NoWorker && now < record.holdUntil)
        return false; // the withdrawal is in progress
    releaseHold(record);
    const auto &worker = m_workers.at(record.backlogSlot);
    const bool acceptsTasks = worker.inService && !worker.isQuarantined;
    if (acceptsTasks && now < record.withdrawableFrom)
        return false;
    auto request = requestFor(job, record, demandOf(job), now);
    request.excludedSlot = record.backlogSlot;
    const auto choice = m_chooser.choose(request);
    const bool found = choice.outcome == choice_outcome::Found
                       && m_quotas.canReserve(job.team, request.demand);
    if (!found && acceptsTasks)
        return false;
    record.holdSlot = found ? choice.slot : record.backlogSlot;
    record.holdAmount = found ? request.demand : resources{};
    record.holdNumber = ++m_lastHoldNumber;
    record.holdUntil = now + WithdrawalHoldTime;
    m_workers.at(record.holdSlot).heldCapacity += record.holdAmount;
    m_workers.updateFreeCapacity(record.holdSlot);
    return true;
}

scheduler::found_task scheduler::findInBacklog(const task_ref &task, const std::string &worker)
{
    const auto found = findTask(task);
    const bool isOnWorker = found && found.task->backlogSlot != NoWorker
                            && m_workers.at(found.task->backlogSlot).info.id == worker;
    return isOnWorker ? found : found_task();
}

void scheduler::removeFromBacklog(const task_ref &task, task_record &record)
{
    if (record.backlogSlot == NoWorker)
        return;
    const int slot = std::exchange(record.backlogSlot, NoWorker);
    record.isBacklogStored = false;
    --m_workers.at(slot).backlogLength;
    m_backlogTasks.erase(task);
    m_workers.removeIfUnused(slot);
}

bool scheduler::releaseFromBacklog(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = findInBacklog(task, worker);
    if (!found)
        return false;
    removeFromBacklog(task, *found.task);
    // If capacity is held for the task on another worker, the next plan() places it there.
    if (found.task->holdSlot != NoWorker)
        m_tasksWithHold.insert(task);
    enqueue(*found.job, task.taskIndex, now);
    return true;
}

} // namespace zinniabarrow::placement
