// Copies of slow tasks: which runs get one, on which worker, and what becomes of starts that a copy
// has overtaken.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"
#include "jobs/copy_policy.h"
#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

double medianSlowdown(const std::map<std::string, worker_view> &workers, const std::string &service)
{
    std::vector<double> slowdowns;
    for (const auto &[name, view] : workers) {
        if (view.lastReport.service == service)
            slowdowns.push_back(view.slowdown);
    }
    if (slowdowns.empty())
        return 1;
    const auto middle = slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
    std::nth_element(slowdowns.begin(), middle, slowdowns.end());
    return std::max(*middle, 0.1);
}

// Workers that should take no copy: it is placed for certainty.
bool isDoubtful(const worker_view &view, double median, const copy_settings &settings,
                time_point now)
{
    const bool hasFailedLately =
            view.consecutiveFailures > 0 && now - view.lastFailureAt <= settings.failureDoubt;
    return hasFailedLately || now - view.lastReportAt >= settings.silenceTimeout
           || view.slowdown >= settings.slowWorkerFactor * median;
}

} // namespace

bool job_controller::mayHaveCopies(const step_spec &step) const
{
    return m_settings.features.copiesSlowTasks && step.isSpeculative && !step.isGang
           && !step.isLongRunning;
}

void job_controller::noteCopyableJob(const std::string &id, const owned_job &job)
{
    const auto &steps = job.record.steps;
    if (std::any_of(steps.begin(), steps.end(),
                    [this](const auto &step) { return mayHaveCopies(step); }))
        m_copyableJobs.insert(id);
}

template <typename Visit>
void job_controller::forEachCopyableTask(const std::string &id, owned_job &job, Visit visit)
{
    forEachTask(id, job, [&](const task_id &task, task_state &state) {
        if (!state.done && !state.placements.empty() && mayHaveCopies(stepOf(job, task)))
            visit(task, state);
    });
}

void job_controller::placeCopies(time_point now, std::int64_t wallMs)
{
    if (m_copyableJobs.empty() || now < m_nextCopyCheckAt)
        return;
    m_nextCopyCheckAt = now + m_settings.copies.checkInterval;
    std::erase_if(m_copyableJobs, [&](const auto &id) {
        const auto found = m_jobs.find(id);
        return found == m_jobs.end() || isFinal(found->second.record.state());
    });
    copy_budget budget;
    std::vector<std::pair<std::int64_t, std::string>> bySlack;
    for (const auto &id : m_copyableJobs) {
        auto &job = m_jobs.at(id);
        bySlack.emplace_back(slackOf(job.record, wallMs), id);
        forEachCopyableTask(id, job, [&](const task_id &, const task_state &state) {
            ++budget.ownerRuns;
            budget.ownerCopies += state.placements.size() - 1;
        });
    }
    std::sort(bySlack.begin(), bySlack.end());
    for (const auto &[slack, id] : bySlack)
        placeCopiesOf(id, m_jobs.at(id), budget, now);
}

// Whether tasks that reserve processors wait for a worker of the service: copies would only take
// the capacity that is left.
bool job_controller::hasUnplacedTasks(const std::string &service) const
{
    return std::any_of(m_waitingJobs.begin(), m_waitingJobs.end(), [&](const auto &id) {
        const auto &job = m_jobs.at(id);
        return job.record.policy.service == service
               && std::any_of(job.unplacedSteps.begin(), job.unplacedSteps.end(),
                              [&](const auto &unplaced) {
                                  const auto step = static_cast<std::size_t>(unplaced.first.second);
                                  return !job.record.steps[step].isBestEffort;
                              });
    });
}

void job_controller::placeCopiesOf(const std::string &id, owned_job &job, copy_budget &budget,
                                   time_point now)
{
    const auto &service = job.record.policy.service;
    const service_state pool{m_workers.usedProcessorShare(service, now),
                             medianSlowdown(m_workers.workers(), service)};
    if (pool.usedShare > m_settings.copies.maxUsedShareForDoubtfulWorkers
        || hasUnplacedTasks(service))
        return;
    budget.jobRuns = 0;
    budget.jobCopies = 0;
    std::vector<task_id> alone;
    forEachCopyableTask(id, job, [&](const task_id &task, const task_state &state) {
        ++budget.jobRuns;
        budget.jobCopies += state.placements.size() - 1;
        if (state.placements.size() == 1)
            alone.push_back(task);
    });
    for (const auto &task : alone) {
        if (!budget.allows(m_settings.copies))
            return;
        const auto reason = copyReasonOf(job, task, pool, now);
        if (reason != copy_reason::None && placeCopy(id, job, task, reason, pool, now))
            budget.noteCopy();
    }
}

