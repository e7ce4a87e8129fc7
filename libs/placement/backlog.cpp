// The placer's backlogs: batch tasks that are bound to a worker before it has room for them, so
// that they can start there while the table is down.
//
// A task in a backlog counts neither against its worker nor against its team's quota: plan() counts
// it when it fits both, and only then may it start. So a backlog takes room from nobody.
#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MostAtOnce = 64; // tasks placed ahead by one plan
constexpr seconds HoldForTakenBack{5}; // room elsewhere, until its stop is confirmed and written

// Class Proof would be bound to a worker that falls silent, for as long as that is not back.
bool mayWaitAhead(const job_record &job)
{
    return job.spec.kind == task_kind::Batch && job.spec.priority != task_priority::Urgent
           && job.spec.failover == failover_class::Lease;
}

} // namespace

std::size_t placer::backlogOf(const std::string &worker) const
{
    const int slot = m_workers.slotOf(worker);
    return slot == worker_table::NoSlot ? 0 : m_workers.at(slot).aheadTasks;
}

// Tasks of this rank, each on its own worker alone.
void placer::startAhead(plan_run &run, int rank)
{
    const std::vector<task_ref> tasks(m_ahead.begin(), m_ahead.end());
    for (const auto &task : tasks) {
        if (run.isFull())
            return;
        const auto [job, record] = find(task);
        const bool leaves = record->nominated != NoWorker;
        if (job->rank != rank || !record->aheadSettled || leaves
            || !m_quarantine.jobMayStart(task.jobId, run.now))
            continue;
        const int slot = record->ahead;
        const auto demand = demandOf(*job);
        if (!demand.fitsIn(m_workers.room(slot)) || !m_quotas.allows(job->team, demand))
            continue;
        auto request = requestFor(*job, *record, demand, run.now);
        request.only = slot;
        if (m_chooser.choose(request).outcome != choice_outcome::Found)
            continue;
        leaveBacklog(task, *record);
        place(run, *job, task.taskIndex, slot, demand);
    }
}

backlog_plan placer::planBacklog(time_point now, std::size_t perWorker)
{
    backlog_plan plan;
    takeBack(plan, now);
    if (perWorker == 0)
        return plan;
    // A team at its quota comes last: its tasks would keep others out of the backlogs.
    for (const auto reason : {wait_reason::NoRoom, wait_reason::TeamLimit}) {
        for (int rank = 0; rank < Ranks; ++rank) {
            for (auto &[team, jobs] : m_queue.rank(rank)) {
                const auto waiting = jobs; // a job leaves the queue with its last waiting task
                for (const auto &[sequence, job] : waiting) {
                    if (job->wait == reason && mayWaitAhead(*job))
                        placeAhead(plan, *job, perWorker, now);
                }
            }
        }
    }
    return plan;
}

void placer::placeAhead(backlog_plan &plan, job_record &job, std::size_t perWorker, time_point now)
{
    const auto demand = demandOf(job);
    const std::vector<std::int32_t> waiting(job.pending.begin(), job.pending.end());
    for (const auto index : waiting) {
        const bool full = plan.placedAhead.size() >= MostAtOnce;
        const int slot = full ? NoWorker : slotForAhead(job, demand, perWorker);
        if (slot == NoWorker)
            return;
        auto &record = job.tasks.at(index);
        if (record.nominated != NoWorker || now < record.avoidUntil)
            continue;
        const task_ref task{job.spec.jobId, index};
        dequeue(job, index);
        enterBacklog(task, record, slot, now);
        ++m_stats.placedAhead;
        plan.placedAhead.push_back({task, m_workers.at(slot).info.id, demand});
    }
}

void placer::enterBacklog(const task_ref &task, task_record &record, int slot, time_point now)
{
    record.ahead = slot;
    record.aheadSettled = false;
    record.aheadUntil = now + m_settings.aheadPatience;
    ++m_workers.at(slot).aheadTasks;
    m_ahead.insert(task);
}

