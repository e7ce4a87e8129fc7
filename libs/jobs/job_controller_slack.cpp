// Sends agents the slack of best-effort runs, so that runs with slack yield first.
#include <algorithm>
#include <utility>

#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

// This part of a job's estimated critical path is kept of its slack: an objective that is counted
// by real run times ends sooner than by estimates if these are too long, here up to twice.
constexpr double KeptPathShare = 0.5;
constexpr std::int64_t KeptForStartMs = 300; // to place and to start a step
constexpr std::int64_t SlackStepMs = 300;    // smaller changes aren't sent
// Reports come about once a second, and the answers to two of them repeat a change.
constexpr milliseconds SlackRepeatTime{2200};
constexpr std::size_t MaxSlackChanges = 64; // in one answer
// A paused run keeps its memory from others. While late jobs wait for capacity, and for this long
// after, agents get no slack to spend.
constexpr milliseconds ScarceTime{2000};

std::int64_t unfinishedEstimateMs(const job_record &record)
{
    std::int64_t sum = 0;
    for (std::size_t step = 0; step < record.steps.size(); ++step)
        sum += record.isStepDone(0, static_cast<int>(step)) ? 0 : record.steps[step].estimateMs;
    return sum;
}

// A paused member of a gang delays all others, and a long-running task is never done.
bool sharesSlackOf(const job_record &record, const step_spec &step)
{
    return step.isBestEffort && !step.isLongRunning && !step.isGang && step.estimateMs > 0
           && record.occurrences == 0;
}

} // namespace

void job_controller::noteScarceServices(
        const std::vector<std::pair<job_urgency, std::string>> &waiting, time_point now)
{
    for (const auto &[urgency, id] : waiting) {
        const auto &job = m_jobs.at(id);
        const bool lacksWorkers = std::any_of(
                job.unplacedSteps.begin(), job.unplacedSteps.end(), [&](const auto &entry) {
                    return job.record.steps[static_cast<std::size_t>(entry.first.second)]
                            .isBestEffort;
                });
        if (lacksWorkers && urgency.deadlineState == job_urgency::deadline_state::Late)
            m_scarceUntil[job.record.policy.service] = now + ScarceTime;
    }
    std::erase_if(m_scarceUntil, [&](const auto &entry) { return entry.second <= now; });
}

std::optional<std::int64_t> job_controller::slackOfRun(const owned_job &job,
                                                       const std::pair<task_id, int> &run,
                                                       time_point now, std::int64_t wallMs) const
{
    const auto &record = job.record;
    const auto &step = stepOf(job, run.first);
    if (!m_settings.features.sharesSlack || !sharesSlackOf(record, step))
        return std::nullopt;
    if (m_scarceUntil.contains(record.policy.service))
        return 0;
    // The slack counts the estimate of the whole step, of which the run has done a part since.
    const auto accepted = job.startAcceptedAt.find(run);
    const auto elapsedMs =
            accepted == job.startAcceptedAt.end() ? 0 : millisecondsIn(now - accepted->second);
    const auto keptMs = KeptPathShare * static_cast<double>(estimatedCriticalPathMs(record))
                        + static_cast<double>(KeptForStartMs);
    const auto spendableMs = static_cast<double>(slackOf(record, wallMs) + elapsedMs) - keptMs;
    const auto remainingMs = std::max(step.estimateMs, unfinishedEstimateMs(record));
    const double share = static_cast<double>(step.estimateMs) / static_cast<double>(remainingMs);
    return std::clamp(static_cast<std::int64_t>(share * spendableMs), std::int64_t(0),
                      MaxRunSlackMs);
}

void job_controller::addSlack(run_order &order, const owned_job &job, const std::string &worker,
                              time_point now, std::int64_t wallMs)
{
    const std::pair key{order.task, order.run};
    order.requirements.slackMs = slackOfRun(job, key, now, wallMs);
    if (order.requirements.slackMs)
        m_sentSlack[worker][key] = {*order.requirements.slackMs, {}};
}

std::vector<run_slack> job_controller::changedSlack(const std::string &worker, time_point now,
                                                    std::int64_t wallMs)
{
    std::vector<run_slack> changes;
    const auto known = m_sentSlack.find(worker);
    if (known == m_sentSlack.end())
        return changes;
    std::erase_if(known->second, [&](const auto &entry) {
        const auto &[task, run] = entry.first;
        const auto job = m_jobs.find(task.job);
        const auto *state = job == m_jobs.end() ? nullptr : job->second.record.find(task);
        return state == nullptr || state->done || !isPlacedOn(*state, worker, run);
    });
    for (auto &[key, sent] : known->second) {
        const auto slack = slackOfRun(m_jobs.at(key.first.job), key, now, wallMs);
        if (!slack || changes.size() >= MaxSlackChanges)
            continue;
        if (std::abs(*slack - sent.slackMs) > SlackStepMs)
            sent = {*slack, now + SlackRepeatTime};
        if (now < sent.repeatUntil)
            changes.push_back({key.first, key.second, sent.slackMs});
    }
    if (known->second.empty())
        m_sentSlack.erase(known);
    return changes;
}

} // namespace zinniabarrow::jobs
