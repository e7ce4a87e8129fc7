// What the ends of runs, as agents tell them, change in the jobs that an entry owns.
#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"

namespace zinniabarrow::jobs {

bool job_book::runEnded(const std::string &worker, const run_end &end, time_point now,
                        std::int64_t token)
{
    const auto found = m_jobs.find(end.task.job);
    if (found == m_jobs.end())
        return false;
    const auto &id = found->first;
    auto &job = found->second;
    auto *task = job.record.find(end.task);
    // A later owner placed it, and this one has not heard of that yet: acknowledged here, the end
    // would be in no row, and the task would run again. One that is done never does.
    if (task != nullptr && !task->done && end.run > task->lastRun)
        return false;
    if (task != nullptr && isPlacedOn(*task, worker, end.run))
        task->done ? endNeedlessRun(id, job, worker, end) : endPlacedRun(id, job, worker, end, now);
    else if (task != nullptr && !task->done && !isFinal(job.record.state()))
        endUnheardRun(id, job, worker, end, now);
    job.waiting.push_back({token, job.revision});
    settle(job);
    return true;
}

void job_book::endPlacedRun(const std::string &id, owned_job &job, const std::string &worker,
                            const run_end &end, time_point now)
{
    auto &task = *job.record.find(end.task);
    const auto &step = stepOf(job, end.task);
    const auto ran = takeRunTime(job, end, now);
    m_workers.noteEnd(worker, end.endKind, slownessOf(ran, step), now);
    removePlacement(job, end.task, end.run);
    if (end.endKind != end_kind::NeverStarted)
        noteBegun(id, job, now);
    if (!end.checkpoint.empty())
        task.checkpoint = end.checkpoint;
    if (end.endKind == end_kind::NeverStarted)
        notStarted(job, worker, end.task, end.run);
    if (end.endKind != end_kind::Done)
        note("run_ended", id,
             fmt::format("{}: {}", describe(end.task, end.run, worker), nameOf(end.endKind)));
    applyEnd(id, job, worker, end, ran);
}

// Its task was done by another run, and whatever became of this one changes nothing.
void job_book::endNeedlessRun(const std::string &id, owned_job &job, const std::string &worker,
                              const run_end &end)
{
    removePlacement(job, end.task, end.run);
    job.startedAt.erase({end.task, end.run});
    changed(id, job);
    note("needless_run_ended", id,
         fmt::format("{}: {}", describe(end.task, end.run, worker), nameOf(end.endKind)));
}

// The end of a run whose placement is gone. Acknowledged, its worker forgets it: what it says has
// to be in the row by then, or a task that is done runs again.
void job_book::endUnheardRun(const std::string &id, owned_job &job, const std::string &worker,
                             const run_end &end, time_point now)
{
    auto &task = *job.record.find(end.task);
    const auto &step = stepOf(job, end.task);
    const bool isNews = std::erase(task.unheard, end.run) > 0;
    const bool finishes = end.endKind == end_kind::Done && !step.lasting;
    note(finishes || isNews ? "run_ended_late" : "run_ended_again", id,
         fmt::format("{}: {}; newest run {}", describe(end.task, end.run, worker),
                     nameOf(end.endKind), task.lastRun));
    if (end.endKind != end_kind::NeverStarted)
        noteBegun(id, job, now);
    if (!finishes && !isNews)
        return;
    if (!end.checkpoint.empty() && end.run == task.lastRun)
        task.checkpoint = end.checkpoint;
    applyEnd(id, job, worker, end, std::nullopt);
}

// `ran`: how long the run took; none: not known.
void job_book::applyEnd(const std::string &id, owned_job &job, const std::string &worker,
                        const run_end &end, const std::optional<milliseconds> &ran)
{
    const auto &step = stepOf(job, end.task);
    changed(id, job);
    if (end.endKind == end_kind::Done && !step.lasting)
        finishTask(id, job, end.task, end.run, step);
    if (end.endKind == end_kind::Failed)
        countFailure(id, job, worker, end, step, ran);
    if (job.record.state() == job_state::Completed)
        m_completed.push_back(id);
    if (isFinal(job.record.state()))
        note("job_ended", id, std::string(nameOf(job.record.state())));
}

// How long the run took; none: this entry did not see its start.
std::optional<milliseconds> job_book::takeRunTime(owned_job &job, const run_end &end,
                                                  time_point now)
{
    const auto started = job.startedAt.extract({end.task, end.run});
    if (started.empty())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - started.mapped());
}