copy_reason job_controller::copyReasonOf(const owned_job &job, const task_id &task,
                                         const service_state &pool, time_point now) const
{
    const auto &state = *job.record.find(task);
    const auto openRuns = state.placements.size() + state.unreportedRuns.size();
    if (!hasAttemptLeft(state.failures, openRuns, job.record.policy.maxAttempts))
        return copy_reason::None;
    const auto copied = job.copies.find(task);
    if (copied != job.copies.end() && now < copied->second.placedAt + m_settings.copies.recopyDelay)
        return copy_reason::None;
    return copyReasonFor(runAtWork(job, task, pool, now), m_settings.copies);
}

run_at_work job_controller::runAtWork(const owned_job &job, const task_id &task,
                                      const service_state &pool, time_point now) const
{
    const auto &runPlacement = job.record.find(task)->placements.front();
    const std::pair key{task, runPlacement.run};
    const auto since = [now](time_point at) {
        return std::chrono::duration_cast<milliseconds>(now - at);
    };
    run_at_work run;
    const auto accepted = job.startAcceptedAt.find(key);
    const auto order = job.startOrders.find(key);
    run.isAccepted = accepted != job.startAcceptedAt.end();
    if (run.isAccepted)
        run.elapsed = since(accepted->second);
    else if (order != job.startOrders.end() && order->second.firstSentAt != time_point{})
        run.elapsed = since(order->second.firstSentAt);
    run.mayBeUnanswered = !job.isAdopted;
    run.isBeingStopped = job.stopOrders.contains(key);
    if (const auto *view = m_workers.find(runPlacement.worker)) {
        run.workerSilence = since(view->lastReportAt);
        run.isWorkerQuarantined = now < view->quarantinedUntil;
        run.workerSlowdown = view->slowdown / pool.medianSlowdown;
    }
    const auto &stepTasks = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                            [static_cast<std::size_t>(task.step)];
    run.stepTasks = stepTasks.size();
    run.undoneTasks = static_cast<std::size_t>(
            std::count_if(stepTasks.begin(), stepTasks.end(),
                          [](const task_state &other) { return !other.done; }));
    const auto context = stepContextOf(job.record, task.occurrence, task.step);
    run.siblingsMs = context.siblingsMs;
    run.expectedMs = m_runTimes.quantileMs(context, m_settings.copies.highQuantile);
    run.backoff = m_copyBackoff.factorOf(context.kind);
    run.isExpectedLearned = m_settings.features.learnsRunTimes;
    run.usedShare = pool.usedShare;
    return run;
}

// On another rack than the other runs of the task, if possible, and never on their workers, nor on
// one where it failed lately: an order for an earlier run there would be refused.
std::optional<std::string> job_controller::chooseWorkerForCopy(const owned_job &job,
                                                               const task_id &task,
                                                               const service_state &pool,
                                                               time_point now) const
{
    const auto &step = stepOf(job, task);
    const auto &state = *job.record.find(task);
    const auto &service = job.record.policy.service;
    auto avoid = workersAtTaskLimit(job, task, step);
    if (const auto found = job.avoidedWorkers.find(task); found != job.avoidedWorkers.end())
        avoid.insert(avoid.end(), found->second.begin(), found->second.end());
    std::set<std::string> usedRacks;
    for (const auto &runPlacement : state.placements) {
        avoid.push_back(runPlacement.worker);
        if (const auto *view = m_workers.find(runPlacement.worker))
            usedRacks.insert(view->lastReport.rack);
    }
    auto sameRack = avoid;
    for (const auto &[name, view] : m_workers.workers()) {
        if (isDoubtful(view, pool.medianSlowdown, m_settings.copies, now))
            avoid.push_back(name);
        else if (usedRacks.contains(view.lastReport.rack))
            sameRack.push_back(name);
    }
    sameRack.insert(sameRack.end(), avoid.begin(), avoid.end());
    placement_preferences preferences;
    preferences.tieBreakSeed = stableHash(fmt::format("{} {}", toText(task), state.lastRun + 1));
    auto worker = m_workers.chooseWorker(service, step, sameRack, now, preferences);
    return worker ? worker : m_workers.chooseWorker(service, step, avoid, now, preferences);
}

