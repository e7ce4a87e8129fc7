// Jobs, placements and records of the coordinator. Reports of agents are in
// task_coordinator_reports.cpp, grants and silent workers in task_coordinator_grants.cpp.

#include "work/task_coordinator.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<task_change, 6> ChangeNames = {{
        {task_change::Placed, "placed"},
        {task_change::Started, "started"},
        {task_change::EndReported, "vacated"},
        {task_change::Requeued, "freed"},
        {task_change::Ended, "ended"},
        {task_change::Reverted, "reverted"},
}};

constexpr name_table<coordinator_counter, 14> CounterNames = {{
        {coordinator_counter::StaleIncarnation, "stale_incarnation"},
        {coordinator_counter::StaleSession, "stale_session"},
        {coordinator_counter::StaleReport, "stale_report"},
        {coordinator_counter::StaleEvent, "stale_event"},
        {coordinator_counter::NewerEpoch, "newer_epoch"},
        {coordinator_counter::StaleGeneration, "stale_generation"},
        {coordinator_counter::NotPlaceable, "not_placeable"},
        {coordinator_counter::BacklogFull, "backlog_full"},
        {coordinator_counter::GrantDeadlinePassed, "horizon_passed"},
        {coordinator_counter::WorkerSilent, "worker_silent"},
        {coordinator_counter::WorkerReturned, "worker_back"},
        {coordinator_counter::FailedOver, "failed_over"},
        {coordinator_counter::EndProven, "proven_gone"},
        {coordinator_counter::StaleAttemptStopped, "stray_stopped"},
}};

// Operation ids contain the epoch: a process that loses a shard and acquires it again numbers its
// operations from 1 again, and a row written in its first tenure must not be taken for one that was
// just written in its second.
std::string tenurePrefix(const std::string &prefix, const shard_tenure &tenure)
{
    return prefix + "/" + std::to_string(tenure.shard) + "." + std::to_string(tenure.epoch);
}

} // namespace

std::string_view nameOf(task_change change)
{
    return nameOf(ChangeNames, change);
}

std::string_view nameOf(coordinator_counter reason)
{
    return nameOf(CounterNames, reason);
}

task_coordinator::task_coordinator(shard_tenure tenure, const std::string &operationPrefix,
                                   coordinator_settings settings)
    : m_tenure(tenure)
    , m_settings(settings)
    , m_store(tenure.shard, tenure.shardVersion, tenurePrefix(operationPrefix, tenure),
              settings.store)
{ }

std::vector<coordinator_action> task_coordinator::handle(const coordinator_event &event,
                                                         time_point now)
{
    m_actions.clear();
    m_workersToGrant.clear();
    if (m_store.isFenced())
        return {};
    std::visit([&](const auto &one) { on(one, now); }, event);
    processStoreOutput();
    sendPendingGrants(now);
    return std::move(m_actions);
}

task_record task_coordinator::find(const task_id &task) const
{
    task_record record = m_store.newestRecord(task);
    const volatile_state *volatileState = findVolatileState(task, record.attempt);
    if (record.state != task_state::Placed || volatileState == nullptr)
        return record;
    if (volatileState->isEvicting)
        record.state = task_state::Evicting;
    else if (!volatileState->startedBySession.empty())
        record.state = task_state::Running;
    return record;
}

bool task_coordinator::isPlaceable(const task_id &task) const
{
    return m_store.isInJobRange(task) && !m_store.hasUncommittedChange(task)
           && m_store.committedRecord(task).state == task_state::Pending;
}

std::vector<std::pair<task_id, task_record>> task_coordinator::occupyingTasks() const
{
    std::vector<std::pair<task_id, task_record>> tasks;
    for (const auto &[worker, ids] : m_tasksByWorker) {
        for (const auto &task : ids) {
            const task_record record = m_store.newestRecord(task);
            const task_record committed = m_store.committedRecord(task);
            if (occupiesWorker(record) && record.worker == worker)
                tasks.emplace_back(task, find(task));
            else if (occupiesWorker(committed) && committed.worker == worker)
                tasks.emplace_back(task, committed);
        }
    }
    return tasks;
}

bool task_coordinator::canPlaceOn(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.isAttached && !found->second.isLeaseLapsed
           && !m_store.isDeclaredSilent(worker);
}

