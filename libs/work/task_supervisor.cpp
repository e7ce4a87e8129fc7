// Sections: Events | Handling grants | Handling listings | Leases, listings, reports

#include "work/task_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/errors.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr std::size_t MaxRememberedReports = 64;
constexpr int ReportsPerLease = 3; // so two may be lost before the agent's lease lapses

constexpr name_table<task_outcome, 5> OutcomeNames = {{
        {task_outcome::Succeeded, "succeeded"},
        {task_outcome::Failed, "failed"},
        {task_outcome::Evicted, "evicted"},
        {task_outcome::Stopped, "stopped"},
        {task_outcome::Lapsed, "lapsed"},
}};

constexpr name_table<supervisor_counter, 9> CounterNames = {{
        {supervisor_counter::StaleEpoch, "stale_epoch"},
        {supervisor_counter::StaleIncarnation, "stale_incarnation"},
        {supervisor_counter::OtherSession, "other_session"},
        {supervisor_counter::LeaseLapsed, "lease_lapsed"},
        {supervisor_counter::OverCapacity, "over_capacity"},
        {supervisor_counter::StaleListing, "old_listing"},
        {supervisor_counter::StaleAttempt, "old_attempt"},
        {supervisor_counter::BacklogStarted, "ahead_started"},
        {supervisor_counter::ReservationNotApplied, "raise_held_back"},
}};

task_event_kind eventKindOf(task_outcome outcome)
{
    switch (outcome) {
    case task_outcome::Succeeded:
        return task_event_kind::Succeeded;
    case task_outcome::Failed:
        return task_event_kind::Failed;
    case task_outcome::Evicted:
        return task_event_kind::Evicted;
    case task_outcome::Stopped:
        return task_event_kind::Stopped;
    case task_outcome::Lapsed:
        break;
    }
    return task_event_kind::Lost;
}

resources reservedInGrant(const worker_grant &grant, const task_attempt &attempt)
{
    for (const auto &reservation : grant.reservations) {
        if (reservation.attempt == attempt)
            return reservation.reserved;
    }
    return {};
}

bool isEnd(task_event_kind kind)
{
    return kind != task_event_kind::Started && kind != task_event_kind::Checkpointed;
}

Json::Value toJson(const running_task &running)
{
    Json::Value value = toJson(running.attempt);
    value["checkpoint"] = running.checkpoint;
    value["failover"] = std::string(nameOf(running.failover));
    value["spec"] = running.spec;
    return value;
}

running_task runningTaskFromJson(const Json::Value &value)
{
    running_task running;
    running.attempt = taskAttemptFromJson(value);
    running.checkpoint = stringMember(value, "checkpoint");
    running.failover = failoverClassFromName(stringMember(value, "failover"));
    running.spec = objectMember(value, "spec");
    return running;
}

Json::Value toJson(const finished_task &finished)
{
    Json::Value value = toJson(finished.attempt);
    value["outcome"] = std::string(nameOf(finished.outcome));
    value["checkpoint"] = finished.checkpoint;
    value["detail"] = finished.detail;
    return value;
}

finished_task finishedTaskFromJson(const Json::Value &value)
{
    finished_task finished;
    finished.attempt = taskAttemptFromJson(value);
    finished.outcome = taskOutcomeFromName(stringMember(value, "outcome"));
    finished.checkpoint = stringMember(value, "checkpoint");
    finished.detail = stringMember(value, "detail");
    return finished;
}

} // namespace

std::string_view nameOf(task_outcome outcome)
{
    return nameOf(OutcomeNames, outcome);
}

task_outcome taskOutcomeFromName(std::string_view name)
{
    const auto outcome = valueOf(OutcomeNames, name);
    if (!outcome)
        throw error(error_kind::BadRequest, "unknown task outcome \"" + std::string(name) + "\"");
    return *outcome;
}

std::string_view nameOf(supervisor_counter reason)
{
    return nameOf(CounterNames, reason);
}

Json::Value toJson(const worker_listing &listing)
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::UInt64(listing.number);
    value["incarnation"] = Json::UInt64(listing.incarnation);
    value["epoch"] = Json::UInt64(listing.epoch);
    value["running"] = Json::Value(Json::arrayValue);
    for (const auto &running : listing.running)
        value["running"].append(toJson(running));
    value["finished"] = Json::Value(Json::arrayValue);
    for (const auto &finished : listing.finished)
        value["finished"].append(toJson(finished));
    return value;
}

