// Sections: Jobs | Reports of agents | Grants | Silent workers | Records |
// The store, changes for the ledger

#include "work/task_coordinator.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<task_change, 6> ChangeNames = {{
        {task_change::Placed, "placed"},
        {task_change::Started, "started"},
        {task_change::Vacated, "vacated"},
        {task_change::Freed, "freed"},
        {task_change::Ended, "ended"},
        {task_change::Reverted, "reverted"},
}};

constexpr name_table<table_count, 14> CountNames = {{
        {table_count::StaleIncarnation, "stale_incarnation"},
        {table_count::StaleSession, "stale_session"},
        {table_count::StaleReport, "stale_report"},
        {table_count::StaleEvent, "stale_event"},
        {table_count::NewerEpoch, "newer_epoch"},
        {table_count::StaleGeneration, "stale_generation"},
        {table_count::NotPlaceable, "not_placeable"},
        {table_count::BacklogFull, "backlog_full"},
        {table_count::HorizonPassed, "horizon_passed"},
        {table_count::WorkerSilent, "worker_silent"},
        {table_count::WorkerBack, "worker_back"},
        {table_count::FailedOver, "failed_over"},
        {table_count::ProvenGone, "proven_gone"},
        {table_count::StrayStopped, "stray_stopped"},
}};

// A process that loses a shard and takes it again counts its operations from one: without the
// epoch, a row that its first tenure wrote would pass for one that the second has just written.
std::string tenurePrefix(const std::string &prefix, const table_owner &owner)
{
    return prefix + "/" + std::to_string(owner.shard) + "." + std::to_string(owner.epoch);
}

bool isEnd(task_event_kind kind)
{
    return kind != task_event_kind::Started && kind != task_event_kind::Checkpointed;
}

} // namespace

std::string_view nameOf(task_change change)
{
    return nameOf(ChangeNames, change);
}

std::string_view nameOf(table_count reason)
{
    return nameOf(CountNames, reason);
}

task_table::task_table(table_owner owner, const std::string &operationPrefix,
                       table_settings settings)
    : m_owner(owner)
    , m_settings(settings)
    , m_store(owner.shard, owner.shardVersion, tenurePrefix(operationPrefix, owner), settings.store)
{ }

std::vector<table_action> task_table::handle(const table_event &event, time_point now)
{
    m_actions.clear();
    m_pushTo.clear();
    if (m_store.isFenced())
        return {};
    std::visit([&](const auto &one) { on(one, now); }, event);
    takeFromStore();
    pushGrants(now);
    return std::move(m_actions);
}

task_record task_table::find(const task_id &task) const
{
    task_record record = m_store.effective(task);
    const soft_state *soft = findSoft(task, record.attempt);
    if (record.state != task_state::Placed || soft == nullptr)
        return record;
    if (soft->evicting)
        record.state = task_state::Evicting;
    else if (!soft->startedBy.empty())
        record.state = task_state::Running;
    return record;
}

bool task_table::placeable(const task_id &task) const
{
    return m_store.known(task) && !m_store.inFlight(task)
           && m_store.settled(task).state == task_state::Pending;
}

std::vector<std::pair<task_id, task_record>> task_table::occupying() const
{
    std::vector<std::pair<task_id, task_record>> tasks;
    for (const auto &[worker, ids] : m_onWorker) {
        for (const auto &task : ids) {
            const task_record record = m_store.effective(task);
            const task_record settled = m_store.settled(task);
            if (occupies(record) && record.worker == worker)
                tasks.emplace_back(task, find(task));
            else if (occupies(settled) && settled.worker == worker)
                tasks.emplace_back(task, settled);
        }
    }
    return tasks;
}

bool task_table::mayPlaceOn(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.attached && !found->second.overdue
           && !m_store.silent(worker);
}

quiet_workers task_table::quietWorkers(time_point now) const
{
    quiet_workers quiet;
    for (const auto &[name, worker] : m_workers) {
        // An agent reports at least three times within its lease.
        const bool heard = now - worker.reportedAt < m_settings.leases.grantLease / 2;
        if (!heard && !tasksOn(name).empty())
            quiet[name] = mayHoldLeaseUntil(name, worker);
    }
    return quiet;
}

