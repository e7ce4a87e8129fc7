#include "jobs/model.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/core.h>

#include "base/errors.h"
#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<job_state, 5> StateNames{{
        {job_state::Queued, "queued"},
        {job_state::Running, "running"},
        {job_state::Completed, "completed"},
        {job_state::Failed, "failed"},
        {job_state::Cancelled, "cancelled"},
}};

// Bounds on one job, so that its record stays far below the 64 KiB of a row and one caller can't
// fill an entry's memory.
constexpr int MostTasks = 600; // over all occurrences and steps
constexpr int MostSteps = 64;
constexpr int MostOccurrences = 200;

bool readNumber(std::string_view text, int &number)
{
    const auto *end = text.data() + text.size();
    const auto [stopped, problem] = std::from_chars(text.data(), end, number);
    return problem == std::errc{} && stopped == end && number >= 0;
}

} // namespace

task_size &task_size::operator+=(const task_size &other)
{
    millicores += other.millicores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

task_size &task_size::operator-=(const task_size &other)
{
    millicores -= other.millicores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool task_size::fitsInto(const task_size &room) const
{
    return millicores <= room.millicores && memoryMb <= room.memoryMb
           && accelerators <= room.accelerators;
}

std::string toText(const task_id &task)
{
    return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

std::optional<task_id> taskIdFrom(const std::string &text)
{
    const auto third = text.rfind('.');
    if (third == std::string::npos || third == 0)
        return std::nullopt;
    const auto second = text.rfind('.', third - 1);
    if (second == std::string::npos || second == 0)
        return std::nullopt;
    const auto first = text.rfind('.', second - 1);
    if (first == std::string::npos || first == 0)
        return std::nullopt;
    task_id task;
    task.job = text.substr(0, first);
    const std::string_view view(text);
    if (!readNumber(view.substr(first + 1, second - first - 1), task.occurrence)
        || !readNumber(view.substr(second + 1, third - second - 1), task.step)
        || !readNumber(view.substr(third + 1), task.index))
        return std::nullopt;
    return task;
}

std::string_view nameOf(job_state state)
{
    return nameOf(StateNames, state);
}

int waitingIn(const std::vector<task_state> &step)
{
    return static_cast<int>(std::count_if(step.begin(), step.end(),
                                          [](const auto &task) { return task.isWaiting(); }));
}

bool isFinal(job_state state)
{
    return state == job_state::Completed || state == job_state::Failed
           || state == job_state::Cancelled;
}

const task_state *job_record::find(const task_id &task) const
{
    if (task.occurrence < 0 || task.occurrence >= static_cast<int>(tasks.size()))
        return nullptr;
    const auto &inOccurrence = tasks[static_cast<std::size_t>(task.occurrence)];
    if (task.step < 0 || task.step >= static_cast<int>(inOccurrence.size()))
        return nullptr;
    const auto &inStep = inOccurrence[static_cast<std::size_t>(task.step)];
    if (task.index < 0 || task.index >= static_cast<int>(inStep.size()))
        return nullptr;
    return &inStep[static_cast<std::size_t>(task.index)];
}

task_state *job_record::find(const task_id &task)
{
    return const_cast<task_state *>(std::as_const(*this).find(task));
}

bool job_record::stepDone(int occurrence, int step) const
{
    const auto &inStep =
            tasks[static_cast<std::size_t>(occurrence)][static_cast<std::size_t>(step)];
    return std::all_of(inStep.begin(), inStep.end(),
                       [](const task_state &task) { return task.done; });
}

bool job_record::stepReady(int occurrence, int step) const
{
    const auto &after = steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(),
                       [&](int earlier) { return stepDone(occurrence, earlier); });
}

job_state job_record::state() const
{
    if (cancelled)
        return job_state::Cancelled;
    if (failed)
        return job_state::Failed;
    bool placed = false;
    bool completed = true;
    for (const auto &inOccurrence : tasks) {
        for (const auto &inStep : inOccurrence) {
            for (const auto &task : inStep) {
                placed = placed || task.lastRun > 0;
                completed = completed && task.done;
            }
        }
    }
    if (completed)
        return job_state::Completed;
    return placed ? job_state::Running : job_state::Queued;
}

bool job_record::hasEndedRuns() const
{
    const auto hasRun = [](const task_state &task) {
        return task.done || task.failures > 0 || !task.checkpoint.empty();
    };
    for (const auto &inOccurrence : tasks) {
        for (const auto &inStep : inOccurrence) {
            if (std::any_of(inStep.begin(), inStep.end(), hasRun))
                return true;
        }
    }
    return false;
}

bool job_record::isNeeded(const task_state &task) const
{
    return !cancelled && !failed && !task.done;
}

bool job_record::needsOwner() const
{
    if (!isFinal(state()))
        return true;
    for (const auto &inOccurrence : tasks) {
        for (const auto &inStep : inOccurrence) {
            if (std::any_of(inStep.begin(), inStep.end(),
                            [](const task_state &task) { return !task.placements.empty(); }))
                return true;
        }
    }
    return false;
}

bool job_spec::hasLastingStep() const
{
    return std::any_of(steps.begin(), steps.end(), [](const auto &step) { return step.lasting; });
}

job_spec specOf(const handed_job &job)
{
    const auto &record = job.record;
    return {job.payload, record.steps, record.occurrences, record.firstDueMs, record.intervalMs};
}

job_record newRecord(const job_spec &spec, const queue_policy &policy, std::int64_t acceptedAtMs)
{
    job_record record;
    record.policy = policy;
    record.steps = spec.steps;
    record.occurrences = spec.occurrences;
    record.firstDueMs = spec.firstDueMs;
    record.intervalMs = spec.intervalMs;
    record.acceptedAtMs = acceptedAtMs;
    occurrence_tasks once;
    for (const auto &step : spec.steps)
        once.emplace_back(static_cast<std::size_t>(step.count));
    record.tasks.assign(static_cast<std::size_t>(std::max(1, spec.occurrences)), once);
    return record;
}

void checkSpec(const job_spec &spec)
{
    const auto refuse = [](const std::string &why) { throw error(error_kind::BadRequest, why); };
    if (spec.steps.empty() || spec.steps.size() > MostSteps)
        refuse(fmt::format("a job has 1 to {} steps", MostSteps));
    if (spec.occurrences < 0 || spec.occurrences > MostOccurrences)
        refuse(fmt::format("a job has at most {} occurrences", MostOccurrences));
    std::int64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const auto &step = spec.steps[index];
        if (step.count < 1)
            refuse(fmt::format("step {}: at least one task is needed", index));
        if (step.size.millicores < 0 || step.size.memoryMb < 0 || step.size.accelerators < 0)
            refuse(fmt::format("step {}: a size below zero", index));
        for (const int earlier : step.after) {
            if (earlier < 0 || earlier >= static_cast<int>(index))
                refuse(fmt::format("step {} waits for step {}, which is not an earlier one", index,
                                   earlier));
        }
        tasks += step.count;
    }
    if (tasks * std::max(1, spec.occurrences) > MostTasks)
        refuse(fmt::format("a job has at most {} tasks", MostTasks));
}

} // namespace zinniabarrow::jobs
