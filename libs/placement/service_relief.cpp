// Relief of disturbed services: throttles and evicts batch tasks, and lifts throttling again.
#include <algorithm>
#include <limits>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

// Ranks before every batch task: evictions for a service may choose any batch task.
constexpr int RankBeforeBatch = 0;

double processorsOf(std::int64_t millicores)
{
    return static_cast<double>(millicores) / 1000;
}

// Returns the most disturbed service among those with enough samples since the last action; null if
// none.
const service_latency *mostDisturbed(const worker_record &worker,
                                     const latency_signal_settings &settings)
{
    const service_latency *mostDisturbedService = nullptr;
    for (const auto &service : worker.services) {
        if (!service.signal.isRaised() || !service.signal.isFull(settings))
            continue;
        if (!mostDisturbedService || service.signal.mean() > mostDisturbedService->signal.mean())
            mostDisturbedService = &service;
    }
    return mostDisturbedService;
}

} // namespace

void scheduler::relieveServices(planning_pass &pass)
{
    const std::vector<int> slots(m_disturbedSlots.begin(), m_disturbedSlots.end());
    for (const int slot : slots) {
        if (pass.isFull())
            return;
        const auto &worker = m_workers.at(slot);
        const bool anyRaised = std::any_of(worker.services.begin(), worker.services.end(),
                                           [](const auto &each) { return each.signal.isRaised(); });
        if (!anyRaised && worker.throttledTasks == 0) {
            m_disturbedSlots.erase(slot);
            continue;
        }
        // Samples from before the last action would trigger the next one, and all batch tasks would
        // be throttled or evicted before the effect of the first action shows.
        if (pass.now < worker.reliefPausedUntil)
            continue;
        if (const auto *mostDisturbedService = mostDisturbed(worker, m_settings.signal))
            relieveService(pass, slot, *mostDisturbedService);
        else if (!anyRaised)
            liftThrottle(pass, slot);
    }
}

std::vector<relief_candidate> scheduler::reliefCandidatesOn(int slot, class_number service,
                                                            std::vector<task_ref> &tasks) const
{
    const auto &worker = m_workers.at(slot);
    const auto &taskReservations = worker.ledger.reservations();
    const double processors = std::max(processorsOf(worker.info.size.millicores), 1.0);
    for (const auto &[task, reservation] : taskReservations) {
        const auto *job = m_tasks.findJob(task.jobId);
        const bool isBatch =
                job->spec.kind == task_kind::Batch && job->spec.priority != task_priority::Urgent;
        if (isBatch && reservation.state == reservation_state::Running)
            tasks.push_back(task);
    }
    std::sort(tasks.begin(), tasks.end());
    std::vector<relief_candidate> candidates;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto &record = m_tasks.findJob(tasks[index].jobId)->tasks.at(tasks[index].taskIndex);
        const auto &reservation = taskReservations.at(tasks[index]);
        candidates.push_back(
                {index, m_interference.effect(service, record.jobClass).mean / processors,
                 processorsOf(record.limitMillicores),
                 processorsOf(record.sentReservation.millicores),
                 m_preemptionPlanner.canEvict(tasks[index], reservation, RankBeforeBatch)});
    }
    return candidates;
}

void scheduler::relieveService(planning_pass &pass, int slot, const service_latency &service)
{
    std::vector<task_ref> tasks;
    const auto candidates = reliefCandidatesOn(slot, service.jobClass, tasks);
    const double size = processorsOf(m_workers.at(slot).info.size.millicores);
    const auto step = chooseRelief(service.signal.mean(), size, candidates, m_settings.weights,
                                   m_settings.relief);
    if (!step)
        return;
    if (const auto *limit = std::get_if<throttle_relief>(&*step)) {
        throttle(pass, slot, tasks[limit->index], limit->limitProcessors);
        return;
    }
    // The budget keeps a wave of interfering tasks from causing a wave of evictions.
    if (!m_evictionBudget.canTake()) {
        ++m_stats.evictionsOverBudget;
        return;
    }
    m_evictionBudget.take();
    const auto &victim = tasks[std::get<evict_relief>(*step).index];
    preempt(pass, slot, victim, preempt_reason::Interference, service.task,
            pass.now + m_settings.checkpointTime);
    startReliefCoolDown(slot, pass.now);
}

void scheduler::liftThrottle(planning_pass &pass, int slot)
{
    const auto &worker = m_workers.at(slot);
    double headroom = std::numeric_limits<double>::max();
    class_number nearestService = 0; // the service with the least headroom
    for (const auto &service : worker.services) {
        if (!service.signal.isFull(m_settings.signal)
            || pass.now - worker.signalRaisedAt < m_settings.relief.liftThrottleAfter)
            return;
        if (-service.signal.mean() < headroom) {
            headroom = -service.signal.mean();
            nearestService = service.jobClass;
        }
    }
    std::vector<task_ref> tasks;
    const auto candidates = reliefCandidatesOn(slot, nearestService, tasks);
    const auto step = chooseThrottleLift(headroom, candidates, m_settings.relief);
    if (step)
        throttle(pass, slot, tasks[step->index], step->limitProcessors);
}

void scheduler::throttle(planning_pass &pass, int slot, const task_ref &task, double processors)
{
    auto &worker = m_workers.at(slot);
    auto &record = *findTask(task).task;
    const auto reservedMillicores = record.sentReservation.millicores;
    const auto limit = std::min(reservedMillicores, static_cast<std::int64_t>(processors * 1000));
    worker.throttledTasks += (limit < reservedMillicores ? 1 : 0)
                             - (record.limitMillicores < reservedMillicores ? 1 : 0);
    recordNeighbourChange(slot, record.jobClass, limit - record.limitMillicores, pass.now);
    record.limitMillicores = limit;
    pass.actions.emplace_back(throttle_action{task, worker.info.id, limit});
    ++m_stats.throttled;
    startReliefCoolDown(slot, pass.now);
}

void scheduler::startReliefCoolDown(int slot, time_point now)
{
    auto &worker = m_workers.at(slot);
    worker.lastReliefAt = now;
    worker.reliefPausedUntil = now + m_settings.relief.coolDown;
    for (auto &service : worker.services)
        service.signal.clearSamples();
}

} // namespace zinniabarrow::placement
