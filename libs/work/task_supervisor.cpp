// Sections: Events | What a grant brings | What a listing brings | Leases, listings, reports

#include "work/task_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/errors.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr std::size_t RememberedReports = 64;
constexpr int ReportsPerLease = 3; // two may be lost before the agent's lease lapses

constexpr name_table<task_outcome, 5> OutcomeNames = {{
        {task_outcome::Succeeded, "succeeded"},
        {task_outcome::Failed, "failed"},
        {task_outcome::Evicted, "evicted"},
        {task_outcome::Stopped, "stopped"},
        {task_outcome::Lapsed, "lapsed"},
}};

constexpr name_table<keeper_count, 9> CountNames = {{
        {keeper_count::StaleEpoch, "stale_epoch"},
        {keeper_count::StaleIncarnation, "stale_incarnation"},
        {keeper_count::OtherSession, "other_session"},
        {keeper_count::LeaseLapsed, "lease_lapsed"},
        {keeper_count::OverCapacity, "over_capacity"},
        {keeper_count::OldListing, "old_listing"},
        {keeper_count::OldAttempt, "old_attempt"},
        {keeper_count::AheadStarted, "ahead_started"},
        {keeper_count::RaiseHeldBack, "raise_held_back"},
}};

task_event_kind eventOf(task_outcome outcome)
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

resources reservedIn(const worker_grant &grant, const task_attempt &attempt)
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

std::string_view nameOf(keeper_count reason)
{
    return nameOf(CountNames, reason);
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

task_keeper::task_keeper(std::string worker, std::string session, keeper_settings settings,
                         capacity_check fits)
    : m_worker(std::move(worker))
    , m_session(std::move(session))
    , m_settings(settings)
    , m_fits(std::move(fits))
{ }

// --- Events --------------------------------------------------------------------------------------

std::vector<keeper_action> task_keeper::handle(const keeper_event &event, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &one) { on(one, now); }, event);
    return std::move(m_actions);
}

time_point task_keeper::nextTick() const
{
    return m_incarnation == 0 ? m_listAt : std::min(m_listAt, m_reportAt);
}

std::vector<running_task> task_keeper::occupying() const
{
    std::vector<running_task> tasks;
    for (const auto &[task, kept] : m_tasks) {
        if (kept.state == kept_state::Starting || kept.state == kept_state::Running)
            tasks.push_back({{task, kept.attempt}, kept.checkpoint, kept.spec, kept.failover});
    }
    return tasks;
}

resources task_keeper::occupiedBeside(const task_id &task) const
{
    resources sum;
    for (const auto &[other, kept] : m_tasks) {
        const bool counts = kept.state == kept_state::Starting || kept.state == kept_state::Running;
        if (counts && other != task)
            sum += largest(declaredIn(kept.spec), kept.reserved);
    }
    return sum;
}

void task_keeper::on(const grant_received &event, time_point now)
{
    const worker_grant &grant = event.grant;
    if (m_incarnation == 0 || grant.worker != m_worker)
        return;
    if (grant.session != m_session) {
        count(keeper_count::OtherSession);
        return;
    }
    if (!accepts(grant)) {
        count(grant.epoch < m_epoch ? keeper_count::StaleEpoch : keeper_count::StaleIncarnation);
        return;
    }
    takeEpoch(grant.epoch, now);
    const time_point grantEnds = takeLease(grant);
    takeAcks(grant.ackedThrough);
    takeAnswer(grant);
    for (const auto &attempt : grant.stops)
        takeStop(attempt);
    takeReservations(grant); // before anything starts beside the tasks that have grown
    for (const auto &task : grant.tasks)
        takeTask(grant, task, false, grantEnds, now);
    for (const auto &task : grant.backlog)
        takeTask(grant, task, true, grantEnds, now);
    for (const auto &attempt : grant.checkpoints)
        takeCheckpoint(attempt);
    if (grant.limits)
        takeLimits(*grant.limits);
}

// A superseded owner may still be alive and send: its tasks may by now run elsewhere.
bool task_keeper::accepts(const worker_grant &grant) const
{
    return grant.epoch >= m_epoch && grant.incarnation == m_incarnation;
}

