#include "jobs/run_course.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

constexpr milliseconds MinWait{300}; // a shorter one is part of each placement

constexpr name_table<overrun_cause, OverrunCauseCount> CauseNames = {{
        {overrun_cause::FailedRun, "failed_run"},
        {overrun_cause::RefusedOrder, "refused_order"},
        {overrun_cause::Waited, "waited"},
        {overrun_cause::LongRun, "long_run"},
}};

milliseconds between(time_point from, time_point to)
{
    return milliseconds(millisecondsIn(to - from));
}

} // namespace

std::string_view nameOf(overrun_cause cause)
{
    return nameOf(CauseNames, cause);
}

void run_course::stepReady(int occurrence, int step, time_point now)
{
    m_readyAt.try_emplace({occurrence, step}, now);
}

void run_course::placed(const task_id &task, time_point now)
{
    auto &course = m_tasks[task];
    course.lastPlacedAt = now;
    if (!course.firstPlacedAt)
        course.firstPlacedAt = now;
    ++m_runs;
}

std::optional<followed_failure> run_course::accepted(const task_id &task, time_point now)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return std::nullopt;
    auto &course = found->second;
    const auto sincePlaced = millisecondsIn(now - course.lastPlacedAt);
    ++m_accepted;
    m_acceptMs += sincePlaced;
    m_acceptMostMs = std::max(m_acceptMostMs, sincePlaced);
    if (course.failedOn.empty())
        return std::nullopt;
    return followed_failure{std::exchange(course.failedOn, {}),
                            between(course.failedAt, course.lastPlacedAt),
                            between(course.failedAt, now)};
}

void run_course::refused(const task_id &task)
{
    m_tasks[task].wasRefused = true;
    ++m_refused;
}

void run_course::failed(const task_id &task, const std::string &worker, time_point now)
{
    auto &course = m_tasks[task];
    course.hasFailed = true;
    course.failedOn = worker;
    course.failedAt = now;
    ++m_failed;
}

void run_course::stepDone(const task_id &lastTask, std::int64_t estimateMs, time_point now)
{
    const auto ready = m_readyAt.extract({lastTask.occurrence, lastTask.step});
    if (!ready.empty()) {
        const auto cause = causeOf(m_tasks[lastTask], ready.mapped());
        m_overrunMs.at(static_cast<std::size_t>(cause)) +=
                std::max<std::int64_t>(0, millisecondsIn(now - ready.mapped()) - estimateMs);
    }
    std::erase_if(m_tasks, [&](const auto &entry) {
        return entry.first.occurrence == lastTask.occurrence && entry.first.step == lastTask.step;
    });
}

overrun_cause run_course::causeOf(const task_course &task, time_point readyAt)
{
    if (task.hasFailed)
        return overrun_cause::FailedRun;
    if (task.wasRefused)
        return overrun_cause::RefusedOrder;
    const bool hasWaited = !task.firstPlacedAt || *task.firstPlacedAt - readyAt > MinWait;
    return hasWaited ? overrun_cause::Waited : overrun_cause::LongRun;
}

std::string run_course::summary() const
{
    auto text = fmt::format("{} runs, {} refused, {} failed; accepted {} ms after placement, {} ms "
                            "at most; over the estimates",
                            m_runs, m_refused, m_failed,
                            m_accepted == 0 ? 0 : m_acceptMs / m_accepted, m_acceptMostMs);
    for (const auto &[cause, name] : CauseNames)
        text += fmt::format(" {} {} ms", name, m_overrunMs.at(static_cast<std::size_t>(cause)));
    return text;
}

} // namespace zinniabarrow::jobs
