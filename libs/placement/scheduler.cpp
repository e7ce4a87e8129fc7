// Sections: Configuration and workers | Records | Tasks | Measurements | Watching

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

// Classes beyond it share the last number: they are placed all the same, only not told apart.
constexpr class_number MostClasses = 4095;

placer_settings withQuantile(placer_settings settings)
{
    if (settings.quantileFromWeights)
        settings.sizes.memoryQuantile = memoryQuantileFor(settings.weights);
    return settings;
}

// A task is not its own neighbour; others of its class are.
std::vector<class_millicores> without(std::vector<class_millicores> amounts,
                                      const class_millicores &itself)
{
    for (auto &amount : amounts) {
        if (amount.jobClass == itself.jobClass)
            amount.millicores = std::max<std::int64_t>(0, amount.millicores - itself.millicores);
    }
    return amounts;
}

} // namespace

std::string_view nameOf(preempt_reason reason)
{
    return nameOf(PreemptNames, reason);
}

placer::placer(const placer_settings &settings)
    : m_settings(withQuantile(settings))
    , m_sizes(m_settings.sizes)
    , m_quarantine(m_settings.quarantine)
    , m_interference(m_settings.interference)
    , m_chooser(m_settings, m_workers, m_interference)
    , m_roomMaker(m_workers, m_tasks, m_chooser)
    , m_evictions(m_settings.relief.evictionBurst)
{ }

// --- Configuration and workers -------------------------------------------------------------------

void placer::setPool(const pool_info &pool, time_point)
{
    auto &state = m_workers.pool(m_workers.poolNumber(pool.name));
    state.largest = pool.workerSize;
    state.configured = true;
    for (const int slot : state.slots)
        state.largest = largest(state.largest, m_workers.at(slot).info.size);
    ++state.generation;
}

void placer::setTeam(const team_quota &quota)
{
    m_quotas.setQuota(quota);
}

void placer::setTeamPart(const std::string &team, const resources &part)
{
    m_quotas.setPart(m_quotas.teamNumber(team), part);
}

team_use placer::useOf(const std::string &team)
{
    const auto number = m_quotas.teamNumber(team);
    team_use use;
    use.held = m_quotas.heldBy(number);
    const auto add = [&](const job_record &job, std::size_t tasks) {
        const auto demand = demandOf(job);
        const auto count = static_cast<std::int64_t>(tasks);
        use.waiting +=
                {demand.millicores * count, demand.bytes * count, demand.accelerators * count};
        use.largest = largest(use.largest, demand);
    };
    for (int rank = 0; rank < Ranks; ++rank) {
        const auto &teams = m_queue.rank(rank);
        const auto jobs = teams.find(static_cast<std::uint16_t>(number));
        if (jobs == teams.end())
            continue;
        for (const auto &[sequence, job] : jobs->second)
            add(*job, job->pending.size());
    }
    for (const auto &task : m_ahead) {
        const auto found = find(task);
        if (found.job->team == number)
            add(*found.job, 1);
    }
    // What the workers here cannot take would be kept from placers whose workers can.
    const auto room = largest(m_workers.total() - use.held, resources{});
    use.waiting = smallest(use.waiting, room);
    if (!use.largest.fitsIn(room))
        use.largest = {};
    return use;
}

void placer::addWorker(const worker_info &worker, time_point now)
{
    const int slot = m_workers.open(worker.id);
    const auto before = m_workers.at(slot).info.size.millicores;
    m_workers.setInfo(slot, worker, now);
    carryLevels(slot, before);
    m_quotas.setTotal(m_workers.total());
}

void placer::resizeWorker(const std::string &worker, const resources &size, time_point)
{
    const int slot = m_workers.slotOf(worker);
    if (slot == worker_table::NoSlot)
        return;
    const auto before = m_workers.at(slot).info.size.millicores;
    m_workers.resize(slot, size);
    carryLevels(slot, before);
    m_quotas.setTotal(m_workers.total());
}

void placer::removeWorker(const std::string &worker, time_point)
{
    const int slot = m_workers.slotOf(worker);
    if (slot == worker_table::NoSlot)
        return;
    m_workers.setInService(slot, false);
    m_quarantine.forgetWorker(worker); // a worker that is gone must not use up the cap
    m_quotas.setTotal(m_workers.total());
    m_workers.closeIfUnused(slot);
}