// --- Jobs ----------------------------------------------------------------------------------------

void task_table::on(const generation_followed &event, time_point now)
{
    if (ready())
        m_store.wantFollowed(event.generation, now);
}

namespace {

// All but the generation that it was last written for. Writing every job for every generation
// would take most of the platform's writes: a change concerns one job, as a rule.
bool isSameWork(job_spec left, const job_spec &right)
{
    left.generation = right.generation;
    return left == right;
}

} // namespace

void task_table::on(const job_accepted &event, time_point now)
{
    if (!ready())
        return;
    if (event.spec.generation < m_store.followed()) {
        count(table_count::StaleGeneration);
        return;
    }
    const stored_job *known = m_store.job(event.spec.id);
    if (known != nullptr && (known->cancelled || known->spec.generation >= event.spec.generation))
        return;
    stored_job job{event.spec, event.spec.tasks, false};
    if (known != nullptr) {
        job.spec.firstTask = known->spec.firstTask;
        job.spec.stride = known->spec.stride;
        job.range = std::max(known->range, job.spec.tasks);
    }
    if (known != nullptr && isSameWork(known->spec, job.spec))
        return;
    m_store.wantJob(job, now);
    dropPlaceable(job.spec.id);
    resize(job, now);
}

// Tasks past the new size are cancelled; those that an earlier size had cancelled come back.
void task_table::resize(const stored_job &job, time_point now)
{
    const std::uint32_t end = taskIndexAt(job.spec, job.spec.tasks);
    for (std::uint32_t position = 0; position < job.range; ++position) {
        const task_id task{job.spec.id, taskIndexAt(job.spec, position)};
        task_record record = m_store.effective(task);
        if (task.index < end && record.state == task_state::Cancelled)
            record.state = task_state::Pending;
        if (task.index >= end && record.state == task_state::Pending)
            record.state = task_state::Cancelled;
        if (task.index >= end && record.state == task_state::Placed)
            record.state = task_state::Cancelling;
        want(task, record, now);
    }
}

void task_table::on(const cancel_job &event, time_point now)
{
    const stored_job *known = m_store.job(event.job);
    if (known == nullptr || known->cancelled)
        return;
    stored_job job = *known;
    job.cancelled = true;
    m_store.wantJob(job, now);
    dropPlaceable(event.job);
}

// Placement and eviction.

void task_table::on(const place_decided &event, time_point now)
{
    const bool possible = placeable(event.task) && mayPlaceOn(event.worker);
    const bool full = event.ahead && aheadOn(event.worker) >= m_settings.aheadTasks;
    if (!possible || full) {
        count(full ? table_count::BacklogFull : table_count::NotPlaceable);
        const task_record record = m_store.effective(event.task);
        emit(event.task, task_change::Reverted, record, record.worker);
        return;
    }
    task_record record = m_store.settled(event.task);
    record.state = task_state::Placed;
    ++record.attempt;
    record.worker = event.worker;
    record.incarnation = m_workers[event.worker].incarnation;
    record.ahead = event.ahead;
    want(event.task, record, now);
    m_soft.erase(event.task); // of a placement under this number that had no effect
    if (event.reserved == resources{})
        return;
    soft_state &soft = softOf(event.task, record.attempt);
    soft.reserved = event.reserved;
    soft.reservation = ++m_lastReservation;
}

// Told with the next grant, which follows within a report: nothing waits for it. What may start
// meanwhile was placed by the ledger that counts the raise already.
void task_table::on(const reservation_raised &event, time_point)
{
    const task_record record = m_store.effective(event.task);
    if (!occupies(record))
        return;
    soft_state &soft = softOf(event.task, record.attempt);
    soft.reserved = largest(soft.reserved, event.reserved);
    soft.reservation = ++m_lastReservation;
}

std::size_t task_table::aheadOn(const std::string &worker) const
{
    std::size_t ahead = 0;
    for (const auto &task : tasksOn(worker)) {
        const task_record record = m_store.effective(task);
        const soft_state *soft = findSoft(task, record.attempt);
        const bool started = soft != nullptr && (soft->mayStart || !soft->startedBy.empty());
        if (record.ahead && record.worker == worker && !started)
            ++ahead;
    }
    return ahead;
}

