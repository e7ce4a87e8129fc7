// Applies reported ends of runs to the jobs that an entry owns.
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

// Whether the run was at work for a while. If it failed after that, its worker is not at fault.
bool hasServed(const step_spec &step, const std::optional<milliseconds> &runDuration)
{
    return step.isLongRunning && runDuration && *runDuration >= MinServingTime;
}

} // namespace

bool job_controller::runEnded(const std::string &worker, const run_end &end, time_point now,
                              std::int64_t token)
{
    const auto found = m_jobs.find(end.task.job);
    if (found == m_jobs.end())
        return false;
    const auto &id = found->first;
    auto &job = found->second;
    auto *task = job.record.find(end.task);
    // The run was placed by a later owner, of which this entry has not learned yet. If this entry
    // acknowledged the end, the end would be in no row, and the task would run again. A task that
    // is done never runs again.
    if (task != nullptr && !task->done && end.run > task->lastRun)
        return false;
    if (task != nullptr && isPlacedOn(*task, worker, end.run))
        task->done ? endRedundant(id, job, worker, end) : endPlacedRun(id, job, worker, end, now);
    else if (task != nullptr && !task->done && !isFinal(job.record.state()))
        endUnplacedRun(id, job, worker, end, now);
    job.waitingTokens.push_back({token, job.revision});
    notifyStored(job);
    return true;
}

void job_controller::endPlacedRun(const std::string &id, owned_job &job, const std::string &worker,
                                  const run_end &end, time_point now)
{
    auto &task = *job.record.find(end.task);
    const auto &step = stepOf(job, end.task);
    const auto runDuration = takeRunDuration(job, end, now);
    const bool isEndOfService = hasServed(step, runDuration);
    const auto slowdown = m_settings.features.learnsRunTimes ? 0 : slowdownOf(runDuration, step);
    const bool hasFailedAtOnce = end.endKind == end_kind::Failed && !isEndOfService;
    if (isEndOfService || end.endKind == end_kind::Done)
        job.taskFailures.recordSuccess(end.task);
    // A task that fails wherever it runs would keep the tasks of all other jobs from one sound
    // worker after another.
    const bool failsByItself =
            hasFailedAtOnce && job.taskFailures.recordFailure(end.task, worker, now);
    if (end.endKind == end_kind::Failed && isEndOfService)
        m_workers.recordServedRun(worker);
    else if (!failsByItself && m_workers.recordRunEnd(worker, end.endKind, slowdown, now))
        logQuarantine(id, worker, end, now);
    if (end.endKind == end_kind::Done && !step.dataRack.empty())
        m_waitPolicy.recordRun(m_workers.rackOf(worker) == step.dataRack,
                               slowdownOf(runDuration, step));
    if (step.isLongRunning && (hasFailedAtOnce || end.endKind == end_kind::NeverStarted))
        job.quarantineRetryAt[end.task] = now + m_settings.quarantineRetryDelay;
    learnRunTime(job, worker, end, runDuration);
    removePlacement(job, end.task, end.run);
    if (end.endKind != end_kind::NeverStarted)
        markStarted(id, job, now);
    if (!end.checkpoint.empty())
        keepCheckpoint(task, step, end.checkpoint);
    if (end.endKind == end_kind::Done && runDuration && mayHaveCopies(step))
        recordOvertakenRuns(job, end, now);
    if (end.endKind == end_kind::NeverStarted)
        handleNeverStarted(job, worker, end.task, end.run);
    if (end.endKind != end_kind::Done)
        addLog("run_ended", id,
               fmt::format("{}: {}", describeRun(end.task, end.run, worker), nameOf(end.endKind)));
    if (end.endKind == end_kind::Failed)
        job.course.failed(end.task, worker, now);
    applyRunEnd(id, job, worker, end, runDuration);
    if (end.endKind == end_kind::Done && !step.isLongRunning)
        noteStepDone(job, end.task, now);
}

// The task was done by another run, so the outcome of this one changes nothing.
void job_controller::endRedundant(const std::string &id, owned_job &job, const std::string &worker,
                                  const run_end &end)
{
    removePlacement(job, end.task, end.run);
    job.startAcceptedAt.erase({end.task, end.run});
    markChanged(id, job);
    addLog("needless_run_ended", id,
           fmt::format("{}: {}", describeRun(end.task, end.run, worker), nameOf(end.endKind)));
}

