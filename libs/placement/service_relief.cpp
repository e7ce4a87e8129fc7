// The placer's slow loop for disturbed services: throttle, evict, and give back.
#include <algorithm>
#include <limits>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

constexpr int BeforeBatch = 0; // the rank that every batch task comes after

double processorsOf(std::int64_t millicores)
{
    return static_cast<double>(millicores) / 1000;
}

// The service that is disturbed most, among those with enough samples since the last action.
const service_watch *worstOn(const worker_slot &worker, const load_signal_settings &settings)
{
    const service_watch *worst = nullptr;
    for (const auto &service : worker.services) {
        if (!service.signal.isRaised() || !service.signal.isFull(settings))
            continue;
        if (!worst || service.signal.mean() > worst->signal.mean())
            worst = &service;
    }
    return worst;
}

} // namespace

void placer::relieveServices(plan_run &run)
{
    const std::vector<int> slots(m_disturbed.begin(), m_disturbed.end());
    for (const int slot : slots) {
        if (run.isFull())
            return;
        const auto &worker = m_workers.at(slot);
        const bool raised = std::any_of(worker.services.begin(), worker.services.end(),
                                        [](const auto &each) { return each.signal.isRaised(); });
        if (!raised && worker.throttledTasks == 0) {
            m_disturbed.erase(slot);
            continue;
        }
        // Cool-down: samples that still show the time before the last action would call for the
        // next one, and the worker would be emptied before the first has shown its effect.
        if (run.now < worker.quietUntil)
            continue;
        if (const auto *worst = worstOn(worker, m_settings.signal))
            relieve(run, slot, *worst);
        else if (!raised)
            recover(run, slot);
    }
}

std::vector<relief_candidate> placer::candidatesOn(int slot, class_number service,
                                                   std::vector<task_ref> &tasks) const
{
    const auto &worker = m_workers.at(slot);
    const auto &entries = worker.book.entries();
    const double processors = std::max(processorsOf(worker.info.size.millicores), 1.0);
    for (const auto &[task, entry] : entries) {
        const auto *job = m_tasks.findJob(task.jobId);
        const bool batch =
                job->spec.kind == task_kind::Batch && job->spec.priority != task_priority::Urgent;
        if (batch && entry.state == entry_state::Running)
            tasks.push_back(task);
    }
    std::sort(tasks.begin(), tasks.end());
    std::vector<relief_candidate> candidates;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto &record = m_tasks.findJob(tasks[index].jobId)->tasks.at(tasks[index].taskIndex);
        const auto &entry = entries.at(tasks[index]);
        candidates.push_back(
                {index, m_interference.effect(service, record.jobClass).mean / processors,
                 processorsOf(record.limitMillicores), processorsOf(record.told.millicores),
                 m_roomMaker.mayEvict(tasks[index], entry, BeforeBatch)});
    }
    return candidates;
}

void placer::relieve(plan_run &run, int slot, const service_watch &service)
{
    std::vector<task_ref> tasks;
    const auto candidates = candidatesOn(slot, service.jobClass, tasks);
    const double size = processorsOf(m_workers.at(slot).info.size.millicores);
    const auto step = chooseRelief(service.signal.mean(), size, candidates, m_settings.weights,
                                   m_settings.relief);
    if (!step)
        return;
    if (const auto *limit = std::get_if<throttle_relief>(&*step)) {
        throttle(run, slot, tasks[limit->index], limit->limit);
        return;
    }
    // The budget keeps a wave of noisy tasks from becoming a wave of evictions.
    if (!m_evictions.mayTake()) {
        ++m_stats.budgetSpent;
        return;
    }
    m_evictions.take();
    const auto &victim = tasks[std::get<evict_relief>(*step).index];
    preempt(run, slot, victim, preempt_reason::Interference, service.task,
            run.now + m_settings.checkpointFor);
    acted(slot, run.now);
}

void placer::recover(plan_run &run, int slot)
{
    const auto &worker = m_workers.at(slot);
    double room = std::numeric_limits<double>::max();
    class_number nearest = 0;
    for (const auto &service : worker.services) {
        if (!service.signal.isFull(m_settings.signal)
            || run.now - worker.raisedAt < m_settings.relief.recoverAfter)
            return;
        if (-service.signal.mean() < room) {
            room = -service.signal.mean();
            nearest = service.jobClass;
        }
    }
    std::vector<task_ref> tasks;
    const auto candidates = candidatesOn(slot, nearest, tasks);
    const auto step = chooseRecovery(room, candidates, m_settings.relief);
    if (step)
        throttle(run, slot, tasks[step->index], step->limit);
}

void placer::throttle(plan_run &run, int slot, const task_ref &task, double processors)
{
    auto &worker = m_workers.at(slot);
    auto &record = *find(task).task;
    const auto full = record.told.millicores;
    const auto limit = std::min(full, static_cast<std::int64_t>(processors * 1000));
    worker.throttledTasks += (limit < full ? 1 : 0) - (record.limitMillicores < full ? 1 : 0);
    neighbourChanged(slot, record.jobClass, limit - record.limitMillicores, run.now);
    record.limitMillicores = limit;
    run.actions.emplace_back(throttle_action{task, worker.info.id, limit});
    ++m_stats.throttled;
    acted(slot, run.now);
}

void placer::acted(int slot, time_point now)
{
    auto &worker = m_workers.at(slot);
    worker.actedAt = now;
    worker.quietUntil = now + m_settings.relief.coolDown;
    for (auto &service : worker.services)
        service.signal.restart();
}

} // namespace zinniabarrow::placement
