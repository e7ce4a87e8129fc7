// Placement of the waiting tasks of owned jobs.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"
#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

bool hasPlacements(const job_record &record)
{
    for (const auto &steps : record.tasks) {
        for (const auto &tasks : steps) {
            if (std::any_of(tasks.begin(), tasks.end(),
                            [](const auto &task) { return !task.placements.empty(); }))
                return true;
        }
    }
    return false;
}

} // namespace

// A different seed for each run, so that a task that was refused tends to try another worker.
std::uint64_t job_controller::tieBreakSeedOf(const task_id &task, int run)
{
    return stableHash(fmt::format("{} {}", toText(task), run));
}

void job_controller::placeWaitingTasks(const std::string &id, owned_job &job, time_point now,
                                       std::int64_t wallMs)
{
    if (isFinal(job.record.state())) {
        m_waitingJobs.erase(id);
        return;
    }
    bool hasWaitingTasks = false;
    for (std::size_t occurrence = 0; occurrence < job.record.tasks.size(); ++occurrence) {
        const auto number = static_cast<std::int64_t>(occurrence);
        if (job.record.occurrences > 0
            && wallMs < job.record.firstOccurrenceMs + number * job.record.intervalMs) {
            hasWaitingTasks = true;
            continue;
        }
        for (std::size_t step = 0; step < job.record.steps.size(); ++step) {
            const auto occurrenceNumber = static_cast<int>(occurrence);
            const auto stepNumber = static_cast<int>(step);
            if (job.record.isStepReady(occurrenceNumber, stepNumber))
                hasWaitingTasks = placeStep(id, job, occurrenceNumber, stepNumber, now, wallMs)
                                  || hasWaitingTasks;
        }
    }
    if (!hasWaitingTasks)
        m_waitingJobs.erase(id);
    if (!job.record.hasStarted && !job.timeline.firstPlacedAtMs && !job.startOrders.empty()) {
        job.timeline.firstPlacedAtMs = wallMs;
        job.timeline.slackAtFirstPlacementMs = slackOf(job.record, wallMs);
        if (m_settings.features.learnsRunTimes)
            job.timeline.learnedPathMs = remainingPathMs(job.record, m_runTimes);
    }
}

// Fails the job if a waiting task of the step has no attempt left: its last run failed earlier than
// a copy, which has ended without completing it.
bool job_controller::failIfOutOfAttempts(const std::string &id, owned_job &job,
                                         const task_id &firstTask)
{
    const auto &step = stepOf(job, firstTask);
    for (int index = 0; index < step.count; ++index) {
        auto task = firstTask;
        task.index = index;
        const auto &state = *job.record.find(task);
        if (!state.isWaiting() || !isOutOfAttempts(job, step, state))
            continue;
        failJob(id, job, task);
        markChanged(id, job);
        addLog("job_ended", id, std::string(nameOf(job.record.state())));
        return true;
    }
    return false;
}

placement_preferences job_controller::roomPreferences(time_point waitStart, time_point now) const
{
    placement_preferences preferences;
    preferences.weighsRoom = m_settings.features.weighsRoom;
    preferences.leavesLastPlaces =
            preferences.weighsRoom && now - waitStart < m_settings.maxWaitForHome;
    return preferences;
}

