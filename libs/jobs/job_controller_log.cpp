// Log lines for operators about owned jobs that wait or are underserved.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

// The long-running tasks of a job.
struct long_running_tasks
{
    int requested = 0;
    int placed = 0;
    int withLatencyTarget = 0; // requested tasks with a latency target
};

long_running_tasks countLongRunningTasks(const job_record &record)
{
    long_running_tasks count;
    for (const auto &occurrence : record.tasks) {
        for (std::size_t index = 0; index < record.steps.size(); ++index) {
            const auto &step = record.steps[index];
            if (!step.isLongRunning)
                continue;
            count.requested += step.count;
            count.placed += step.count - countWaiting(occurrence[index]);
            count.withLatencyTarget += step.latencyTargetMs > 0 ? step.count : 0;
        }
    }
    return count;
}

// The size and the image of the tasks of each long-running step.
std::string describeLongRunningSteps(const job_record &record)
{
    std::string text;
    for (const auto &step : record.steps) {
        if (step.isLongRunning)
            text += fmt::format("; {} millicores each, image '{}'", step.size.millicores,
                                step.image);
    }
    return text;
}

} // namespace

std::string job_controller::describeRun(const task_id &task, int run, const std::string &worker)
{
    return fmt::format("{} run {} on {}", toText(task), run, worker);
}

void job_controller::logUnplacedTasks(const std::string &id, owned_job &job, int occurrence,
                                      int stepIndex, int tasks,
                                      const placement_preferences &preferences, time_point now)
{
    const std::pair key{occurrence, stepIndex};
    if (tasks == 0) {
        const auto endedWait = job.unplacedSteps.extract(key);
        if (!endedWait.empty())
            job.timeline.unplacedMs += millisecondsIn(now - endedWait.mapped().since);
        return;
    }
    const waiting_step initial{now, now + m_settings.waitLogInterval};
    auto &waiting = job.unplacedSteps.try_emplace(key, initial).first->second;
    if (now < waiting.nextLogAt)
        return;
    waiting.nextLogAt = now + m_settings.waitLogInterval;
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    const auto full = workersAtTaskLimit(job, {id, occurrence, stepIndex, 0}, step);
    const auto &service = job.record.policy.service;
    auto text = fmt::format("{} {}tasks of step {}.{} unplaced for {} ms: {}", tasks,
                            step.isLongRunning ? "long-running " : "", occurrence, stepIndex,
                            millisecondsIn(now - waiting.since),
                            m_workers.describeUnfitWorkers(service, step, full, now, preferences));
    if (step.isGang)
        text += "; a gang, which starts whole";
    if (step.maxPerWorker > 0)
        text += fmt::format("; at most {} on a worker", step.maxPerWorker);
    if (step.isLongRunning)
        text += fmt::format("; {} owned runs could make room by a move",
                            countMovesThatMakeRoom(service, step, full, now));
    addLog("tasks_unplaced", id, text);
}

int job_controller::countMovesThatMakeRoom(const std::string &service, const step_spec &step,
                                           const std::vector<std::string> &avoid, time_point now)
{
    auto gaps = m_workers.gapsBesideLongRunning(service, step, now);
    for (const auto &worker : avoid)
        gaps.erase(worker);
    const auto needed = step.size.millicores;
    std::int64_t sum = 0;
    for (const auto &[worker, gap] : gaps) {
        if (gap >= needed)
            return 0;
        sum += gap;
    }
    if (sum < needed)
        return 0;
    int moves = 0;
    for (auto &[id, job] : m_jobs) {
        const bool isOfService = job.record.policy.service == service;
        if (isOfService && countLongRunningTasks(job.record).placed > 0)
            moves += countMovableRuns(id, job, gaps, needed);
    }
    return moves;
}

int job_controller::countMovableRuns(const std::string &id, owned_job &job,
                                     const std::map<std::string, std::int64_t> &gaps,
                                     std::int64_t neededMillicores)
{
    int moves = 0;
    forEachTask(id, job, [&](const task_id &task, const task_state &state) {
        const auto &step = stepOf(job, task);
        if (!step.isLongRunning || state.placements.empty())
            return;
        const auto from = gaps.find(state.placements.back().worker);
        if (from == gaps.end() || from->second + step.size.millicores < neededMillicores)
            return;
        const auto full = workersAtTaskLimit(job, task, step);
        const auto fits = [&](const auto &gap) {
            return gap.first != from->first && gap.second >= step.size.millicores
                   && std::find(full.begin(), full.end(), gap.first) == full.end();
        };
        moves += std::any_of(gaps.begin(), gaps.end(), fits) ? 1 : 0;
    });
    return moves;
}

// The lines about unplaced tasks tell how long tasks wait; this one tells of how many tasks.
void job_controller::logLongRunningTasks(time_point now, std::int64_t wallMs)
{
    if (now < m_nextLongRunningLogAt)
        return;
    m_nextLongRunningLogAt = now + m_settings.waitLogInterval;
    int due = 0;
    int placed = 0;
    std::int64_t dueMillicores = 0;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.record.state()) || countLongRunningTasks(job.record).requested == 0)
            continue;
        forEachTask(id, job, [&, &owned = job](const task_id &task, const task_state &state) {
            if (!shouldBeRunning(owned, task, wallMs))
                return;
            ++due;
            placed += state.isWaiting() ? 0 : 1;
            dueMillicores += stepOf(owned, task).size.millicores;
        });
    }
    if (due > 0) {
        addLog("long_running_tasks", {},
               fmt::format("{} due, {} placed, {} millicores asked for", due, placed,
                           dueMillicores));
    }
}