// Placed in the table, and no write is on its way that would change that. A write of the job's row
// is none: a new generation brings one, just when urgent work of that generation needs room.
bool task_table::staysPlaced(const task_id &task) const
{
    const task_record settled = m_store.settled(task);
    const task_record next = m_store.effective(task);
    return settled.state == task_state::Placed && next.state == task_state::Placed
           && settled.attempt == next.attempt;
}

// Also while the write that places it is out: the placer evicts the youngest first, and counts it
// as stopping from now on. Nobody would decide it again, and urgent work would wait for its room.
void task_table::on(const evict_decided &event, time_point)
{
    const task_record next = m_store.effective(event.task);
    if (next.state != task_state::Placed)
        return; // it leaves as it is
    softOf(event.task, next.attempt).evicting = true;
    m_pushTo.insert(next.worker);
}

void task_table::on(const start_ahead_decided &event, time_point)
{
    // Another write of the row or of its job may be on its way: were the decision dropped then, the
    // owner's ledger would count a task that never starts.
    const task_record record = m_store.settled(event.task);
    if (!staysPlaced(event.task) || !record.ahead)
        return;
    softOf(event.task, record.attempt).mayStart = true;
    m_pushTo.insert(record.worker);
}

void task_table::on(const limit_decided &event, time_point)
{
    const task_record record = m_store.effective(event.task);
    if (!occupies(record))
        return;
    softOf(event.task, record.attempt).limit = event.millicores;
    m_pushTo.insert(record.worker);
}

// Reports.

void task_table::on(const report_received &event, time_point now)
{
    const agent_report &report = event.report;
    if (!ready())
        return;
    worker_state &worker = m_workers[report.worker];
    if (!accept(report, worker, now))
        return;
    for (const auto &one : report.events)
        applyEvent(report, one, worker, now);
    applyIncarnation(report.worker, report.incarnation, now);
    worker.ackedThrough = ackable(report, worker.ackedThrough);
    worker.attached = report.epoch == m_owner.epoch;
    worker.reservationsTaken = worker.attached ? report.reservationsTaken : 0;
    if (m_store.silent(report.worker)) {
        // Its tasks may run elsewhere by now, and the table promises that it holds no lease: no
        // grant before the table has taken that back.
        count(table_count::WorkerBack);
        m_store.wantSilent(report.worker, false, now);
        return;
    }
    // The agent counts from its sending of this report, which was before now.
    worker.leaseUntil = now + safeWait(m_settings.leases.grantLease, m_settings.leases);
    worker.overdue = false;
    m_pushTo.insert(report.worker);
}

// --- Reports of agents ---------------------------------------------------------------------------

bool task_table::accept(const agent_report &report, worker_state &worker, time_point now)
{
    if (report.incarnation < worker.incarnation) {
        count(table_count::StaleIncarnation);
        return false;
    }
    if (report.epoch > m_owner.epoch) {
        count(table_count::NewerEpoch);
        return false;
    }
    if (report.incarnation > worker.incarnation) {
        const time_point leaseUntil = worker.leaseUntil;
        worker = worker_state();
        worker.incarnation = report.incarnation;
        worker.leaseUntil = leaseUntil;
    }
    if (!acceptSession(report, worker, now))
        return false;
    if (report.sequence <= worker.sequence) {
        count(table_count::StaleReport);
        return false;
    }
    worker.sequence = report.sequence;
    worker.reportedAt = now;
    return true;
}

// Two agents may speak for one worker while the replaced one is only paused. The last one to appear
// is answered; the older one again only after the newer one fell silent.
bool task_table::acceptSession(const agent_report &report, worker_state &worker, time_point now)
{
    if (report.session == worker.session)
        return true;
    const bool current = now - worker.reportedAt < m_settings.leases.grantLease;
    if (worker.oldSessions.contains(report.session) && current) {
        count(table_count::StaleSession);
        return false;
    }
    worker.oldSessions.erase(report.session);
    if (!worker.session.empty())
        worker.oldSessions.insert(worker.session);
    worker.session = report.session;
    worker.sequence = 0;
    worker.ackedThrough = 0;
    return true;
}