// Returns true when some task of the step still waits for a worker.
bool job_controller::placeStep(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                               time_point now, std::int64_t wallMs)
{
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    if (job.record.failed || failIfOutOfAttempts(id, job, {id, occurrence, stepIndex, 0}))
        return false;
    job.course.stepReady(occurrence, stepIndex, now);
    if (step.isGang)
        return placeGang(id, job, occurrence, stepIndex, now, wallMs);
    if (m_settings.features.weighsWaits)
        return placeWeighedStep(id, job, {id, occurrence, stepIndex, 0}, now, wallMs);
    const auto &stepTasks = job.record.tasks[static_cast<std::size_t>(occurrence)]
                                            [static_cast<std::size_t>(stepIndex)];
    auto unplacedTasks = countWaiting(stepTasks);
    auto &waitStart = job.waitingSince.try_emplace({occurrence, stepIndex}, now).first->second;
    if (unplacedTasks == 0)
        waitStart = now;
    auto preferences = roomPreferences(waitStart, now);
    const bool isMostlyUsed = isServiceMostlyUsed(job, now);
    preferences.avoidsInterference =
            now - waitStart < (isMostlyUsed ? m_settings.maxInterferenceWait
                                            : m_settings.maxInterferenceWaitWhenIdle);
    // Jobs that are certain to be late are placed last. Without this rule such a job could wait
    // without any run although most of the service's processors are unreserved.
    const bool mayOvercommit =
            !isMostlyUsed && now - waitStart >= m_settings.maxInterferenceWaitWhenIdle;
    bool hasWaitingTasks = false;
    for (int index = 0; index < step.count; ++index) {
        const task_id task{id, occurrence, stepIndex, index};
        auto &state = *job.record.find(task);
        if (!state.isWaiting())
            continue;
        if (isPausing(job, task, step, now)) {
            hasWaitingTasks = true;
            continue;
        }
        preferences.waitingTasks = unplacedTasks--;
        preferences.tieBreakSeed = tieBreakSeedOf(task, state.lastRun + 1);
        preferences.mayOvercommit = mayOvercommit && !hasPlacements(job.record);
        const auto worker = chooseWorkerFor(m_workers, job, task, step, now, preferences);
        if (!worker) {
            hasWaitingTasks = true;
            // The other tasks are of the same size and find no worker either, unless they may go
            // where this one may not.
            if (step.maxPerWorker == 0 && !isKeptFromQuarantine(job, task, now))
                break;
            continue;
        }
        placeTask(id, job, task, step, *worker, state.lastRun + 1, now);
    }
    logUnplacedTasks(id, job, occurrence, stepIndex, countWaiting(stepTasks), preferences, now);
    return hasWaitingTasks;
}

// Places all tasks of the gang or none: a member that runs alone occupies its worker in vain.
// Returns true when the gang waits for workers.
bool job_controller::placeGang(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                               time_point now, std::int64_t wallMs)
{
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    auto &members = job.record.tasks[static_cast<std::size_t>(occurrence)]
                                    [static_cast<std::size_t>(stepIndex)];
    const task_id firstMember{id, occurrence, stepIndex, 0};
    if (countWaiting(members) < step.count) {
        stopIncompleteGang(job, firstMember);
        return false; // done, or members of an earlier run have not ended yet
    }
    for (int index = 0; index < step.count; ++index) {
        if (isPausing(job, {id, occurrence, stepIndex, index}, step, now))
            return true;
    }
    int run = 1;
    for (const auto &member : members)
        run = std::max(run, member.lastRun + 1);
    const auto chosenWorkers =
            m_settings.features.weighsWaits
                    ? chooseGangOrWait(id, job, firstMember, step, run, now, wallMs)
                    : chooseGangWorkers(job, firstMember, step, run, {}, now);
    logUnplacedTasks(id, job, occurrence, stepIndex, chosenWorkers.empty() ? step.count : 0, {},
                     now);
    if (chosenWorkers.empty())
        return true;
    // All members resume from the latest checkpoint of any of them.
    std::string checkpoint;
    for (const auto &member : members)
        checkpoint = std::max(checkpoint, member.checkpoint);
    for (int index = 0; index < step.count; ++index) {
        members[static_cast<std::size_t>(index)].checkpoint = checkpoint;
        placeTask(id, job, {id, occurrence, stepIndex, index}, step,
                  chosenWorkers[static_cast<std::size_t>(index)], run, now);
    }
    return false;
}

// Stops the runs of a gang of which a member has none: its run was refused, has ended, or ended
// with its worker's epoch, perhaps before this entry took the job over. The others can't work
// without it, and the gang is placed again only once all have ended.
void job_controller::stopIncompleteGang(owned_job &job, const task_id &firstMember)
{
    const auto &step = stepOf(job, firstMember);
    const auto &members = job.record.tasks[static_cast<std::size_t>(firstMember.occurrence)]
                                          [static_cast<std::size_t>(firstMember.step)];
    if (countWaiting(members) == 0)
        return;
    for (int index = 0; index < step.count; ++index) {
        auto task = firstMember;
        task.index = index;
        for (const auto &runPlacement : members[static_cast<std::size_t>(index)].placements) {
            if (job.stoppedMembers.insert({task, runPlacement.run}).second)
                stopRun(job, task, runPlacement);
        }
    }
}

