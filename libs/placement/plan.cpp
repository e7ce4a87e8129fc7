// The placer's decisions: raises, room for memory, and the tasks that wait.
#include <algorithm>
#include <string>
#include <utility>

#include "placement/scheduler.h"

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MostNoRoom = 64;    // demands remembered in one run
constexpr milliseconds ShortestStop{300}; // left to a victim of an urgent task, at least
constexpr milliseconds StopGrace{300};   // for the report of a stop, before another worker is tried
constexpr milliseconds UrgentRetry{100}; // when not even evictions make room
constexpr seconds AvoidLateWorker{10};   // that made no room in time

// The rank that every batch task comes after: it makes room for memory, not for a task.
constexpr int BeforeBatch = 0;

std::string nameOfLimit(const resources &amount, const resources &limit)
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

bool mayPreempt(const task_spec &task)
{
    return task.priority == task_priority::Urgent || task.kind == task_kind::Service;
}

} // namespace

std::vector<placement_action> placer::plan(time_point now, int maxDecisions)
{
    plan_run run;
    run.now = now;
    run.most = static_cast<std::size_t>(std::max(maxDecisions, 0));
    m_evictions.refill(m_settings.relief, m_workers.inService(), now);
    refreshSetAside(now);
    sendRaises(run);
    relieveMemory(run);
    placeWaiting(run);
    expireHolds(run);
    if (m_settings.relieveServices)
        relieveServices(run);
    return std::move(run.actions);
}

// Set-aside workers come back when their cool-down ends, which no event tells.
void placer::refreshSetAside(time_point now)
{
    for (auto next = m_setAside.begin(); next != m_setAside.end();) {
        refreshProbing(*next, now);
        const bool stays = m_quarantine.isSetAside(m_workers.at(*next).info.id);
        next = stays ? std::next(next) : m_setAside.erase(next);
    }
}

void placer::refreshProbing(int slot, time_point now)
{
    auto &worker = m_workers.at(slot);
    const bool mayTake = m_quarantine.workerMayTake(worker.info.id, now);
    worker.suspect = m_quarantine.isSuspect(worker.info.id);
    if (worker.setAside != mayTake)
        return;
    worker.setAside = !mayTake;
    m_workers.roomChanged(slot);
}

void placer::sendRaises(plan_run &run)
{
    while (!m_raises.empty() && !run.isFull()) {
        const auto task = m_raises.back();
        m_raises.pop_back();
        const auto found = find(task);
        if (!found || found.task->worker == NoWorker)
            continue;
        const auto &worker = m_workers.at(found.task->worker);
        const auto &reserved = worker.book.find(task)->reserved;
        if (found.task->told == reserved)
            continue;
        found.task->told = reserved;
        run.actions.emplace_back(raise_action{task, worker.info.id, reserved});
        ++m_stats.raised;
    }
}

// A worker whose tasks use more than was reserved, with no room for the raise, would run out of
// memory and lose whichever task the kernel picks. Evicting one batch task by policy costs less.
void placer::relieveMemory(plan_run &run)
{
    for (auto next = m_owing.begin(); next != m_owing.end() && !run.isFull();) {
        const int slot = *next;
        const auto &book = m_workers.at(slot).book;
        if (book.owed() == resources{}) {
            next = m_owing.erase(next);
            continue;
        }
        ++next;
        const auto room = book.size() - book.reserved() + m_roomMaker.comingFree(slot);
        const auto missing = largest(book.owed() - room, resources{});
        if (missing == resources{})
            continue;
        const auto victims = m_roomMaker.chooseVictims(slot, missing, BeforeBatch);
        if (!victims)
            continue;
        for (const auto &victim : *victims)
            preempt(run, slot, victim, preempt_reason::MemoryPressure, {},
                    run.now + m_settings.checkpointFor);
    }
}

void placer::placeWaiting(plan_run &run)
{
    for (int rank = 0; rank < Ranks && !run.isFull(); ++rank)
        placeRank(run, m_queue.rank(rank));
}

// One task at a time for the team that holds the least of its share, so that a team with thousands
// of waiting tasks does not take all the room that appears.
void placer::placeRank(plan_run &run, pending_queue::rank_teams &teams)
{
    std::vector<team_cursor> cursors;
    for (auto &[team, jobs] : teams) {
        if (!jobs.empty())
            cursors.push_back({team, &jobs, 0, 0});
    }
    while (!cursors.empty() && !run.isFull()) {
        const auto first = std::min_element(
                cursors.begin(), cursors.end(), [this](const auto &left, const auto &right) {
                    return m_quotas.weightedShare(left.team) < m_quotas.weightedShare(right.team);
                });
        if (!advance(run, *first))
            cursors.erase(first);
    }
}