unresponsive_workers task_coordinator::unresponsiveWorkers(time_point now) const
{
    unresponsive_workers unresponsive;
    for (const auto &[name, worker] : m_workers) {
        // A healthy agent reports at least three times within its lease.
        const bool hasReportedLately = now - worker.lastReportAt < m_settings.leases.grantLease / 2;
        if (!hasReportedLately && !tasksOn(name).empty())
            unresponsive[name] = latestLeaseEnd(name, worker);
    }
    return unresponsive;
}

// --- Jobs ----------------------------------------------------------------------------------------

void task_coordinator::on(const generation_applied &event, time_point now)
{
    if (isReady())
        m_store.stageAppliedGeneration(event.generation, now);
}

namespace {

// True if the jobs differ at most in their generation. Such a job is not written again: a
// generation usually changes one job, and writing all jobs for each would take most of the
// platform's writes.
bool isSameExceptGeneration(job_spec candidate, const job_spec &other)
{
    candidate.generation = other.generation;
    return candidate == other;
}

} // namespace

void task_coordinator::on(const job_accepted &event, time_point now)
{
    if (!isReady())
        return;
    if (event.spec.generation < m_store.appliedGeneration()) {
        count(coordinator_counter::StaleGeneration);
        return;
    }
    const stored_job *knownJob = m_store.job(event.spec.id);
    if (knownJob != nullptr
        && (knownJob->isCancelled || knownJob->spec.generation >= event.spec.generation))
        return;
    stored_job job{event.spec, event.spec.taskCount, false};
    if (knownJob != nullptr) {
        job.spec.firstTaskIndex = knownJob->spec.firstTaskIndex;
        job.spec.indexStride = knownJob->spec.indexStride;
        job.peakTaskCount = std::max(knownJob->peakTaskCount, job.spec.taskCount);
    }
    if (knownJob != nullptr && isSameExceptGeneration(knownJob->spec, job.spec))
        return;
    m_store.stageJob(job, now);
    dropPlaceable(job.spec.id);
    resizeJob(job, now);
}

// Cancels the tasks beyond the new size, and restores those that a smaller size had cancelled.
void task_coordinator::resizeJob(const stored_job &job, time_point now)
{
    const std::uint32_t end = taskIndexAt(job.spec, job.spec.taskCount);
    for (std::uint32_t position = 0; position < job.peakTaskCount; ++position) {
        const task_id task{job.spec.id, taskIndexAt(job.spec, position)};
        task_record record = m_store.newestRecord(task);
        if (task.index < end && record.state == task_state::Cancelled)
            record.state = task_state::Pending;
        if (task.index >= end && record.state == task_state::Pending)
            record.state = task_state::Cancelled;
        if (task.index >= end && record.state == task_state::Placed)
            record.state = task_state::Cancelling;
        stageRecord(task, record, now);
    }
}

void task_coordinator::on(const cancel_job &event, time_point now)
{
    const stored_job *knownJob = m_store.job(event.job);
    if (knownJob == nullptr || knownJob->isCancelled)
        return;
    stored_job job = *knownJob;
    job.isCancelled = true;
    m_store.stageJob(job, now);
    dropPlaceable(event.job);
}

// --- Placement and eviction ----------------------------------------------------------------------

void task_coordinator::on(const placement_decided &event, time_point now)
{
    const bool isPossible = isPlaceable(event.task) && canPlaceOn(event.worker);
    const bool isBacklogFull =
            event.isBacklogged && backlogSizeOn(event.worker) >= m_settings.maxBacklogPerWorker;
    if (!isPossible || isBacklogFull) {
        count(isBacklogFull ? coordinator_counter::BacklogFull : coordinator_counter::NotPlaceable);
        const task_record record = m_store.newestRecord(event.task);
        emitChange(event.task, task_change::Reverted, record, record.worker);
        return;
    }
    task_record record = m_store.committedRecord(event.task);
    record.state = task_state::Placed;
    ++record.attempt;
    record.worker = event.worker;
    record.incarnation = m_workers[event.worker].incarnation;
    record.isBacklogged = event.isBacklogged;
    stageRecord(event.task, record, now);
    // Drops the state of an earlier placement with this attempt number that took no effect.
    m_volatileStates.erase(event.task);
    if (event.reserved == resources{})
        return;
    volatile_state &volatileState = volatileStateOf(event.task, record.attempt);
    volatileState.reservedSize = event.reserved;
    volatileState.reservationNumber = ++m_lastReservationNumber;
}