worker_listing workerListingFromJson(const Json::Value &value)
{
    worker_listing listing;
    listing.number = countMember(value, "number");
    listing.incarnation = countMember(value, "incarnation");
    listing.epoch = countMember(value, "epoch");
    for (const auto &running : arrayMember(value, "running"))
        listing.running.push_back(runningTaskFromJson(running));
    for (const auto &finished : arrayMember(value, "finished"))
        listing.finished.push_back(finishedTaskFromJson(finished));
    return listing;
}

task_supervisor::task_supervisor(std::string worker, std::string session,
                                 supervisor_settings settings, capacity_check capacityCheck)
    : m_worker(std::move(worker))
    , m_session(std::move(session))
    , m_settings(settings)
    , m_capacityCheck(std::move(capacityCheck))
{ }

// --- Events --------------------------------------------------------------------------------------

std::vector<supervisor_action> task_supervisor::handle(const supervisor_event &event,
                                                       time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &one) { on(one, now); }, event);
    return std::move(m_actions);
}

time_point task_supervisor::nextTick() const
{
    return m_incarnation == 0 ? m_nextListingAt : std::min(m_nextListingAt, m_nextReportAt);
}

std::vector<running_task> task_supervisor::occupyingTasks() const
{
    std::vector<running_task> tasks;
    for (const auto &[task, known] : m_tasks) {
        if (known.state == supervised_state::Starting || known.state == supervised_state::Running)
            tasks.push_back({{task, known.attempt}, known.checkpoint, known.spec, known.failover});
    }
    return tasks;
}

resources task_supervisor::occupiedByOthers(const task_id &task) const
{
    resources sum;
    for (const auto &[other, supervised] : m_tasks) {
        const bool occupiesWorker = supervised.state == supervised_state::Starting
                                    || supervised.state == supervised_state::Running;
        if (occupiesWorker && other != task)
            sum += maxOfEach(declaredSize(supervised.spec), supervised.reservedSize);
    }
    return sum;
}

void task_supervisor::on(const grant_received &event, time_point now)
{
    const worker_grant &grant = event.grant;
    if (m_incarnation == 0 || grant.worker != m_worker)
        return;
    if (grant.session != m_session) {
        count(supervisor_counter::OtherSession);
        return;
    }
    if (!isCurrent(grant)) {
        count(grant.epoch < m_epoch ? supervisor_counter::StaleEpoch
                                    : supervisor_counter::StaleIncarnation);
        return;
    }
    adoptEpoch(grant.epoch, now);
    const time_point grantLeaseEnd = extendLease(grant);
    applyAcks(grant.ackedEvent);
    scheduleNextReport(grant);
    for (const auto &attempt : grant.stops)
        applyStop(attempt);
    applyReservations(grant); // before any start, which must fit beside the raised reservations
    for (const auto &task : grant.tasks)
        applyGrantedTask(grant, task, false, grantLeaseEnd, now);
    for (const auto &task : grant.backlog)
        applyGrantedTask(grant, task, true, grantLeaseEnd, now);
    for (const auto &attempt : grant.evictions)
        applyEviction(attempt);
    if (grant.cpuLimits)
        applyCpuLimits(*grant.cpuLimits);
}

// A superseded owner may still send grants. They are refused, because its tasks may already run
// elsewhere.
bool task_supervisor::isCurrent(const worker_grant &grant) const
{
    return grant.epoch >= m_epoch && grant.incarnation == m_incarnation;
}

// Has the worker record the epoch; reports contain it only after that. A process that replaces this
// agent reads the epoch from the worker's listing, and so refuses the old owner's grants too.
void task_supervisor::adoptEpoch(std::uint64_t epoch, time_point now)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    requestListing(now);
}

// --- Handling grants -----------------------------------------------------------------------------

// Returns the end of the lease that this grant gives, and extends the agent's lease to it.
time_point task_supervisor::extendLease(const worker_grant &grant)
{
    const auto sentReport = m_reportSentAt.find(grant.replyTo);
    if (sentReport == m_reportSentAt.end())
        return time_point();
    const time_point leaseEnd = sentReport->second + grant.lease;
    m_leaseUntil = std::max(m_leaseUntil, leaseEnd);
    return leaseEnd;
}

