// Orders to agents: when they are sent, what their answers mean, and what becomes of them and of
// placements when an agent or its worker restarts.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"

namespace zinniabarrow::jobs {

namespace {

// Records a run whose end is not reported yet. Only the newest such runs of a task are kept; the
// ends of older ones are no longer expected.
void addUnreportedRun(task_state &task, int run)
{
    constexpr std::size_t MaxUnreportedRuns = 4;
    task.unreportedRuns.push_back(run);
    if (task.unreportedRuns.size() > MaxUnreportedRuns)
        task.unreportedRuns.erase(task.unreportedRuns.begin());
}

run_requirements requirementsOf(const step_spec &step)
{
    return {step.size, step.isBestEffort, step.isLongRunning, step.image, step.latencyTargetMs,
            {},        step.maxPerWorker};
}

} // namespace

void job_controller::orderAnswered(const std::string &worker, const order_answer &answer,
                                   time_point now, std::int64_t agentIncarnation)
{
    const auto found = m_jobs.find(answer.task.job);
    if (found == m_jobs.end())
        return;
    const auto &id = found->first;
    auto &job = found->second;
    const std::pair key{answer.task, answer.run};
    const auto order = job.startOrders.find(key);
    const auto orderReportAt =
            order == job.startOrders.end() ? time_point{} : order->second.basedOnReportAt;
    // If the agent has restarted since, the incarnation that answered is gone, and with it what it
    // was ordered to do. An owner that was suspended may process the answer after the report of the
    // new incarnation.
    if (shouldRetry(answer.outcome) || !isCurrentIncarnation(worker, agentIncarnation)) {
        orderUnanswered(worker, answer.task, answer.run, now);
        return noteUnsettlingAnswer(job, answer);
    }
    // An answer settles only the order that it answers. If the answer to a start also removed the
    // stop, which may still wait for the write of the cancel, the run would never be stopped.
    if (answer.kind == order_kind::Stop) {
        job.stopOrders.erase(key);
    } else if (job.startOrders.erase(key) > 0 && answer.outcome == order_outcome::Accepted) {
        job.startAcceptedAt.try_emplace(key, now);
        logFollowedFailure(id, job, worker, answer, now);
    }
    if (!isPermanentRefusal(answer.outcome))
        return;
    auto *task = job.record.find(answer.task);
    if (task == nullptr || !isPlacedOn(*task, worker, answer.run))
        return;
    removePlacement(job, answer.task, answer.run);
    markChanged(id, job);
    job.course.refused(answer.task);
    const auto &step = stepOf(job, answer.task);
    if (answer.outcome == order_outcome::NoRoom)
        m_workers.recordRefusal(worker, step, orderReportAt);
    if (step.isGang && answer.kind == order_kind::Start && job.record.shouldRun(*task))
        handleNeverStarted(job, worker, answer.task, answer.run);
    addLog("order_refused", id,
           fmt::format("{}: {}", describeRun(answer.task, answer.run, worker),
                       nameOf(answer.outcome)));
}

bool job_controller::isCurrentIncarnation(const std::string &worker,
                                          std::int64_t agentIncarnation) const
{
    const auto *view = m_workers.find(worker);
    return agentIncarnation == 0 || view == nullptr
           || view->lastReport.agentIncarnation == agentIncarnation;
}

void job_controller::orderUnanswered(const std::string &worker, const task_id &task, int run,
                                     time_point now)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return;
    const auto scheduleRetry = [&](auto &orders) {
        const auto order = orders.find({task, run});
        if (order == orders.end() || order->second.worker != worker)
            return;
        order->second.isInFlight = false;
        order->second.retryAt = now + m_settings.orderRetryDelay;
        order->second.lastAnswer.reset();
    };
    scheduleRetry(found->second.startOrders);
    scheduleRetry(found->second.stopOrders);
    m_jobsWithOrders.insert(found->first);
}