// Logs long-running jobs that are not served in full: tasks without a worker, placed tasks that do
// not run, or late tasks. This shows why callers get less from one job than from another.
void job_controller::logUnderservedJobs(time_point now)
{
    if (now < m_nextUnderservedLogAt)
        return;
    m_nextUnderservedLogAt = now + m_settings.waitLogInterval;
    const auto counts = m_workers.countServingRuns(now);
    for (const auto &[id, job] : m_jobs) {
        const auto longRunning = countLongRunningTasks(job.record);
        if (longRunning.requested == 0 || isFinal(job.record.state()))
            continue;
        const auto found = counts.find(id);
        const auto serving = found == counts.end() ? serving_count{} : found->second;
        if (longRunning.placed == longRunning.requested
            && serving.running >= longRunning.withLatencyTarget && serving.late == 0)
            continue;
        const auto lateRuns = m_workers.describeLateRuns(id, now);
        addLog("job_underserved", id,
               fmt::format("{} long-running tasks, {} placed, {} of {} with a latency target "
                           "running, {} late{}{}{}",
                           longRunning.requested, longRunning.placed, serving.running,
                           longRunning.withLatencyTarget, serving.late,
                           describeLongRunningSteps(job.record),
                           lateRuns.empty() ? "" : "; late: ", lateRuns));
    }
}

// Logs how the time of each completed job was spent. This shows why a job was late: it started with
// too little slack, its steps took longer than their estimates, or its tasks waited for workers.
void job_controller::logCompletedJobs(std::int64_t wallMs)
{
    for (const auto &id : std::exchange(m_completedJobs, {})) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !found->second.timeline.firstPlacedAtMs)
            continue; // started by an earlier owner
        const auto &record = found->second.record;
        const auto &jobTimeline = found->second.timeline;
        const auto slackAtEndMs = slackOf(record, wallMs);
        const auto learnedPath = m_settings.features.learnsRunTimes
                                         ? fmt::format(", learned {} ms", jobTimeline.learnedPathMs)
                                         : "";
        addLog("job_course", id,
               fmt::format(
                       "{} by {} ms; first placed after {} ms with {} ms of slack, completed {} "
                       "ms later; critical path estimated at {} ms{}, {} ms with unplaced tasks",
                       slackAtEndMs < 0 ? "late" : "on time",
                       slackAtEndMs < 0 ? -slackAtEndMs : slackAtEndMs,
                       *jobTimeline.firstPlacedAtMs - record.acceptedAtMs,
                       jobTimeline.slackAtFirstPlacementMs, wallMs - *jobTimeline.firstPlacedAtMs,
                       estimatedCriticalPathMs(record), learnedPath, jobTimeline.unplacedMs));
        addLog("job_runs", id, found->second.course.summary());
    }
}

void job_controller::logFollowedFailure(const std::string &id, owned_job &job,
                                        const std::string &worker, const order_answer &answer,
                                        time_point now)
{
    const auto followed = job.course.accepted(answer.task, now);
    if (!followed)
        return;
    addLog("failure_followed", id,
           fmt::format("{} after a failed run on {}: placed {} ms after it was known, accepted {} "
                       "ms after it",
                       describeRun(answer.task, answer.run, worker), followed->failedOn,
                       followed->placed.count(), followed->accepted.count()));
}

void job_controller::noteStepDone(owned_job &job, const task_id &task, time_point now)
{
    const auto &stepTasks = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                            [static_cast<std::size_t>(task.step)];
    const bool isDone = std::all_of(stepTasks.begin(), stepTasks.end(),
                                    [](const auto &other) { return other.done; });
    if (isDone)
        job.course.stepDone(task, stepOf(job, task).estimateMs, now);
}

void job_controller::noteUnsettlingAnswer(owned_job &job, const order_answer &answer)
{
    auto &orders = answer.kind == order_kind::Stop ? job.stopOrders : job.startOrders;
    const auto order = orders.find({answer.task, answer.run});
    if (order == orders.end())
        return;
    order->second.lastAnswer = answer.outcome;
    ++order->second.answerCount;
}

// The line distinguishes an agent that refuses the order repeatedly from one that does not answer.
void job_controller::logIfUnanswered(const std::string &id, const task_id &task, int run,
                                     pending_order &order, time_point now)
{
    if (order.firstSentAt == time_point{}) {
        order.firstSentAt = now;
        order.nextLogAt = now + m_settings.waitLogInterval;
    }
    if (now < order.nextLogAt)
        return;
    order.nextLogAt = now + m_settings.waitLogInterval;
    const auto lastAnswer = order.lastAnswer ? nameOf(*order.lastAnswer) : "none";
    const auto waitMs = millisecondsIn(now - order.firstSentAt);
    addLog("order_unanswered", id,
           fmt::format("{}: not settled for {} ms, last answer {}, {} answers",
                       describeRun(task, run, order.worker), waitMs, lastAnswer,
                       order.answerCount));
}

void job_controller::logQuarantine(const std::string &id, const std::string &worker,
                                   const run_end &failure, time_point now)
{
    const auto &view = *m_workers.find(worker);
    addLog("worker_quarantined", id,
           fmt::format("{} for {} ms, {} failures in a row, the last one of {} run {}", worker,
                       millisecondsIn(view.quarantinedUntil - now), view.consecutiveFailures,
                       toText(failure.task), failure.run));
}

void job_controller::addLog(std::string event, const std::string &job, std::string detail,
                            std::string reason)
{
    m_actions.emplace_back(log_event{std::move(event), job, std::move(detail), std::move(reason)});
}

} // namespace zinniabarrow::jobs
