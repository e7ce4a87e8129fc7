// Placement of waiting tasks with waits that are weighed; see wait_policy.h.
#include <algorithm>
#include <set>
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

// Returns true when some task of the step still waits for a worker.
bool job_controller::placeWeighedStep(const std::string &id, owned_job &job,
                                      const task_id &firstTask, time_point now, std::int64_t wallMs)
{
    const auto &step = stepOf(job, firstTask);
    const auto &stepTasks = job.record.tasks[static_cast<std::size_t>(firstTask.occurrence)]
                                            [static_cast<std::size_t>(firstTask.step)];
    auto unplacedTasks = countWaiting(stepTasks);
    const std::pair key{firstTask.occurrence, firstTask.step};
    auto &waitStart = job.waitingSince.try_emplace(key, now).first->second;
    if (unplacedTasks == 0) {
        waitStart = now;
        logUnplacedTasks(id, job, firstTask.occurrence, firstTask.step, 0, {}, now);
        return false;
    }
    auto weighed = weigh(job, firstTask, step, now, wallMs);
    bool hasWaitingTasks = false;
    for (int index = 0; index < step.count; ++index) {
        auto task = firstTask;
        task.index = index;
        auto &state = *job.record.find(task);
        if (!state.isWaiting())
            continue;
        if (isPausing(job, task, step, now)) {
            hasWaitingTasks = true;
            continue;
        }
        weighed.preferences.waitingTasks = unplacedTasks--;
        weighed.preferences.tieBreakSeed = tieBreakSeedOf(task, state.lastRun + 1);
        const auto choice = chooseOrWait(weighed, job, task, step, now);
        if (choice.worker) {
            placeTask(id, job, task, step, *choice.worker, state.lastRun + 1, now);
            weighed.tasks.hasRun = true;
            if (choice.reason)
                ++weighed.worseRuns[*choice.reason];
            continue;
        }
        hasWaitingTasks = true;
        // The other tasks are of the same size and find no worker either, unless they may go where
        // this one may not.
        const bool waitsForRack = !weighed.nearRack.empty() && choice.reason;
        if (!waitsForRack && step.maxPerWorker == 0 && !isKeptFromQuarantine(job, task, now))
            break;
    }
    logWorseRuns(id, firstTask, weighed, now);
    logUnplacedTasks(id, job, firstTask.occurrence, firstTask.step, countWaiting(stepTasks),
                     weighed.preferences, now);
    return hasWaitingTasks;
}

double job_controller::lateShareOfBestEffort(std::int64_t wallMs) const
{
    int waiting = 0;
    int late = 0;
    for (const auto &id : m_waitingJobs) {
        const auto &record = m_jobs.at(id).record;
        const auto isBestEffort = [](const auto &step) { return step.isBestEffort; };
        if (std::none_of(record.steps.begin(), record.steps.end(), isBestEffort))
            continue;
        ++waiting;
        late += slackMs(record, wallMs) < 0 ? 1 : 0;
    }
    return waiting == 0 ? 0 : static_cast<double>(late) / waiting;
}

job_controller::weighed_step job_controller::weigh(const owned_job &job, const task_id &firstTask,
                                                   const step_spec &step, time_point now,
                                                   std::int64_t wallMs)
{
    weighed_step weighed;
    auto &tasks = weighed.tasks;
    const auto since = job.waitingSince.find({firstTask.occurrence, firstTask.step});
    tasks.since = since == job.waitingSince.end() ? now : since->second;
    tasks.slackMs = slackOf(job.record, wallMs);
    tasks.runMs = m_runTimes.quantileMs(
            stepContextOf(job.record, firstTask.occurrence, firstTask.step), 0.5);
    tasks.hasRun = hasReportingRun(job, now);
    tasks.isLongRunning = step.isLongRunning;
    tasks.isServiceMostlyUsed = isServiceMostlyUsed(job, now);
    weighed.preferences = roomPreferences(tasks.since, now);
    weighed.preferences.loadMargin = m_waitPolicy.loadMargin(tasks);
    weighed.nearRack = nearRackOf(job, firstTask, step, now);
    return weighed;
}

// Runs on silent workers may be gone, so they are no reason to let the others wait.
bool job_controller::hasReportingRun(const owned_job &job, time_point now) const
{
    for (const auto &steps : job.record.tasks) {
        for (const auto &tasks : steps) {
            for (const auto &task : tasks) {
                const auto isReporting = [&](const auto &runPlacement) {
                    return m_workers.isReporting(runPlacement.worker, now);
                };
                if (!task.done
                    && std::any_of(task.placements.begin(), task.placements.end(), isReporting))
                    return true;
            }
        }
    }
    return false;
}