class_number placer::classNumber(const std::string &jobClass)
{
    const auto next = std::min<std::size_t>(m_classNumbers.size(), MostClasses);
    if (next == MostClasses) {
        const auto found = m_classNumbers.find(jobClass);
        return found == m_classNumbers.end() ? MostClasses : found->second;
    }
    return m_classNumbers.try_emplace(jobClass, static_cast<class_number>(next)).first->second;
}

// --- Records -------------------------------------------------------------------------------------

job_record &placer::jobFor(const task_spec &spec)
{
    auto &job = m_tasks.addJob(spec.jobId);
    // The queue is ordered by rank and team: take the job out before either changes.
    m_queue.erase(job);
    job.spec = spec;
    job.rank = rankOf(spec);
    job.team = static_cast<std::uint16_t>(m_quotas.teamNumber(spec.team));
    job.jobClass = classNumber(spec.jobClass);
    job.pool = m_workers.poolNumber(spec.pool);
    job.blockedAt = 0;
    if (!job.pending.empty())
        m_queue.insert(job);
    return job;
}

placer::found_task placer::find(const task_ref &task)
{
    auto *job = m_tasks.findJob(task.jobId);
    if (!job)
        return {};
    const auto found = job->tasks.find(task.taskIndex);
    if (found == job->tasks.end())
        return {};
    return {job, &found->second};
}

// Messages come twice and out of order. An event for a worker on which the task is not placed is
// about the past: acting on it would free room that is in use.
placer::found_task placer::placedOn(const task_ref &task, const std::string &worker)
{
    const auto found = find(task);
    if (found && found.task->worker != NoWorker
        && m_workers.at(found.task->worker).info.id == worker)
        return found;
    ++m_stats.staleEvents;
    return {};
}

void placer::enqueue(job_record &job, std::int32_t index, time_point now)
{
    if (!job.pending.insert(index).second)
        return;
    ++m_pendingTasks;
    job.tasks[index].pendingSince = now;
    job.blockedAt = 0;
    m_queue.insert(job);
}

void placer::dequeue(job_record &job, std::int32_t index)
{
    if (job.pending.erase(index) == 0)
        return;
    --m_pendingTasks;
    if (job.pending.empty())
        m_queue.erase(job);
}

void placer::charge(task_record &record, const resources &amount)
{
    m_quotas.refund(record.team, record.charged);
    m_quotas.charge(record.team, amount);
    record.charged = amount;
}

void placer::dropHold(task_record &record)
{
    if (record.nominated == NoWorker)
        return;
    m_workers.at(record.nominated).held -= record.heldRoom;
    m_workers.roomChanged(record.nominated);
    m_workers.closeIfUnused(record.nominated);
    record.nominated = NoWorker;
    record.heldRoom = {};
}

void placer::neighbourChanged(int slot, class_number jobClass, std::int64_t millicores,
                              time_point now)
{
    auto &worker = m_workers.at(slot);
    worker.history.change(jobClass, millicores, now);
    const std::vector<class_millicores> change{{jobClass, millicores}};
    // Samples are late: until one shows the change, its expected effect is carried forward.
    for (const auto &part : partsOf(change, worker.info.size.millicores)) {
        for (auto &service : worker.services)
            service.level += m_interference.effect(service.jobClass, jobClass).mean * part.part;
    }
}

// A new owner learns from the table what runs on a worker, and its size when its agent reports. The
// levels rest on the parts of the worker that the neighbours hold: left as they were counted
// before, batch would wait beside services that nothing slows.
void placer::carryLevels(int slot, std::int64_t millicoresBefore)
{
    auto &worker = m_workers.at(slot);
    const auto whole = worker.info.size.millicores;
    for (auto &service : worker.services) {
        const class_millicores itself{service.jobClass, find(service.task).task->limitMillicores};
        const auto others = without(worker.history.current(), itself);
        service.level +=
                m_interference.expected(service.jobClass, partsOf(others, whole))
                - m_interference.expected(service.jobClass, partsOf(others, millicoresBefore));
    }
}