// The worker records the epoch before the next report acknowledges it. An agent that is replaced
// reads it back from the worker's listing, and so refuses the old owner as its predecessor did.
void task_keeper::takeEpoch(std::uint64_t epoch, time_point now)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    list(now);
}

// --- What a grant brings -------------------------------------------------------------------------

// The end of the lease that this grant alone gives, and extends the agent's lease to it.
time_point task_keeper::takeLease(const worker_grant &grant)
{
    const auto sent = m_sentAt.find(grant.replyTo);
    if (sent == m_sentAt.end())
        return time_point();
    const time_point ends = sent->second + grant.lease;
    m_leaseUntil = std::max(m_leaseUntil, ends);
    return ends;
}

// An answered report is followed by the next one late: reports are the larger part of what control
// costs. Without an answer they go on quickly: were the longer period kept, a successor of a dead
// owner would first be heard after the agent's lease, and the tasks of a live agent would lapse.
void task_keeper::takeAnswer(const worker_grant &grant)
{
    if (grant.replyTo != m_sequence || !m_events.empty())
        return;
    const auto sent = m_sentAt.find(grant.replyTo);
    if (sent == m_sentAt.end())
        return;
    const auto period = std::min(m_settings.reportEvery, grant.lease / ReportsPerLease);
    m_reportAt = sent->second + std::max(m_settings.repeatEvery, period);
}

void task_keeper::takeAcks(std::uint64_t through)
{
    while (!m_events.empty() && m_events.front().number <= through) {
        const task_event event = std::move(m_events.front());
        m_events.pop_front();
        if (!isEnd(event.kind))
            continue;
        m_actions.emplace_back(worker_forget{{event.task, event.attempt}});
        const auto kept = m_tasks.find(event.task);
        if (kept != m_tasks.end() && kept->second.attempt == event.attempt)
            m_tasks.erase(kept);
    }
}

// Without it, a start would be checked against declared sizes while the tasks beside it were given
// more: the worker would start what no longer fits. Reservations of one attempt only rise, so that
// a grant that was overtaken takes nothing back. One that does not fit, beside a task that the
// owner has already written off, kills nothing here: it is not acknowledged, so the owner repeats
// it, and evicts by its policy what has outgrown the worker.
void task_keeper::takeReservations(const worker_grant &grant)
{
    bool whole = true;
    for (const auto &[attempt, reserved] : grant.reservations) {
        const auto found = m_tasks.find(attempt.task);
        if (found == m_tasks.end() || found->second.attempt != attempt.attempt
            || found->second.state == kept_state::Ended)
            continue; // about to start (takeTask), or over
        kept_task &kept = found->second;
        const resources raised = largest(kept.reserved, reserved);
        if (raised == kept.reserved)
            continue;
        if (m_fits(attempt.task, largest(declaredIn(kept.spec), raised))) {
            kept.reserved = raised;
            continue;
        }
        whole = false;
        count(keeper_count::RaiseHeldBack);
    }
    if (!whole)
        return;
    if (m_reservationsEpoch != grant.epoch)
        m_reservationsTaken = 0; // another owner numbers anew
    m_reservationsEpoch = grant.epoch;
    m_reservationsTaken = std::max(m_reservationsTaken, grant.reservationsThrough);
}

// Each grant names every limit, so a lost one is repeated, an agent that was replaced learns them
// again, and those of a former owner, which its successor does not know, are lifted. Told once, a
// task could stay throttled for the rest of its life, or a noisy one at full speed.
void task_keeper::takeLimits(const std::vector<task_limit> &limits)
{
    std::map<task_attempt, std::int64_t> wanted;
    for (const auto &limit : limits)
        wanted[limit.attempt] = limit.millicores;
    for (auto &[task, kept] : m_tasks) {
        const task_attempt attempt{task, kept.attempt};
        const auto found = wanted.find(attempt);
        const std::int64_t limit = found == wanted.end() ? 0 : found->second;
        if (kept.state != kept_state::Running || kept.limit == limit)
            continue;
        kept.limit = limit;
        m_actions.emplace_back(worker_limit{attempt, limit});
    }
}

void task_keeper::on(const limit_unsettled &event, time_point)
{
    const auto kept = m_tasks.find(event.attempt.task);
    if (kept != m_tasks.end() && kept->second.attempt == event.attempt.attempt)
        kept->second.limit = UnknownLimit; // told again with the next grant
}