void task_table::applyEvent(const agent_report &report, const task_event &event,
                            worker_state &worker, time_point now)
{
    if (isEnd(event.kind))
        worker.strays.erase({event.task, event.attempt});
    const task_record record = m_store.effective(event.task);
    const bool current =
            occupies(record) && record.attempt == event.attempt && record.worker == report.worker;
    if (!current) {
        if (event.kind == task_event_kind::Started && m_store.settled(event.task) == record) {
            count(table_count::StrayStopped);
            worker.strays.insert({event.task, event.attempt});
        }
        applyLate(event, now);
        return;
    }
    if (event.kind == task_event_kind::Started) {
        applyStarted(report, event);
    } else if (event.kind == task_event_kind::Checkpointed) {
        task_record next = record;
        next.checkpoint = event.checkpoint;
        want(event.task, next, now);
    } else {
        const task_record next = ended(record, event);
        want(event.task, next, now, next.state == task_state::Done);
        emit(event.task, task_change::Vacated, next, record.worker);
    }
}

void task_table::applyStarted(const agent_report &report, const task_event &event)
{
    soft_state &soft = softOf(event.task, event.attempt);
    const bool first = soft.startedBy.empty();
    soft.startedBy = report.session;
    const task_record record = m_store.effective(event.task);
    if (first)
        emit(event.task, task_change::Started, record, record.worker);
}

// The task was taken back from a worker that had been silent, and has not been placed again: what
// the worker did before its lease lapsed still counts.
void task_table::applyLate(const task_event &event, time_point now)
{
    task_record record = m_store.effective(event.task);
    const bool newest = record.state == task_state::Pending && record.attempt == event.attempt;
    const stored_job *job = m_store.job(event.task.job);
    if (!newest || event.attempt == 0 || job == nullptr) {
        count(table_count::StaleEvent);
        return;
    }
    if (event.kind == task_event_kind::Succeeded && !job->spec.service)
        record.state = task_state::Done;
    if (!event.checkpoint.empty())
        record.checkpoint = event.checkpoint;
    want(event.task, record, now);
}

task_record task_table::freed(task_record record) const
{
    record.state =
            record.state == task_state::Cancelling ? task_state::Cancelled : task_state::Pending;
    record.worker.clear();
    record.incarnation = 0;
    record.ahead = false;
    return record;
}

task_record task_table::ended(task_record record, const task_event &event) const
{
    const stored_job *job = m_store.job(event.task.job);
    const bool service = job != nullptr && job->spec.service;
    record = freed(record);
    if (event.kind == task_event_kind::Evicted)
        record.checkpoint = event.checkpoint;
    if (event.kind == task_event_kind::Succeeded && !service) {
        record.state = task_state::Done;
        record.checkpoint.clear();
    }
    if (event.kind == task_event_kind::Failed && record.state == task_state::Pending) {
        ++record.failures;
        if (!service && job != nullptr && record.failures >= job->spec.maxFailures)
            record.state = task_state::Failed;
    }
    return record;
}

// A newer life of the worker's instance proves that what ran in an earlier one has ended.
void task_table::applyIncarnation(const std::string &worker, std::uint64_t incarnation,
                                  time_point now)
{
    for (const auto &task : tasksOn(worker)) {
        const task_record record = m_store.effective(task);
        const bool earlier =
                occupies(record) && record.worker == worker && record.incarnation < incarnation;
        if (!earlier)
            continue;
        count(table_count::ProvenGone);
        want(task, freed(record), now);
    }
}

// Acknowledged in order, and only what the table holds: an agent keeps the rest and repeats it to
// whoever owns the shard next.
std::uint64_t task_table::ackable(const agent_report &report, std::uint64_t acked) const
{
    for (const auto &event : report.events) {
        if (event.number <= acked)
            continue;
        if (!handled(event))
            break;
        acked = event.number;
    }
    return acked;
}