// Goes on with the team's jobs until one task is placed. False when none is left.
bool placer::advance(plan_run &run, team_cursor &cursor)
{
    while (!run.isFull()) {
        // By number, not by iterator: a job whose last task was placed has left the queue.
        const auto found = cursor.jobs->lower_bound(cursor.sequence);
        if (found == cursor.jobs->end())
            return false;
        if (found->first != cursor.sequence)
            cursor = {cursor.team, cursor.jobs, found->first, 0};
        const auto result = tryNext(run, *found->second, cursor.fromIndex);
        if (result == try_result::JobWaits)
            cursor = {cursor.team, cursor.jobs, cursor.sequence + 1, 0};
        if (result == try_result::Placed)
            return true;
    }
    return true;
}

placer::try_result placer::tryNext(plan_run &run, job_record &job, std::int32_t &fromIndex)
{
    const auto next = job.pending.lower_bound(fromIndex);
    if (next == job.pending.end())
        return try_result::JobWaits;
    const auto index = *next;
    if (fromIndex == 0 && refuseWhole(run, job))
        return try_result::JobWaits;
    if (mustWait(run, job))
        return try_result::JobWaits;
    fromIndex = index + 1;
    return tryTask(run, job, index);
}

// Refused at once and by name of the limit: a task that can never run would only hide in the queue.
bool placer::refuseWhole(plan_run &run, job_record &job)
{
    const auto &pool = m_workers.pool(job.pool);
    const bool known = pool.configured
                       || (pool.firstWorkerAt != Never
                           && run.now - pool.firstWorkerAt >= m_settings.learnPoolFor);
    if (known && !job.spec.declared.fitsIn(pool.largest)) {
        refuseAll(run, job, error_kind::NeverFits,
                  "the largest worker of pool " + pool.name + " is too small in "
                          + nameOfLimit(job.spec.declared, pool.largest)
                          + " there; declare less or add larger workers");
        return true;
    }
    const auto dimension = m_quotas.impossibleDimension(job.team, job.spec.declared);
    if (dimension) {
        refuseAll(run, job, error_kind::QuotaExceeded,
                  "one task asks for " + toText(job.spec.declared) + ", and the quota of team "
                          + job.spec.team + " allows " + toText(m_quotas.quotaOf(job.team).limit)
                          + "; the limit in " + *dimension
                          + " is exceeded: declare less or raise the quota");
        return true;
    }
    if (pool.slots.empty()) {
        job.wait = wait_reason::NoWorkers;
        return true;
    }
    return false;
}

void placer::refuseAll(plan_run &run, job_record &job, error_kind kind, const std::string &reason)
{
    auto &counter = kind == error_kind::NeverFits ? m_stats.refusedNeverFits : m_stats.refusedQuota;
    const auto jobId = job.spec.jobId;
    const std::vector<std::int32_t> indexes(job.pending.begin(), job.pending.end());
    for (const auto index : indexes) {
        if (run.isFull())
            return;
        run.actions.emplace_back(refuse_action{{jobId, index}, kind, reason});
        ++counter;
        erase(job, index); // the last one ends the job's record
    }
}

bool placer::mustWait(plan_run &run, job_record &job)
{
    if (!m_quarantine.jobMayStart(job.spec.jobId, run.now)) {
        job.wait = wait_reason::JobQuarantined;
        if (!job.quarantineTold) {
            run.actions.emplace_back(
                    refuse_action{{job.spec.jobId, *job.pending.begin()},
                                  error_kind::Quarantined,
                                  m_quarantine.reasonFor(job.spec.jobId, run.now)});
            ++m_stats.refusedQuarantined;
        }
        job.quarantineTold = true;
        return true;
    }
    job.quarantineTold = job.quarantineTold && m_quarantine.isQuarantined(job.spec.jobId);
    if (!m_quotas.allows(job.team, demandOf(job))) {
        job.wait = wait_reason::TeamLimit;
        if (job.spec.priority == task_priority::Urgent)
            makeQuota(run, job);
        return true;
    }
    return job.blockedAt == m_workers.pool(job.pool).generation && run.now < job.retryAt;
}

bool placer::foundNoRoom(const plan_run &run, std::size_t pool, const resources &demand)
{
    return std::any_of(run.noRoom.begin(), run.noRoom.end(), [&](const auto &failed) {
        return failed.first == pool && failed.second.fitsIn(demand);
    });
}

void placer::rememberNoRoom(plan_run &run, std::size_t pool, const resources &demand)
{
    // Larger ones say nothing more.
    std::erase_if(run.noRoom, [&](const auto &failed) {
        return failed.first == pool && demand.fitsIn(failed.second);
    });
    if (run.noRoom.size() < MostNoRoom)
        run.noRoom.emplace_back(pool, demand);
}