void job_controller::orderRejected(const std::string &worker, const run_order &order,
                                   time_point now)
{
    const auto found = m_jobs.find(order.task.job);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    const std::pair key{order.task, order.run};
    const auto *task = job.record.find(order.task);
    if (task == nullptr || !isPlacedOn(*task, worker, order.run))
        return;
    const bool isStart = order.kind == order_kind::Start;
    if (isStart && job.startOrders.erase(key) > 0) {
        job.stopOrders[key] = {worker, job.revision, false, {}};
        if (job.record.shouldRun(*task))
            handleNeverStarted(job, worker, order.task, order.run);
    }
    const auto stop = job.stopOrders.find(key);
    if (stop == job.stopOrders.end())
        return;
    stop->second.isInFlight = false;
    stop->second.retryAt = now + m_settings.rejectedOrderDelay;
    m_jobsWithOrders.insert(found->first);
}

void job_controller::workerReported(const std::string &worker, time_point now)
{
    if (m_settings.features.sharesFailures && m_workers.applyReportedFailures(worker, now)) {
        addLog("worker_quarantined", {},
               fmt::format("{}, {} failures in a row by its agent's count", worker,
                           m_workers.find(worker)->lastReport.failuresInRow));
    }
    const auto found = m_startsInFlight.find(worker);
    if (found == m_startsInFlight.end())
        return;
    auto &starts = found->second;
    std::erase_if(starts, [&](const auto &start) { return !isStartInFlight(worker, start, now); });
    for (const auto &[task, run] : starts)
        m_workers.reserve(worker, stepOf(m_jobs.at(task.job), task));
    if (starts.empty())
        m_startsInFlight.erase(found);
}

bool job_controller::isStartInFlight(const std::string &worker,
                                     const std::pair<task_id, int> &start, time_point now) const
{
    const auto job = m_jobs.find(start.first.job);
    if (job == m_jobs.end())
        return false;
    const auto order = job->second.startOrders.find(start);
    if (order == job->second.startOrders.end() || order->second.worker != worker)
        return false;
    const auto firstSentAt = order->second.firstSentAt;
    return firstSentAt == time_point{} || now - firstSentAt < m_settings.startInFlightTimeout;
}

void job_controller::workerRestarted(const std::string &worker, std::int64_t epoch, time_point now)
{
    epochSeen(worker, epoch);
    for (auto &[id, job] : m_jobs)
        resendOrders(id, job, worker, now);
}

void job_controller::epochSeen(const std::string &worker, std::int64_t epoch)
{
    for (auto &[id, job] : m_jobs) {
        if (!endPlacementsBefore(id, job, worker, epoch))
            continue;
        markChanged(id, job);
        addLog("worker_renewed", id,
               fmt::format("runs on {} from before epoch {} have ended", worker, epoch));
    }
}

// Ends the placements on the worker that are of an epoch before `epoch`. Returns true when there
// were any.
bool job_controller::endPlacementsBefore(const std::string &id, owned_job &job,
                                         const std::string &worker, std::int64_t epoch)
{
    bool hasEnded = false;
    forEachTask(id, job, [&](const task_id &task, task_state &state) {
        std::erase_if(state.placements, [&](const placement &runPlacement) {
            if (runPlacement.worker != worker || runPlacement.epoch >= epoch)
                return false;
            const std::pair key{task, runPlacement.run};
            hasEnded = true;
            job.startOrders.erase(key);
            job.stopOrders.erase(key);
            job.startAcceptedAt.erase(key);
            if (!state.done)
                addUnreportedRun(state, runPlacement.run);
            return true;
        });
    });
    return hasEnded;
}

