#include "jobs/copy_policy.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<copy_reason, 7> ReasonNames{{
        {copy_reason::None, "none"},
        {copy_reason::StartUnanswered, "start_unanswered"},
        {copy_reason::SilentWorker, "silent_worker"},
        {copy_reason::QuarantinedWorker, "quarantined_worker"},
        {copy_reason::SlowWorker, "slow_worker"},
        {copy_reason::SlowRun, "slow_run"},
        {copy_reason::LastTasks, "last_tasks"},
}};

double countOf(milliseconds span)
{
    return static_cast<double>(span.count());
}

// What the run times of the siblings say about the task.
struct sibling_times
{
    double longestMs = 0;
    double spreadMs = 0; // the longest less the median
};

// None: too few siblings are done to know how long the task takes.
std::optional<sibling_times> siblingTimes(const run_at_work &run, const copy_settings &settings)
{
    const auto siblings = run.stepTasks - 1;
    const auto needed = std::max(settings.doneShareNeeded * static_cast<double>(siblings),
                                 static_cast<double>(settings.doneSiblingsNeeded));
    if (static_cast<double>(run.siblingsMs.size()) < needed)
        return std::nullopt;
    auto times = run.siblingsMs;
    std::sort(times.begin(), times.end());
    const auto longest = static_cast<double>(times.back());
    return sibling_times{longest, longest - static_cast<double>(times[times.size() / 2])};
}

// Whether the run exceeds its siblings by that many spreads.
bool isSlower(const run_at_work &run, const sibling_times &siblings, double spreads,
              const copy_settings &settings)
{
    const auto spreadMs = std::max(siblings.spreadMs, settings.minSpread * siblings.longestMs);
    return countOf(*run.elapsed) > siblings.longestMs + run.backoff * spreads * spreadMs;
}

// For a task alone in its step. Where other tasks are at work as well, it may be the step that
// takes long.
bool isSlowAlone(const run_at_work &run, const copy_settings &settings)
{
    const auto factor = run.isExpectedLearned ? settings.learnedFactor : settings.estimatedFactor;
    const auto expectedMs = static_cast<double>(run.expectedMs);
    return run.undoneTasks == 1 && countOf(*run.elapsed) > run.backoff * factor * expectedMs;
}

bool isOneOfLast(const run_at_work &run, const copy_settings &settings)
{
    const auto lastTasks =
            std::max(1.0, settings.lastTasksShare * static_cast<double>(run.stepTasks));
    return run.stepTasks > 1 && static_cast<double>(run.undoneTasks) <= lastTasks
           && run.usedShare <= settings.maxUsedShareForLastTasks;
}

copy_reason reasonByWorker(const run_at_work &run, const copy_settings &settings)
{
    const bool isUnanswered =
            run.mayBeUnanswered && !run.isAccepted && run.elapsed >= settings.startAnswerTimeout;
    if (run.isBeingStopped || isUnanswered)
        return copy_reason::StartUnanswered;
    if (!run.isAccepted)
        return copy_reason::None;
    if (run.workerSilence >= settings.silenceTimeout)
        return copy_reason::SilentWorker;
    return run.isWorkerQuarantined ? copy_reason::QuarantinedWorker : copy_reason::None;
}

copy_reason reasonByRunTime(const run_at_work &run, const copy_settings &settings)
{
    const auto siblings = siblingTimes(run, settings);
    if (!siblings)
        return isSlowAlone(run, settings) ? copy_reason::SlowRun : copy_reason::None;
    if (isSlower(run, *siblings, settings.slowRunSpreads, settings))
        return copy_reason::SlowRun;
    if (!isSlower(run, *siblings, settings.lastTasksSpreads, settings))
        return copy_reason::None;
    if (run.workerSlowdown >= settings.slowWorkerFactor)
        return copy_reason::SlowWorker;
    return isOneOfLast(run, settings) ? copy_reason::LastTasks : copy_reason::None;
}

} // namespace

std::string_view nameOf(copy_reason reason)
{
    return nameOf(ReasonNames, reason);
}

copy_reason copyReasonFor(const run_at_work &run, const copy_settings &settings)
{
    if (run.usedShare > settings.maxUsedShareForDoubtfulWorkers)
        return copy_reason::None;
    const auto byWorker = reasonByWorker(run, settings);
    if (byWorker != copy_reason::None)
        return byWorker;
    if (run.usedShare > settings.maxUsedShareForSlowRuns)
        return copy_reason::None;
    if (!run.isAccepted || !run.elapsed || *run.elapsed < settings.minRunTime)
        return copy_reason::None;
    return reasonByRunTime(run, settings);
}

bool isByRunTime(copy_reason reason)
{
    return reason == copy_reason::SlowRun || reason == copy_reason::LastTasks
           || reason == copy_reason::SlowWorker;
}

bool copy_budget::allows(const copy_settings &settings) const
{
    const auto ofJob = std::max(1.0, settings.maxShareOfJob * static_cast<double>(jobRuns));
    const auto ofOwner = std::max(static_cast<double>(settings.minCopiesOfOwner),
                                  settings.maxShareOfOwner * static_cast<double>(ownerRuns));
    return static_cast<double>(jobCopies + 1) <= ofJob
           && static_cast<double>(ownerCopies + 1) <= ofOwner;
}

void copy_budget::noteCopy()
{
    ++jobCopies;
    ++ownerCopies;
}

double copy_backoff::factorOf(const run_kind &kind) const
{
    const auto found = m_factors.find(kind);
    return found == m_factors.end() ? 1 : found->second;
}

void copy_backoff::noteOutcome(const run_kind &kind, bool copyWon)
{
    // In balance when one copy of three is done first.
    constexpr double WonFactor = 0.8;
    constexpr double LostFactor = 1.12;
    constexpr double MaxFactor = 4;
    auto &factor = m_factors.try_emplace(kind, 1).first->second;
    factor = std::clamp(factor * (copyWon ? WonFactor : LostFactor), 1.0, MaxFactor);
}

bool hasAttemptLeft(int failures, std::size_t openRuns, int maxAttempts)
{
    return failures + static_cast<int>(openRuns) < maxAttempts;
}

} // namespace zinniabarrow::jobs
