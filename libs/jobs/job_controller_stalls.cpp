// Detects long-running tasks that are stalled, and the reason as far as their owner knows it.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/names.h"
#include "jobs/job_controller.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<stall_reason, 7> StallReasonNames{{
        {stall_reason::NoWorker, "no_worker"},
        {stall_reason::PlacementNotStored, "not_stored"},
        {stall_reason::StartUnanswered, "start_unanswered"},
        {stall_reason::StopPending, "stop_outstanding"},
        {stall_reason::AgentSilent, "worker_unheard"},
        {stall_reason::EarlierEpoch, "earlier_epoch"},
        {stall_reason::NotRunning, "not_at_work"},
}};

} // namespace

std::string_view nameOf(stall_reason reason)
{
    return nameOf(StallReasonNames, reason);
}

std::optional<stall_reason> job_controller::stallReasonOf(const owned_job &job, const task_id &task,
                                                          const task_state &state,
                                                          time_point now) const
{
    if (state.placements.empty())
        return stall_reason::NoWorker;
    const auto &runPlacement = state.placements.back();
    const std::pair key{task, runPlacement.run};
    if (job.stopOrders.contains(key))
        return stall_reason::StopPending;
    const auto start = job.startOrders.find(key);
    if (start != job.startOrders.end())
        return start->second.neededRevision > job.storedRevision ? stall_reason::PlacementNotStored
                                                                 : stall_reason::StartUnanswered;
    if (!m_workers.isReporting(runPlacement.worker, now))
        return stall_reason::AgentSilent;
    if (runPlacement.epoch < m_workers.find(runPlacement.worker)->lastReport.epoch)
        return stall_reason::EarlierEpoch;
    const auto &step = stepOf(job, task);
    // Reports list only runs with a latency target.
    const bool isReported = step.latencyTargetMs > 0;
    if (isReported
        && countReported(task.job, runPlacement.worker) < countPlaced(job, runPlacement.worker))
        return stall_reason::NotRunning;
    return std::nullopt;
}

// Runs of the job that the worker's latest report lists; only runs with a latency target are
// listed.
int job_controller::countReported(const std::string &id, const std::string &worker) const
{
    const auto *view = m_workers.find(worker);
    if (view == nullptr)
        return 0;
    const auto &serving = view->lastReport.serving;
    return static_cast<int>(std::count_if(serving.begin(), serving.end(),
                                          [&](const auto &run) { return run.job == id; }));
}

// Placed runs of the job that the worker should report.
int job_controller::countPlaced(const owned_job &job, const std::string &worker)
{
    int placed = 0;
    for (const auto &steps : job.record.tasks) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            if (job.record.steps[step].latencyTargetMs <= 0)
                continue;
            for (const auto &task : steps[step]) {
                placed += static_cast<int>(std::count_if(
                        task.placements.begin(), task.placements.end(),
                        [&](const auto &runPlacement) { return runPlacement.worker == worker; }));
            }
        }
    }
    return placed;
}

void job_controller::logStalledTasks(time_point now, std::int64_t wallMs)
{
    if (now < m_nextStallCheckAt)
        return;
    m_nextStallCheckAt = now + m_settings.stallCheckInterval;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.record.state()))
            continue;
        forEachTask(id, job, [&, &owned = job](const task_id &task, const task_state &state) {
            if (shouldBeRunning(owned, task, wallMs))
                logIfStalled(owned, task, state, now);
        });
    }
}

// Returns true if the task is long-running, its occurrence is due, and the steps that it depends on
// are done.
bool job_controller::shouldBeRunning(const owned_job &job, const task_id &task, std::int64_t wallMs)
{
    const auto &record = job.record;
    if (!record.steps[static_cast<std::size_t>(task.step)].isLongRunning)
        return false;
    const bool isDue = record.occurrences == 0
                       || wallMs >= record.firstOccurrenceMs + task.occurrence * record.intervalMs;
    return isDue && record.isStepReady(task.occurrence, task.step);
}

void job_controller::logIfStalled(owned_job &job, const task_id &task, const task_state &state,
                                  time_point now)
{
    const stall_timer initial{now, now + m_settings.stallThreshold};
    auto &stall = job.stalls.try_emplace(task, initial).first->second;
    const auto reason = stallReasonOf(job, task, state, now);
    if (!reason)
        stall = initial;
    if (!reason || now < stall.logAt)
        return;
    stall.logAt = now + m_settings.stallLogInterval;
    addLog("task_stands_still", task.job,
           fmt::format("{} for {} ms: {}", toText(task), millisecondsIn(now - stall.lastRunningAt),
                       describeStall(job, task, state, *reason, now)));
}

std::string job_controller::describeStall(const owned_job &job, const task_id &task,
                                          const task_state &state, stall_reason reason,
                                          time_point now) const
{
    if (reason == stall_reason::NoWorker) {
        const auto &step = stepOf(job, task);
        return fmt::format("{}, after run {}; {}", nameOf(reason), state.lastRun,
                           m_workers.describeUnfitWorkers(job.record.policy.service, step,
                                                          workersAtTaskLimit(job, task, step),
                                                          now));
    }
    const auto &last = state.placements.back();
    auto text = fmt::format("{}, run {} on {}, epoch {}", nameOf(reason), last.run, last.worker,
                            last.epoch);
    if (reason == stall_reason::NotRunning)
        text += fmt::format(", {} of {} runs of its job running there",
                            countReported(task.job, last.worker), countPlaced(job, last.worker));
    return text;
}

} // namespace zinniabarrow::jobs