void job_controller::resendOrders(const std::string &id, owned_job &job, const std::string &worker,
                                  time_point now)
{
    forEachTask(id, job, [&](const task_id &task, const task_state &state) {
        for (const auto &runPlacement : state.placements) {
            if (runPlacement.worker != worker)
                continue;
            const std::pair key{task, runPlacement.run};
            job.stoppedMembers.erase(key);
            // A run that is being stopped, because its gang lacks a member, must not be started
            // again.
            const bool mayStart = job.record.shouldRun(state) && !job.stopOrders.contains(key);
            (mayStart ? job.startOrders : job.stopOrders)[key] = {worker, job.revision, false, now};
            // The report that showed the restart includes all runs of the worker, so no start is
            // missing from it.
            if (const auto startsInFlight = m_startsInFlight.find(worker);
                startsInFlight != m_startsInFlight.end())
                startsInFlight->second.erase(key);
        }
    });
    m_jobsWithOrders.insert(id);
    m_waitingJobs.insert(id); // planning stops the runs of incomplete gangs, see placeGang()
}

run_order job_controller::makeStartOrder(const owned_job &job, const task_id &task,
                                         const placement &runPlacement, time_point now) const
{
    run_order order;
    order.task = task;
    order.run = runPlacement.run;
    order.epoch = runPlacement.epoch;
    order.agentIncarnation = runPlacement.agentIncarnation;
    order.startDeadlineMs =
            m_workers.startDeadlineFor(runPlacement.worker, runPlacement.agentIncarnation, now);
    order.payload = job.payload;
    order.checkpoint = job.record.find(task)->checkpoint;
    const auto &step = stepOf(job, task);
    order.requirements = requirementsOf(step);
    order.wantsStartReport = !job.record.hasStarted;
    return order;
}

time_point job_controller::reportTimeOf(const std::string &worker) const
{
    const auto *view = m_workers.find(worker);
    return view == nullptr ? time_point{} : view->lastReportAt;
}

// Returns true while some order of the job is unanswered.
bool job_controller::sendDueOrders(const std::string &id, owned_job &job, time_point now,
                                   std::int64_t wallMs)
{
    const auto isDue = [&](const pending_order &order) {
        return !order.isInFlight && order.neededRevision <= job.storedRevision
               && order.retryAt <= now;
    };
    if (m_copyableJobs.contains(id))
        stopOverdueStarts(job, now);
    for (auto &[key, order] : job.startOrders) {
        if (!isDue(order))
            continue;
        const auto *task = job.record.find(key.first);
        for (const auto &runPlacement : task->placements) {
            if (runPlacement.run != key.second)
                continue;
            order.isInFlight = true;
            order.basedOnReportAt = reportTimeOf(runPlacement.worker);
            logIfUnanswered(id, key.first, key.second, order, now);
            auto start = makeStartOrder(job, key.first, runPlacement, now);
            addSlack(start, job, runPlacement.worker, now, wallMs);
            m_actions.emplace_back(send_order{runPlacement.worker, std::move(start)});
        }
    }
    for (auto &[key, order] : job.stopOrders) {
        if (!isDue(order))
            continue;
        order.isInFlight = true;
        logIfUnanswered(id, key.first, key.second, order, now);
        run_order stop;
        stop.kind = order_kind::Stop;
        stop.task = key.first;
        stop.run = key.second;
        m_actions.emplace_back(send_order{order.worker, std::move(stop)});
    }
    return !job.startOrders.empty() || !job.stopOrders.empty();
}

void job_controller::stopAllRuns(const std::string &id, owned_job &job)
{
    job.startOrders.clear();
    forEachTask(id, job, [&](const task_id &task, const task_state &state) {
        for (const auto &runPlacement : state.placements)
            job.stopOrders[{task, runPlacement.run}] = {
                    runPlacement.worker, job.revision, false, {}};
    });
    m_jobsWithOrders.insert(id);
}

bool job_controller::isPlacedOn(const task_state &task, const std::string &worker, int run)
{
    return std::any_of(task.placements.begin(), task.placements.end(),
                       [&](const auto &runPlacement) {
                           return runPlacement.worker == worker && runPlacement.run == run;
                       });
}

void job_controller::removePlacement(owned_job &job, const task_id &task, int run)
{
    std::erase_if(job.record.find(task)->placements,
                  [&](const placement &runPlacement) { return runPlacement.run == run; });
    job.startOrders.erase({task, run});
    job.stopOrders.erase({task, run});
}

} // namespace zinniabarrow::jobs
