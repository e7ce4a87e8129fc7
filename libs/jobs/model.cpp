#include "jobs/model.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/core.h>

#include "base/errors.h"
#include "base/names.h"
#include "base/utf8.h"
#include "jobs/message_limits.h"
#include "jobs/value_limits.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<job_state, 5> StateNames{{
        {job_state::Queued, "queued"},
        {job_state::Running, "running"},
        {job_state::Completed, "completed"},
        {job_state::Failed, "failed"},
        {job_state::Cancelled, "cancelled"},
}};

// Limits on one job: its record stays far below the 64 KiB limit of a row, and no single caller can
// fill an entry's memory.
constexpr int MaxTasks = 600; // over all occurrences and steps
constexpr int MaxSteps = 64;
constexpr int MaxOccurrences = 200;

bool readNumber(std::string_view text, int &number)
{
    const auto *end = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(text.data(), end, number);
    return errorCode == std::errc{} && parsedEnd == end && number >= 0;
}

[[noreturn]] void reject(const std::string &reason)
{
    throw error(error_kind::BadRequest, reason);
}

void checkTime(const char *name, std::int64_t timeMs)
{
    if (timeMs < 0 || timeMs > MaxTimeMs)
        reject(fmt::format("{} is out of range", name));
}

void checkCounter(const char *name, std::int64_t number)
{
    if (number < 0 || number > MaxCounter)
        reject(fmt::format("{} is out of range", name));
}

void checkStep(const step_spec &step, std::size_t index)
{
    if (step.count < 1)
        reject(fmt::format("step {}: at least one task is needed", index));
    for (const auto amount : {step.size.millicores, step.size.memoryMb, step.size.accelerators}) {
        if (amount < 0)
            reject(fmt::format("step {}: a size is negative", index));
        if (amount > MaxAmount)
            reject(fmt::format("step {}: a size is above {}", index, MaxAmount));
    }
    for (const int earlierStep : step.after) {
        if (earlierStep < 0 || earlierStep >= static_cast<int>(index))
            reject(fmt::format("step {} depends on step {}, which is not an earlier step", index,
                               earlierStep));
    }
    if (step.maxPerWorker < 0 || step.maxUnavailable < 0)
        reject(fmt::format("step {}: a limit is negative", index));
    checkTime("estimate-ms", step.estimateMs);
    checkTime("target-ms", step.latencyTargetMs);
}

void checkSteps(const std::vector<step_spec> &steps, int occurrences)
{
    if (steps.empty() || steps.size() > MaxSteps)
        reject(fmt::format("a job must have 1 to {} steps", MaxSteps));
    if (occurrences < 0 || occurrences > MaxOccurrences)
        reject(fmt::format("a job may have at most {} occurrences", MaxOccurrences));
    std::int64_t tasks = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        checkStep(steps[index], index);
        tasks += steps[index].count;
    }
    if (tasks * std::max(1, occurrences) > MaxTasks)
        reject(fmt::format("a job may have at most {} tasks", MaxTasks));
}

void checkTask(const task_state &task)
{
    if (task.lastRun < 0 || task.lastRun > MaxRunNumber || task.failures < 0
        || task.failures > MaxRunNumber)
        reject("a task's runs are out of range");
    for (const auto &runPlacement : task.placements) {
        if (runPlacement.run < 1 || runPlacement.run > MaxRunNumber)
            reject("the run of a placement is out of range");
        checkCounter("epoch of a placement", runPlacement.epoch);
        checkCounter("incarnation of a placement", runPlacement.agentIncarnation);
    }
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
    const auto lastDot = text.rfind('.');
    if (lastDot == std::string::npos || lastDot == 0)
        return std::nullopt;
    const auto middleDot = text.rfind('.', lastDot - 1);
    if (middleDot == std::string::npos || middleDot == 0)
        return std::nullopt;
    const auto firstDot = text.rfind('.', middleDot - 1);
    if (firstDot == std::string::npos || firstDot == 0)
        return std::nullopt;
    task_id task;
    task.job = text.substr(0, firstDot);
    const std::string_view view(text);
    if (!readNumber(view.substr(firstDot + 1, middleDot - firstDot - 1), task.occurrence)
        || !readNumber(view.substr(middleDot + 1, lastDot - middleDot - 1), task.step)
        || !readNumber(view.substr(lastDot + 1), task.index))
        return std::nullopt;
    return task;
}

std::string_view nameOf(job_state state)
{
    return nameOf(StateNames, state);
}

std::optional<job_state> jobStateNamed(std::string_view name)
{
    return valueOf(StateNames, name);
}

int countWaiting(const std::vector<task_state> &step)
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
    const auto &occurrenceSteps = tasks[static_cast<std::size_t>(task.occurrence)];
    if (task.step < 0 || task.step >= static_cast<int>(occurrenceSteps.size()))
        return nullptr;
    const auto &stepTasks = occurrenceSteps[static_cast<std::size_t>(task.step)];
    if (task.index < 0 || task.index >= static_cast<int>(stepTasks.size()))
        return nullptr;
    return &stepTasks[static_cast<std::size_t>(task.index)];
}

