// The scheduler's decisions: raised reservations, evictions for memory, and placement of pending
// tasks.
#include <algorithm>
#include <string>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MaxFailedDemands = 64; // demands remembered during one pass
constexpr milliseconds MinStopTime{300};     // that victims of urgent tasks get to stop
// For the victims' stop to be reported; after that another worker is tried.
constexpr milliseconds StopGracePeriod{300};
constexpr milliseconds UrgentRetryInterval{100}; // when preemption cannot free enough capacity
constexpr seconds AvoidSlowWorkerFor{10};        // whose victims did not stop in time

// Ranks before every batch task: evictions for memory may choose any batch task.
constexpr int RankBeforeBatch = 0;

std::string describeExceeded(const resources &amount, const resources &limit)
{
    if (amount.millicores > limit.millicores)
        return "millicores: " + std::to_string(amount.millicores) + " declared, "
               + std::to_string(limit.millicores);
    if (amount.bytes > limit.bytes)
        return "bytes: " + std::to_string(amount.bytes) + " declared, "
               + std::to_string(limit.bytes);
    return "accelerators: " + std::to_string(amount.accelerators) + " declared, "
           + std::to_string(limit.accelerators);
}

bool canPreempt(const task_spec &task)
{
    return task.priority == task_priority::Urgent || task.kind == task_kind::Service;
}

} // namespace

std::vector<placement_action> scheduler::plan(time_point now, int maxDecisions, plan_scope scope)
{
    planning_pass pass;
    pass.now = now;
    pass.scope = scope;
    pass.maxActions = static_cast<std::size_t>(std::max(maxDecisions, 0));
    m_evictionBudget.refill(m_settings.relief, m_workers.inServiceCount(), now);
    refreshQuarantinedWorkers(now);
    sendRaises(pass);
    evictForMemory(pass);
    placePending(pass);
    expireHolds(pass);
    if (m_settings.relieveServices)
        relieveServices(pass);
    return std::move(pass.actions);
}

// No event reports that a worker's cool-down has ended, so the state is checked on each pass.
void scheduler::refreshQuarantinedWorkers(time_point now)
{
    for (auto next = m_quarantinedSlots.begin(); next != m_quarantinedSlots.end();) {
        refreshQuarantine(*next, now);
        const bool isStillQuarantined =
                m_quarantine.isWorkerQuarantined(m_workers.at(*next).info.id);
        next = isStillQuarantined ? std::next(next) : m_quarantinedSlots.erase(next);
    }
}

void scheduler::refreshQuarantine(int slot, time_point now)
{
    auto &worker = m_workers.at(slot);
    const bool canUse = m_quarantine.canUseWorker(worker.info.id, now);
    worker.isSuspected = m_quarantine.isSuspect(worker.info.id);
    if (worker.isQuarantined != canUse)
        return;
    worker.isQuarantined = !canUse;
    m_workers.updateFreeCapacity(slot);
}

void scheduler::sendRaises(planning_pass &pass)
{
    while (!m_raisesToSend.empty() && !pass.isFull()) {
        const auto task = m_raisesToSend.back();
        m_raisesToSend.pop_back();
        const auto found = findTask(task);
        if (!found || found.task->workerSlot == NoWorker)
            continue;
        const auto &worker = m_workers.at(found.task->workerSlot);
        const auto &reserved = worker.ledger.find(task)->reserved;
        if (found.task->sentReservation == reserved)
            continue;
        found.task->sentReservation = reserved;
        pass.actions.emplace_back(raise_action{task, worker.info.id, reserved});
        ++m_stats.reservationsRaised;
    }
}

// If tasks use more than they reserved and the worker has no capacity to raise their reservations,
// it runs out of memory and the kernel kills an arbitrary task. Evicting one batch task chosen by
// policy costs less. A deferred raise alone is no reason to evict: it keeps new tasks away, while
// the other tasks may use far less than they reserved. Evicting for every deferred raise would turn
// a wave of growing tasks into a wave of evictions. So the measured memory use must first come near
// the worker's memory.
void scheduler::evictForMemory(planning_pass &pass)
{
    for (auto next = m_deferredRaiseSlots.begin();
         next != m_deferredRaiseSlots.end() && !pass.isFull();) {
        const int slot = *next;
        const auto &workerLedger = m_workers.at(slot).ledger;
        if (workerLedger.deferred() == resources{}) {
            next = m_deferredRaiseSlots.erase(next);
            continue;
        }
        ++next;
        const auto freeCapacity = workerLedger.size() - workerLedger.reserved()
                                  + m_preemptionPlanner.stoppingReservations(slot);
        auto shortfall = maxOfEach(workerLedger.deferred() - freeCapacity, resources{});
        const auto excessBytes = expectedBytes(slot) - workerLedger.size().bytes;
        shortfall.bytes = std::min(shortfall.bytes, std::max<std::int64_t>(excessBytes, 0));
        if (shortfall == resources{})
            continue;
        const auto victims = m_preemptionPlanner.chooseVictims(slot, shortfall, RankBeforeBatch);
        if (!victims)
            continue;
        for (const auto &victim : *victims)
            preempt(pass, slot, victim, preempt_reason::MemoryPressure, {},
                    pass.now + m_settings.checkpointTime);
    }
}

