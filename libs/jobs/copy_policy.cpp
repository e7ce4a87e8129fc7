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

// The longest run time of the siblings; none: too few of them are done to tell how long the task
// takes.
std::optional<double> longestSiblingMs(const run_at_work &run, const copy_settings &settings)
{
    const auto siblings = run.stepTasks - 1;
    const auto needed = std::max(settings.doneShareNeeded * static_cast<double>(siblings),
                                 static_cast<double>(settings.doneSiblingsNeeded));
    if (static_cast<double>(run.siblingsMs.size()) < needed)
        return std::nullopt;
    return static_cast<double>(*std::max_element(run.siblingsMs.begin(), run.siblingsMs.end()));
}

// Whether a copy that starts now is likely to end first on a worker that makes its runs take
// `slowdown` times as long as others.
bool endsBeforeOriginal(double elapsedMs, double runTimeMs, double slowdown)
{
    return elapsedMs + runTimeMs < slowdown * runTimeMs;
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
    const auto elapsedMs = countOf(*run.elapsed);
    const auto siblingMs = longestSiblingMs(run, settings);
    const auto runTimeMs = siblingMs.value_or(static_cast<double>(run.expectedMs));
    if (run.workerSlowdown >= settings.slowWorkerFactor
        && endsBeforeOriginal(elapsedMs, runTimeMs, run.workerSlowdown))
        return copy_reason::SlowWorker;
    if (!siblingMs) {
        // Other tasks of the step are at work as well. It may be the step that takes long.
        const bool isAlone = run.undoneTasks == 1;
        const auto factor =
                run.isExpectedLearned ? settings.slowRunFactor : settings.uncertainFactor;
        return isAlone && elapsedMs > factor * runTimeMs ? copy_reason::SlowRun : copy_reason::None;
    }
    if (elapsedMs > settings.slowRunFactor * runTimeMs)
        return copy_reason::SlowRun;
    const auto lastTasks =
            std::max(1.0, settings.lastTasksShare * static_cast<double>(run.stepTasks));
    const bool isLast = static_cast<double>(run.undoneTasks) <= lastTasks;
    return isLast && run.usedShare <= settings.maxUsedShareForLastTasks
                           && elapsedMs > settings.lastTasksFactor * runTimeMs
                   ? copy_reason::LastTasks
                   : copy_reason::None;
}

} // namespace

std::string_view nameOf(copy_reason reason)
{
    return nameOf(ReasonNames, reason);
}

copy_reason copyReasonFor(const run_at_work &run, const copy_settings &settings)
{
    if (run.usedShare > settings.maxUsedShare)
        return copy_reason::None;
    const auto byWorker = reasonByWorker(run, settings);
    if (byWorker != copy_reason::None)
        return byWorker;
    if (!run.isAccepted || !run.elapsed || *run.elapsed < settings.minRunTime)
        return copy_reason::None;
    return reasonByRunTime(run, settings);
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

bool hasAttemptLeft(int failures, std::size_t openRuns, int maxAttempts)
{
    return failures + static_cast<int>(openRuns) < maxAttempts;
}

} // namespace zinniabarrow::jobs