double job_book::slownessOf(const std::optional<milliseconds> &ran, const step_spec &step)
{
    if (!ran || step.estimateMs <= 0 || step.lasting)
        return 0;
    return static_cast<double>(ran->count()) / static_cast<double>(step.estimateMs);
}

void job_book::finishTask(const std::string &id, owned_job &job, const task_id &task, int run,
                          const step_spec &step)
{
    auto &inStep = job.record.tasks[static_cast<std::size_t>(task.occurrence)]
                                   [static_cast<std::size_t>(task.step)];
    // One member's end stands for its whole gang.
    const int first = step.gang ? 0 : task.index;
    const int last = step.gang ? step.count - 1 : task.index;
    for (int index = first; index <= last; ++index) {
        auto &member = inStep[static_cast<std::size_t>(index)];
        member.done = true;
        member.unheard.clear();
        const task_id name{id, task.occurrence, task.step, index};
        // Members of a gang end together, those of the same run by themselves.
        removePlacement(job, name, run);
        stopNeedless(job, name, member);
    }
    m_ordering.insert(id);
}

// Other runs of a task that is done stay placed until they have ended. Known to this owner's memory
// alone, one that was accepted and has not begun would start once the owner is gone.
void job_book::stopNeedless(owned_job &job, const task_id &task, const task_state &state)
{
    for (const auto &where : state.placements)
        stopPlaced(job, task, where);
}

void job_book::stopPlaced(owned_job &job, const task_id &task, const placement &where)
{
    job.starts.erase({task, where.run});
    job.stops[{task, where.run}] = {where.worker, job.revision, false, {}};
}

void job_book::countFailure(const std::string &id, owned_job &job, const std::string &worker,
                            const run_end &end, const step_spec &step,
                            const std::optional<milliseconds> &ran)
{
    auto &task = *job.record.find(end.task);
    ++task.failures;
    // A run that had served for a while says nothing of its worker, where its twins are.
    constexpr milliseconds ServedForAWhile{
            5000}; // a worker that fails all it starts does so at once
    if (step.lasting && ran && *ran >= ServedForAWhile)
        return;
    avoid(job, end.task, worker);
    if (step.lasting || task.failures < job.record.policy.maxAttempts)
        return;
    job.record.failed = true;
    stopAll(id, job);
    note("job_failed", id, fmt::format("{} failed {} times", toText(end.task), task.failures));
}

// The run never starts there. The other members of its gang would wait for it in vain.
void job_book::notStarted(owned_job &job, const std::string &worker, const task_id &task, int run)
{
    const auto &step = stepOf(job, task);
    if (!step.gang)
        return avoid(job, task, worker);
    std::vector<std::pair<task_id, placement>> others;
    for (int index = 0; index < step.count; ++index) {
        const task_id member{task.job, task.occurrence, task.step, index};
        for (const auto &where : job.record.find(member)->placements) {
            if (where.run == run)
                others.emplace_back(member, where);
        }
    }
    // With another member gone already this one was stopped for that, through no fault of its
    // worker.
    if (static_cast<int>(others.size()) < step.count - 1)
        return;
    avoid(job, task, worker);
    for (const auto &[member, where] : others)
        stopPlaced(job, member, where);
}

// For the next runs of the task.
void job_book::avoid(owned_job &job, const task_id &task, const std::string &worker)
{
    auto &avoided = job.avoided[task];
    avoided.push_back(worker);
    // Only the newest: a task that fails now and then everywhere must not run out of workers.
    constexpr std::size_t AvoidedWorkers = 2;
    if (avoided.size() > AvoidedWorkers)
        avoided.erase(avoided.begin());
}

} // namespace zinniabarrow::jobs