void task_keeper::takeTask(const worker_grant &grant, const granted_task &task, bool ahead,
                           time_point grantEnds, time_point now)
{
    const auto spec = grant.specs.find(task.task.job);
    if (isKnown(task, now) || spec == grant.specs.end())
        return;
    if (ahead && !grant.startAhead)
        return;
    // This grant's own lease must hold, not only the agent's: a delayed grant may name a task that
    // was moved meanwhile, and a newer grant may have extended the agent's lease since.
    if (now >= grantEnds) {
        count(keeper_count::LeaseLapsed);
        return;
    }
    const resources reserved = reservedIn(grant, {task.task, task.attempt});
    if (isStarting(task)) {
        start(task, spec->second, reserved, grantEnds);
        return;
    }
    if (m_fits(task.task, largest(declaredIn(spec->second), reserved))) {
        if (ahead)
            count(keeper_count::AheadStarted);
        start(task, spec->second, reserved, grantEnds);
        return;
    }
    if (ahead)
        return;
    count(keeper_count::OverCapacity);
    kept_task &kept = m_tasks[task.task];
    kept = {task.attempt, kept_state::Refusing, task.failover, task.checkpoint, {}, {}, {}, 0, 0};
    m_actions.emplace_back(worker_stop{{task.task, task.attempt}});
}

// True if this attempt is no longer to be started here: it was, or it is too old, or an earlier
// attempt has to end first.
bool task_keeper::isKnown(const granted_task &task, time_point now)
{
    const auto found = m_tasks.find(task.task);
    if (found == m_tasks.end())
        return false;
    kept_task &kept = found->second;
    const task_attempt attempt{task.task, kept.attempt};
    if (kept.attempt > task.attempt) {
        count(keeper_count::OldAttempt);
        return true;
    }
    if (kept.attempt < task.attempt) {
        if (kept.state == kept_state::Ended)
            return false;
        m_actions.emplace_back(worker_stop{attempt});
        return true;
    }
    if (kept.state == kept_state::Running && !hasEvent(attempt, task_event_kind::Started))
        addEvent(attempt, task_event_kind::Started, now);
    if (kept.state == kept_state::Refusing)
        m_actions.emplace_back(worker_stop{attempt});
    // A start may have been lost: it is repeated, and the worker runs an attempt only once.
    return kept.state != kept_state::Starting || kept.refusedAt != 0;
}

bool task_keeper::isStarting(const granted_task &task) const
{
    const auto kept = m_tasks.find(task.task);
    return kept != m_tasks.end() && kept->second.attempt == task.attempt;
}

void task_keeper::start(const granted_task &task, const Json::Value &spec,
                        const resources &reserved, time_point grantEnds)
{
    kept_task &kept = m_tasks[task.task];
    if (kept.attempt != task.attempt)
        kept = kept_task(); // a refusal of an earlier attempt says nothing about this one
    kept.attempt = task.attempt;
    kept.state = kept_state::Starting;
    kept.failover = task.failover;
    kept.checkpoint = task.checkpoint;
    kept.spec = spec;
    kept.reserved = largest(kept.reserved, reserved);
    kept.limit = 0; // the worker starts it without one
    kept.startUntil = grantEnds;
    const milliseconds within(millisecondsUntil(grantEnds, m_listingReceivedAt));
    const milliseconds lease = leaseToGive(task.failover, grantEnds);
    m_actions.emplace_back(worker_start{task, spec, lease, within, m_listing, m_incarnation});
}

// Also for an attempt that never ran here: an older agent of this worker may still hold its start.
void task_keeper::takeStop(const task_attempt &attempt)
{
    if (!hasEnded(attempt))
        m_actions.emplace_back(worker_stop{attempt});
}

// An attempt that is not here has nothing to checkpoint: it is only told never to start.
void task_keeper::takeCheckpoint(const task_attempt &attempt)
{
    const auto kept = m_tasks.find(attempt.task);
    if (kept == m_tasks.end() || kept->second.attempt < attempt.attempt)
        takeStop(attempt);
    else if (kept->second.attempt == attempt.attempt && kept->second.state == kept_state::Running)
        m_actions.emplace_back(worker_checkpoint{attempt, checkpointName(attempt)});
}