// After an answer the next report is sent late, because reports are the larger part of the control
// traffic. Without an answer reports are repeated quickly: with the longer interval the first grant
// of a dead owner's successor could come after the end of the agent's lease, and the tasks of a
// live agent would lapse.
void task_supervisor::scheduleNextReport(const worker_grant &grant)
{
    if (grant.replyTo != m_reportSequence || !m_unackedEvents.empty())
        return;
    const auto sentReport = m_reportSentAt.find(grant.replyTo);
    if (sentReport == m_reportSentAt.end())
        return;
    const auto period = std::min(m_settings.reportInterval, grant.lease / ReportsPerLease);
    m_nextReportAt = sentReport->second + std::max(m_settings.repeatInterval, period);
}

void task_supervisor::applyAcks(std::uint64_t lastAcked)
{
    while (!m_unackedEvents.empty() && m_unackedEvents.front().number <= lastAcked) {
        const task_event event = std::move(m_unackedEvents.front());
        m_unackedEvents.pop_front();
        if (!isEnd(event.kind))
            continue;
        m_actions.emplace_back(worker_forget{{event.task, event.attempt}});
        const auto supervised = m_tasks.find(event.task);
        if (supervised != m_tasks.end() && supervised->second.attempt == event.attempt)
            m_tasks.erase(supervised);
    }
}

// Takes over raised reservations, so that a start is not checked against declared sizes while other
// tasks were given more. The reservation of an attempt only rises, so a reordered grant lowers
// nothing. A raise may not fit here, for example beside a task that the owner no longer counts. It
// is then not acknowledged and nothing is stopped: the owner repeats it, and decides by its policy
// what to evict from the worker.
void task_supervisor::applyReservations(const worker_grant &grant)
{
    bool allApplied = true;
    for (const auto &[attempt, reserved] : grant.reservations) {
        const auto found = m_tasks.find(attempt.task);
        if (found == m_tasks.end() || found->second.attempt != attempt.attempt
            || found->second.state == supervised_state::Ended)
            continue; // about to start (see applyGrantedTask), or ended
        supervised_task &supervised = found->second;
        const resources raisedSize = maxOfEach(supervised.reservedSize, reserved);
        if (raisedSize == supervised.reservedSize)
            continue;
        if (m_capacityCheck(attempt.task, maxOfEach(declaredSize(supervised.spec), raisedSize))) {
            supervised.reservedSize = raisedSize;
            continue;
        }
        allApplied = false;
        count(supervisor_counter::ReservationNotApplied);
    }
    if (!allApplied)
        return;
    if (m_reservationsEpoch != grant.epoch)
        m_ackedReservation = 0; // each owner numbers its reservations from 1
    m_reservationsEpoch = grant.epoch;
    m_ackedReservation = std::max(m_ackedReservation, grant.newestReservation);
}

// Each grant contains all limits. So a lost limit is repeated, a replaced agent learns all limits,
// and limits of an earlier owner that the present one doesn't know are lifted. If limits were sent
// only once, a task could stay throttled until its end, or an interfering one run at full speed.
void task_supervisor::applyCpuLimits(const std::vector<cpu_limit> &limits)
{
    std::map<task_attempt, std::int64_t> limitByAttempt;
    for (const auto &limit : limits)
        limitByAttempt[limit.attempt] = limit.millicores;
    for (auto &[task, supervised] : m_tasks) {
        const task_attempt attempt{task, supervised.attempt};
        const auto found = limitByAttempt.find(attempt);
        const std::int64_t limit = found == limitByAttempt.end() ? 0 : found->second;
        if (supervised.state != supervised_state::Running || supervised.cpuLimit == limit)
            continue;
        supervised.cpuLimit = limit;
        m_actions.emplace_back(worker_cpu_limit{attempt, limit});
    }
}

void task_supervisor::on(const cpu_limit_unconfirmed &event, time_point)
{
    const auto supervised = m_tasks.find(event.attempt.task);
    if (supervised != m_tasks.end() && supervised->second.attempt == event.attempt.attempt)
        supervised->second.cpuLimit = UnknownCpuLimit; // so it is sent again after the next grant
}

