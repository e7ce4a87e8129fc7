#include "placement/scheduler.h"

#include "base/names.h"

namespace zinniabarrow::placement {

namespace {

constexpr name_table<preempt_reason, 3> PreemptNames{{
        {preempt_reason::UrgentTask, "urgent_task"},
        {preempt_reason::MemoryPressure, "memory_pressure"},
        {preempt_reason::Interference, "interference"},
}};

} // namespace

std::string_view nameOf(preempt_reason reason)
{
    return nameOf(PreemptNames, reason);
}

placer::placer(placer_settings settings)
    : m_settings(settings)
{ }

void placer::setPool(const pool_info &, time_point) { }

void placer::setTeam(const team_quota &) { }

void placer::addWorker(const worker_info &worker, time_point)
{
    auto &slot = m_workers[worker.id];
    slot.info = worker;
    slot.book.resize(worker.size);
    slot.removed = false;
}

void placer::resizeWorker(const std::string &worker, const resources &size, time_point)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.book.resize(size);
}

void placer::removeWorker(const std::string &worker, time_point)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.removed = true;
    if (found->second.book.entries().empty())
        m_workers.erase(found);
}

void placer::taskPending(const task_spec &task, time_point)
{
    if (m_tasks.try_emplace(task.ref(), task_record{task, "", false}).second)
        m_pending.insert(task.ref());
}

void placer::taskPlaced(const task_spec &task, const std::string &worker, const resources &reserved,
                        entry_state state, time_point)
{
    m_pending.erase(task.ref());
    m_tasks[task.ref()] = {task, worker, false};
    m_workers[worker].book.adopt(task.ref(), reserved, state);
}

placer::task_record *placer::placedOn(const task_ref &task, const std::string &worker)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end() && found->second.worker == worker)
        return &found->second;
    ++m_stats.staleEvents;
    return nullptr;
}

void placer::free(const task_ref &task, task_record &record)
{
    auto &slot = m_workers.at(record.worker);
    slot.book.release(task);
    if (slot.removed && slot.book.entries().empty())
        m_workers.erase(record.worker);
    record.worker.clear();
}

void placer::requeue(const task_ref &task, const std::string &worker)
{
    auto *record = placedOn(task, worker);
    if (!record)
        return;
    free(task, *record);
    if (record->cancelled)
        m_tasks.erase(task);
    else
        m_pending.insert(task);
}

void placer::taskSettled(const task_ref &task, const std::string &worker, placement_outcome outcome,
                         time_point)
{
    if (outcome == placement_outcome::NotApplied) {
        requeue(task, worker);
        return;
    }
    if (placedOn(task, worker)) {
        const bool unknown = outcome == placement_outcome::Unknown;
        m_workers.at(worker).book.setState(task,
                                           unknown ? entry_state::Ambiguous : entry_state::Placed);
    }
}

void placer::taskRunning(const task_ref &task, const std::string &worker, time_point)
{
    if (placedOn(task, worker))
        m_workers.at(worker).book.setState(task, entry_state::Running);
}

void placer::taskStopping(const task_ref &task, const std::string &worker, time_point)
{
    if (placedOn(task, worker))
        m_workers.at(worker).book.setState(task, entry_state::Stopping);
}

void placer::taskReleased(const task_ref &task, const std::string &worker, time_point)
{
    requeue(task, worker);
}

void placer::taskEnded(const task_ref &task, const std::string &worker, time_point)
{
    auto *record = placedOn(task, worker);
    if (!record)
        return;
    free(task, *record);
    m_tasks.erase(task);
}

void placer::taskFailed(const task_ref &task, const std::string &worker, const std::string &,
                        time_point)
{
    requeue(task, worker);
}

std::vector<task_ref> placer::cancelTasks(std::span<const task_ref> tasks, time_point)
{
    std::vector<task_ref> toStop;
    for (const auto &task : tasks) {
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end())
            continue;
        if (m_pending.erase(task) > 0) {
            m_tasks.erase(found);
            continue;
        }
        found->second.cancelled = true;
        toStop.push_back(task);
    }
    return toStop;
}

std::vector<task_ref> placer::cancelJob(const std::string &jobId, time_point now)
{
    std::vector<task_ref> tasks;
    for (const auto &[task, record] : m_tasks) {
        if (task.jobId == jobId)
            tasks.push_back(task);
    }
    return cancelTasks(tasks, now);
}

void placer::usageSampled(const usage_sample &, time_point) { }

void placer::latencySampled(const latency_sample &, time_point) { }

std::vector<placement_action> placer::plan(time_point, int maxDecisions)
{
    std::vector<placement_action> actions;
    for (auto next = m_pending.begin(); next != m_pending.end();) {
        if (static_cast<int>(actions.size()) >= maxDecisions)
            break;
        auto &record = m_tasks.at(*next);
        for (auto &[id, slot] : m_workers) {
            if (slot.removed || slot.info.pool != record.spec.pool
                || !slot.book.tryReserve(*next, record.spec.declared))
                continue;
            record.worker = id;
            actions.emplace_back(place_action{*next, id, record.spec.declared});
            ++m_stats.placed;
            break;
        }
        next = record.worker.empty() ? std::next(next) : m_pending.erase(next);
    }
    return actions;
}

std::string placer::explain(const task_ref &task, time_point) const
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return toText(task) + " is not known here";
    if (found->second.worker.empty())
        return toText(task) + " waits for room in pool " + found->second.spec.pool;
    return toText(task) + " is placed on " + found->second.worker;
}

const ledger *placer::ledgerOf(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second.book;
}

} // namespace zinniabarrow::placement