bool job_controller::placeCopy(const std::string &id, owned_job &job, const task_id &task,
                               copy_reason reason, const service_state &pool, time_point now)
{
    const auto worker = chooseWorkerForCopy(job, task, pool, now);
    if (!worker)
        return false;
    const auto &state = *job.record.find(task);
    const auto original = state.placements.front();
    placeTask(id, job, task, stepOf(job, task), *worker, state.lastRun + 1, now);
    job.copies[task] = {state.lastRun, now, reason};
    addLog("copy_placed", id,
           fmt::format("{} beside run {} on {}: {}", describeRun(task, state.lastRun, *worker),
                       original.run, original.worker, nameOf(reason)),
           std::string(nameOf(reason)));
    return true;
}

// Runs that are still at work although the one that is done was placed after them.
void job_controller::recordOvertakenRuns(const owned_job &job, const run_end &end, time_point now)
{
    const auto &step = stepOf(job, end.task);
    const auto expectedMs = m_runTimes.quantileMs(
            stepContextOf(job.record, end.task.occurrence, end.task.step), 0.5);
    for (const auto &runPlacement : job.record.find(end.task)->placements) {
        const auto accepted = job.startAcceptedAt.find({end.task, runPlacement.run});
        if (runPlacement.run > end.run || accepted == job.startAcceptedAt.end())
            continue;
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - accepted->second);
        if (m_settings.features.learnsRunTimes && expectedMs > 0) {
            m_workers.recordRunTime(runPlacement.worker,
                                    static_cast<double>(elapsed.count())
                                            / static_cast<double>(expectedMs),
                                    step.isBestEffort);
        } else {
            m_workers.recordOvertakenRun(runPlacement.worker, slowdownOf(elapsed, step));
        }
    }
}

// Counts for a task that had a copy which of the two was done first. `run`: the one that is done.
void job_controller::noteCopyOutcome(const std::string &id, const owned_job &job,
                                     const task_id &task, int run)
{
    const auto copied = job.copies.find(task);
    if (copied == job.copies.end())
        return;
    const auto &placements = job.record.find(task)->placements;
    const bool hasWon = copied->second.run == run;
    const bool isAtWork = std::any_of(placements.begin(), placements.end(), [&](const auto &other) {
        return other.run == copied->second.run;
    });
    if (!hasWon && !isAtWork)
        return;
    if (isByRunTime(copied->second.reason))
        m_copyBackoff.noteOutcome({job.record.policy.queue, stepOf(job, task).image}, hasWon);
    addLog(hasWon ? "copy_won" : "copy_lost", id,
           fmt::format("{}: run {} was done first", toText(task), run));
}

// A start of a task with two runs is ordered for a short time only. The other run may be done, and
// this entry, if it was suspended, may not know that another has taken over the job.
void job_controller::stopOverdueStarts(owned_job &job, time_point now)
{
    std::vector<std::pair<task_id, placement>> overdue;
    for (const auto &[key, order] : job.startOrders) {
        const auto &[task, run] = key;
        const auto &placements = job.record.find(task)->placements;
        if (placements.size() < 2)
            continue;
        const auto copied = job.copies.find(task);
        const bool isCopy = copied != job.copies.end() && copied->second.run == run;
        const auto since = isCopy ? copied->second.placedAt : order.firstSentAt;
        if (since == time_point{} || now - since <= m_settings.copies.startOrderLifetime)
            continue;
        const auto own = std::find_if(
                placements.begin(), placements.end(),
                [number = key.second](const auto &other) { return other.run == number; });
        if (own != placements.end())
            overdue.emplace_back(task, *own);
    }
    for (const auto &[task, runPlacement] : overdue)
        stopRun(job, task, runPlacement);
}

} // namespace zinniabarrow::jobs