void task_supervisor::applyGrantedTask(const worker_grant &grant, const granted_task &task,
                                       bool isBacklog, time_point grantLeaseEnd, time_point now)
{
    const auto spec = grant.specs.find(task.task.job);
    if (handleKnownAttempt(task, now) || spec == grant.specs.end())
        return;
    if (isBacklog && !grant.mayStartBacklog)
        return;
    // The lease of this grant must still hold, not only the agent's lease: a newer grant may have
    // extended the agent's lease, while this grant was delayed and its task moved elsewhere.
    if (now >= grantLeaseEnd) {
        count(supervisor_counter::LeaseLapsed);
        return;
    }
    const resources reserved = reservedInGrant(grant, {task.task, task.attempt});
    if (isStartRepeated(task)) {
        startTask(task, spec->second, reserved, grantLeaseEnd);
        return;
    }
    if (m_capacityCheck(task.task, maxOfEach(declaredSize(spec->second), reserved))) {
        if (isBacklog)
            count(supervisor_counter::BacklogStarted);
        startTask(task, spec->second, reserved, grantLeaseEnd);
        return;
    }
    if (isBacklog)
        return;
    count(supervisor_counter::OverCapacity);
    supervised_task &supervised = m_tasks[task.task];
    supervised = {task.attempt,
                  supervised_state::Refusing,
                  task.failover,
                  task.checkpoint,
                  {},
                  {},
                  {},
                  0,
                  0};
    m_actions.emplace_back(worker_stop{{task.task, task.attempt}});
}

// Returns true if the attempt need not be started: it was started before, a newer attempt is known,
// or an earlier attempt has to end first (it is stopped here).
bool task_supervisor::handleKnownAttempt(const granted_task &task, time_point now)
{
    const auto found = m_tasks.find(task.task);
    if (found == m_tasks.end())
        return false;
    supervised_task &supervised = found->second;
    const task_attempt attempt{task.task, supervised.attempt};
    if (supervised.attempt > task.attempt) {
        count(supervisor_counter::StaleAttempt);
        return true;
    }
    if (supervised.attempt < task.attempt) {
        if (supervised.state == supervised_state::Ended)
            return false;
        m_actions.emplace_back(worker_stop{attempt});
        return true;
    }
    if (supervised.state == supervised_state::Running
        && !hasEvent(attempt, task_event_kind::Started))
        addEvent(attempt, task_event_kind::Started, now);
    if (supervised.state == supervised_state::Refusing)
        m_actions.emplace_back(worker_stop{attempt});
    // The request to start it may have been lost, so it is repeated. The worker runs an attempt
    // only once.
    return supervised.state != supervised_state::Starting || supervised.refusedAtListing != 0;
}

bool task_supervisor::isStartRepeated(const granted_task &task) const
{
    const auto supervised = m_tasks.find(task.task);
    return supervised != m_tasks.end() && supervised->second.attempt == task.attempt;
}

void task_supervisor::startTask(const granted_task &task, const Json::Value &spec,
                                const resources &reserved, time_point grantLeaseEnd)
{
    supervised_task &supervised = m_tasks[task.task];
    // State of an earlier attempt, such as its refusal, doesn't apply to this one.
    if (supervised.attempt != task.attempt)
        supervised = supervised_task();
    supervised.attempt = task.attempt;
    supervised.state = supervised_state::Starting;
    supervised.failover = task.failover;
    supervised.checkpoint = task.checkpoint;
    supervised.spec = spec;
    supervised.reservedSize = maxOfEach(supervised.reservedSize, reserved);
    supervised.cpuLimit = 0; // workers start tasks without a limit
    supervised.startDeadline = grantLeaseEnd;
    const milliseconds startWithin(millisecondsUntil(grantLeaseEnd, m_listingReceivedAt));
    const milliseconds lease = taskLeaseFor(task.failover, grantLeaseEnd);
    m_actions.emplace_back(
            worker_start{task, spec, lease, startWithin, m_newestListing, m_incarnation});
}

// The attempt is also stopped if it never ran here: a request to start it, from an earlier agent of
// this worker, may still be in flight.
void task_supervisor::applyStop(const task_attempt &attempt)
{
    if (!hasEndEvent(attempt))
        m_actions.emplace_back(worker_stop{attempt});
}

// An attempt that is not known here has nothing to checkpoint: the worker is only told never to
// start it.
void task_supervisor::applyEviction(const task_attempt &attempt)
{
    const auto supervised = m_tasks.find(attempt.task);
    if (supervised == m_tasks.end() || supervised->second.attempt < attempt.attempt)
        applyStop(attempt);
    else if (supervised->second.attempt == attempt.attempt
             && supervised->second.state == supervised_state::Running)
        m_actions.emplace_back(worker_checkpoint{attempt, checkpointName(attempt)});
}

// --- Handling listings ---------------------------------------------------------------------------