// Returns the bytes of memory that the worker's tasks may soon use, without those that are
// stopping. Per task: the measured peak plus a margin for delayed samples, or the whole reservation
// if there is no sample yet.
std::int64_t scheduler::expectedBytes(int slot)
{
    std::int64_t sum = 0;
    for (const auto &[task, reservation] : m_workers.at(slot).ledger.reservations()) {
        if (reservation.state == reservation_state::Stopping)
            continue;
        const auto found = findTask(task);
        const auto usedPeak = found ? found.task->peakBytes : 0;
        const auto usedSoon = static_cast<std::int64_t>(static_cast<double>(usedPeak)
                                                        * m_settings.memoryUseMargin);
        sum += usedPeak == 0 ? reservation.wanted.bytes
                             : std::min(reservation.wanted.bytes, usedSoon);
    }
    return sum;
}

void scheduler::placePending(planning_pass &pass)
{
    for (int rank = 0; rank < RankCount && !pass.isFull(); ++rank) {
        // Backlogs first: their tasks need no further write and can start on no other worker.
        startFromBacklogs(pass, rank);
        if (pass.scope == plan_scope::All)
            placeRank(pass, m_queue.teamsAtRank(rank));
    }
}

// Places one task at a time for the team with the smallest weighted share, so that a team with
// thousands of pending tasks does not take all free capacity.
void scheduler::placeRank(planning_pass &pass, pending_queue::rank_teams &teams)
{
    std::vector<team_cursor> cursors;
    for (auto &[team, jobs] : teams) {
        if (!jobs.empty())
            cursors.push_back({team, &jobs, 0, 0});
    }
    while (!cursors.empty() && !pass.isFull()) {
        const auto first = std::min_element(
                cursors.begin(), cursors.end(), [this](const auto &left, const auto &right) {
                    return m_quotas.weightedShare(left.team) < m_quotas.weightedShare(right.team);
                });
        if (!placeOneTask(pass, *first))
            cursors.erase(first);
    }
}

// Continues with the team's jobs until one task is placed. False when no job is left.
bool scheduler::placeOneTask(planning_pass &pass, team_cursor &cursor)
{
    while (!pass.isFull()) {
        // Looked up by sequence, because an iterator is invalid after the job's last pending task
        // was placed.
        const auto found = cursor.jobs->lower_bound(cursor.sequence);
        if (found == cursor.jobs->end())
            return false;
        if (found->first != cursor.sequence)
            cursor = {cursor.team, cursor.jobs, found->first, 0};
        const auto result = tryNextTask(pass, *found->second, cursor.nextIndex);
        if (result == try_result::JobBlocked)
            cursor = {cursor.team, cursor.jobs, cursor.sequence + 1, 0};
        if (result == try_result::Placed)
            return true;
    }
    return true;
}

scheduler::try_result scheduler::tryNextTask(planning_pass &pass, job_record &job,
                                             std::int32_t &startIndex)
{
    const auto next = job.pending.lower_bound(startIndex);
    if (next == job.pending.end())
        return try_result::JobBlocked;
    const auto index = *next;
    if (startIndex == 0 && refuseJob(pass, job))
        return try_result::JobBlocked;
    if (shouldWait(pass, job))
        return try_result::JobBlocked;
    startIndex = index + 1;
    return tryTask(pass, job, index);
}

