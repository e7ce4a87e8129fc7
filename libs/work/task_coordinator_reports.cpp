// Reports of agents: which are accepted, and what their events change.

#include "work/task_coordinator.h"

namespace zinniabarrow::work {

namespace {

bool isEnd(task_event_kind kind)
{
    return kind != task_event_kind::Started && kind != task_event_kind::Checkpointed;
}

} // namespace

// --- Reports of agents ---------------------------------------------------------------------------

void task_coordinator::on(const report_received &event, time_point now)
{
    const agent_report &report = event.report;
    if (!isReady())
        return;
    worker_state &worker = m_workers[report.worker];
    if (!acceptReport(report, worker, now))
        return;
    for (const auto &one : report.events)
        applyEvent(report, one, worker, now);
    applyIncarnation(report.worker, report.incarnation, now);
    worker.ackedEvent = newestAckable(report, worker.ackedEvent);
    worker.isAttached = report.epoch == m_tenure.epoch;
    worker.ackedReservation = worker.isAttached ? report.ackedReservation : 0;
    if (m_store.isDeclaredSilent(report.worker)) {
        // The worker's tasks may already run elsewhere, and the table says that the worker holds no
        // lease. So it gets no grant before its removal from the silent workers is committed.
        count(coordinator_counter::WorkerReturned);
        m_store.stageSilent(report.worker, false, now);
        return;
    }
    // The agent counts its lease from the sending of this report, so the lease ends earlier.
    worker.leaseUntil = now + leaseExpiryWait(m_settings.leases.grantLease, m_settings.leases);
    worker.isLeaseLapsed = false;
    m_workersToGrant.insert(report.worker);
}

bool task_coordinator::acceptReport(const agent_report &report, worker_state &worker,
                                    time_point now)
{
    if (report.incarnation < worker.incarnation) {
        count(coordinator_counter::StaleIncarnation);
        return false;
    }
    if (report.epoch > m_tenure.epoch) {
        count(coordinator_counter::NewerEpoch);
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
        count(coordinator_counter::StaleReport);
        return false;
    }
    worker.sequence = report.sequence;
    worker.lastReportAt = now;
    return true;
}

// Two agent processes may report for one worker, if the replaced one was only paused. The one that
// appeared last is answered; the older one only after the newer one has stopped reporting.
bool task_coordinator::acceptSession(const agent_report &report, worker_state &worker,
                                     time_point now)
{
    if (report.session == worker.session)
        return true;
    const bool isSessionActive = now - worker.lastReportAt < m_settings.leases.grantLease;
    if (worker.replacedSessions.contains(report.session) && isSessionActive) {
        count(coordinator_counter::StaleSession);
        return false;
    }
    worker.replacedSessions.erase(report.session);
    if (!worker.session.empty())
        worker.replacedSessions.insert(worker.session);
    worker.session = report.session;
    worker.sequence = 0;
    worker.ackedEvent = 0;
    return true;
}

void task_coordinator::applyEvent(const agent_report &report, const task_event &event,
                                  worker_state &worker, time_point now)
{
    if (isEnd(event.kind))
        worker.staleAttempts.erase({event.task, event.attempt});
    const task_record record = m_store.newestRecord(event.task);
    const bool isCurrent = occupiesWorker(record) && record.attempt == event.attempt
                           && record.worker == report.worker;
    if (!isCurrent) {
        if (event.kind == task_event_kind::Started
            && m_store.committedRecord(event.task) == record) {
            count(coordinator_counter::StaleAttemptStopped);
            worker.staleAttempts.insert({event.task, event.attempt});
        }
        applyLateEvent(event, now);
        return;
    }
    if (event.kind == task_event_kind::Started) {
        applyStarted(report, event);
    } else if (event.kind == task_event_kind::Checkpointed) {
        task_record updated = record;
        updated.checkpoint = event.checkpoint;
        stageRecord(event.task, updated, now);
    } else {
        const task_record updated = recordAfterEnd(record, event);
        stageRecord(event.task, updated, now, updated.state == task_state::Done);
        emitChange(event.task, task_change::EndReported, updated, record.worker);
    }
}

void task_coordinator::applyStarted(const agent_report &report, const task_event &event)
{
    volatile_state &volatileState = volatileStateOf(event.task, event.attempt);
    const bool isFirstReport = volatileState.startedBySession.empty();
    volatileState.startedBySession = report.session;
    const task_record record = m_store.newestRecord(event.task);
    if (isFirstReport)
        emitChange(event.task, task_change::Started, record, record.worker);
}

// Handles an event of an attempt that is no longer current. If the task was requeued from a silent
// worker and not placed again yet, what it did before its lease lapsed still counts.
void task_coordinator::applyLateEvent(const task_event &event, time_point now)
{
    task_record record = m_store.newestRecord(event.task);
    const bool isNewestAttempt =
            record.state == task_state::Pending && record.attempt == event.attempt;
    const stored_job *job = m_store.job(event.task.job);
    if (!isNewestAttempt || event.attempt == 0 || job == nullptr) {
        count(coordinator_counter::StaleEvent);
        return;
    }
    if (event.kind == task_event_kind::Succeeded && !job->spec.isService)
        record.state = task_state::Done;
    if (!event.checkpoint.empty())
        record.checkpoint = event.checkpoint;
    stageRecord(event.task, record, now);
}

task_record task_coordinator::recordAfterRelease(task_record record) const
{
    record.state =
            record.state == task_state::Cancelling ? task_state::Cancelled : task_state::Pending;
    record.worker.clear();
    record.incarnation = 0;
    record.isBacklogged = false;
    return record;
}

task_record task_coordinator::recordAfterEnd(task_record record, const task_event &event) const
{
    const stored_job *job = m_store.job(event.task.job);
    const bool service = job != nullptr && job->spec.isService;
    record = recordAfterRelease(record);
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

// A newer incarnation of the worker proves that the tasks of earlier incarnations have ended.
void task_coordinator::applyIncarnation(const std::string &worker, std::uint64_t incarnation,
                                        time_point now)
{
    for (const auto &task : tasksOn(worker)) {
        const task_record record = m_store.newestRecord(task);
        const bool isOfEarlierIncarnation = occupiesWorker(record) && record.worker == worker
                                            && record.incarnation < incarnation;
        if (!isOfEarlierIncarnation)
            continue;
        count(coordinator_counter::EndProven);
        stageRecord(task, recordAfterRelease(record), now);
    }
}

// Events are acknowledged in order, and only when their effect is committed: an agent keeps the
// others and repeats them, also to the next owner of the shard.
std::uint64_t task_coordinator::newestAckable(const agent_report &report,
                                              std::uint64_t newestAcked) const
{
    for (const auto &event : report.events) {
        if (event.number <= newestAcked)
            continue;
        if (!isEventCommitted(event))
            break;
        newestAcked = event.number;
    }
    return newestAcked;
}

bool task_coordinator::isEventCommitted(const task_event &event) const
{
    const task_record record = m_store.committedRecord(event.task);
    const bool isCurrent = occupiesWorker(record) && record.attempt == event.attempt;
    if (event.kind == task_event_kind::Started)
        return true;
    if (event.kind == task_event_kind::Checkpointed)
        return !isCurrent || record.checkpoint == event.checkpoint;
    // A late success may be staged or in flight while the task is still Pending in the table.
    return !isCurrent && !m_store.hasUncommittedChange(event.task);
}

} // namespace zinniabarrow::work