void task_keeper::on(const listing_received &event, time_point now)
{
    const worker_listing &listing = event.listing;
    const bool sameLife = listing.incarnation == m_incarnation;
    if (listing.incarnation < m_incarnation || (sameLife && listing.number <= m_listing)) {
        count(keeper_count::OldListing);
        return;
    }
    if (!sameLife)
        takeIncarnation(listing.incarnation);
    if (!speaksForWorker(now))
        m_reportAt = now; // the owner has heard nothing since
    m_listing = listing.number;
    m_listingReceivedAt = now;
    m_tasksLapseAt = now + m_settings.leases.taskLease;
    // A new owner can place on this worker and answer its leases once it is told.
    if (listing.epoch != m_workerEpoch)
        m_reportAt = std::min(m_reportAt, now + m_settings.eventDelay);
    m_workerEpoch = listing.epoch;
    m_epoch = std::max(m_epoch, listing.epoch);
    for (const auto &finished : listing.finished)
        takeFinished(finished, now);
    for (const auto &running : listing.running)
        takeRunning(running, now);
    settleMissing(listing, now);
    renewTasks();
}

// --- What a listing brings -----------------------------------------------------------------------

// What ran in the worker's earlier life is gone; unacknowledged events of it still count.
void task_keeper::takeIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    m_tasks.clear();
    m_leaseUntil = time_point();
    m_sentAt.clear();
    // The owner waits for it: only a newer life proves that what ran in the old one has ended.
    m_reportAt = time_point();
}

void task_keeper::takeRunning(const running_task &running, time_point now)
{
    kept_task &kept = m_tasks[running.attempt.task];
    if (kept.attempt > running.attempt.attempt) {
        m_actions.emplace_back(worker_stop{running.attempt});
        return;
    }
    const bool news = kept.attempt != running.attempt.attempt || kept.state == kept_state::Starting;
    if (kept.attempt != running.attempt.attempt) { // what is known is of an earlier attempt
        kept.reserved = {};
        kept.limit = UnknownLimit;
    }
    kept.attempt = running.attempt.attempt;
    kept.state = kept_state::Running;
    kept.failover = running.failover;
    kept.spec = running.spec;
    if (news)
        addEvent(running.attempt, task_event_kind::Started, now);
    if (!running.checkpoint.empty() && running.checkpoint != kept.checkpoint) {
        kept.checkpoint = running.checkpoint;
        addEvent(running.attempt, task_event_kind::Checkpointed, now, running.checkpoint);
    }
}

void task_keeper::takeFinished(const finished_task &finished, time_point now)
{
    if (hasEnded(finished.attempt))
        return;
    kept_task &kept = m_tasks[finished.attempt.task];
    const bool refused =
            kept.attempt == finished.attempt.attempt && kept.state == kept_state::Refusing;
    if (kept.attempt <= finished.attempt.attempt) {
        kept.attempt = finished.attempt.attempt;
        kept.state = kept_state::Ended;
    }
    const auto kind = refused ? task_event_kind::Refused : eventOf(finished.outcome);
    addEvent(finished.attempt, kind, now, finished.checkpoint, finished.detail);
}

// Attempts that the worker neither runs nor lists as finished.
void task_keeper::settleMissing(const worker_listing &listing, time_point now)
{
    std::set<task_attempt> listed;
    for (const auto &running : listing.running)
        listed.insert(running.attempt);
    for (const auto &finished : listing.finished)
        listed.insert(finished.attempt);
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
        kept_task &kept = it->second;
        const task_attempt attempt{it->first, kept.attempt};
        const bool missing = !listed.contains(attempt);
        const bool starting = missing && kept.state == kept_state::Starting;
        const bool refused = starting && kept.refusedAt != 0 && listing.number > kept.refusedAt;
        // Its start was lost and the worker would refuse it by now. The owner grants it again, or
        // has moved it.
        if (starting && !refused && now >= kept.startUntil) {
            it = m_tasks.erase(it);
            continue;
        }
        // Another agent of this worker had its outcome settled and forgotten.
        if (refused || (missing && kept.state == kept_state::Running)) {
            kept.state = kept_state::Ended;
            addEvent(attempt, task_event_kind::Lost, now);
        }
        ++it;
    }
}

