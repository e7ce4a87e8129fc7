// What an operator is told of owned jobs that wait or lack something.
#include <utility>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

// The tasks of a job that run until it is cancelled.
struct lasting_tasks
{
    int asked = 0;
    int placed = 0;
    int withTarget = 0; // of those asked
};

lasting_tasks lastingTasks(const job_record &record)
{
    lasting_tasks count;
    for (const auto &occurrence : record.tasks) {
        for (std::size_t index = 0; index < record.steps.size(); ++index) {
            const auto &step = record.steps[index];
            if (!step.lasting)
                continue;
            count.asked += step.count;
            count.placed += step.count - waitingIn(occurrence[index]);
            count.withTarget += step.targetMs > 0 ? step.count : 0;
        }
    }
    return count;
}

} // namespace

std::string job_book::describe(const task_id &task, int run, const std::string &worker)
{
    return fmt::format("{} run {} on {}", toText(task), run, worker);
}

void job_book::tellUnplaced(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                            int tasks, const placement_wish &wish, time_point now)
{
    const std::pair key{occurrence, stepIndex};
    if (tasks == 0) {
        const auto waited = job.unplaced.extract(key);
        if (!waited.empty())
            job.course.unplacedMs += millisecondsIn(now - waited.mapped().since);
        return;
    }
    const waiting_step begins{now, now + m_settings.tellWaits};
    auto &waiting = job.unplaced.try_emplace(key, begins).first->second;
    if (now < waiting.tellAt)
        return;
    waiting.tellAt = now + m_settings.tellWaits;
    const auto &step = job.record.steps[static_cast<std::size_t>(stepIndex)];
    const auto full = fullOf(job, {id, occurrence, stepIndex, 0}, step);
    note("tasks_unplaced", id,
         fmt::format("{} of step {}.{} for {} ms: {}", tasks, occurrence, stepIndex,
                     millisecondsIn(now - waiting.since),
                     m_workers.whyNobody(job.record.policy.service, step, full, now, wish)));
}

// Jobs that last and lack something: tasks without a worker, tasks that are placed and not at work,
// or tasks that are late, which tells why callers get less of one job than of another.
void job_book::tellUnderserved(time_point now)
{
    if (now < m_tellServedAt)
        return;
    m_tellServedAt = now + m_settings.tellWaits;
    const auto counts = m_workers.servingByJob(now);
    for (const auto &[id, job] : m_jobs) {
        const auto wanted = lastingTasks(job.record);
        if (wanted.asked == 0 || isFinal(job.record.state()))
            continue;
        const auto found = counts.find(id);
        const auto seen = found == counts.end() ? serving_count{} : found->second;
        if (wanted.placed == wanted.asked && seen.running >= wanted.withTarget && seen.late == 0)
            continue;
        note("job_underserved", id,
             fmt::format("{} tasks that last, {} placed, {} of {} with a target at work, {} late",
                         wanted.asked, wanted.placed, seen.running, wanted.withTarget, seen.late));
    }
}

// Where the time of a job went: it began with too little to spare, its steps took longer than their
// estimates, or its tasks waited for workers.
void job_book::tellEnded(std::int64_t wallMs)
{
    for (const auto &id : std::exchange(m_completed, {})) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !found->second.course.firstAtMs)
            continue; // begun by an earlier owner
        const auto &record = found->second.record;
        const auto &course = found->second.course;
        const auto left = timeToSpareMs(record, wallMs);
        note("job_course", id,
             fmt::format("{} by {} ms; first worker after {} ms with {} ms to spare, completed {} "
                         "ms later; chain estimated {} ms, {} ms without workers",
                         left < 0 ? "late" : "in time", left < 0 ? -left : left,
                         *course.firstAtMs - record.acceptedAtMs, course.spareAtFirstMs,
                         wallMs - *course.firstAtMs, estimatedMs(record), course.unplacedMs));
    }
}

void job_book::tellUnanswered(const std::string &id, const task_id &task, int run,
                              pending_order &order, time_point now)
{
    if (order.givenAt == time_point{}) {
        order.givenAt = now;
        order.tellAt = now + m_settings.tellWaits;
    }
    if (now < order.tellAt)
        return;
    order.tellAt = now + m_settings.tellWaits;
    note("order_unanswered", id,
         fmt::format("{}: for {} ms", describe(task, run, order.worker),
                     millisecondsIn(now - order.givenAt)));
}

void job_book::note(std::string event, const std::string &job, std::string detail)
{
    m_actions.emplace_back(noted{std::move(event), job, std::move(detail)});
}

} // namespace zinniabarrow::jobs
