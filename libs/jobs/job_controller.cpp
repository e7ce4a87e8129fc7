#include "jobs/job_controller.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/errors.h"
#include "jobs/message_limits.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

job_controller::job_controller(owner_id self, worker_pool &workers,
                               const controller_settings &settings)
    : m_self(std::move(self))
    , m_workers(workers)
    , m_settings(settings)
    , m_waitPolicy({settings.maxInterferenceWait, settings.maxInterferenceWaitWhenIdle})
{ }

// --- requests of callers

bool job_controller::owns(const std::string &job) const
{
    return m_jobs.contains(job);
}

void job_controller::submit(const std::string &id, const job_spec &spec, const queue_policy &policy,
                            std::int64_t wallMs, time_point now, std::int64_t token)
{
    auto &job = m_jobs[id];
    job.record = newRecord(spec, policy, wallMs);
    job.payload = spec.payload;
    job.waitingTokens.push_back({token, job.revision});
    m_changedJobs.insert(id);
    m_waitingJobs.insert(id);
    noteCopyableJob(id, job);
    // Tasks are placed before the first write, so that the acceptance and the first placements are
    // one transaction.
    placeWaitingTasks(id, job, now, wallMs);
}

void job_controller::notifyWhenStored(const std::string &id, std::int64_t token)
{
    auto &job = m_jobs.at(id);
    job.waitingTokens.push_back({token, job.revision});
    notifyStored(job);
}

void job_controller::cancel(const std::string &id, std::int64_t token)
{
    auto &job = m_jobs.at(id);
    if (!isFinal(job.record.state())) {
        job.record.cancelled = true;
        markChanged(id, job);
        stopAllRuns(id, job);
        addLog("job_cancelled", id, "requested by its caller");
    }
    notifyWhenStored(id, token);
}

job_state job_controller::storedState(const std::string &id) const
{
    return m_jobs.at(id).storedState;
}

const job_record *job_controller::record(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.record;
}

// --- events of the store

void job_controller::rowWritten(const std::string &id, std::int64_t version)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    job.version = version;
    job.storedRevision = job.inFlightRevision;
    job.inFlightRevision = 0;
    job.storedState = job.inFlightState;
    job.storedSummary = job.inFlightSummary;
    job.payloadStored = true;
    job.cancelRowStored = job.storedState == job_state::Cancelled;
    m_changedJobs.insert(id);
    notifyStored(job);
}

void job_controller::rowConflict(const std::string &id, std::int64_t version,
                                 const std::optional<std::string> &content)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    std::optional<job_record> row;
    if (content && !isRecordOfOtherRelease(*content)) {
        try {
            row = recordFrom(*content);
        } catch (const error &problem) {
            // Not written by an entry: the record in memory is the only whole one.
            addLog("job_row_overwritten", id, problem.what());
            return writeAgain(id, job, version);
        }
    }
    // An earlier attempt of this write was applied, and its answer was lost.
    if (row && row->writeId == job.inFlightWriteId)
        return rowWritten(id, version);
    if (!row || row->owner != m_self) {
        addLog("job_disowned", id,
               row ? "owner is " + row->owner.entry
                   : "its row was deleted, or is of another release");
        return dropJob(id);
    }
    applyCancel(id, job, row->cancelled);
    writeAgain(id, job, version);
}

void job_controller::writeAgain(const std::string &id, owned_job &job, std::int64_t version)
{
    job.inFlightRevision = 0;
    job.version = version;
    job.storedSummary.clear();
    markChanged(id, job);
}

void job_controller::rowChanged(const std::string &id, const job_summary &summary,
                                std::int64_t version)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    if (job.inFlightRevision != 0 || version <= job.version)
        return; // this entry's own write, or a change that the write in flight will conflict with
    if (summary.owner != m_self) {
        addLog("job_disowned", id, "owner is " + summary.owner.entry);
        return dropJob(id);
    }
    job.version = version;
    job.storedSummary.clear();
    applyCancel(id, job, summary.state == job_state::Cancelled);
}