std::vector<std::string> job_controller::chooseGangWorkers(const owned_job &job,
                                                           const task_id &firstMember,
                                                           const step_spec &step, int run,
                                                           const std::string &onlyRack,
                                                           time_point now) const
{
    auto trialPool = m_workers;
    std::vector<std::string> chosenWorkers;
    // The members are placed only once each has a worker: until then the record has none of them.
    for (int index = 0; index < step.count; ++index) {
        auto task = firstMember;
        task.index = index;
        placement_preferences preferences;
        preferences.tieBreakSeed = tieBreakSeedOf(task, run);
        preferences.onlyRack = onlyRack;
        const auto worker =
                chooseWorkerFor(trialPool, job, task, step, now, preferences, chosenWorkers);
        if (!worker)
            return {};
        trialPool.reserve(*worker, step);
        chosenWorkers.push_back(*worker);
    }
    return chosenWorkers;
}

void job_controller::placeTask(const std::string &id, owned_job &job, const task_id &task,
                               const step_spec &step, const std::string &worker, int run,
                               time_point now)
{
    auto &state = *job.record.find(task);
    state.lastRun = run;
    const auto &workerReport = m_workers.find(worker)->lastReport;
    state.placements.push_back({worker, workerReport.epoch, run, workerReport.agentIncarnation});
    m_workers.reserve(worker, step);
    job.course.placed(task, now);
    markChanged(id, job);
    job.startOrders[{task, run}] = {worker, job.revision, false, {}};
    m_startsInFlight[worker].emplace(task, run);
    m_jobsWithOrders.insert(id);
}

// Chooses a worker for the task: one on which it has not failed recently; otherwise any that can
// take it; as a last resort, for a long-running task, a quarantined one. Such a task may be started
// any number of times, and the worker may well be sound. After a failure of its own it pauses, so
// that it isn't started again and again on workers that are not.
std::optional<std::string> job_controller::chooseWorkerFor(const worker_pool &workers,
                                                           const owned_job &job,
                                                           const task_id &task,
                                                           const step_spec &step, time_point now,
                                                           const placement_preferences &preferences,
                                                           const std::vector<std::string> &chosen)
{
    const auto &service = job.record.policy.service;
    const auto fullWorkers = workersAtTaskLimit(job, task, step, chosen);
    auto avoid = fullWorkers;
    const auto avoided = job.avoidedWorkers.find(task);
    const bool avoidsAny = avoided != job.avoidedWorkers.end();
    if (avoidsAny)
        avoid.insert(avoid.end(), avoided->second.begin(), avoided->second.end());
    auto worker = workers.chooseWorker(service, step, avoid, now, preferences);
    if (!worker && avoidsAny)
        worker = workers.chooseWorker(service, step, fullWorkers, now, preferences);
    if (worker || !step.isLongRunning || isKeptFromQuarantine(job, task, now))
        return worker;
    auto lastResort = preferences;
    lastResort.mayUseQuarantined = true;
    return workers.chooseWorker(service, step, fullWorkers, now, lastResort);
}

bool job_controller::isServiceMostlyUsed(const owned_job &job, time_point now) const
{
    constexpr double MostlyUsedShare = 0.55; // of its processors, see maxInterferenceWait
    return m_workers.usedProcessorShare(job.record.policy.service, now) > MostlyUsedShare;
}

bool job_controller::isPausing(const owned_job &job, const task_id &task, const step_spec &step,
                               time_point now)
{
    return step.isLongRunning && job.taskFailures.isPausing(task, now);
}

bool job_controller::isKeptFromQuarantine(const owned_job &job, const task_id &task, time_point now)
{
    const auto found = job.quarantineRetryAt.find(task);
    return found != job.quarantineRetryAt.end() && now < found->second;
}

std::vector<std::string> job_controller::workersAtTaskLimit(const owned_job &job,
                                                            const task_id &task,
                                                            const step_spec &step,
                                                            const std::vector<std::string> &chosen)
{
    std::vector<std::string> fullWorkers;
    if (step.maxPerWorker == 0)
        return fullWorkers;
    std::map<std::string, int> perWorker;
    const auto count = [&](const std::string &worker) {
        if (++perWorker[worker] == step.maxPerWorker)
            fullWorkers.push_back(worker);
    };
    const auto &stepTasks = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                            [static_cast<std::size_t>(task.step)];
    for (const auto &other : stepTasks) {
        for (const auto &runPlacement : other.placements)
            count(runPlacement.worker);
    }
    for (const auto &worker : chosen)
        count(worker);
    return fullWorkers;
}

} // namespace zinniabarrow::jobs