bool placer::isWithinLimits(const task_ref &task) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || !job->tasks.contains(task.taskIndex))
        return false;
    const auto &record = job->tasks.at(task.taskIndex);
    return record.worker != NoWorker
           && resources{}.fitsIn(m_workers.at(record.worker).book.available())
           && m_quotas.allows(record.team, resources{});
}

void placer::taskWaitsAhead(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = placedOn(task, worker);
    if (!found || found.task->cancelled)
        return;
    const int slot = found.task->worker;
    enterBacklog(task, *found.task, slot, now); // first: the slot must not close
    found.task->aheadSettled = true;
    vacate(task, *found.task, now);
}

// The worker of the job's pool with the shortest backlog.
int placer::slotForAhead(const job_record &job, const resources &demand,
                         std::size_t perWorker) const
{
    int best = NoWorker;
    std::size_t fewest = perWorker;
    for (const int slot : m_workers.pool(job.pool).slots) {
        const auto &worker = m_workers.at(slot);
        const bool possible = !worker.setAside && demand.fitsIn(worker.info.size);
        if (!possible || worker.aheadTasks >= fewest)
            continue;
        fewest = worker.aheadTasks;
        best = slot;
    }
    return best;
}

// Without it, the last tasks of a job would wait behind one worker while others idle.
void placer::takeBack(backlog_plan &plan, time_point now)
{
    const std::vector<task_ref> tasks(m_ahead.begin(), m_ahead.end());
    for (const auto &task : tasks) {
        const auto [job, record] = find(task);
        if (!record->aheadSettled || !hasToLeave(*job, *record, now))
            continue;
        ++m_stats.takenBack;
        plan.takenBack.push_back({task, m_workers.at(record->ahead).info.id, demandOf(*job)});
    }
}

// Its worker takes no more, or another one has room that plan() found nobody for; that is held for
// the task, so that the same room does not call for several.
bool placer::hasToLeave(const job_record &job, task_record &record, time_point now)
{
    if (record.nominated != NoWorker && now < record.nominatedUntil)
        return false; // on its way
    dropHold(record);
    const auto &worker = m_workers.at(record.ahead);
    const bool takes = worker.inService && !worker.setAside;
    if (takes && now < record.aheadUntil)
        return false;
    auto request = requestFor(job, record, demandOf(job), now);
    request.avoid = record.ahead;
    const auto choice = m_chooser.choose(request);
    const bool found =
            choice.outcome == choice_outcome::Found && m_quotas.allows(job.team, request.demand);
    if (!found && takes)
        return false;
    record.nominated = found ? choice.slot : record.ahead;
    record.heldRoom = found ? request.demand : resources{};
    record.nomination = ++m_nominations;
    record.nominatedUntil = now + HoldForTakenBack;
    m_workers.at(record.nominated).held += record.heldRoom;
    m_workers.roomChanged(record.nominated);
    return true;
}

placer::found_task placer::aheadOn(const task_ref &task, const std::string &worker)
{
    const auto found = find(task);
    const bool there = found && found.task->ahead != NoWorker
                       && m_workers.at(found.task->ahead).info.id == worker;
    return there ? found : found_task();
}

void placer::leaveBacklog(const task_ref &task, task_record &record)
{
    if (record.ahead == NoWorker)
        return;
    const int slot = std::exchange(record.ahead, NoWorker);
    record.aheadSettled = false;
    --m_workers.at(slot).aheadTasks;
    m_ahead.erase(task);
    m_workers.closeIfUnused(slot);
}

bool placer::releaseAhead(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = aheadOn(task, worker);
    if (!found)
        return false;
    leaveBacklog(task, *found.task);
    // Room that is held for it elsewhere is found again by the next plan.
    if (found.task->nominated != NoWorker)
        m_holds.insert(task);
    enqueue(*found.job, task.taskIndex, now);
    return true;
}

} // namespace zinniabarrow::placement