void task_supervisor::on(const listing_received &event, time_point now)
{
    const worker_listing &listing = event.listing;
    const bool isSameIncarnation = listing.incarnation == m_incarnation;
    if (listing.incarnation < m_incarnation
        || (isSameIncarnation && listing.number <= m_newestListing)) {
        count(supervisor_counter::StaleListing);
        return;
    }
    if (!isSameIncarnation)
        adoptIncarnation(listing.incarnation);
    if (!shouldReport(now))
        m_nextReportAt = now; // the owner got no report while the worker didn't answer
    m_newestListing = listing.number;
    m_listingReceivedAt = now;
    m_tasksLapseAt = now + m_settings.leases.taskLease;
    // A new owner can place tasks on this worker as soon as a report tells it that the worker has
    // recorded its epoch.
    if (listing.epoch != m_workerEpoch)
        m_nextReportAt = std::min(m_nextReportAt, now + m_settings.eventDelay);
    m_workerEpoch = listing.epoch;
    m_epoch = std::max(m_epoch, listing.epoch);
    for (const auto &finished : listing.finished)
        applyFinished(finished, now);
    for (const auto &running : listing.running)
        applyRunning(running, now);
    resolveMissing(listing, now);
    renewTaskLeases();
}

// The tasks of the worker's earlier incarnation are gone; their unacknowledged events remain valid.
void task_supervisor::adoptIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    m_tasks.clear();
    m_leaseUntil = time_point();
    m_reportSentAt.clear();
    // Report at once: the owner may wait for the newer incarnation, as only this proves that the
    // tasks of the old one have ended.
    m_nextReportAt = time_point();
}

void task_supervisor::applyRunning(const running_task &running, time_point now)
{
    supervised_task &supervised = m_tasks[running.attempt.task];
    if (supervised.attempt > running.attempt.attempt) {
        m_actions.emplace_back(worker_stop{running.attempt});
        return;
    }
    const bool isNew = supervised.attempt != running.attempt.attempt
                       || supervised.state == supervised_state::Starting;
    if (supervised.attempt != running.attempt.attempt) { // these values are of an earlier attempt
        supervised.reservedSize = {};
        supervised.cpuLimit = UnknownCpuLimit;
    }
    supervised.attempt = running.attempt.attempt;
    supervised.state = supervised_state::Running;
    supervised.failover = running.failover;
    supervised.spec = running.spec;
    if (isNew)
        addEvent(running.attempt, task_event_kind::Started, now);
    if (!running.checkpoint.empty() && running.checkpoint != supervised.checkpoint) {
        supervised.checkpoint = running.checkpoint;
        addEvent(running.attempt, task_event_kind::Checkpointed, now, running.checkpoint);
    }
}

void task_supervisor::applyFinished(const finished_task &finished, time_point now)
{
    if (hasEndEvent(finished.attempt))
        return;
    supervised_task &supervised = m_tasks[finished.attempt.task];
    const bool isRefused = supervised.attempt == finished.attempt.attempt
                           && supervised.state == supervised_state::Refusing;
    if (supervised.attempt <= finished.attempt.attempt) {
        supervised.attempt = finished.attempt.attempt;
        supervised.state = supervised_state::Ended;
    }
    const auto kind = isRefused ? task_event_kind::Refused : eventKindOf(finished.outcome);
    addEvent(finished.attempt, kind, now, finished.checkpoint, finished.detail);
}

// Handles attempts that the worker lists neither as running nor as finished.
void task_supervisor::resolveMissing(const worker_listing &listing, time_point now)
{
    std::set<task_attempt> listed;
    for (const auto &running : listing.running)
        listed.insert(running.attempt);
    for (const auto &finished : listing.finished)
        listed.insert(finished.attempt);
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
        supervised_task &supervised = it->second;
        const task_attempt attempt{it->first, supervised.attempt};
        const bool isMissing = !listed.contains(attempt);
        const bool isStartMissing = isMissing && supervised.state == supervised_state::Starting;
        const bool isRefused = isStartMissing && supervised.refusedAtListing != 0
                               && listing.number > supervised.refusedAtListing;
        // The request to start it was lost, and the worker would refuse it by now. The owner grants
        // the attempt again, or has moved the task.
        if (isStartMissing && !isRefused && now >= supervised.startDeadline) {
            it = m_tasks.erase(it);
            continue;
        }
        // A running attempt is missing if another agent of this worker has reported its outcome
        // and told the worker to forget it.
        if (isRefused || (isMissing && supervised.state == supervised_state::Running)) {
            supervised.state = supervised_state::Ended;
            addEvent(attempt, task_event_kind::Lost, now);
        }
        ++it;
    }
}

void task_supervisor::on(const start_refused &event, time_point)
{
    const auto supervised = m_tasks.find(event.attempt.task);
    if (supervised == m_tasks.end() || supervised->second.attempt != event.attempt.attempt)
        return;
    supervised->second.refusedAtListing = std::max<std::uint64_t>(event.listing, 1);
}