// The end of a run that is no longer placed. Once it is acknowledged, the worker forgets it. So the
// outcome must be in the row by then, or a task that is done would run again.
void job_controller::endUnplacedRun(const std::string &id, owned_job &job,
                                    const std::string &worker, const run_end &end, time_point now)
{
    auto &task = *job.record.find(end.task);
    const auto &step = stepOf(job, end.task);
    const bool isFirstReport = std::erase(task.unreportedRuns, end.run) > 0;
    const bool completesTask = end.endKind == end_kind::Done && !step.isLongRunning;
    addLog(completesTask || isFirstReport ? "run_ended_late" : "run_ended_again", id,
           fmt::format("{}: {}; newest run {}", describeRun(end.task, end.run, worker),
                       nameOf(end.endKind), task.lastRun));
    if (end.endKind != end_kind::NeverStarted)
        markStarted(id, job, now);
    if (!completesTask && !isFirstReport)
        return;
    if (!end.checkpoint.empty() && end.run == task.lastRun)
        keepCheckpoint(task, step, end.checkpoint);
    applyRunEnd(id, job, worker, end, std::nullopt);
}

// `runDuration` is how long the run took; none: unknown.
void job_controller::applyRunEnd(const std::string &id, owned_job &job, const std::string &worker,
                                 const run_end &end, const std::optional<milliseconds> &runDuration)
{
    const auto &step = stepOf(job, end.task);
    markChanged(id, job);
    if (end.endKind == end_kind::Done && !step.isLongRunning)
        finishTask(id, job, end.task, end.run, step);
    if (m_settings.features.learnsRunTimes && end.endKind == end_kind::Done
        && job.record.isStepDone(end.task.occurrence, end.task.step))
        m_runTimes.recordStepDone(stepContextOf(job.record, end.task.occurrence, end.task.step));
    if (end.endKind == end_kind::Failed)
        countFailure(id, job, worker, end, step, runDuration);
    if (job.record.state() == job_state::Completed)
        m_completedJobs.push_back(id);
    if (isFinal(job.record.state()))
        addLog("job_ended", id, std::string(nameOf(job.record.state())));
}

// Returns how long the run took, and forgets its start; none: this entry did not see the start.
std::optional<milliseconds> job_controller::takeRunDuration(owned_job &job, const run_end &end,
                                                            time_point now)
{
    const auto started = job.startAcceptedAt.extract({end.task, end.run});
    if (started.empty())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - started.mapped());
}

// A run that began at a checkpoint does not show the whole task's time. What a slow worker adds
// is left out of run times; what other best-effort runs take from a best-effort run is a part of
// them.
void job_controller::learnRunTime(owned_job &job, const std::string &worker, const run_end &end,
                                  const std::optional<milliseconds> &runDuration)
{
    const auto &step = stepOf(job, end.task);
    if (!runDuration || step.isLongRunning)
        return;
    const bool isLearned = m_settings.features.learnsRunTimes;
    const auto context = stepContextOf(job.record, end.task.occurrence, end.task.step);
    if (isLearned && end.endKind == end_kind::Failed)
        m_runTimes.recordFailed(context, *runDuration);
    auto &task = *job.record.find(end.task);
    const bool isResumed = end.run > 1 && !task.checkpoint.empty();
    if (end.endKind != end_kind::Done || isResumed)
        return;
    const auto durationMs = static_cast<double>(std::max<std::int64_t>(1, runDuration->count()));
    const auto expectedMs = m_runTimes.quantileMs(context, 0.5);
    if (isLearned && expectedMs > 0)
        m_workers.recordRunTime(worker, durationMs / static_cast<double>(expectedMs),
                                step.isBestEffort);
    const double slowdown = step.isBestEffort ? 1 : m_workers.slowdownAmongPeers(worker);
    task.runTimeMs = std::max<std::int64_t>(1, std::llround(durationMs / slowdown));
    if (isLearned)
        m_runTimes.recordDone(context, milliseconds(task.runTimeMs));
}

double job_controller::slowdownOf(const std::optional<milliseconds> &runDuration,
                                  const step_spec &step)
{
    if (!runDuration || step.estimateMs <= 0 || step.isLongRunning)
        return 0;
    return static_cast<double>(runDuration->count()) / static_cast<double>(step.estimateMs);
}