// The ledger entry exists already; everything else that follows from a task being on a worker.
void placer::occupy(const job_record &job, const task_ref &task, task_record &record, int slot,
                    time_point now)
{
    auto &worker = m_workers.at(slot);
    record.worker = slot;
    record.jobClass = job.jobClass;
    record.team = job.team;
    record.told = worker.book.find(task)->reserved;
    record.limitMillicores = record.told.millicores;
    record.peakBytes = 0;
    record.stopsSoon = false;
    record.startedAt = now;
    charge(record, record.told);
    const auto whole = worker.info.size.millicores;
    const double expected =
            m_interference.expected(job.jobClass, partsOf(worker.history.current(), whole));
    neighbourChanged(slot, record.jobClass, record.limitMillicores, now);
    if (job.spec.kind == task_kind::Service)
        worker.services.push_back({task, job.jobClass, {}, {}, expected});
    m_workers.roomChanged(slot);
}

void placer::vacate(const task_ref &task, task_record &record, time_point now)
{
    const int slot = record.worker;
    auto &worker = m_workers.at(slot);
    std::erase_if(worker.services, [&](const auto &watch) { return watch.task == task; });
    neighbourChanged(slot, record.jobClass, -record.limitMillicores, now);
    if (record.limitMillicores < record.told.millicores)
        --worker.throttledTasks;
    charge(record, {});
    const bool owing = worker.book.owed() != resources{};
    worker.book.release(task);
    if (owing)
        queueRaises(slot);
    record.worker = NoWorker;
    m_workers.roomChanged(slot);
    m_workers.closeIfUnused(slot);
}

void placer::erase(job_record &job, std::int32_t index)
{
    const auto jobId = job.spec.jobId;
    const auto found = job.tasks.find(index);
    if (found != job.tasks.end()) {
        dropHold(found->second);
        leaveBacklog({jobId, index}, found->second);
    }
    dequeue(job, index);
    job.tasks.erase(index);
    if (job.tasks.empty())
        m_tasks.eraseJob(jobId);
}

bool placer::isCancelled(const task_ref &task)
{
    if (!m_cancelled.contains(task))
        return false;
    ++m_stats.lateCancelled;
    return true;
}

// --- Tasks ---------------------------------------------------------------------------------------

void placer::taskPending(const task_spec &task, time_point now)
{
    if (isCancelled(task.ref()))
        return;
    auto &job = jobFor(task);
    if (job.tasks.try_emplace(task.taskIndex).second)
        enqueue(job, task.taskIndex, now);
}

void placer::taskPlaced(const task_spec &task, const std::string &worker, const resources &reserved,
                        entry_state state, time_point now)
{
    const auto ref = task.ref();
    auto &job = jobFor(task);
    if (aheadOn(ref, worker))
        return; // it does not run there yet
    dequeue(job, task.taskIndex);
    auto &record = job.tasks[task.taskIndex];
    dropHold(record);
    leaveBacklog(ref, record);
    if (record.worker != NoWorker)
        vacate(ref, record, now);
    record.cancelled = m_cancelled.contains(ref);
    const int slot = m_workers.open(worker);
    if (!m_workers.at(slot).inService)
        m_workers.at(slot).pool = job.pool;
    m_workers.at(slot).book.adopt(ref, reserved, state);
    occupy(job, ref, record, slot, now);
}

void placer::reopenJob(const std::string &jobId)
{
    m_cancelled.forgetJob(jobId);
}

void placer::setState(const task_ref &task, int slot, entry_state state)
{
    m_workers.at(slot).book.setState(task, state);
    m_workers.roomChanged(slot);
}

void placer::taskSettled(const task_ref &task, const std::string &worker, placement_outcome outcome,
                         time_point now)
{
    if (const auto waits = aheadOn(task, worker)) {
        waits.task->aheadSettled |= outcome == placement_outcome::Applied;
        if (outcome == placement_outcome::NotApplied)
            releaseAhead(task, worker, now);
        return;
    }
    const auto found = placedOn(task, worker);
    if (!found)
        return;
    if (outcome == placement_outcome::NotApplied) {
        makeWaiting(task, worker, now);
        return;
    }
    // A lost answer may stand for a write that took effect: freeing the room would give it twice,
    // so the entry stays counted, and the task is not placed elsewhere, until the rows were read
    // back.
    const auto state = m_workers.at(found.task->worker).book.find(task)->state;
    if (outcome == placement_outcome::Unknown && state == entry_state::Placed)
        setState(task, found.task->worker, entry_state::Ambiguous);
    if (outcome == placement_outcome::Applied && state == entry_state::Ambiguous)
        setState(task, found.task->worker, entry_state::Placed);
}