// Refuses the tasks of a job that exceeds the largest worker or the team's quota, and names the
// limit: a task that can never run would otherwise stay in the queue unnoticed.
bool scheduler::refuseJob(planning_pass &pass, job_record &job)
{
    const auto &pool = m_workers.pool(job.pool);
    const bool isSizeKnown = pool.configured
                             || (pool.firstWorkerAt != Never
                                 && pass.now - pool.firstWorkerAt >= m_settings.poolLearningTime);
    if (isSizeKnown && !job.spec.declared.fitsIn(pool.largestWorker)) {
        refuseTasks(pass, job, error_kind::NeverFits,
                    "the largest worker of pool " + pool.name + " cannot hold it: "
                            + describeExceeded(job.spec.declared, pool.largestWorker)
                            + " available; declare less or add larger workers");
        return true;
    }
    const auto dimension = m_quotas.exceededDimension(job.team, job.spec.declared);
    if (dimension) {
        refuseTasks(pass, job, error_kind::QuotaExceeded,
                    "one task requests " + toText(job.spec.declared) + ", and the quota of team "
                            + job.spec.team + " allows " + toText(m_quotas.quotaOf(job.team).limit)
                            + "; the limit in " + *dimension
                            + " is exceeded: declare less or raise the quota");
        return true;
    }
    if (pool.slots.empty()) {
        job.waitReason = wait_reason::NoWorkers;
        return true;
    }
    return false;
}

void scheduler::refuseTasks(planning_pass &pass, job_record &job, error_kind kind,
                            const std::string &reason)
{
    auto &counter = kind == error_kind::NeverFits ? m_stats.refusedNeverFits : m_stats.refusedQuota;
    const auto jobId = job.spec.jobId;
    const std::vector<std::int32_t> indexes(job.pending.begin(), job.pending.end());
    for (const auto index : indexes) {
        if (pass.isFull())
            return;
        pass.actions.emplace_back(refuse_action{{jobId, index}, kind, reason});
        ++counter;
        eraseTask(job, index); // erasing the last task also erases the job
    }
}

bool scheduler::shouldWait(planning_pass &pass, job_record &job)
{
    if (!m_quarantine.canStartJob(job.spec.jobId, pass.now)) {
        job.waitReason = wait_reason::JobQuarantined;
        if (!job.isQuarantineReported) {
            pass.actions.emplace_back(
                    refuse_action{{job.spec.jobId, *job.pending.begin()},
                                  error_kind::Quarantined,
                                  m_quarantine.reasonFor(job.spec.jobId, pass.now)});
            ++m_stats.refusedQuarantined;
        }
        job.isQuarantineReported = true;
        return true;
    }
    job.isQuarantineReported =
            job.isQuarantineReported && m_quarantine.isJobQuarantined(job.spec.jobId);
    if (!m_quotas.canReserve(job.team, demandOf(job))) {
        job.waitReason = wait_reason::TeamAtQuota;
        if (job.spec.priority == task_priority::Urgent)
            preemptForQuota(pass, job);
        return true;
    }
    return job.blockedRevision == m_workers.pool(job.pool).capacityRevision
           && pass.now < job.retryAt;
}

bool scheduler::hasFailedDemand(const planning_pass &pass, std::size_t pool,
                                const resources &demand)
{
    return std::any_of(pass.failedDemands.begin(), pass.failedDemands.end(),
                       [&](const auto &failed) {
                           return failed.first == pool && failed.second.fitsIn(demand);
                       });
}

void scheduler::addFailedDemand(planning_pass &pass, std::size_t pool, const resources &demand)
{
    // Larger demands add no information.
    std::erase_if(pass.failedDemands, [&](const auto &failed) {
        return failed.first == pool && demand.fitsIn(failed.second);
    });
    if (pass.failedDemands.size() < MaxFailedDemands)
        pass.failedDemands.emplace_back(pool, demand);
}

// A learned size must not prevent a task from running that could run with its declared size.
resources scheduler::demandOf(const job_record &job) const
{
    const auto &declared = job.spec.declared;
    const auto learned = m_sizeLearner.reservationFor(job.spec, job.usage);
    auto maxDemand = m_workers.pool(job.pool).largestWorker;
    const auto &limit = m_quotas.quotaOf(job.team).limit;
    if (limit.millicores > 0)
        maxDemand.millicores = std::min(maxDemand.millicores, limit.millicores);
    if (limit.bytes > 0)
        maxDemand.bytes = std::min(maxDemand.bytes, limit.bytes);
    // The bound cuts only what learning added above the declared size. Learning may also reduce the
    // processor time.
    resources demand = learned;
    demand.millicores =
            std::min(learned.millicores, std::max(maxDemand.millicores, declared.millicores));
    demand.bytes = std::min(learned.bytes, std::max(maxDemand.bytes, declared.bytes));
    return demand;
}

placement_request scheduler::requestFor(const job_record &job, const task_record &record,
                                        const resources &demand, time_point now) const
{
    placement_request request;
    request.kind = job.spec.kind;
    request.jobClass = job.jobClass;
    request.pool = job.pool;
    request.demand = demand;
    request.isUrgent = job.spec.priority == task_priority::Urgent;
    request.excludedSlot = now < record.avoidUntil ? record.avoidedSlot : NoWorker;
    request.pendingTime = now - record.pendingSince;
    if (job.spec.kind != task_kind::Service)
        return request;
    for (const auto &[index, other] : job.tasks) {
        const int slot = other.workerSlot != NoWorker ? other.workerSlot : other.holdSlot;
        if (slot != NoWorker)
            request.replicas.add(m_workers.at(slot), slot);
    }
    return request;
}