void task_keeper::on(const start_refused &event, time_point)
{
    const auto kept = m_tasks.find(event.attempt.task);
    if (kept == m_tasks.end() || kept->second.attempt != event.attempt.attempt)
        return;
    kept->second.refusedAt = std::max<std::uint64_t>(event.listing, 1);
}

void task_keeper::on(const keeper_tick &, time_point now)
{
    if (now >= m_listAt)
        list(now);
    if (m_incarnation == 0 || now < m_reportAt)
        return;
    if (speaksForWorker(now))
        report(now);
    else
        m_reportAt = now + m_settings.repeatEvery;
}

// --- Leases, listings, reports -------------------------------------------------------------------

// Class Lease: only while the agent's own lease holds, and never past it. Class Proof: always,
// since nobody starts such a task elsewhere without proof that this attempt has ended.
void task_keeper::renewTasks()
{
    for (const auto &[task, kept] : m_tasks) {
        if (kept.state != kept_state::Running)
            continue;
        const milliseconds lease = leaseToGive(kept.failover, m_leaseUntil);
        if (lease.count() > 0)
            m_actions.emplace_back(
                    worker_renew{{task, kept.attempt}, lease, m_listing, m_incarnation});
    }
}

// The worker counts from when it made the listing, which was before the listing arrived here, so
// the task's lease ends no later than `grantEnds`. Counting from the arrival of the renewal would
// let a paused agent extend it.
milliseconds task_keeper::leaseToGive(failover_class failover, time_point grantEnds) const
{
    if (failover == failover_class::Proof)
        return m_settings.leases.proofTaskLease;
    const milliseconds remaining(millisecondsUntil(grantEnds, m_listingReceivedAt));
    return std::min(m_settings.leases.taskLease, remaining);
}

void task_keeper::list(time_point now)
{
    m_listAt = now + m_settings.listEvery;
    m_actions.emplace_back(worker_list{m_epoch});
}

// The owner takes a report for a sign of the worker. If this agent, which is well, went on to
// report for a worker that is gone, the tasks there would never start elsewhere, and others would
// join them. Once it was not listed for as long as a task's lease, what it ran of class Lease has
// ended: silence costs nothing any more. Ends that are not acknowledged are told all the same.
bool task_keeper::speaksForWorker(time_point now) const
{
    return now < m_tasksLapseAt || !m_events.empty();
}

void task_keeper::report(time_point now)
{
    m_reportAt = now + m_settings.repeatEvery;
    agent_report report{m_worker, m_incarnation, m_session, ++m_sequence, m_workerEpoch, {}};
    if (m_reservationsEpoch == m_workerEpoch)
        report.reservationsTaken = m_reservationsTaken;
    const std::size_t size = std::min(m_events.size(), m_settings.reportEvents);
    report.events.assign(m_events.begin(), m_events.begin() + static_cast<std::ptrdiff_t>(size));
    m_sentAt[m_sequence] = now;
    if (m_sentAt.size() > RememberedReports)
        m_sentAt.erase(m_sentAt.begin());
    m_actions.emplace_back(send_report{std::move(report)});
}

void task_keeper::addEvent(const task_attempt &attempt, task_event_kind kind, time_point now,
                           const std::string &checkpoint, const std::string &detail)
{
    m_events.push_back({++m_lastEvent, attempt.task, attempt.attempt, kind, checkpoint, detail});
    m_reportAt = std::min(m_reportAt, now + m_settings.eventDelay);
}

bool task_keeper::hasEvent(const task_attempt &attempt, task_event_kind kind) const
{
    return std::any_of(m_events.begin(), m_events.end(), [&](const task_event &event) {
        return event.kind == kind && event.task == attempt.task && event.attempt == attempt.attempt;
    });
}

bool task_keeper::hasEnded(const task_attempt &attempt) const
{
    return std::any_of(m_events.begin(), m_events.end(), [&](const task_event &event) {
        return isEnd(event.kind) && event.task == attempt.task && event.attempt == attempt.attempt;
    });
}

void task_keeper::count(keeper_count reason)
{
    m_actions.emplace_back(count_keeper{reason});
}

} // namespace zinniabarrow::work