void placer::taskRunning(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = placedOn(task, worker);
    if (!found)
        return;
    const auto state = m_workers.at(found.task->worker).book.find(task)->state;
    // A stop that was asked for is not taken back by a report that was sent before it.
    if (state != entry_state::Placed && state != entry_state::Ambiguous)
        return;
    found.task->startedAt = now;
    setState(task, found.task->worker, entry_state::Running);
}

void placer::taskStopping(const task_ref &task, const std::string &worker, time_point)
{
    const auto found = placedOn(task, worker);
    if (found)
        setState(task, found.task->worker, entry_state::Stopping);
}

void placer::makeWaiting(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = placedOn(task, worker);
    if (!found)
        return;
    vacate(task, *found.task, now);
    if (found.task->cancelled)
        erase(*found.job, task.taskIndex);
    else
        enqueue(*found.job, task.taskIndex, now);
}

void placer::taskReleased(const task_ref &task, const std::string &worker, time_point now)
{
    if (releaseAhead(task, worker, now))
        return;
    makeWaiting(task, worker, now);
}

void placer::taskEnded(const task_ref &task, const std::string &worker, time_point now)
{
    const auto found = placedOn(task, worker);
    if (!found)
        return;
    if (!found.task->cancelled) {
        m_quarantine.succeeded(task.jobId, worker, found.task->startedAt);
        found.job->usage.finishedTasks += found.task->peakBytes > 0 ? 1 : 0;
        refreshProbing(found.task->worker, now);
    }
    vacate(task, *found.task, now);
    erase(*found.job, task.taskIndex);
}

void placer::taskFailed(const task_ref &task, const std::string &worker, const std::string &reason,
                        time_point now)
{
    const auto found = placedOn(task, worker);
    if (!found)
        return;
    const auto &pool = m_workers.pool(m_workers.at(found.task->worker).pool);
    m_quarantine.failed(task.jobId, worker, pool.name, pool.slots.size(), reason, now);
    if (m_quarantine.isSetAside(worker))
        m_setAside.insert(found.task->worker);
    refreshProbing(found.task->worker, now);
    // Packing would put it back on the same worker, where it fails again and proves nothing new.
    found.task->avoid = found.task->worker;
    found.task->avoidUntil = now + m_settings.avoidFor;
    makeWaiting(task, worker, now);
}

std::vector<task_ref> placer::cancelTasks(std::span<const task_ref> tasks, time_point)
{
    std::vector<task_ref> toStop;
    for (const auto &task : tasks) {
        m_cancelled.add(task);
        const auto found = find(task);
        if (!found)
            continue;
        if (found.task->worker == NoWorker) {
            erase(*found.job, task.taskIndex);
            continue;
        }
        // It may run until its end is confirmed: counted until then.
        found.task->cancelled = true;
        found.task->stopsSoon = true;
        setState(task, found.task->worker, entry_state::Stopping);
        toStop.push_back(task);
    }
    return toStop;
}