scheduler::try_result scheduler::tryTask(planning_pass &pass, job_record &job, std::int32_t index)
{
    auto &record = job.tasks.at(index);
    const auto demand = demandOf(job);
    const bool canPreemptOthers = canPreempt(job.spec);
    if (placeOnHold(pass, job, index, demand))
        return try_result::Placed;
    const auto request = requestFor(job, record, demand, pass.now);
    if (!canPreemptOthers && hasFailedDemand(pass, job.pool, demand)) {
        job.waitReason = wait_reason::NoCapacity;
        return try_result::JobBlocked;
    }
    const auto choice = m_chooser.choose(request);
    if (choice.outcome == choice_outcome::Found) {
        releaseHold(record);
        place(pass, job, index, choice.slot, demand);
        return try_result::Placed;
    }
    if (canPreemptOthers
        && (record.holdSlot != NoWorker || holdCapacity(pass, job, index, request))) {
        job.waitReason = wait_reason::Preempting;
        return try_result::TaskBlocked;
    }
    const bool wouldSlow = choice.outcome == choice_outcome::WouldSlowService;
    job.waitReason = wouldSlow ? wait_reason::WouldSlowService : wait_reason::NoCapacity;
    if (request.excludedSlot != NoWorker)
        return try_result::TaskBlocked; // other tasks of the job may use the avoided worker
    if (!wouldSlow)
        addFailedDemand(pass, job.pool, demand);
    job.blockedRevision = m_workers.pool(job.pool).capacityRevision;
    job.retryAt = pass.now + (canPreemptOthers ? UrgentRetryInterval : m_settings.retryInterval);
    return try_result::JobBlocked;
}

// Places the task on the capacity held for it, if its victims have freed enough. If they have not
// stopped in time, the hold is abandoned and another worker is tried: a worker that does not stop
// its tasks must not delay urgent work.
bool scheduler::placeOnHold(planning_pass &pass, job_record &job, std::int32_t index,
                            const resources &demand)
{
    auto &record = job.tasks.at(index);
    if (record.holdSlot == NoWorker)
        return false;
    const int slot = record.holdSlot;
    const auto &worker = m_workers.at(slot);
    const bool acceptsTasks = worker.inService && !worker.isQuarantined;
    if (acceptsTasks && demand.fitsIn(worker.ledger.available() - earlierHolds(record))) {
        releaseHold(record);
        place(pass, job, index, slot, demand);
        return true;
    }
    if (!acceptsTasks || pass.now >= record.holdUntil)
        abandonHold(record, pass.now);
    return false;
}

// Returns the capacity held on the same worker for tasks whose hold is older. Newer holds do not
// count: their victims may still run, and this task must get the capacity that its own victims
// freed.
resources scheduler::earlierHolds(const task_record &record)
{
    resources sum;
    for (const auto &task : m_tasksWithHold) {
        const auto other = findTask(task);
        if (other && other.task->holdSlot == record.holdSlot
            && other.task->holdNumber < record.holdNumber)
            sum += other.task->holdAmount;
    }
    return sum;
}

void scheduler::abandonHold(task_record &record, time_point now)
{
    record.avoidedSlot = record.holdSlot;
    record.avoidUntil = now + AvoidSlowWorkerFor;
    releaseHold(record);
}

// A task that is not tried any more, because its team has reached its quota or its job is
// quarantined, must not hold capacity forever.
void scheduler::expireHolds(planning_pass &pass)
{
    for (auto next = m_tasksWithHold.begin(); next != m_tasksWithHold.end();) {
        const auto found = findTask(*next);
        const bool hasHold = found && found.task->holdSlot != NoWorker;
        if (hasHold && pass.now < found.task->holdUntil) {
            ++next;
            continue;
        }
        if (hasHold)
            abandonHold(*found.task, pass.now);
        next = m_tasksWithHold.erase(next);
    }
}