// A learned size never makes a task impossible that could run as declared.
resources placer::demandOf(const job_record &job) const
{
    const auto &declared = job.spec.declared;
    const auto learned = m_sizes.reservationFor(job.spec, job.usage);
    auto bound = m_workers.pool(job.pool).largest;
    const auto &limit = m_quotas.quotaOf(job.team).limit;
    if (limit.millicores > 0)
        bound.millicores = std::min(bound.millicores, limit.millicores);
    if (limit.bytes > 0)
        bound.bytes = std::min(bound.bytes, limit.bytes);
    // Learning may lower the processor time, so the bound holds back only what was learned on top.
    resources demand = learned;
    demand.millicores =
            std::min(learned.millicores, std::max(bound.millicores, declared.millicores));
    demand.bytes = std::min(learned.bytes, std::max(bound.bytes, declared.bytes));
    return demand;
}

place_request placer::requestFor(const job_record &job, const task_record &record,
                                 const resources &demand, time_point now) const
{
    place_request request;
    request.kind = job.spec.kind;
    request.jobClass = job.jobClass;
    request.pool = job.pool;
    request.demand = demand;
    request.mustStart = job.spec.priority == task_priority::Urgent;
    request.avoid = now < record.avoidUntil ? record.avoid : NoWorker;
    request.waited = now - record.pendingSince;
    if (job.spec.kind != task_kind::Service)
        return request;
    for (const auto &[index, other] : job.tasks) {
        const int slot = other.worker != NoWorker ? other.worker : other.nominated;
        if (slot != NoWorker)
            request.replicas.add(m_workers.at(slot), slot);
    }
    return request;
}

placer::try_result placer::tryTask(plan_run &run, job_record &job, std::int32_t index)
{
    auto &record = job.tasks.at(index);
    const auto demand = demandOf(job);
    const bool preempts = mayPreempt(job.spec);
    if (placeOnHeldRoom(run, job, index, demand))
        return try_result::Placed;
    const auto request = requestFor(job, record, demand, run.now);
    if (!preempts && foundNoRoom(run, job.pool, demand)) {
        job.wait = wait_reason::NoRoom;
        return try_result::JobWaits;
    }
    const auto choice = m_chooser.choose(request);
    if (choice.outcome == choice_outcome::Found) {
        dropHold(record);
        place(run, job, index, choice.slot, demand);
        return try_result::Placed;
    }
    if (preempts && (record.nominated != NoWorker || holdRoom(run, job, index, request))) {
        job.wait = wait_reason::MakingRoom;
        return try_result::TaskWaits;
    }
    const bool slows = choice.outcome == choice_outcome::WouldSlowService;
    job.wait = slows ? wait_reason::WouldSlowService : wait_reason::NoRoom;
    if (request.avoid != NoWorker)
        return try_result::TaskWaits; // others of the job may go where this one may not
    if (!slows)
        rememberNoRoom(run, job.pool, demand);
    job.blockedAt = m_workers.pool(job.pool).generation;
    job.retryAt = run.now + (preempts ? UrgentRetry : m_settings.retryAfter);
    return try_result::JobWaits;
}

// Room that victims have left is used first. When they have not left in time another worker is
// tried: one that does not stop its tasks must not keep urgent work waiting.
bool placer::placeOnHeldRoom(plan_run &run, job_record &job, std::int32_t index,
                             const resources &demand)
{
    auto &record = job.tasks.at(index);
    if (record.nominated == NoWorker)
        return false;
    const int slot = record.nominated;
    const auto &worker = m_workers.at(slot);
    const bool takes = worker.inService && !worker.setAside;
    if (takes && demand.fitsIn(worker.book.available() - heldBefore(record))) {
        dropHold(record);
        place(run, job, index, slot, demand);
        return true;
    }
    if (!takes || run.now >= record.nominatedUntil)
        giveUpHold(record, run.now);
    return false;
}

// Held on the same worker for tasks that came first. Later holds do not count: their victims may
// still run, and would keep this task from room that its own have left.
resources placer::heldBefore(const task_record &record)
{
    resources sum;
    for (const auto &task : m_holds) {
        const auto other = find(task);
        if (other && other.task->nominated == record.nominated
            && other.task->nomination < record.nomination)
            sum += other.task->heldRoom;
    }
    return sum;
}

void placer::giveUpHold(task_record &record, time_point now)
{
    record.avoid = record.nominated;
    record.avoidUntil = now + AvoidLateWorker;
    dropHold(record);
}

// A task that was not tried in time (its team reached its quota, its job was quarantined) must not
// keep room from others for ever.
void placer::expireHolds(plan_run &run)
{
    for (auto next = m_holds.begin(); next != m_holds.end();) {
        const auto found = find(*next);
        const bool holds = found && found.task->nominated != NoWorker;
        if (holds && run.now < found.task->nominatedUntil) {
            ++next;
            continue;
        }
        if (holds)
            giveUpHold(*found.task, run.now);
        next = m_holds.erase(next);
    }
}