std::vector<task_ref> placer::cancelJob(const std::string &jobId, time_point now)
{
    m_cancelled.add(cancel_memory::wholeJob(jobId));
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

void placer::usageSampled(const usage_sample &sample, time_point now)
{
    const auto found = placedOn(sample.task, sample.worker);
    if (!found)
        return;
    // Late: it may be of an earlier attempt that ran on the same worker. That one's peak is still
    // what the job was seen to use, but not what this attempt uses.
    const bool earlier = sample.measuredAt < found.task->startedAt;
    if (earlier)
        found.job->usage.peakBytes = std::max(found.job->usage.peakBytes, sample.used.bytes);
    if (earlier || sample.measuredAt <= found.task->sampledAt) {
        ++m_stats.droppedSamples;
        return;
    }
    found.task->sampledAt = sample.measuredAt;
    m_sizes.observe(found.job->spec.jobClass, found.task->peakBytes, sample.used, now);
    found.task->peakBytes = std::max(found.task->peakBytes, sample.used.bytes);
    found.job->usage.peakBytes = std::max(found.job->usage.peakBytes, sample.used.bytes);
    if (now - found.task->startedAt >= m_settings.provenAfter)
        m_quarantine.succeeded(sample.task.jobId, sample.worker, found.task->startedAt);
    raiseReservation(sample.task, *found.task, sample.used);
}

// Without it, a task that outgrows its declared size takes memory that the ledger gives to the next
// one, and the worker runs out. The raise comes while there is headroom left; what does not fit is
// owed, which keeps new tasks away, and plan() evicts for it.
void placer::raiseReservation(const task_ref &task, task_record &record, const resources &used)
{
    if (!m_settings.sizes.learn)
        return;
    const int slot = record.worker;
    auto &book = m_workers.at(slot).book;
    const auto wanted = m_sizes.raisedFor(book.find(task)->reserved, used);
    if (wanted == book.find(task)->wanted)
        return;
    if (!book.raise(task, wanted))
        m_owing.insert(slot);
    charge(record, book.find(task)->wanted);
    queueRaises(slot);
    m_workers.roomChanged(slot);
}

void placer::queueRaises(int slot)
{
    for (const auto &[task, entry] : m_workers.at(slot).book.entries()) {
        const auto found = find(task);
        if (found && found.task->told != entry.reserved)
            m_raises.push_back(task);
    }
}

void placer::latencySampled(const latency_sample &sample, time_point now)
{
    const auto found = placedOn(sample.task, sample.worker);
    if (!found)
        return;
    const int slot = found.task->worker;
    auto &worker = m_workers.at(slot);
    auto *watch = worker.watchOf(sample.task);
    auto neighbours = worker.history.at(sample.measuredAt);
    // Of a worker of unknown size it cannot be said how much its neighbours press.
    const bool sized = worker.info.size.millicores > 0;
    if (!watch || !neighbours || !sized || sample.measuredAt <= watch->measuredAt
        || sample.target.count() <= 0) {
        ++m_stats.droppedSamples;
        return;
    }
    watch->measuredAt = sample.measuredAt;
    const double p99 = static_cast<double>(std::max<std::int64_t>(sample.p99.count(), 1));
    const double ratio = std::log(p99 / static_cast<double>(sample.target.count()));
    const class_millicores itself{found.task->jobClass, found.task->limitMillicores};
    const auto whole = worker.info.size.millicores;
    const auto then = partsOf(without(*neighbours, itself), whole);
    const auto today = partsOf(without(worker.history.current(), itself), whole);
    m_interference.learn(watch->jobClass, then, ratio, sample.measuredAt);
    watch->level = ratio + m_interference.expected(watch->jobClass, today)
                   - m_interference.expected(watch->jobClass, then);
    if (sample.measuredAt > worker.actedAt)
        watch->signal.add(ratio, m_settings.signal);
    if (watch->signal.isRaised()) {
        worker.raisedAt = now;
        m_disturbed.insert(slot);
    }
}

// --- Watching ------------------------------------------------------------------------------------

std::string placer::explain(const task_ref &task, time_point now) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    const auto name = toText(task);
    if (!job || !job->tasks.contains(task.taskIndex))
        return name + " is not known here";
    const auto &record = job->tasks.at(task.taskIndex);
    if (record.ahead != NoWorker)
        return name + " waits in the backlog of " + m_workers.at(record.ahead).info.id;
    if (record.worker != NoWorker) {
        const auto &worker = m_workers.at(record.worker);
        return name + " is on " + worker.info.id + ", "
               + std::string(nameOf(worker.book.find(task)->state));
    }
    switch (job->wait) {
    case wait_reason::NotTried:
        return name + " waits for the next decision";
    case wait_reason::NoWorkers:
        return name + " waits: pool " + job->spec.pool + " has no workers";
    case wait_reason::NoRoom:
        return name + " waits for room in pool " + job->spec.pool + ": it needs "
               + toText(demandOf(*job));
    case wait_reason::TeamLimit:
        return name + " waits: team " + job->spec.team + " has reached its quota";
    case wait_reason::JobQuarantined:
        return name + " waits: " + m_quarantine.reasonFor(task.jobId, now);
    case wait_reason::MakingRoom:
        return name + " waits while batch tasks are stopped for it";
    case wait_reason::WouldSlowService:
        return name + " waits: everywhere in pool " + job->spec.pool
               + " it would slow a service more than it is worth";
    }
    return name + " waits";
}

std::string placer::workerOf(const task_ref &task) const
{
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || !job->tasks.contains(task.taskIndex))
        return {};
    const auto &record = job->tasks.at(task.taskIndex);
    const int slot = record.worker != NoWorker ? record.worker : record.ahead;
    return slot == NoWorker ? std::string() : m_workers.at(slot).info.id;
}

const ledger *placer::ledgerOf(const std::string &worker) const
{
    const int slot = m_workers.slotOf(worker);
    return slot == worker_table::NoSlot ? nullptr : &m_workers.at(slot).book;
}

} // namespace zinniabarrow::placement