void task_supervisor::on(const supervisor_tick &, time_point now)
{
    if (now >= m_nextListingAt)
        requestListing(now);
    if (m_incarnation == 0 || now < m_nextReportAt)
        return;
    if (shouldReport(now))
        sendReport(now);
    else
        m_nextReportAt = now + m_settings.repeatInterval;
}

// --- Leases, listings, reports -------------------------------------------------------------------

// Tasks of class Lease are renewed only while the agent's own lease holds, and not beyond its end.
// Tasks of class Proof are always renewed: no owner starts them elsewhere without proof that this
// attempt has ended.
void task_supervisor::renewTaskLeases()
{
    for (const auto &[task, supervised] : m_tasks) {
        if (supervised.state != supervised_state::Running)
            continue;
        const milliseconds lease = taskLeaseFor(supervised.failover, m_leaseUntil);
        if (lease.count() > 0)
            m_actions.emplace_back(worker_renew{
                    {task, supervised.attempt}, lease, m_newestListing, m_incarnation});
    }
}

// The task's lease is measured from the arrival of the newest listing. The worker counts it from
// when it made that listing, which was earlier, so the lease ends no later than `grantLeaseEnd`. If
// it were counted from the arrival of the renewal, a paused agent would extend it.
milliseconds task_supervisor::taskLeaseFor(failover_class failover, time_point grantLeaseEnd) const
{
    if (failover == failover_class::Proof)
        return m_settings.leases.proofTaskLease;
    const milliseconds remaining(millisecondsUntil(grantLeaseEnd, m_listingReceivedAt));
    return std::min(m_settings.leases.taskLease, remaining);
}

void task_supervisor::requestListing(time_point now)
{
    m_nextListingAt = now + m_settings.listInterval;
    m_actions.emplace_back(worker_list{m_epoch});
}

// The owner takes a report as a sign that the worker is alive. If a healthy agent continued to
// report for a lost worker, the worker's tasks would never start elsewhere, and more tasks would be
// placed there. So the agent stops reporting when the worker has not been listed for the length of
// a task lease: its tasks of class Lease have ended by then, so nothing is lost. Events that are
// not acknowledged yet are reported in any case.
bool task_supervisor::shouldReport(time_point now) const
{
    return now < m_tasksLapseAt || !m_unackedEvents.empty();
}

void task_supervisor::sendReport(time_point now)
{
    m_nextReportAt = now + m_settings.repeatInterval;
    agent_report report{m_worker, m_incarnation, m_session, ++m_reportSequence, m_workerEpoch, {}};
    if (m_reservationsEpoch == m_workerEpoch)
        report.ackedReservation = m_ackedReservation;
    const std::size_t size = std::min(m_unackedEvents.size(), m_settings.maxEventsPerReport);
    report.events.assign(m_unackedEvents.begin(),
                         m_unackedEvents.begin() + static_cast<std::ptrdiff_t>(size));
    m_reportSentAt[m_reportSequence] = now;
    if (m_reportSentAt.size() > MaxRememberedReports)
        m_reportSentAt.erase(m_reportSentAt.begin());
    m_actions.emplace_back(send_report{std::move(report)});
}

void task_supervisor::addEvent(const task_attempt &attempt, task_event_kind kind, time_point now,
                               const std::string &checkpoint, const std::string &detail)
{
    m_unackedEvents.push_back(
            {++m_lastEventNumber, attempt.task, attempt.attempt, kind, checkpoint, detail});
    m_nextReportAt = std::min(m_nextReportAt, now + m_settings.eventDelay);
}

bool task_supervisor::hasEvent(const task_attempt &attempt, task_event_kind kind) const
{
    return std::any_of(m_unackedEvents.begin(), m_unackedEvents.end(),
                       [&](const task_event &event) {
                           return event.kind == kind && event.task == attempt.task
                                  && event.attempt == attempt.attempt;
                       });
}

bool task_supervisor::hasEndEvent(const task_attempt &attempt) const
{
    return std::any_of(m_unackedEvents.begin(), m_unackedEvents.end(),
                       [&](const task_event &event) {
                           return isEnd(event.kind) && event.task == attempt.task
                                  && event.attempt == attempt.attempt;
                       });
}

void task_supervisor::count(supervisor_counter reason)
{
    m_actions.emplace_back(increment_counter{reason});
}

} // namespace zinniabarrow::work