// The rack on which the waiting tasks of the step run faster than elsewhere: that of their data; or
// that of the step's other tasks; or, for the first of them, the one with most free capacity for
// it. Empty: there is none, or no worker there can ever take them, or the step is spread already.
std::string job_controller::nearRackOf(const owned_job &job, const task_id &firstTask,
                                       const step_spec &step, time_point now) const
{
    if (step.dataRack.empty() && !step.prefersSameRack)
        return {};
    const auto rooms = m_workers.roomByRack(job.record.policy.service, step, step.count, now, {});
    if (!step.dataRack.empty())
        return rooms.contains(step.dataRack) ? step.dataRack : std::string();
    std::set<std::string> usedRacks;
    for (const auto &task : job.record.tasks[static_cast<std::size_t>(firstTask.occurrence)]
                                            [static_cast<std::size_t>(firstTask.step)]) {
        if (!task.placements.empty())
            usedRacks.insert(m_workers.rackOf(task.placements.back().worker));
    }
    if (usedRacks.size() > 1)
        return {};
    if (usedRacks.size() == 1)
        return rooms.contains(*usedRacks.begin()) ? *usedRacks.begin() : std::string();
    const auto roomiest =
            std::max_element(rooms.begin(), rooms.end(), [](const auto &left, const auto &right) {
                return left.second.fittingTasks < right.second.fittingTasks;
            });
    return roomiest == rooms.end() ? std::string() : roomiest->first;
}

job_controller::weighed_choice job_controller::chooseOrWait(weighed_step &weighed,
                                                            const owned_job &job,
                                                            const task_id &task,
                                                            const step_spec &step, time_point now)
{
    if (weighed.nearRack.empty())
        return chooseAnywhere(weighed, job, task, step, now);
    if (!weighed.isNearRackFull) {
        auto onRack = weighed;
        onRack.preferences.onlyRack = weighed.nearRack;
        auto choice = chooseAnywhere(onRack, job, task, step, now);
        if (choice.worker && weighed.tasks.since < now)
            m_waitPolicy.recordFound(weighed.nearRack);
        if (choice.worker)
            return choice;
        // Another task of the step may fit where this one has failed.
        weighed.isNearRackFull = !job.avoidedWorkers.contains(task);
    }
    const auto decision = m_waitPolicy.decideDistance(weighed.tasks, weighed.nearRack, now);
    if (const auto *wait = std::get_if<wait_until>(&decision))
        return {std::nullopt, wait->reason};
    auto choice = chooseAnywhere(weighed, job, task, step, now);
    if (choice.worker)
        choice.reason = std::get<go_now>(decision).reason;
    else
        choice.reason.reset(); // no task of the step finds a worker
    return choice;
}

// The best worker on which the task makes no job late. If there is none, it waits or takes any.
job_controller::weighed_choice
job_controller::chooseAnywhere(const weighed_step &weighed, const owned_job &job,
                               const task_id &task, const step_spec &step, time_point now) const
{
    auto preferences = weighed.preferences;
    auto worker = chooseWorkerFor(m_workers, job, task, step, now, preferences);
    if (worker || !step.isBestEffort)
        return {std::move(worker)};
    const auto decision = m_waitPolicy.decideInterference(weighed.tasks, now);
    if (const auto *wait = std::get_if<wait_until>(&decision))
        return {std::nullopt, wait->reason};
    const auto reason = std::get<go_now>(decision).reason;
    preferences.avoidsInterference = false;
    preferences.mayOvercommit = reason == wait_reason::FirstRun && !weighed.tasks.hasRun;
    return {chooseWorkerFor(m_workers, job, task, step, now, preferences), reason};
}

// A group of tasks that must run at the same time: all on one rack, or, once that pays no longer,
// wherever there is free capacity.
std::vector<std::string> job_controller::chooseGangOrWait(const std::string &id, owned_job &job,
                                                          const task_id &firstMember,
                                                          const step_spec &step, int run,
                                                          time_point now, std::int64_t wallMs)
{
    job.waitingSince.try_emplace({firstMember.occurrence, firstMember.step}, now);
    const auto rooms = m_workers.roomByRack(job.record.policy.service, step, step.count, now, {});
    if (!step.prefersSameRack || rooms.empty())
        return chooseGangWorkers(job, firstMember, step, run, {}, now);
    auto weighed = weigh(job, firstMember, step, now, wallMs);
    for (const auto &[rack, room] : rooms) {
        if (room.fittingTasks < step.count)
            continue;
        auto workers = chooseGangWorkers(job, firstMember, step, run, rack, now);
        if (!workers.empty())
            return workers;
    }
    const auto decision = m_waitPolicy.decideDistance(weighed.tasks, weighed.nearRack, now);
    if (std::holds_alternative<wait_until>(decision))
        return {};
    auto workers = chooseGangWorkers(job, firstMember, step, run, {}, now);
    if (!workers.empty())
        weighed.worseRuns[std::get<go_now>(decision).reason] = step.count;
    logWorseRuns(id, firstMember, weighed, now);
    return workers;
}

void job_controller::logWorseRuns(const std::string &id, const task_id &firstTask,
                                  const weighed_step &weighed, time_point now)
{
    for (const auto &[reason, tasks] : weighed.worseRuns) {
        addLog(fmt::format("place_taken_{}", nameOf(reason)), id,
               fmt::format("{} tasks of step {}.{} after {} ms, {} ms of slack, near rack '{}'",
                           tasks, firstTask.occurrence, firstTask.step,
                           millisecondsIn(now - weighed.tasks.since), weighed.tasks.slackMs,
                           weighed.nearRack));
    }
}

} // namespace zinniabarrow::jobs
