// Grants to agents, and workers that are silent for longer than their grants last.

#include "work/task_coordinator.h"

#include <algorithm>

namespace zinniabarrow::work {

// --- Grants --------------------------------------------------------------------------------------

void task_coordinator::sendPendingGrants(time_point now)
{
    for (const auto &name : m_workersToGrant) {
        const auto worker = m_workers.find(name);
        if (worker != m_workers.end() && !worker->second.session.empty())
            sendGrantTo(name, worker->second, now);
    }
}

void task_coordinator::sendGrantTo(const std::string &name, worker_state &worker, time_point now)
{
    if (m_store.isDeclaredSilent(name))
        return;
    worker_grant grant;
    grant.shard = m_tenure.shard;
    grant.epoch = m_tenure.epoch;
    grant.worker = name;
    grant.incarnation = worker.incarnation;
    grant.session = worker.session;
    grant.replyTo = worker.sequence;
    grant.ackedEvent = worker.ackedEvent;
    grant.mayStartBacklog = m_settings.startsBacklogWhenDown && m_store.isDown(now);
    // After the grant deadline no lease is given: a successor may rely on that.
    if (now < m_grantDeadline)
        grant.lease = m_settings.leases.grantLease;
    else
        count(coordinator_counter::GrantDeadlinePassed);
    grant.stops.assign(worker.staleAttempts.begin(), worker.staleAttempts.end());
    grant.cpuLimits.emplace();
    for (const auto &task : tasksOn(name))
        addTaskToGrant(grant, worker, task);
    grant.newestReservation = m_lastReservationNumber;
    m_actions.emplace_back(send_grant{std::move(grant)});
}

// Only committed placements are granted, and none that is about to change.
void task_coordinator::addTaskToGrant(worker_grant &grant, const worker_state &worker,
                                      const task_id &task) const
{
    const task_record record = m_store.committedRecord(task);
    const task_record latest = m_store.newestRecord(task);
    if (!occupiesWorker(record) || record.worker != grant.worker
        || record.incarnation != worker.incarnation)
        return;
    const task_attempt attempt{task, record.attempt};
    const volatile_state *volatileState = findVolatileState(task, record.attempt);
    addReservationToGrant(grant, worker, attempt, volatileState);
    if (volatileState != nullptr && volatileState->cpuLimit > 0)
        grant.cpuLimits->push_back({attempt, volatileState->cpuLimit});
    if (record.state == task_state::Cancelling) {
        grant.stops.push_back(attempt);
        return;
    }
    const bool isStaying = latest.state == task_state::Placed && latest.attempt == record.attempt;
    const stored_job *job = m_store.job(task.job);
    if (!isStaying || job == nullptr)
        return;
    if (volatileState != nullptr && volatileState->isEvicting)
        grant.evictions.push_back(attempt);
    if (volatileState != nullptr && volatileState->startedBySession == worker.session)
        return;
    const granted_task granted{task, record.attempt, job->spec.failover, record.checkpoint,
                               newerCheckpointNames(task, record)};
    const bool staysInBacklog =
            record.isBacklogged && (volatileState == nullptr || !volatileState->isStartAllowed);
    if (staysInBacklog && volatileState != nullptr && volatileState->isEvicting)
        return; // withdrawn before it could start
    (staysInBacklog ? grant.backlog : grant.tasks).push_back(granted);
    grant.specs[task.job] = job->spec.taskSpec;
}

// A raise is repeated until the agent acknowledges it, and for each agent session again, as a
// replaced agent starts from the declared sizes.
void task_coordinator::addReservationToGrant(worker_grant &grant, const worker_state &worker,
                                             const task_attempt &attempt,
                                             const volatile_state *volatileState)
{
    if (volatileState == nullptr || volatileState->reservationNumber == 0)
        return;
    const bool isStarting = volatileState->startedBySession != worker.session;
    if (isStarting || volatileState->reservationNumber > worker.ackedReservation)
        grant.reservations.push_back({attempt, volatileState->reservedSize});
}

// A worker that was lost after it wrote a checkpoint, but before the checkpoint was reported,
// leaves the object behind. Resuming from an older checkpoint would repeat that work.
std::vector<std::string> task_coordinator::newerCheckpointNames(const task_id &task,
                                                                const task_record &record)
{
    constexpr std::uint32_t MaxNames = 8;
    std::vector<std::string> names;
    for (std::uint32_t attempt = record.attempt - 1; attempt > 0 && names.size() < MaxNames;
         --attempt) {
        const std::string name = checkpointName({task, attempt});
        if (name == record.checkpoint)
            break;
        names.push_back(name);
    }
    return names;
}

// --- Silent workers ------------------------------------------------------------------------------

void task_coordinator::on(const coordinator_tick &, time_point now)
{
    m_store.tick(now);
    if (!isReady())
        return;
    // After a pause of this process, reports are still waiting in its queue, so the workers are not
    // silent. Each gets the length of a lease to report.
    constexpr milliseconds MaxTickGap{2'000};
    if (now - m_lastTickAt > MaxTickGap) {
        const auto leaseWait = leaseExpiryWait(m_settings.leases.grantLease, m_settings.leases);
        for (auto &[name, worker] : m_workers)
            worker.leaseUntil = std::max(worker.leaseUntil, now + leaseWait);
    }
    m_lastTickAt = now;
    checkWorkerLeases(now);
    removeGoneWorkers(now);
}

// Removes workers without tasks that have not reported for a long time, such as instances that were
// replaced under another name.
void task_coordinator::removeGoneWorkers(time_point now)
{
    std::erase_if(m_workers, [&](const auto &item) {
        const bool isGone = now - item.second.lastReportAt > m_settings.leases.grantPeriod
                            && now > item.second.leaseUntil;
        return isGone && tasksOn(item.first).empty();
    });
}

void task_coordinator::checkWorkerLeases(time_point now)
{
    for (auto &[name, worker] : m_workers) {
        worker.isLeaseLapsed = now >= latestLeaseEnd(name, worker);
        if (worker.isLeaseLapsed)
            declareSilent(name, now);
    }
}

// No lease of the worker or of its tasks ends later than this (docs/design/OWNERSHIP.md). A worker
// that has recorded this epoch accepts no lease of an earlier owner. One that the earlier owner had
// declared silent held no lease. One that was unresponsive when the earlier owner handed the shard
// over holds none beyond the time given then, whoever granted it.
time_point task_coordinator::latestLeaseEnd(const std::string &name,
                                            const worker_state &worker) const
{
    const bool attached = worker.isAttached && m_settings.workersPersistEpoch;
    if (attached || m_store.isCommittedSilent(name))
        return worker.leaseUntil;
    const auto handedOver = m_tenure.unresponsive.find(name);
    const bool isHandedOver = handedOver != m_tenure.unresponsive.end();
    return std::max(worker.leaseUntil,
                    isHandedOver ? handedOver->second : m_tenure.earlierLeasesEndAt);
}

// Requeues the worker's tasks of class Lease, which may now start elsewhere. Tasks of class Proof
// stay until the worker or a newer incarnation of it reports that the old attempt has ended.
void task_coordinator::declareSilent(const std::string &name, time_point now)
{
    bool hasMovedTask = false;
    for (const auto &task : tasksOn(name)) {
        const task_record record = m_store.newestRecord(task);
        const stored_job *job = m_store.job(task.job);
        if (!occupiesWorker(record) || record.worker != name || job == nullptr)
            continue;
        if (job->spec.failover == failover_class::Proof)
            continue;
        count(coordinator_counter::FailedOver);
        stageRecord(task, recordAfterRelease(record), now);
        hasMovedTask = true;
    }
    if (!hasMovedTask)
        return;
    count(coordinator_counter::WorkerSilent);
    m_store.stageSilent(name, true, now);
}

} // namespace zinniabarrow::work