// Applies a cancel that another entry wrote to the row on the owner's behalf.
void job_controller::applyCancel(const std::string &id, owned_job &job, bool isCancelled)
{
    if (!isCancelled || isFinal(job.record.state()))
        return;
    job.cancelRowStored = true;
    job.record.cancelled = true;
    markChanged(id, job);
    stopAllRuns(id, job);
    addLog("job_cancelled", id, "cancel was written by another entry");
}

void job_controller::adopt(const std::string &id, const job_record &record, std::int64_t version,
                           const std::string &payload)
{
    if (m_jobs.contains(id))
        return;
    auto &job = m_jobs[id];
    job.record = record;
    job.payload = payload;
    job.payloadStored = true;
    job.cancelRowStored = record.cancelled;
    job.version = version;
    job.storedState = record.state();
    job.isAdopted = true;
    m_changedJobs.insert(id);
    m_waitingJobs.insert(id);
    noteCopyableJob(id, job);
    forEachTask(id, job, [&](const task_id &task, const task_state &state) {
        auto &orders = record.shouldRun(state) ? job.startOrders : job.stopOrders;
        for (const auto &runPlacement : state.placements)
            orders[{task, runPlacement.run}] = {runPlacement.worker, job.revision, false, {}};
    });
    m_jobsWithOrders.insert(id);
    addLog("job_adopted", id, "owner was " + record.owner.entry);
}

void job_controller::rowRemoved(const std::string &id)
{
    if (m_jobs.contains(id))
        dropJob(id);
}

// --- events of workers

void job_controller::checkpointReported(const std::string &worker, const run_progress &progress)
{
    const auto found = m_jobs.find(progress.task.job);
    if (found == m_jobs.end())
        return;
    auto *task = found->second.record.find(progress.task);
    if (task == nullptr || task->done || task->checkpoint == progress.checkpoint)
        return;
    // A delayed report may name a run that has ended since, with an older checkpoint than the one
    // that was saved with the end.
    if (!isPlacedOn(*task, worker, progress.run))
        return;
    const auto before = task->checkpoint;
    keepCheckpoint(*task, stepOf(found->second, progress.task), progress.checkpoint);
    if (task->checkpoint != before)
        markChanged(found->first, found->second);
}

void job_controller::runStarted(const started_run &run, time_point now)
{
    const auto found = m_jobs.find(run.task.job);
    if (found != m_jobs.end() && found->second.record.find(run.task) != nullptr)
        markStarted(found->first, found->second, now);
}

// The start is written to the job's row because callers count waiting jobs at any entry, and
// entries know the jobs of other owners only by their rows.
void job_controller::markStarted(const std::string &id, owned_job &job, time_point now)
{
    if (std::exchange(job.record.hasStarted, true))
        return;
    m_startedWriteDueAt.emplace(id, now + m_settings.startedWriteDelay);
}

void job_controller::writeStartedJobs(time_point now)
{
    std::erase_if(m_startedWriteDueAt, [&](const auto &entry) {
        if (now < entry.second)
            return false;
        const auto found = m_jobs.find(entry.first);
        if (found != m_jobs.end())
            markChanged(found->first, found->second);
        return true;
    });
}

const step_spec &job_controller::stepOf(const owned_job &job, const task_id &task)
{
    return job.record.steps[static_cast<std::size_t>(task.step)];
}

std::set<std::string> job_controller::workersWithPlacements() const
{
    std::set<std::string> workers;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &occurrenceSteps : job.record.tasks) {
            for (const auto &stepTasks : occurrenceSteps) {
                for (const auto &task : stepTasks) {
                    for (const auto &runPlacement : task.placements)
                        workers.insert(runPlacement.worker);
                }
            }
        }
    }
    return workers;
}

// --- planning

