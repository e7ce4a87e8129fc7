// Which worker each waiting task of an owned job goes to.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"
#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

constexpr double MostlyFree = 0.55; // of a service's processors: a little over half

// Another one for each run: a task that was refused tries its luck elsewhere.
std::uint64_t spreadOf(const task_id &task, int run)
{
    return stableHash(fmt::format("{} {}", toText(task), run));
}

} // namespace

void job_book::placeWaiting(const std::string &id, owned_job &job, time_point now,
                            std::int64_t wallMs)
{
    if (isFinal(job.record.state())) {
        m_waiting.erase(id);
        return;
    }
    bool waits = false;
    for (std::size_t occurrence = 0; occurrence < job.record.tasks.size(); ++occurrence) {
        const auto number = static_cast<std::int64_t>(occurrence);
        if (job.record.occurrences > 0
            && wallMs < job.record.firstDueMs + number * job.record.intervalMs) {
            waits = true;
            continue;
        }
        for (std::size_t step = 0; step < job.record.steps.size(); ++step) {
            const auto at = static_cast<int>(occurrence);
            const auto which = static_cast<int>(step);
            if (job.record.stepReady(at, which))
                waits = placeStep(id, job, at, which, now) || waits;
        }
    }
    if (!waits)
        m_waiting.erase(id);
    if (!job.record.begun && !job.course.firstAtMs && !job.starts.empty()) {
        job.course.firstAtMs = wallMs;
        job.course.spareAtFirstMs = timeToSpareMs(job.record, wallMs);
    }
}

// True when some task of the step still waits for a worker.
bool job_book::placeStep(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                         time_point now)
{
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    if (step.gang)
        return placeGang(id, job, occurrence, stepIndex, now);
    const auto &inStep = job.record.tasks[static_cast<std::size_t>(occurrence)]
                                         [static_cast<std::size_t>(stepIndex)];
    auto left = waitingIn(inStep);
    auto &since = job.waitingSince.try_emplace({occurrence, stepIndex}, now).first->second;
    if (left == 0)
        since = now;
    placement_wish wish;
    const bool crowded = m_workers.usedShare(job.record.policy.service, now) > MostlyFree;
    wish.patient = now - since < (crowded ? m_settings.patience : m_settings.patienceBesideRoom);
    bool waits = false;
    for (int index = 0; index < step.count; ++index) {
        const task_id task{id, occurrence, stepIndex, index};
        auto &state = *job.record.find(task);
        if (!state.isWaiting())
            continue;
        wish.together = left--;
        wish.spread = spreadOf(task, state.lastRun + 1);
        const auto worker = chooseFor(m_workers, job, task, step, now, wish);
        if (!worker) {
            waits = true;
            if (step.mostPerWorker == 0)
                break; // its twins find no room either
            continue;
        }
        place(id, job, task, step, *worker, state.lastRun + 1);
    }
    tellUnplaced(id, job, occurrence, stepIndex, waitingIn(inStep), wish, now);
    return waits;
}

// All members or none: a member that runs alone holds its worker for nothing.
bool job_book::placeGang(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                         time_point now)
{
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    auto &members = job.record.tasks[static_cast<std::size_t>(occurrence)]
                                    [static_cast<std::size_t>(stepIndex)];
    int run = 1;
    for (const auto &member : members) {
        if (!member.isWaiting())
            return false; // done, or the last members of an earlier run are still there
        run = std::max(run, member.lastRun + 1);
    }
    auto trial = m_workers;
    std::vector<std::string> picks;
    for (int index = 0; index < step.count; ++index) {
        const task_id task{id, occurrence, stepIndex, index};
        placement_wish wish;
        wish.spread = spreadOf(task, run);
        const auto worker = chooseFor(trial, job, task, step, now, wish);
        if (!worker)
            return true;
        trial.reserve(*worker, step);
        picks.push_back(*worker);
    }
    // The latest saved progress of any member holds for all of them.
    std::string checkpoint;
    for (const auto &member : members)
        checkpoint = std::max(checkpoint, member.checkpoint);
    for (int index = 0; index < step.count; ++index) {
        members[static_cast<std::size_t>(index)].checkpoint = checkpoint;
        place(id, job, {id, occurrence, stepIndex, index}, step,
              picks[static_cast<std::size_t>(index)], run);
    }
    return false;
}

void job_book::place(const std::string &id, owned_job &job, const task_id &task,
                     const step_spec &step, const std::string &worker, int run)
{
    auto &state = *job.record.find(task);
    state.lastRun = run;
    const auto &told = m_workers.find(worker)->last;
    state.placements.push_back({worker, told.epoch, run, told.agentIncarnation});
    m_workers.reserve(worker, step);
    changed(id, job);
    job.starts[{task, run}] = {worker, job.revision, false, {}};
    m_onTheWay[worker].emplace(task, run);
    m_ordering.insert(id);
}

// A worker for the task: not one where it has just failed, as long as there is another.
std::optional<std::string> job_book::chooseFor(const worker_pool &workers, const owned_job &job,
                                               const task_id &task, const step_spec &step,
                                               time_point now, const placement_wish &wish)
{
    const auto &service = job.record.policy.service;
    const auto full = fullOf(job, task, step);
    auto avoid = full;
    const auto avoided = job.avoided.find(task);
    if (avoided == job.avoided.end())
        return workers.choose(service, step, full, now, wish);
    avoid.insert(avoid.end(), avoided->second.begin(), avoided->second.end());
    const auto elsewhere = workers.choose(service, step, avoid, now, wish);
    return elsewhere ? elsewhere : workers.choose(service, step, full, now, wish);
}

// Workers that run as many tasks of the step as they may.
std::vector<std::string> job_book::fullOf(const owned_job &job, const task_id &task,
                                          const step_spec &step)
{
    std::vector<std::string> full;
    if (step.mostPerWorker == 0)
        return full;
    std::map<std::string, int> perWorker;
    const auto &inStep = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                         [static_cast<std::size_t>(task.step)];
    for (const auto &other : inStep) {
        for (const auto &where : other.placements) {
            if (++perWorker[where.worker] >= step.mostPerWorker)
                full.push_back(where.worker);
        }
    }
    return full;
}

} // namespace zinniabarrow::jobs
