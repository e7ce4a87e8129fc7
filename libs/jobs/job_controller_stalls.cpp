// Which tasks that last stand still, and why, by what their owner knows.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/names.h"
#include "jobs/job_controller.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<stall_reason, 7> StandingReasonNames{{
        {stall_reason::NoWorker, "no_worker"},
        {stall_reason::PlacementNotStored, "not_stored"},
        {stall_reason::StartUnanswered, "start_unanswered"},
        {stall_reason::StopPending, "stop_outstanding"},
        {stall_reason::AgentSilent, "worker_unheard"},
        {stall_reason::EarlierEpoch, "earlier_epoch"},
        {stall_reason::NotRunning, "not_at_work"},
}};

} // namespace

std::string_view nameOf(stall_reason why)
{
    return nameOf(StandingReasonNames, why);
}

std::optional<stall_reason> job_book::whyStanding(const owned_job &job, const task_id &task,
                                                  const task_state &state, time_point now) const
{
    if (state.placements.empty())
        return stall_reason::NoWorker;
    const auto &where = state.placements.back();
    const std::pair key{task, where.run};
    if (job.stops.contains(key))
        return stall_reason::StopPending;
    const auto start = job.starts.find(key);
    if (start != job.starts.end())
        return start->second.revision > job.storedRevision ? stall_reason::PlacementNotStored
                                                           : stall_reason::StartUnanswered;
    if (!m_workers.isHeard(where.worker, now))
        return stall_reason::AgentSilent;
    if (where.epoch < m_workers.find(where.worker)->last.epoch)
        return stall_reason::EarlierEpoch;
    const auto &step = stepOf(job, task);
    const bool isTold = step.targetMs > 0; // reports tell of no others
    if (isTold && servingAt(task.job, where.worker) < placedAt(job, where.worker))
        return stall_reason::NotRunning;
    return std::nullopt;
}

// Runs of the job with a target that the worker's newest report shows.
int job_book::servingAt(const std::string &id, const std::string &worker) const
{
    const auto *view = m_workers.find(worker);
    if (view == nullptr)
        return 0;
    const auto &serving = view->last.serving;
    return static_cast<int>(std::count_if(serving.begin(), serving.end(),
                                          [&](const auto &run) { return run.job == id; }));
}

// Those that have to be shown.
int job_book::placedAt(const owned_job &job, const std::string &worker)
{
    int placed = 0;
    for (const auto &steps : job.record.tasks) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            if (job.record.steps[step].targetMs <= 0)
                continue;
            for (const auto &task : steps[step]) {
                placed += static_cast<int>(
                        std::count_if(task.placements.begin(), task.placements.end(),
                                      [&](const auto &where) { return where.worker == worker; }));
            }
        }
    }
    return placed;
}

void job_book::tellStanding(time_point now, std::int64_t wallMs)
{
    if (now < m_lookStandingAt)
        return;
    m_lookStandingAt = now + m_settings.lookStanding;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.record.state()))
            continue;
        eachTask(id, job, [&, &owned = job](const task_id &task, const task_state &state) {
            if (mayRun(owned, task, wallMs))
                tellStandingTask(owned, task, state, now);
        });
    }
}

// It lasts, its time has come, and the steps before it are done.
bool job_book::mayRun(const owned_job &job, const task_id &task, std::int64_t wallMs)
{
    const auto &record = job.record;
    if (!record.steps[static_cast<std::size_t>(task.step)].lasting)
        return false;
    const bool isDue = record.occurrences == 0
                       || wallMs >= record.firstDueMs + task.occurrence * record.intervalMs;
    return isDue && record.stepReady(task.occurrence, task.step);
}

void job_book::tellStandingTask(owned_job &job, const task_id &task, const task_state &state,
                                time_point now)
{
    const stall_timer begins{now, now + m_settings.standsStill};
    auto &standing = job.standing.try_emplace(task, begins).first->second;
    const auto why = whyStanding(job, task, state, now);
    if (!why)
        standing = begins;
    if (!why || now < standing.logAt)
        return;
    standing.logAt = now + m_settings.tellStanding;
    note("task_stands_still", task.job,
         fmt::format("{} for {} ms: {}", toText(task), millisecondsIn(now - standing.lastRunningAt),
                     describeStanding(job, task, state, *why, now)));
}

std::string job_book::describeStanding(const owned_job &job, const task_id &task,
                                       const task_state &state, stall_reason why,
                                       time_point now) const
{
    if (why == stall_reason::NoWorker) {
        const auto &step = stepOf(job, task);
        return fmt::format(
                "{}, after run {}; {}", nameOf(why), state.lastRun,
                m_workers.whyNobody(job.record.policy.service, step, fullOf(job, task, step), now));
    }
    const auto &where = state.placements.back();
    auto text = fmt::format("{}, run {} on {}, epoch {}", nameOf(why), where.run, where.worker,
                            where.epoch);
    if (why == stall_reason::NotRunning)
        text += fmt::format(", {} of {} of its job at work there",
                            servingAt(task.job, where.worker), placedAt(job, where.worker));
    return text;
}

} // namespace zinniabarrow::jobs