// The raise is sent with the next grant, which answers the next report. That is soon enough: the
// scheduler's ledger already counts the raise, so tasks that start meanwhile fit beside it.
void task_coordinator::on(const reservation_raised &event, time_point)
{
    const task_record record = m_store.newestRecord(event.task);
    if (!occupiesWorker(record))
        return;
    volatile_state &volatileState = volatileStateOf(event.task, record.attempt);
    volatileState.reservedSize = maxOfEach(volatileState.reservedSize, event.reserved);
    volatileState.reservationNumber = ++m_lastReservationNumber;
}

std::size_t task_coordinator::backlogSizeOn(const std::string &worker) const
{
    std::size_t backlogSize = 0;
    for (const auto &task : tasksOn(worker)) {
        const task_record record = m_store.newestRecord(task);
        const volatile_state *volatileState = findVolatileState(task, record.attempt);
        const bool hasStarted =
                volatileState != nullptr
                && (volatileState->isStartAllowed || !volatileState->startedBySession.empty());
        if (record.isBacklogged && record.worker == worker && !hasStarted)
            ++backlogSize;
    }
    return backlogSize;
}

// True if the task is committed as Placed and no staged or in-flight change ends that. A write of
// the job's row doesn't count as such a change: each new generation may write job rows, just when
// urgent work of that generation needs capacity.
bool task_coordinator::staysPlaced(const task_id &task) const
{
    const task_record committed = m_store.committedRecord(task);
    const task_record latest = m_store.newestRecord(task);
    return committed.state == task_state::Placed && latest.state == task_state::Placed
           && committed.attempt == latest.attempt;
}

// Also accepted while the placement itself is in flight: the scheduler evicts the youngest tasks
// first, and counts the task as stopping from now on. If the decision were dropped, nobody would
// repeat it, and urgent work would wait for the capacity.
void task_coordinator::on(const eviction_decided &event, time_point)
{
    const task_record latest = m_store.newestRecord(event.task);
    if (latest.state != task_state::Placed)
        return; // it leaves the worker anyway
    volatileStateOf(event.task, latest.attempt).isEvicting = true;
    m_workersToGrant.insert(latest.worker);
}

void task_coordinator::on(const backlog_start_decided &event, time_point)
{
    // Accepted also while another write of the row or of its job is in flight. If the decision were
    // dropped then, the owner's ledger would count a task that never starts.
    const task_record record = m_store.committedRecord(event.task);
    if (!staysPlaced(event.task) || !record.isBacklogged)
        return;
    volatileStateOf(event.task, record.attempt).isStartAllowed = true;
    m_workersToGrant.insert(record.worker);
}

void task_coordinator::on(const cpu_limit_decided &event, time_point)
{
    const task_record record = m_store.newestRecord(event.task);
    if (!occupiesWorker(record))
        return;
    volatileStateOf(event.task, record.attempt).cpuLimit = event.millicores;
    m_workersToGrant.insert(record.worker);
}

// --- Records -------------------------------------------------------------------------------------

void task_coordinator::stageRecord(const task_id &task, const task_record &record, time_point now,
                                   bool isLazy)
{
    m_store.stageRecord(task, record, now, isLazy);
    refreshPlaceable(task);
    if (occupiesWorker(record))
        m_tasksByWorker[record.worker].insert(task);
}