task_state *job_record::find(const task_id &task)
{
    return const_cast<task_state *>(std::as_const(*this).find(task));
}

bool job_record::isStepDone(int occurrence, int step) const
{
    const auto &stepTasks =
            tasks[static_cast<std::size_t>(occurrence)][static_cast<std::size_t>(step)];
    return std::all_of(stepTasks.begin(), stepTasks.end(),
                       [](const task_state &task) { return task.done; });
}

bool job_record::isStepReady(int occurrence, int step) const
{
    const auto &dependencies = steps[static_cast<std::size_t>(step)].after;
    return std::all_of(dependencies.begin(), dependencies.end(),
                       [&](int earlierStep) { return isStepDone(occurrence, earlierStep); });
}

job_state job_record::state() const
{
    if (cancelled)
        return job_state::Cancelled;
    if (failed)
        return job_state::Failed;
    bool isAnyPlaced = false;
    bool areAllDone = true;
    for (const auto &occurrenceSteps : tasks) {
        for (const auto &stepTasks : occurrenceSteps) {
            for (const auto &task : stepTasks) {
                isAnyPlaced = isAnyPlaced || task.lastRun > 0;
                areAllDone = areAllDone && task.done;
            }
        }
    }
    if (areAllDone)
        return job_state::Completed;
    return isAnyPlaced ? job_state::Running : job_state::Queued;
}

bool job_record::hasRunAnyTask() const
{
    const auto hasRun = [](const task_state &task) {
        return task.done || task.failures > 0 || !task.checkpoint.empty();
    };
    for (const auto &occurrenceSteps : tasks) {
        for (const auto &stepTasks : occurrenceSteps) {
            if (std::any_of(stepTasks.begin(), stepTasks.end(), hasRun))
                return true;
        }
    }
    return false;
}

bool job_record::shouldRun(const task_state &task) const
{
    return !cancelled && !failed && !task.done;
}

bool job_record::needsOwner() const
{
    if (!isFinal(state()))
        return true;
    for (const auto &occurrenceSteps : tasks) {
        for (const auto &stepTasks : occurrenceSteps) {
            if (std::any_of(stepTasks.begin(), stepTasks.end(),
                            [](const task_state &task) { return !task.placements.empty(); }))
                return true;
        }
    }
    return false;
}

bool job_spec::hasLongRunningStep() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const auto &step) { return step.isLongRunning; });
}

job_spec specOf(const forwarded_job &job)
{
    const auto &record = job.record;
    return {job.payload, record.steps, record.occurrences, record.firstOccurrenceMs,
            record.intervalMs};
}

job_record newRecord(const job_spec &spec, const queue_policy &policy, std::int64_t acceptedAtMs)
{
    job_record record;
    record.policy = policy;
    record.steps = spec.steps;
    record.occurrences = spec.occurrences;
    record.firstOccurrenceMs = spec.firstOccurrenceMs;
    record.intervalMs = spec.intervalMs;
    record.acceptedAtMs = acceptedAtMs;
    occurrence_tasks initialTasks;
    for (const auto &step : spec.steps)
        initialTasks.emplace_back(static_cast<std::size_t>(step.count));
    record.tasks.assign(static_cast<std::size_t>(std::max(1, spec.occurrences)), initialTasks);
    return record;
}

void checkSpec(const job_spec &spec)
{
    checkSteps(spec.steps, spec.occurrences);
    checkTime("initial-delay-ms", spec.firstOccurrenceMs);
    checkTime("interval-ms", spec.intervalMs);
    if (spec.payload.size() > MaxPayloadBytes)
        reject(fmt::format("the spec of a job may have at most {} bytes", MaxPayloadBytes));
    if (!isUtf8(spec.payload))
        reject("the spec of a job must be UTF-8");
    std::size_t nameBytes = 0;
    for (const auto &step : spec.steps)
        nameBytes += step.requiredLabel.size() + step.dataRack.size() + step.image.size();
    if (nameBytes > MaxNameBytes)
        reject(fmt::format("labels, racks and images may have at most {} bytes", MaxNameBytes));
}

void checkRecord(const job_record &record)
{
    checkSteps(record.steps, record.occurrences);
    checkTime("first occurrence", record.firstOccurrenceMs);
    checkTime("interval", record.intervalMs);
    checkTime("time of acceptance", record.acceptedAtMs);
    checkTime("target latency", record.policy.targetLatencyMs);
    checkCounter("incarnation of the owner", record.owner.incarnation);
    if (!(record.policy.stretch >= 0 && record.policy.stretch <= MaxStretch))
        reject("the stretch is out of range");
    if (record.tasks.size() != static_cast<std::size_t>(std::max(1, record.occurrences)))
        reject("occurrences and tasks do not match");
    for (const auto &steps : record.tasks) {
        if (steps.size() != record.steps.size())
            reject("steps and tasks do not match");
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (steps[index].size() != static_cast<std::size_t>(record.steps[index].count))
                reject(fmt::format("step {}: its count is not the number of its tasks", index));
            for (const auto &task : steps[index])
                checkTask(task);
        }
    }
}

} // namespace zinniabarrow::jobs
