// Sections: Configuration and workers | Records | Tasks | Measurements | Status

#include "placement/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/names.h"

namespace zinniabarrow::placement {

namespace {

constexpr name_table<preempt_reason, 3> PreemptNames{{
        {preempt_reason::UrgentTask, "urgent_task"},
        {preempt_reason::MemoryPressure, "memory_pressure"},
        {preempt_reason::Interference, "interference"},
}};

// Number shared by all job classes beyond the first 4095: their tasks are placed as usual, but what
// is learned is not kept apart.
constexpr class_number MaxClasses = 4095;

scheduler_settings withDerivedQuantile(scheduler_settings settings)
{
    if (settings.quantileFromWeights)
        settings.sizes.memoryQuantile = memoryQuantileFor(settings.weights);
    return settings;
}

// Subtracts the task's own amount: a task is not its own neighbour, but other tasks of its class
// are.
std::vector<class_millicores> withoutOwn(std::vector<class_millicores> amounts,
                                         const class_millicores &ownAmount)
{
    for (auto &amount : amounts) {
        if (amount.jobClass == ownAmount.jobClass)
            amount.millicores = std::max<std::int64_t>(0, amount.millicores - ownAmount.millicores);
    }
    return amounts;
}

} // namespace

std::string_view nameOf(preempt_reason reason)
{
    return nameOf(PreemptNames, reason);
}

scheduler::scheduler(const scheduler_settings &settings)
    : m_settings(withDerivedQuantile(settings))
    , m_sizeLearner(m_settings.sizes)
    , m_quarantine(m_settings.quarantine)
    , m_interference(m_settings.interference)
    , m_chooser(m_settings, m_workers, m_interference)
    , m_preemptionPlanner(m_workers, m_tasks, m_chooser)
    , m_evictionBudget(m_settings.relief.evictionBurst)
{ }

// --- Configuration and workers -------------------------------------------------------------------

void scheduler::setPool(const pool_info &pool, time_point)
{
    auto &state = m_workers.pool(m_workers.poolNumber(pool.name));
    state.largestWorker = pool.largestWorkerSize;
    state.configured = true;
    for (const int slot : state.slots)
        state.largestWorker = maxOfEach(state.largestWorker, m_workers.at(slot).info.size);
    ++state.capacityRevision;
}

void scheduler::setTeam(const team_quota &quota)
{
    m_quotas.setQuota(quota);
}

void scheduler::setLocalTeamLimit(const std::string &team, const resources &localLimit)
{
    m_quotas.setLocalLimit(m_quotas.teamNumber(team), localLimit);
}

team_usage scheduler::usageOf(const std::string &team)
{
    const auto number = m_quotas.teamNumber(team);
    team_usage teamUsage;
    teamUsage.reservedSum = m_quotas.reservedBy(number);
    const auto add = [&](const job_record &job, std::size_t tasks) {
        const auto demand = demandOf(job);
        const auto count = static_cast<std::int64_t>(tasks);
        teamUsage.pendingSum +=
                {demand.millicores * count, demand.bytes * count, demand.accelerators * count};
        teamUsage.largestPending = maxOfEach(teamUsage.largestPending, demand);
    };
    for (int rank = 0; rank < RankCount; ++rank) {
        const auto &teams = m_queue.teamsAtRank(rank);
        const auto jobs = teams.find(static_cast<std::uint16_t>(number));
        if (jobs == teams.end())
            continue;
        for (const auto &[sequence, job] : jobs->second)
            add(*job, job->pending.size());
    }
    for (const auto &task : m_backlogTasks) {
        const auto found = findTask(task);
        if (found.job->team == number)
            add(*found.job, 1);
    }
    // Without this bound, demand that the workers of this scheduler cannot hold would take quota
    // from schedulers whose workers can.
    const auto freeCapacity = maxOfEach(m_workers.total() - teamUsage.reservedSum, resources{});
    teamUsage.pendingSum = minOfEach(teamUsage.pendingSum, freeCapacity);
    if (!teamUsage.largestPending.fitsIn(freeCapacity))
        teamUsage.largestPending = {};
    return teamUsage;
}

void scheduler::addWorker(const worker_info &worker, time_point now)
{
    const int slot = m_workers.findOrAdd(worker.id);
    const auto oldMillicores = m_workers.at(slot).info.size.millicores;
    m_workers.setInfo(slot, worker, now);
    rescaleLatencyEstimates(slot, oldMillicores);
    m_quotas.setTotal(m_workers.total());
}

void scheduler::resizeWorker(const std::string &worker, const resources &size, time_point)
{
    const int slot = m_workers.slotOf(worker);
    if (slot == worker_table::NoSlot)
        return;
    const auto oldMillicores = m_workers.at(slot).info.size.millicores;
    m_workers.resize(slot, size);
    rescaleLatencyEstimates(slot, oldMillicores);
    m_quotas.setTotal(m_workers.total());
}

void scheduler::removeWorker(const std::string &worker, time_point)
{
    const int slot = m_workers.slotOf(worker);
    if (slot == worker_table::NoSlot)
        return;
    m_workers.setInService(slot, false);
    // A removed worker must not count against the limit of quarantined workers.
    m_quarantine.forgetWorker(worker);
    m_quotas.setTotal(m_workers.total());
    m_workers.removeIfUnused(slot);
}

class_number scheduler::classNumber(const std::string &jobClass)
{
    const auto next = std::min<std::size_t>(m_classNumbers.size(), MaxClasses);
    if (next == MaxClasses) {
        const auto found = m_classNumbers.find(jobClass);
        return found == m_classNumbers.end() ? MaxClasses : found->second;
    }
    return m_classNumbers.try_emplace(jobClass, static_cast<class_number>(next)).first->second;
}

// --- Records -------------------------------------------------------------------------------------

job_record &scheduler::updateJob(const task_spec &spec)
{
    auto &job = m_tasks.findOrAddJob(spec.jobId);
    // The queue is ordered by rank and team, so the job is removed before either changes.
    m_queue.erase(job);
    job.spec = spec;
    job.rank = rankOf(spec);
    job.team = static_cast<std::uint16_t>(m_quotas.teamNumber(spec.team));
    job.jobClass = classNumber(spec.jobClass);
    job.pool = m_workers.poolNumber(spec.pool);
    job.blockedRevision = 0;
    if (!job.pending.empty())
        m_queue.insert(job);
    return job;
}

scheduler::found_task scheduler::findTask(const task_ref &task)
{
    auto *job = m_tasks.findJob(task.jobId);
    if (!job)
        return {};
    const auto found = job->tasks.find(task.taskIndex);
    if (found == job->tasks.end())
        return {};
    return {job, &found->second};
}

// Events may be duplicated and out of order. An event for a worker on which the task is not placed
// is stale: applying it would free capacity that is in use.
scheduler::found_task scheduler::findOnWorker(const task_ref &task, const std::string &worker)
{
    const auto found = findTask(task);
    if (found && found.task->workerSlot != NoWorker
        && m_workers.at(found.task->workerSlot).info.id == worker)
        return found;
    ++m_stats.staleEvents;
    return {};
}

void scheduler::enqueue(job_record &job, std::int32_t index, time_point now)
{
    if (!job.pending.insert(index).second)
        return;
    ++m_pendingTaskCount;
    job.tasks[index].pendingSince = now;
    job.blockedRevision = 0;
    m_queue.insert(job);
}

void scheduler::dequeue(job_record &job, std::int32_t index)
{
    if (job.pending.erase(index) == 0)
        return;
    --m_pendingTaskCount;
    if (job.pending.empty())
        m_queue.erase(job);
}

void scheduler::chargeQuota(task_record &record, const resources &amount)
{
    m_quotas.refund(record.team, record.chargedQuota);
    m_quotas.charge(record.team, amount);
    record.chargedQuota = amount;
}

void scheduler::releaseHold(task_record &record)
{
    if (record.holdSlot == NoWorker)
        return;
    m_workers.at(record.holdSlot).heldCapacity -= record.holdAmount;
    m_workers.updateFreeCapacity(record.holdSlot);
    m_workers.removeIfUnused(record.holdSlot);
    record.holdSlot = NoWorker;
    record.holdAmount = {};
}

void scheduler::recordNeighbourChange(int slot, class_number jobClass, std::int64_t millicores,
                                      time_point now)
{
    auto &worker = m_workers.at(slot);
    worker.history.addChange(jobClass, millicores, now);
    const std::vector<class_millicores> change{{jobClass, millicores}};
    // Samples arrive with a delay; until one reflects the change, its expected effect is added.
    for (const auto &share : sharesOf(change, worker.info.size.millicores)) {
        for (auto &service : worker.services)
            service.estimatedLogRatio +=
                    m_interference.effect(service.jobClass, jobClass).mean * share.share;
    }
}

// After a takeover the new owner learns from the table which tasks run on a worker, and the
// worker's size only when its agent reports. The estimates depend on the neighbours' shares of the
// worker: with shares of the old size, batch would wait beside services that are not slowed.
void scheduler::rescaleLatencyEstimates(int slot, std::int64_t millicoresBefore)
{
    auto &worker = m_workers.at(slot);
    const auto workerMillicores = worker.info.size.millicores;
    for (auto &service : worker.services) {
        const class_millicores ownAmount{service.jobClass,
                                         findTask(service.task).task->limitMillicores};
        const auto others = withoutOwn(worker.history.current(), ownAmount);
        service.estimatedLogRatio += m_interference.expectedLogRatio(
                                             service.jobClass, sharesOf(others, workerMillicores))
                                     - m_interference.expectedLogRatio(
                                             service.jobClass, sharesOf(others, millicoresBefore));
    }
}

// Records on which worker the task is. The worker's ledger must already have its reservation.
void scheduler::assignToWorker(const job_record &job, const task_ref &task, task_record &record,
                               int slot, time_point now)
{
    auto &worker = m_workers.at(slot);
    record.workerSlot = slot;
    record.jobClass = job.jobClass;
    record.team = job.team;
    record.sentReservation = worker.ledger.find(task)->reserved;
    record.limitMillicores = record.sentReservation.millicores;
    record.peakBytes = 0;
    record.stopsSoon = false;
    record.startedAt = now;
    chargeQuota(record, record.sentReservation);
    const auto workerMillicores = worker.info.size.millicores;
    const double expected = m_interference.expectedLogRatio(
            job.jobClass, sharesOf(worker.history.current(), workerMillicores));
    recordNeighbourChange(slot, record.jobClass, record.limitMillicores, now);
    if (job.spec.kind == task_kind::Service)
        worker.services.push_back({task, job.jobClass, {}, {}, expected});
    m_workers.updateFreeCapacity(slot);
}

void scheduler::removeFromWorker(const task_ref &task, task_record &record, time_point now)
{
    const int slot = record.workerSlot;
    auto &worker = m_workers.at(slot);
    std::erase_if(worker.services, [&](const auto &latency) { return latency.task == task; });
    recordNeighbourChange(slot, record.jobClass, -record.limitMillicores, now);
    if (record.limitMillicores < record.sentReservation.millicores)
        --worker.throttledTasks;
    chargeQuota(record, {});
    const bool hadDeferred = worker.ledger.deferred() != resources{};
    worker.ledger.release(task);
    if (hadDeferred)
        queueRaises(slot);
    record.workerSlot = NoWorker;
    m_workers.updateFreeCapacity(slot);
    m_workers.removeIfUnused(slot);
}

void scheduler::eraseTask(job_record &job, std::int32_t index)
{
    const auto jobId = job.spec.jobId;
    const auto found = job.tasks.find(index);
    if (found != job.tasks.end()) {
        releaseHold(found->second);
        removeFromBacklog({jobId, index}, found->second);
    }
    dequeue(job, index);
    job.tasks.erase(index);
    if (job.tasks.empty())
        m_tasks.eraseJob(jobId);
}

// Also counts the event that reported a cancelled task as pending.
bool scheduler::isCancelled(const task_ref &task)
{
    if (!m_cancelled.contains(task))
        return false;
    ++m_stats.pendingAfterCancel;
    return true;
}

// --- Tasks ---------------------------------------------------------------------------------------

void scheduler::taskPending(const task_spec &task, time_point now)
{
    if (isCancelled(task.ref()))
        return;
    auto &job = updateJob(task);
    if (job.tasks.try_emplace(task.taskIndex).second)
        enqueue(job, task.taskIndex, now);
}

void scheduler::taskPlaced(const task_spec &task, const std::string &worker,
                           const resources &reserved, reservation_state state, time_point now)
{
    const auto ref = task.ref();
    auto &job = updateJob(task);
    if (findInBacklog(ref, worker))
        return; // a task in a backlog does not run yet
    dequeue(job, task.taskIndex);
    auto &record = job.tasks[task.taskIndex];
    releaseHold(record);
    removeFromBacklog(ref, record);
    if (record.workerSlot != NoWorker)
        removeFromWorker(ref, record, now);
    record.cancelled = m_cancelled.contains(ref);
    const int slot = m_workers.findOrAdd(worker);
    if (!m_workers.at(slot).inService)
        m_workers.at(slot).pool = job.pool;
    m_workers.at(slot).ledger.forceReserve(ref, reserved, state);
    assignToWorker(job, ref, record, slot, now);
}

void scheduler::reopenJob(const std::string &jobId)
{
    m_cancelled.forgetJob(jobId);
}

void scheduler::setState(const task_ref &task, int slot, reservation_state state)
{
    m_workers.at(slot).ledger.setState(task, state);
    m_workers.updateFreeCapacity(slot);
}

void scheduler::placementSettled(const task_ref &task, const std::string &worker,
                                 placement_outcome outcome, time_point now)
{
    if (const auto inBacklog = findInBacklog(task, worker)) {
        inBacklog.task->isBacklogStored |= outcome == placement_outcome::Applied;
        if (outcome == placement_outcome::NotApplied)
            releaseFromBacklog(task, worker, now);
        return;
    }
    const auto found = findOnWorker(task, worker);
    if (!found)
        return;
    if (outcome == placement_outcome::NotApplied) {
        returnToPending(task, worker, now);
        return;
    }
    // A write whose response was lost may have taken effect. If the capacity were freed, it could
    // be assigned twice. So the reservation counts, and the task is not placed elsewhere, until the
    // rows have been read again.
    const auto state = m_workers.at(found.task->workerSlot).ledger.find(task)->state;
    if (outcome == placement_outcome::Unknown && state == reservation_state::Placed)
        setState(task, found.task->workerSlot, reservation_state::Ambiguous);
    if (outcome == placement_outcome::Applied && state == reservation_state::Ambiguous)
        setState(task, found.task->workerSlot, reservation_state::Placed);
}

void scheduler::taskRunning(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = findOnWorker(task, worker);
    if (!found)
        return;
    const auto state = m_workers.at(found.task->workerSlot).ledger.find(task)->state;
    // A report sent before the stop was requested must not cancel the stop.
    if (state != reservation_state::Placed && state != reservation_state::Ambiguous)
        return;
    found.task->startedAt = now;
    setState(task, found.task->workerSlot, reservation_state::Running);
}

void scheduler::taskStopping(const task_ref &task, const std::string &worker, time_point)
{
    const auto found = findOnWorker(task, worker);
    if (found)
        setState(task, found.task->workerSlot, reservation_state::Stopping);
}

void scheduler::returnToPending(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = findOnWorker(task, worker);
    if (!found)
        return;
    removeFromWorker(task, *found.task, now);
    if (found.task->cancelled)
        eraseTask(*found.job, task.taskIndex);
    else
        enqueue(*found.job, task.taskIndex, now);
}

void scheduler::taskReleased(const task_ref &task, const std::string &worker, time_point now)
{
    if (releaseFromBacklog(task, worker, now))
        return;
    returnToPending(task, worker, now);
}

void scheduler::taskEnded(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = findOnWorker(task, worker);
    if (!found)
        return;
    if (!found.task->cancelled) {
        m_quarantine.recordSuccess(task.jobId, worker, found.task->startedAt);
        found.job->usage.finishedTasks += found.task->peakBytes > 0 ? 1 : 0;
        refreshQuarantine(found.task->workerSlot, now);
    }
    removeFromWorker(task, *found.task, now);
    eraseTask(*found.job, task.taskIndex);
}

void scheduler::taskFailed(const task_ref &task, const std::string &worker,
                           const std::string &reason, time_point now)
{
    const auto found = findOnWorker(task, worker);
    if (!found)
        return;
    const auto &pool = m_workers.pool(m_workers.at(found.task->workerSlot).pool);
    m_quarantine.recordFailure(task.jobId, worker, pool.name, pool.slots.size(), reason, now);
    if (m_quarantine.isWorkerQuarantined(worker))
        m_quarantinedSlots.insert(found.task->workerSlot);
    refreshQuarantine(found.task->workerSlot, now);
    // Packing would choose the same worker again, where another failure proves nothing new.
    found.task->avoidedSlot = found.task->workerSlot;
    found.task->avoidUntil = now + m_settings.avoidWorkerFor;
    returnToPending(task, worker, now);
}

std::vector<task_ref> scheduler::cancelTasks(std::span<const task_ref> tasks, time_point)
{
    std::vector<task_ref> toStop;
    for (const auto &task : tasks) {
        m_cancelled.add(task);
        const auto found = findTask(task);
        if (!found)
            continue;
        if (found.task->workerSlot == NoWorker) {
            eraseTask(*found.job, task.taskIndex);
            continue;
        }
        // The task may run until its end is confirmed, so it counts until then.
        found.task->cancelled = true;
        found.task->stopsSoon = true;
        setState(task, found.task->workerSlot, reservation_state::Stopping);
        toStop.push_back(task);
    }
    return toStop;
}

std::vector<task_ref> scheduler::cancelJob(const std::string &jobId, time_point now)
{
    m_cancelled.add(cancelled_task_set::wholeJob(jobId));
    const auto *job = m_tasks.findJob(jobId);
    if (!job)
        return {};
    std::vector<task_ref> tasks;
    for (const auto &[index, record] : job->tasks)
        tasks.push_back({jobId, index});
    std::sort(tasks.begin(), tasks.end());
    return cancelTasks(tasks, now);
}

// --- Measurements --------------------------------------------------------------------------------

void scheduler::usageSampled(const usage_sample &sample, time_point now)
{
    const auto found = findOnWorker(sample.task, sample.worker);
    if (!found)
        return;
    // A sample may be of an earlier attempt on the same worker. Its memory use counts for the job
    // but not for the current attempt.
    const bool fromEarlierAttempt = sample.measuredAt < found.task->startedAt;
    if (fromEarlierAttempt)
        found.job->usage.peakBytes = std::max(found.job->usage.peakBytes, sample.used.bytes);
    if (fromEarlierAttempt || sample.measuredAt <= found.task->sampledAt) {
        ++m_stats.droppedSamples;
        return;
    }
    found.task->sampledAt = sample.measuredAt;
    m_sizeLearner.observe(found.job->spec.jobClass, found.task->peakBytes, sample.used, now);
    found.task->peakBytes = std::max(found.task->peakBytes, sample.used.bytes);
    found.job->usage.peakBytes = std::max(found.job->usage.peakBytes, sample.used.bytes);
    if (now - found.task->startedAt >= m_settings.healthyAfter)
        m_quarantine.recordSuccess(sample.task.jobId, sample.worker, found.task->startedAt);
    raiseReservation(sample.task, *found.task, sample.used);
}

// Raises the reservation of a task that comes near to using all of it. Otherwise the task would use
// memory that the ledger gives to other tasks, and the worker would run out of memory. A raise that
// does not fit is deferred, which keeps new tasks away, and plan() evicts for it if necessary.
void scheduler::raiseReservation(const task_ref &task, task_record &record, const resources &used)
{
    if (!m_settings.sizes.learn)
        return;
    const int slot = record.workerSlot;
    auto &workerLedger = m_workers.at(slot).ledger;
    const auto wanted = m_sizeLearner.raisedReservation(workerLedger.find(task)->reserved, used);
    if (wanted == workerLedger.find(task)->wanted)
        return;
    if (!workerLedger.tryRaise(task, wanted))
        m_deferredRaiseSlots.insert(slot);
    chargeQuota(record, workerLedger.find(task)->wanted);
    queueRaises(slot);
    m_workers.updateFreeCapacity(slot);
}

void scheduler::queueRaises(int slot)
{
    for (const auto &[task, reservation] : m_workers.at(slot).ledger.reservations()) {
        const auto found = findTask(task);
        if (found && found.task->sentReservation != reservation.reserved)
            m_raisesToSend.push_back(task);
    }
}

void scheduler::latencySampled(const latency_sample &sample, time_point now)
{
    const auto found = findOnWorker(sample.task, sample.worker);
    if (!found)
        return;
    const int slot = found.task->workerSlot;
    auto &worker = m_workers.at(slot);
    auto *latency = worker.latencyOf(sample.task);
    auto neighbours = worker.history.at(sample.measuredAt);
    // While the worker's size is unknown, the neighbours' shares cannot be computed.
    const bool hasKnownSize = worker.info.size.millicores > 0;
    if (!latency || !neighbours || !hasKnownSize || sample.measuredAt <= latency->measuredAt
        || sample.target.count() <= 0) {
        ++m_stats.droppedSamples;
        return;
    }
    latency->measuredAt = sample.measuredAt;
    const double p99 = static_cast<double>(std::max<std::int64_t>(sample.p99.count(), 1));
    const double logRatio = std::log(p99 / static_cast<double>(sample.target.count()));
    const class_millicores ownAmount{found.task->jobClass, found.task->limitMillicores};
    const auto workerMillicores = worker.info.size.millicores;
    const auto sharesAtSample = sharesOf(withoutOwn(*neighbours, ownAmount), workerMillicores);
    const auto sharesNow =
            sharesOf(withoutOwn(worker.history.current(), ownAmount), workerMillicores);
    m_interference.learn(latency->jobClass, sharesAtSample, logRatio, sample.measuredAt);
    latency->estimatedLogRatio =
            logRatio + m_interference.expectedLogRatio(latency->jobClass, sharesNow)
            - m_interference.expectedLogRatio(latency->jobClass, sharesAtSample);
    if (sample.measuredAt > worker.lastReliefAt)
        latency->signal.add(logRatio, m_settings.signal);
    if (latency->signal.isRaised()) {
        worker.signalRaisedAt = now;
        m_disturbedSlots.insert(slot);
    }
}

// --- Status --------------------------------------------------------------------------------------

std::string scheduler::explain(const task_ref &task, time_point now) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    const auto name = toText(task);
    if (!job || !job->tasks.contains(task.taskIndex))
        return name + " is unknown to this scheduler";
    const auto &record = job->tasks.at(task.taskIndex);
    if (record.backlogSlot != NoWorker)
        return name + " is in the backlog of " + m_workers.at(record.backlogSlot).info.id;
    if (record.workerSlot != NoWorker) {
        const auto &worker = m_workers.at(record.workerSlot);
        return name + " is on " + worker.info.id + ", "
               + std::string(nameOf(worker.ledger.find(task)->state));
    }
    switch (job->waitReason) {
    case wait_reason::NotTried:
        return name + " is pending: not considered yet";
    case wait_reason::NoWorkers:
        return name + " is pending: pool " + job->spec.pool + " has no workers";
    case wait_reason::NoCapacity:
        return name + " is pending: no worker has enough free capacity in pool " + job->spec.pool
               + "; it needs " + toText(demandOf(*job));
    case wait_reason::TeamAtQuota:
        return name + " is pending: team " + job->spec.team + " has reached its quota";
    case wait_reason::JobQuarantined:
        return name + " is pending: " + m_quarantine.reasonFor(task.jobId, now);
    case wait_reason::Preempting:
        return name + " is pending until the batch tasks preempted for it have stopped";
    case wait_reason::WouldSlowService:
        return name + " is pending: on every worker with enough free capacity in pool "
               + job->spec.pool + " it would slow a service too much";
    }
    return name + " is pending";
}

std::string scheduler::workerOf(const task_ref &task) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || !job->tasks.contains(task.taskIndex))
        return {};
    const auto &record = job->tasks.at(task.taskIndex);
    const int slot = record.workerSlot != NoWorker ? record.workerSlot : record.backlogSlot;
    return slot == NoWorker ? std::string() : m_workers.at(slot).info.id;
}

const reservation_ledger *scheduler::ledgerOf(const std::string &worker) const
{
    const int slot = m_workers.slotOf(worker);
    return slot == worker_table::NoSlot ? nullptr : &m_workers.at(slot).ledger;
}

} // namespace zinniabarrow::placement