std::vector<task_id> task_coordinator::tasksOn(const std::string &worker) const
{
    const auto found = m_tasksByWorker.find(worker);
    if (found == m_tasksByWorker.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

// Adds the task to the worker's tasks or removes it. A task is on a worker if its committed or its
// newest record says so.
void task_coordinator::updateWorkerIndex(const task_id &task, const std::string &worker)
{
    if (worker.empty())
        return;
    const task_record newestState = m_store.newestRecord(task);
    const task_record committed = m_store.committedRecord(task);
    const bool isOnThisWorker = (occupiesWorker(newestState) && newestState.worker == worker)
                                || (occupiesWorker(committed) && committed.worker == worker);
    if (isOnThisWorker)
        m_tasksByWorker[worker].insert(task);
    else
        m_tasksByWorker[worker].erase(task);
}

task_coordinator::volatile_state &task_coordinator::volatileStateOf(const task_id &task,
                                                                    std::uint32_t attempt)
{
    volatile_state &volatileState = m_volatileStates[task];
    if (volatileState.attempt != attempt)
        volatileState = {attempt, {}, false, false, {}, 0, 0};
    return volatileState;
}

const task_coordinator::volatile_state *
task_coordinator::findVolatileState(const task_id &task, std::uint32_t attempt) const
{
    const auto found = m_volatileStates.find(task);
    if (found == m_volatileStates.end() || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

// --- Answers of the table, changes for the ledger ------------------------------------------------

void task_coordinator::on(const write_answered &event, time_point now)
{
    m_store.handle(event, now);
}

void task_coordinator::on(const rows_read &event, time_point now)
{
    const bool wasReady = isReady();
    m_store.handle(event, now);
    if (!wasReady && isReady())
        onRowsLoaded(now);
}

// Creates the state of all workers that have tasks according to the rows. Each gets the length of a
// lease to report first, as no report could be answered while the rows were being read.
void task_coordinator::onRowsLoaded(time_point now)
{
    for (const auto &task : m_store.everPlacedTasks()) {
        const task_record record = m_store.committedRecord(task);
        if (!occupiesWorker(record))
            continue;
        m_tasksByWorker[record.worker].insert(task);
        worker_state &worker = m_workers[record.worker];
        worker.incarnation = std::max(worker.incarnation, record.incarnation);
        // The previous owner has already waited for a part of this worker's lease.
        if (m_tenure.unresponsive.contains(record.worker))
            worker.leaseUntil = m_tenure.unresponsive.at(record.worker);
        else if (!m_store.isCommittedSilent(record.worker))
            worker.leaseUntil =
                    now + leaseExpiryWait(m_settings.leases.grantLease, m_settings.leases);
    }
    m_lastTickAt = now;
}

void task_coordinator::on(const grant_deadline_changed &event, time_point)
{
    m_grantDeadline = event.until;
}

void task_coordinator::processStoreOutput()
{
    for (const auto &change : m_store.takeChanges())
        applyRecordChange(change);
    for (const auto &job : m_store.takeCommittedJobs())
        applyCommittedJob(job);
    for (auto &action : m_store.takeActions())
        std::visit([&](auto &one) { m_actions.emplace_back(std::move(one)); }, action);
}

void task_coordinator::applyRecordChange(const record_change &change)
{
    updateWorkerIndex(change.task, change.before.worker);
    updateWorkerIndex(change.task, change.after.worker);
    refreshPlaceable(change.task);
    const task_record &after = change.after;
    if (change.isReverted) {
        emitChange(change.task, task_change::Reverted, after, after.worker);
        return;
    }
    const bool isNewPlacement = occupiesWorker(after) && after.attempt != change.before.attempt;
    const bool hasLeftWorker = occupiesWorker(change.before) && !occupiesWorker(after);
    if (occupiesWorker(after))
        m_workersToGrant.insert(after.worker);
    if (isNewPlacement)
        emitChange(change.task, task_change::Placed, after, after.worker);
    else if (isTerminal(after))
        emitChange(change.task, task_change::Ended, after, change.before.worker);
    else if (hasLeftWorker)
        emitChange(change.task, task_change::Requeued, after, change.before.worker);
    else if (!occupiesWorker(after) && after.attempt != change.before.attempt)
        emitChange(change.task, task_change::Reverted, after, {});
    if (!occupiesWorker(after))
        m_volatileStates.erase(change.task);
}

void task_coordinator::applyCommittedJob(const committed_job &committed)
{
    const std::string &id = committed.id;
    const stored_job *job = m_store.job(id);
    if (job == nullptr || m_store.hasUncommittedJobChange(id))
        return;
    if (!job->isCancelled) {
        for (std::uint32_t position = 0; position < job->peakTaskCount; ++position)
            refreshPlaceable({id, taskIndexAt(job->spec, position)});
        return;
    }
    if (!committed.isNewlyCancelled)
        return;
    for (const auto &task : m_store.everPlacedTasks(id)) {
        const task_record record = m_store.committedRecord(task);
        if (occupiesWorker(record))
            m_workersToGrant.insert(record.worker);
        else if (record.state == task_state::Cancelled)
            emitChange(task, task_change::Ended, record, {});
    }
}

void task_coordinator::refreshPlaceable(const task_id &task)
{
    if (isPlaceable(task))
        m_placeable.insert(task);
    else
        m_placeable.erase(task);
}

void task_coordinator::dropPlaceable(const std::string &job)
{
    auto it = m_placeable.lower_bound({job, 0});
    while (it != m_placeable.end() && it->job == job)
        it = m_placeable.erase(it);
}

void task_coordinator::emitChange(const task_id &task, task_change change,
                                  const task_record &record, const std::string &worker)
{
    m_actions.emplace_back(task_changed{task, change, record.state, worker, record.attempt});
}

void task_coordinator::count(coordinator_counter reason)
{
    m_actions.emplace_back(reason);
}

} // namespace zinniabarrow::work