// The team's own batch fills its quota: it could keep its urgent work waiting for hours. The tasks
// that hold room already, and the victims that have not left yet, count as if both had happened, so
// that each waiting task stops its own victims once.
void placer::makeQuota(plan_run &run, job_record &job)
{
    std::erase_if(m_quotaVictims, [this](const task_ref &victim) { return !isStopping(victim); });
    const auto demand = demandOf(job);
    for (const auto index : job.pending) {
        const auto &record = job.tasks.at(index);
        if (record.nominated != NoWorker)
            continue;
        const auto excess = m_quotas.excess(job.team, demand + comingToTeam(job.team));
        const auto request = requestFor(job, record, demand, run.now);
        const auto plan = m_roomMaker.makeOwnRoom(request, job.rank, job.team, excess);
        if (!plan)
            return;
        m_quotaVictims.insert(m_quotaVictims.end(), plan->victims.begin(), plan->victims.end());
        holdRoom(run, job, index, request, *plan);
    }
}

bool placer::isStopping(const task_ref &task)
{
    const auto found = find(task);
    if (!found || found.task->worker == NoWorker)
        return false;
    const auto *entry = m_workers.at(found.task->worker).book.find(task);
    return entry != nullptr && entry->state == entry_state::Stopping;
}

// What the team's held rooms will add to what it holds, less what its stopping victims will give
// back.
resources placer::comingToTeam(std::uint16_t team)
{
    resources sum;
    for (const auto &task : m_holds) {
        const auto found = find(task);
        if (found && found.task->nominated != NoWorker && found.job->team == team)
            sum += found.task->heldRoom;
    }
    for (const auto &victim : m_quotaVictims) {
        const auto found = find(victim);
        if (found && found.job->team == team && isStopping(victim))
            sum -= found.task->charged;
    }
    return sum;
}

bool placer::holdRoom(plan_run &run, job_record &job, std::int32_t index,
                      const place_request &request)
{
    const auto plan = m_roomMaker.makeRoom(request, job.rank);
    if (plan)
        holdRoom(run, job, index, request, *plan);
    return plan.has_value();
}

void placer::holdRoom(plan_run &run, job_record &job, std::int32_t index,
                      const place_request &request, const room_plan &plan)
{
    auto &record = job.tasks.at(index);
    const auto latest =
            record.pendingSince + m_settings.urgentStartsWithin - m_settings.startMargin;
    const auto stopBefore = std::max(latest, run.now + ShortestStop);
    for (const auto &victim : plan.victims)
        preempt(run, plan.slot, victim, preempt_reason::UrgentTask, {job.spec.jobId, index},
                stopBefore);
    m_holds.insert({job.spec.jobId, index});
    record.nominated = plan.slot;
    record.nomination = ++m_nominations;
    record.heldRoom = request.demand;
    record.nominatedUntil = stopBefore + StopGrace;
    m_workers.at(plan.slot).held += request.demand;
    m_workers.roomChanged(plan.slot);
}

void placer::place(plan_run &run, job_record &job, std::int32_t index, int slot,
                   const resources &demand)
{
    const task_ref task{job.spec.jobId, index};
    auto &worker = m_workers.at(slot);
    if (!worker.book.tryReserve(task, demand))
        return; // cannot happen: the room was checked; the ledger has the last word all the same
    auto &record = job.tasks.at(index);
    dequeue(job, index);
    occupy(job, task, record, slot, run.now);
    m_quarantine.started(task.jobId, worker.info.id, run.now);
    refreshProbing(slot, run.now); // the task may be the one probe that a set-aside worker takes
    run.actions.emplace_back(place_action{task, worker.info.id, demand});
    ++m_stats.placed;
}

void placer::preempt(plan_run &run, int slot, const task_ref &victim, preempt_reason reason,
                     const task_ref &beneficiary, time_point checkpointBefore)
{
    const auto found = find(victim);
    found.task->stopsSoon = reason == preempt_reason::UrgentTask;
    setState(victim, slot, entry_state::Stopping);
    if (reason != preempt_reason::UrgentTask) {
        found.task->avoid = slot;
        found.task->avoidUntil = run.now + m_settings.avoidFor;
    }
    run.actions.emplace_back(preempt_action{victim, m_workers.at(slot).info.id, reason, beneficiary,
                                            checkpointBefore});
    auto &counter = reason == preempt_reason::UrgentTask       ? m_stats.preemptedForUrgent
                    : reason == preempt_reason::MemoryPressure ? m_stats.preemptedForMemory
                                                               : m_stats.preemptedForInterference;
    ++counter;
}

} // namespace zinniabarrow::placement