void job_controller::plan(time_point now, std::int64_t wallMs)
{
    std::vector<std::pair<job_urgency, std::string>> byUrgency;
    for (const auto &id : m_waitingJobs) {
        const auto &record = m_jobs.at(id).record;
        byUrgency.emplace_back(m_settings.features.learnsRunTimes
                                       ? urgencyOf(record, wallMs, m_runTimes)
                                       : urgencyOf(record, wallMs),
                               id);
    }
    std::sort(byUrgency.begin(), byUrgency.end());
    m_waitPolicy.beginRound(lateShareOfBestEffort(wallMs));
    for (const auto &[urgency, id] : byUrgency)
        placeWaitingTasks(id, m_jobs.at(id), now, wallMs);
    placeCopies(now, wallMs);
    if (m_settings.features.sharesSlack)
        noteScarceServices(byUrgency, now);
    logUnderservedJobs(now);
    logLongRunningTasks(now, wallMs);
    logStalledTasks(now, wallMs);
    logCompletedJobs(wallMs);
    writeStartedJobs(now);
    const auto changedJobs = std::move(m_changedJobs);
    m_changedJobs.clear();
    for (const auto &id : changedJobs) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
            writeIfDue(id, found->second);
    }
    const auto jobsWithOrders = m_jobsWithOrders;
    for (const auto &id : jobsWithOrders) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !sendDueOrders(id, found->second, now, wallMs))
            m_jobsWithOrders.erase(id);
    }
}

std::vector<controller_action> job_controller::takeActions()
{
    auto actions = std::move(m_actions);
    m_actions.clear();
    return actions;
}

std::vector<std::string> job_controller::ownedJobs() const
{
    std::vector<std::string> jobs;
    for (const auto &[id, job] : m_jobs)
        jobs.push_back(id);
    return jobs;
}

std::size_t job_controller::unfinishedJobCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(),
                          [](const auto &entry) { return !isFinal(entry.second.storedState); }));
}

// --- implementation

std::int64_t job_controller::slackOf(const job_record &record, std::int64_t wallMs) const
{
    return m_settings.features.learnsRunTimes ? slackMs(record, wallMs, m_runTimes)
                                              : slackMs(record, wallMs);
}

void job_controller::markChanged(const std::string &id, owned_job &job)
{
    ++job.revision;
    m_changedJobs.insert(id);
    m_waitingJobs.insert(id);
}

void job_controller::writeIfDue(const std::string &id, owned_job &job)
{
    if (job.inFlightRevision != 0 || job.storedRevision >= job.revision)
        return;
    job.record.owner = m_self;
    job.inFlightWriteId =
            fmt::format("{}:{}:{}", m_self.entry, m_self.incarnation, m_nextWriteNumber++);
    job.record.writeId = job.inFlightWriteId;
    job.inFlightRevision = job.revision;
    job.inFlightState = job.record.state();
    m_startedWriteDueAt.erase(id);
    write_row write{id, job.version, toTextWithin(job.record, MaxRowBytes), std::nullopt,
                    std::nullopt};
    if (!job.payloadStored)
        write.payload = job.payload;
    job.inFlightSummary = toText(summaryOf(job.record));
    if (job.inFlightSummary != job.storedSummary)
        write.summary = job.inFlightSummary;
    write.writesCancelRow = job.record.cancelled && !job.cancelRowStored;
    m_actions.emplace_back(std::move(write));
}

void job_controller::notifyStored(owned_job &job)
{
    std::erase_if(job.waitingTokens, [&](const waiting_token &waiting) {
        if (waiting.neededRevision > job.storedRevision)
            return false;
        m_actions.emplace_back(change_stored{waiting.token});
        return true;
    });
}

void job_controller::dropJob(const std::string &id)
{
    const auto found = m_jobs.find(id);
    for (const auto &waiting : found->second.waitingTokens)
        m_actions.emplace_back(ownership_lost{waiting.token, id});
    m_jobs.erase(found);
    m_waitingJobs.erase(id);
    m_changedJobs.erase(id);
    m_jobsWithOrders.erase(id);
    m_startedWriteDueAt.erase(id);
    m_copyableJobs.erase(id);
}

} // namespace zinniabarrow::jobs