void job_controller::finishTask(const std::string &id, owned_job &job, const task_id &task, int run,
                                const step_spec &step)
{
    auto &stepTasks = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                      [static_cast<std::size_t>(task.step)];
    // When one member of a gang is done, the whole gang is.
    const int firstMember = step.isGang ? 0 : task.index;
    const int lastMember = step.isGang ? step.count - 1 : task.index;
    for (int index = firstMember; index <= lastMember; ++index) {
        auto &member = stepTasks[static_cast<std::size_t>(index)];
        member.done = true;
        member.unreportedRuns.clear();
        const task_id memberId{id, task.occurrence, task.step, index};
        // The members of a gang end together: their placements of this run end without a stop
        // order.
        removePlacement(job, memberId, run);
        noteCopyOutcome(id, job, memberId, run);
        stopRedundantRuns(job, memberId, member);
    }
}

// Other runs of a task that is done stay placed, and so in the row, until they have ended. If only
// the memory of this owner knew of them, a run that an agent has accepted but not started yet would
// start after the owner is gone.
void job_controller::stopRedundantRuns(owned_job &job, const task_id &task, const task_state &state)
{
    for (const auto &runPlacement : state.placements)
        stopRun(job, task, runPlacement);
}

void job_controller::stopRun(owned_job &job, const task_id &task, const placement &runPlacement)
{
    job.startOrders.erase({task, runPlacement.run});
    job.stopOrders[{task, runPlacement.run}] = {runPlacement.worker, job.revision, false, {}};
    m_jobsWithOrders.insert(task.job);
}

void job_controller::countFailure(const std::string &id, owned_job &job, const std::string &worker,
                                  const run_end &end, const step_spec &step,
                                  const std::optional<milliseconds> &runDuration)
{
    auto &task = *job.record.find(end.task);
    ++task.failures;
    // The next run may go to the same worker again, where the other tasks of the job are.
    if (hasServed(step, runDuration))
        return;
    avoidWorker(job, end.task, worker);
    // Another run may still complete the task. If it does not, placeStep() fails the job.
    const bool isCopyAtWork = mayHaveCopies(step) && !task.placements.empty();
    if (isOutOfAttempts(job, step, task) && !isCopyAtWork)
        failJob(id, job, end.task);
}

bool job_controller::isOutOfAttempts(const owned_job &job, const step_spec &step,
                                     const task_state &state)
{
    return !step.isLongRunning && state.failures > 0
           && state.failures >= job.record.policy.maxAttempts;
}

void job_controller::failJob(const std::string &id, owned_job &job, const task_id &task)
{
    job.record.failed = true;
    stopAllRuns(id, job);
    addLog("job_failed", id,
           fmt::format("{} failed {} times", toText(task), job.record.find(task)->failures));
}

// Of two runs of a task, the one that was started later may be behind. Checkpoints of one task
// compare as texts, as for the members of a gang.
void job_controller::keepCheckpoint(task_state &state, const step_spec &step,
                                    const std::string &checkpoint) const
{
    state.checkpoint = mayHaveCopies(step) ? std::max(state.checkpoint, checkpoint) : checkpoint;
}

// The run was refused or never started. The other members of its gang would wait for it in vain, so
// they are stopped.
void job_controller::handleNeverStarted(owned_job &job, const std::string &worker,
                                        const task_id &task, int run)
{
    const auto &step = stepOf(job, task);
    if (!step.isGang)
        return avoidWorker(job, task, worker);
    std::vector<std::pair<task_id, placement>> otherMembers;
    for (int index = 0; index < step.count; ++index) {
        const task_id member{task.job, task.occurrence, task.step, index};
        for (const auto &runPlacement : job.record.find(member)->placements) {
            if (runPlacement.run == run)
                otherMembers.emplace_back(member, runPlacement);
        }
    }
    // If another member is gone already, this one never started because the gang is being stopped,
    // which is not the fault of its worker.
    if (static_cast<int>(otherMembers.size()) < step.count - 1)
        return;
    avoidWorker(job, task, worker);
    for (const auto &[member, runPlacement] : otherMembers)
        stopRun(job, member, runPlacement);
}

// Keeps the next runs of the task off this worker, as long as another one can take it.
void job_controller::avoidWorker(owned_job &job, const task_id &task, const std::string &worker)
{
    auto &workers = job.avoidedWorkers[task];
    workers.push_back(worker);
    // Keeps only the newest ones, so that a task that fails occasionally everywhere does not run
    // out of workers.
    constexpr std::size_t MaxAvoidedWorkers = 2;
    if (workers.size() > MaxAvoidedWorkers)
        workers.erase(workers.begin());
}

} // namespace zinniabarrow::jobs