bool task_table::handled(const task_event &event) const
{
    const task_record record = m_store.settled(event.task);
    const bool current = occupies(record) && record.attempt == event.attempt;
    if (event.kind == task_event_kind::Started)
        return true;
    if (event.kind == task_event_kind::Checkpointed)
        return !current || record.checkpoint == event.checkpoint;
    // A late success is on its way to the table while the task is still Pending there.
    return !current && !m_store.inFlight(event.task);
}

// Grants.

// --- Grants --------------------------------------------------------------------------------------

void task_table::pushGrants(time_point now)
{
    for (const auto &name : m_pushTo) {
        const auto worker = m_workers.find(name);
        if (worker != m_workers.end() && !worker->second.session.empty())
            grantTo(name, worker->second, now);
    }
}

void task_table::grantTo(const std::string &name, worker_state &worker, time_point now)
{
    if (m_store.silent(name))
        return;
    worker_grant grant;
    grant.shard = m_owner.shard;
    grant.epoch = m_owner.epoch;
    grant.worker = name;
    grant.incarnation = worker.incarnation;
    grant.session = worker.session;
    grant.replyTo = worker.sequence;
    grant.ackedThrough = worker.ackedThrough;
    grant.startAhead = m_settings.startAheadWhenDown && m_store.down(now);
    // A successor may already count on the end of this owner's horizon.
    if (now < m_mayGrantUntil)
        grant.lease = m_settings.leases.grantLease;
    else
        count(table_count::HorizonPassed);
    grant.stops.assign(worker.strays.begin(), worker.strays.end());
    grant.limits.emplace();
    for (const auto &task : tasksOn(name))
        addTask(grant, worker, task);
    grant.reservationsThrough = m_lastReservation;
    m_actions.emplace_back(send_grant{std::move(grant)});
}

// Only what the table holds is granted, and nothing that is about to change.
void task_table::addTask(worker_grant &grant, const worker_state &worker, const task_id &task) const
{
    const task_record record = m_store.settled(task);
    const task_record next = m_store.effective(task);
    if (!occupies(record) || record.worker != grant.worker
        || record.incarnation != worker.incarnation)
        return;
    const task_attempt attempt{task, record.attempt};
    const soft_state *soft = findSoft(task, record.attempt);
    addReservation(grant, worker, attempt, soft);
    if (soft != nullptr && soft->limit > 0)
        grant.limits->push_back({attempt, soft->limit});
    if (record.state == task_state::Cancelling) {
        grant.stops.push_back(attempt);
        return;
    }
    const bool stays = next.state == task_state::Placed && next.attempt == record.attempt;
    const stored_job *job = m_store.job(task.job);
    if (!stays || job == nullptr)
        return;
    if (soft != nullptr && soft->evicting)
        grant.checkpoints.push_back(attempt);
    if (soft != nullptr && soft->startedBy == worker.session)
        return;
    const granted_task granted{task, record.attempt, job->spec.failover, record.checkpoint,
                               newerCheckpoints(task, record)};
    const bool ahead = record.ahead && (soft == nullptr || !soft->mayStart);
    if (ahead && soft != nullptr && soft->evicting)
        return; // taken back
    (ahead ? grant.backlog : grant.tasks).push_back(granted);
    grant.specs[task.job] = job->spec.spec;
}

// Until the agent says that it counts the raise: a replaced agent starts from declared sizes.
void task_table::addReservation(worker_grant &grant, const worker_state &worker,
                                const task_attempt &attempt, const soft_state *soft)
{
    if (soft == nullptr || soft->reservation == 0)
        return;
    const bool starts = soft->startedBy != worker.session;
    if (starts || soft->reservation > worker.reservationsTaken)
        grant.reservations.push_back({attempt, soft->reserved});
}

// A worker that was lost after it had made a checkpoint and before it could report it leaves the
// object behind; resuming from an older one would do that work twice.
std::vector<std::string> task_table::newerCheckpoints(const task_id &task,
                                                      const task_record &record)
{
    constexpr std::uint32_t Most = 8;
    std::vector<std::string> names;
    for (std::uint32_t attempt = record.attempt - 1; attempt > 0 && names.size() < Most;
         --attempt) {
        const std::string name = checkpointName({task, attempt});
        if (name == record.checkpoint)
            break;
        names.push_back(name);
    }
    return names;
}