// Stops batch tasks of the team itself, which fill its quota and could delay its urgent work for
// hours. Tasks with a hold count as placed, and victims that are still stopping as stopped, so that
// each pending task preempts victims only once.
void scheduler::preemptForQuota(planning_pass &pass, job_record &job)
{
    std::erase_if(m_quotaVictims, [this](const task_ref &victim) { return !isStopping(victim); });
    const auto demand = demandOf(job);
    for (const auto index : job.pending) {
        const auto &record = job.tasks.at(index);
        if (record.holdSlot != NoWorker)
            continue;
        const auto excess = m_quotas.excess(job.team, demand + pendingTeamChange(job.team));
        const auto request = requestFor(job, record, demand, pass.now);
        const auto plan =
                m_preemptionPlanner.planTeamPreemption(request, job.rank, job.team, excess);
        if (!plan)
            return;
        m_quotaVictims.insert(m_quotaVictims.end(), plan->victims.begin(), plan->victims.end());
        holdCapacity(pass, job, index, request, *plan);
    }
}

bool scheduler::isStopping(const task_ref &task)
{
    const auto found = findTask(task);
    if (!found || found.task->workerSlot == NoWorker)
        return false;
    const auto *reservation = m_workers.at(found.task->workerSlot).ledger.find(task);
    return reservation != nullptr && reservation->state == reservation_state::Stopping;
}

// Returns what the team's tasks with a hold will add to its reservations, less what its stopping
// victims will release.
resources scheduler::pendingTeamChange(std::uint16_t team)
{
    resources sum;
    for (const auto &task : m_tasksWithHold) {
        const auto found = findTask(task);
        if (found && found.task->holdSlot != NoWorker && found.job->team == team)
            sum += found.task->holdAmount;
    }
    for (const auto &victim : m_quotaVictims) {
        const auto found = findTask(victim);
        if (found && found.job->team == team && isStopping(victim))
            sum -= found.task->chargedQuota;
    }
    return sum;
}

bool scheduler::holdCapacity(planning_pass &pass, job_record &job, std::int32_t index,
                             const placement_request &request)
{
    const auto plan = m_preemptionPlanner.planPreemption(request, job.rank);
    if (plan)
        holdCapacity(pass, job, index, request, *plan);
    return plan.has_value();
}

void scheduler::holdCapacity(planning_pass &pass, job_record &job, std::int32_t index,
                             const placement_request &request, const preemption_plan &plan)
{
    auto &record = job.tasks.at(index);
    const auto stopDeadline =
            record.pendingSince + m_settings.urgentStartLimit - m_settings.startMargin;
    const auto victimDeadline = std::max(stopDeadline, pass.now + MinStopTime);
    for (const auto &victim : plan.victims)
        preempt(pass, plan.slot, victim, preempt_reason::UrgentTask, {job.spec.jobId, index},
                victimDeadline);
    m_tasksWithHold.insert({job.spec.jobId, index});
    record.holdSlot = plan.slot;
    record.holdNumber = ++m_lastHoldNumber;
    record.holdAmount = request.demand;
    record.holdUntil = victimDeadline + StopGracePeriod;
    m_workers.at(plan.slot).heldCapacity += request.demand;
    m_workers.updateFreeCapacity(plan.slot);
}

void scheduler::place(planning_pass &pass, job_record &job, std::int32_t index, int slot,
                      const resources &demand)
{
    const task_ref task{job.spec.jobId, index};
    auto &worker = m_workers.at(slot);
    if (!worker.ledger.tryReserve(task, demand))
        return; // not expected, since the capacity was checked; the ledger decides
    auto &record = job.tasks.at(index);
    dequeue(job, index);
    assignToWorker(job, task, record, slot, pass.now);
    m_quarantine.recordStart(task.jobId, worker.info.id, pass.now);
    refreshQuarantine(slot, pass.now); // the task may be a quarantined worker's only probe
    pass.actions.emplace_back(place_action{task, worker.info.id, demand});
    ++m_stats.placed;
}

void scheduler::preempt(planning_pass &pass, int slot, const task_ref &victim,
                        preempt_reason reason, const task_ref &beneficiary,
                        time_point checkpointDeadline)
{
    const auto found = findTask(victim);
    found.task->stopsSoon = reason == preempt_reason::UrgentTask;
    setState(victim, slot, reservation_state::Stopping);
    if (reason != preempt_reason::UrgentTask) {
        found.task->avoidedSlot = slot;
        found.task->avoidUntil = pass.now + m_settings.avoidWorkerFor;
    }
    pass.actions.emplace_back(preempt_action{victim, m_workers.at(slot).info.id, reason,
                                             beneficiary, checkpointDeadline});
    auto &counter = reason == preempt_reason::UrgentTask       ? m_stats.preemptedForUrgent
                    : reason == preempt_reason::MemoryPressure ? m_stats.preemptedForMemory
                                                               : m_stats.preemptedForInterference;
    ++counter;
}

} // namespace zinniabarrow::placement