// Silent workers.

void task_table::on(const table_tick &, time_point now)
{
    m_store.tick(now);
    if (!ready())
        return;
    // After a pause of this process the reports wait in its queue: that is not silence.
    constexpr milliseconds LongestTick{2'000};
    if (now - m_tickedAt > LongestTick) {
        const auto wait = safeWait(m_settings.leases.grantLease, m_settings.leases);
        for (auto &[name, worker] : m_workers)
            worker.leaseUntil = std::max(worker.leaseUntil, now + wait);
    }
    m_tickedAt = now;
    checkSilent(now);
    forgetWorkers(now);
}

// Instances that were replaced under another name.
void task_table::forgetWorkers(time_point now)
{
    std::erase_if(m_workers, [&](const auto &item) {
        const bool gone = now - item.second.reportedAt > m_settings.leases.horizon
                          && now > item.second.leaseUntil;
        return gone && tasksOn(item.first).empty();
    });
}

// --- Silent workers ------------------------------------------------------------------------------

void task_table::checkSilent(time_point now)
{
    for (auto &[name, worker] : m_workers) {
        worker.overdue = now >= mayHoldLeaseUntil(name, worker);
        if (worker.overdue)
            declareSilent(name, now);
    }
}

// No lease of the worker or of its tasks ends later (docs/design/OWNERSHIP.md). A worker that has
// recorded this epoch takes no lease of an earlier owner; one that the earlier owner had written
// down as silent held none, and one that it had not heard of when it handed the shard over no
// longer than it said then, whoever granted it.
time_point task_table::mayHoldLeaseUntil(const std::string &name, const worker_state &worker) const
{
    const bool attached = worker.attached && m_settings.workersKeepEpoch;
    if (attached || m_store.silentSettled(name))
        return worker.leaseUntil;
    const auto told = m_owner.quiet.find(name);
    const bool known = told != m_owner.quiet.end();
    return std::max(worker.leaseUntil, known ? told->second : m_owner.waitForSilentUntil);
}

// Class Lease may start elsewhere. Class Proof stays until the worker or a newer incarnation of it
// says that the old attempt has ended.
void task_table::declareSilent(const std::string &name, time_point now)
{
    bool moved = false;
    for (const auto &task : tasksOn(name)) {
        const task_record record = m_store.effective(task);
        const stored_job *job = m_store.job(task.job);
        if (!occupies(record) || record.worker != name || job == nullptr)
            continue;
        if (job->spec.failover == failover_class::Proof)
            continue;
        count(table_count::FailedOver);
        want(task, freed(record), now);
        moved = true;
    }
    if (!moved)
        return;
    count(table_count::WorkerSilent);
    m_store.wantSilent(name, true, now);
}

// Records.

// --- Records -------------------------------------------------------------------------------------

void task_table::want(const task_id &task, const task_record &record, time_point now, bool lazy)
{
    m_store.want(task, record, now, lazy);
    refreshPlaceable(task);
    if (occupies(record))
        m_onWorker[record.worker].insert(task);
}

std::vector<task_id> task_table::tasksOn(const std::string &worker) const
{
    const auto found = m_onWorker.find(worker);
    if (found == m_onWorker.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

// Keeps the list of a worker's tasks: those that are settled there, or wanted there.
void task_table::index(const task_id &task, const std::string &worker)
{
    if (worker.empty())
        return;
    const task_record wanted = m_store.effective(task);
    const task_record settled = m_store.settled(task);
    const bool there = (occupies(wanted) && wanted.worker == worker)
                       || (occupies(settled) && settled.worker == worker);
    if (there)
        m_onWorker[worker].insert(task);
    else
        m_onWorker[worker].erase(task);
}

task_table::soft_state &task_table::softOf(const task_id &task, std::uint32_t attempt)
{
    soft_state &soft = m_soft[task];
    if (soft.attempt != attempt)
        soft = {attempt, {}, false, false, {}, 0, 0};
    return soft;
}

const task_table::soft_state *task_table::findSoft(const task_id &task, std::uint32_t attempt) const
{
    const auto found = m_soft.find(task);
    if (found == m_soft.end() || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

void task_table::on(const write_settled &event, time_point now)
{
    m_store.handle(event, now);
}

void task_table::on(const rows_read &event, time_point now)
{
    const bool before = ready();
    m_store.handle(event, now);
    if (!before && ready())
        loaded(now);
}

// --- The store, changes for the ledger -----------------------------------------------------------

// Workers with tasks are known from the rows. Each gets the time to report first: while the rows
// were being read, no report could be answered.
void task_table::loaded(time_point now)
{
    for (const auto &task : m_store.touched()) {
        const task_record record = m_store.settled(task);
        if (!occupies(record))
            continue;
        m_onWorker[record.worker].insert(task);
        worker_state &worker = m_workers[record.worker];
        worker.incarnation = std::max(worker.incarnation, record.incarnation);
        // Of these the last owner has waited for a part already.
        if (m_owner.quiet.contains(record.worker))
            worker.leaseUntil = m_owner.quiet.at(record.worker);
        else if (!m_store.silentSettled(record.worker))
            worker.leaseUntil = now + safeWait(m_settings.leases.grantLease, m_settings.leases);
    }
    m_tickedAt = now;
}

void task_table::on(const horizon_moved &event, time_point)
{
    m_mayGrantUntil = event.until;
}

void task_table::takeFromStore()
{
    for (const auto &change : m_store.takeChanges())
        settle(change);
    for (const auto &job : m_store.takeSettledJobs())
        settleJob(job);
    for (auto &action : m_store.takeActions())
        std::visit([&](auto &one) { m_actions.emplace_back(std::move(one)); }, action);
}

void task_table::settle(const record_change &change)
{
    index(change.task, change.before.worker);
    index(change.task, change.after.worker);
    refreshPlaceable(change.task);
    const task_record &after = change.after;
    if (change.reverted) {
        emit(change.task, task_change::Reverted, after, after.worker);
        return;
    }
    const bool placed = occupies(after) && after.attempt != change.before.attempt;
    const bool left = occupies(change.before) && !occupies(after);
    if (occupies(after))
        m_pushTo.insert(after.worker);
    if (placed)
        emit(change.task, task_change::Placed, after, after.worker);
    else if (isOver(after))
        emit(change.task, task_change::Ended, after, change.before.worker);
    else if (left)
        emit(change.task, task_change::Freed, after, change.before.worker);
    else if (!occupies(after) && after.attempt != change.before.attempt)
        emit(change.task, task_change::Reverted, after, {});
    if (!occupies(after))
        m_soft.erase(change.task);
}

void task_table::settleJob(const settled_job &settled)
{
    const std::string &id = settled.id;
    const stored_job *job = m_store.job(id);
    if (job == nullptr || m_store.jobInFlight(id))
        return;
    if (!job->cancelled) {
        for (std::uint32_t position = 0; position < job->range; ++position)
            refreshPlaceable({id, taskIndexAt(job->spec, position)});
        return;
    }
    if (!settled.cancelledNow)
        return;
    for (const auto &task : m_store.touched(id)) {
        const task_record record = m_store.settled(task);
        if (occupies(record))
            m_pushTo.insert(record.worker);
        else if (record.state == task_state::Cancelled)
            emit(task, task_change::Ended, record, {});
    }
}

void task_table::refreshPlaceable(const task_id &task)
{
    if (placeable(task))
        m_placeable.insert(task);
    else
        m_placeable.erase(task);
}

void task_table::dropPlaceable(const std::string &job)
{
    auto it = m_placeable.lower_bound({job, 0});
    while (it != m_placeable.end() && it->job == job)
        it = m_placeable.erase(it);
}

void task_table::emit(const task_id &task, task_change change, const task_record &record,
                      const std::string &worker)
{
    m_actions.emplace_back(task_settled{task, change, record.state, worker, record.attempt});
}

void task_table::count(table_count reason)
{
    m_actions.emplace_back(reason);
}

} // namespace zinniabarrow::work
