#include "work/trace_checker.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<trace_violation_kind, 10> ViolationNames = {{
        {trace_violation_kind::BadLine, "bad_line"},
        {trace_violation_kind::OverCapacity, "over_capacity"},
        {trace_violation_kind::StartedWhileRunning, "two_places"},
        {trace_violation_kind::AttemptRepeated, "attempt_repeated"},
        {trace_violation_kind::NotPlaced, "not_placed"},
        {trace_violation_kind::WrongCheckpoint, "wrong_checkpoint"},
        {trace_violation_kind::StartedAfterEnd, "started_after_end"},
        {trace_violation_kind::StartedAfterCancel, "started_after_cancel"},
        {trace_violation_kind::NotResumed, "not_resumed"},
        {trace_violation_kind::Lost, "lost"},
}};

trace_size sizeOf(const Json::Value &event)
{
    const Json::Value &size = objectMember(event, "size");
    trace_size result;
    result.millicores = static_cast<std::int64_t>(countMember(size, "millicores"));
    result.memoryBytes = static_cast<std::int64_t>(countMember(size, "memoryBytes"));
    result.accelerators = static_cast<std::int64_t>(countMember(size, "accelerators"));
    return result;
}

std::string attemptText(const Json::Value &event)
{
    return stringMember(event, "task") + " attempt "
           + std::to_string(smallCountMember(event, "attempt")) + " on "
           + stringMember(event, "worker");
}

} // namespace

std::string_view nameOf(trace_violation_kind kind)
{
    return nameOf(ViolationNames, kind);
}

void trace_checker::addEvent(const Json::Value &event)
{
    ++m_line;
    try {
        const std::string kind = stringMember(event, "event");
        if (kind == "worker") {
            addWorker(event);
            return;
        }
        const std::string name = stringMember(event, "task");
        task_trace &task = m_tasks[name];
        if (kind == "accepted") {
            task.accepted = true;
            task.isService = boolMember(event, "service");
            task.isProofClass = stringMember(event, "failover") == nameOf(failover_class::Proof);
        } else if (kind == "placed") {
            task.placements[smallCountMember(event, "attempt")] = stringMember(event, "worker");
        } else if (kind == "started" || kind == "resumed") {
            addStart(event, task, name);
        } else if (kind == "evicted" || kind == "stopped" || kind == "ended") {
            addStop(event, task);
        } else if (kind == "cancelled") {
            task.cancelled = true;
            task.expectedCheckpoint.clear();
            if (task.running)
                addViolation(trace_violation_kind::StartedAfterCancel, name + " still runs");
        } else if (kind == "done") {
            task.done = true;
            task.succeeded = true;
        } else if (kind == "failed") {
            task.failed = true;
            task.expectedCheckpoint.clear();
        } else if (kind != "checkpointed") {
            addViolation(trace_violation_kind::BadLine, "unknown event " + kind);
        }
    } catch (const error &problem) {
        addViolation(trace_violation_kind::BadLine, problem.what());
    }
}

void trace_checker::addWorker(const Json::Value &event)
{
    const std::string name = stringMember(event, "worker");
    worker_trace &worker = m_workers[name];
    worker.size = sizeOf(event);
    worker.used = trace_size();
    for (auto &[id, task] : m_tasks) {
        if (task.worker != name)
            continue;
        task.running = false;
        // An outcome that was not committed yet is lost with the instance.
        task.succeeded = task.done;
    }
}

void trace_checker::addStart(const Json::Value &event, task_trace &task, const std::string &name)
{
    const std::string worker = stringMember(event, "worker");
    const std::uint32_t attempt = smallCountMember(event, "attempt");
    const std::string checkpoint = stringMemberOr(event, "checkpoint", "");
    const std::string text = attemptText(event);
    if (task.running)
        addViolation(trace_violation_kind::StartedWhileRunning, text + ", still on " + task.worker);
    if (attempt <= task.attempt)
        addViolation(trace_violation_kind::AttemptRepeated, text);
    if (task.cancelled)
        addViolation(trace_violation_kind::StartedAfterCancel, text);
    if (!task.isService && (task.done || (task.isProofClass && task.succeeded)))
        addViolation(trace_violation_kind::StartedAfterEnd, text);
    const auto placement = task.placements.find(attempt);
    if (placement == task.placements.end() || placement->second != worker)
        addViolation(trace_violation_kind::NotPlaced, text);
    if (!task.expectedCheckpoint.empty() && checkpoint != task.expectedCheckpoint)
        addViolation(trace_violation_kind::WrongCheckpoint, text + " from \"" + checkpoint + "\"");
    if (task.running)
        addUsage(task.worker, task.size, -1);
    task.expectedCheckpoint.clear();
    task.running = true;
    task.worker = worker;
    task.attempt = attempt;
    task.size = sizeOf(event);
    addUsage(worker, task.size, 1);
    checkCapacity(worker);
    if (!task.accepted)
        addViolation(trace_violation_kind::NotPlaced, name + " was never accepted");
}

void trace_checker::addStop(const Json::Value &event, task_trace &task)
{
    const std::string kind = stringMember(event, "event");
    const bool isCurrent = task.running && task.worker == stringMember(event, "worker")
                           && task.attempt == smallCountMember(event, "attempt");
    if (!isCurrent) {
        addViolation(trace_violation_kind::BadLine, attemptText(event) + " did not run");
        return;
    }
    task.running = false;
    addUsage(task.worker, task.size, -1);
    if (kind == "evicted")
        task.expectedCheckpoint = stringMember(event, "checkpoint");
    if (kind != "ended")
        return;
    if (stringMember(event, "outcome") == "succeeded")
        task.succeeded = true;
}

void trace_checker::addUsage(const std::string &worker, const trace_size &size, int sign)
{
    trace_size &used = m_workers[worker].used;
    used.millicores += sign * size.millicores;
    used.memoryBytes += sign * size.memoryBytes;
    used.accelerators += sign * size.accelerators;
}

void trace_checker::checkCapacity(const std::string &name)
{
    const worker_trace &worker = m_workers[name];
    const bool fits = worker.used.millicores <= worker.size.millicores
                      && worker.used.memoryBytes <= worker.size.memoryBytes
                      && worker.used.accelerators <= worker.size.accelerators;
    if (!fits)
        addViolation(trace_violation_kind::OverCapacity, name);
}

std::vector<trace_violation> trace_checker::finish(bool isComplete)
{
    for (const auto &[name, task] : m_tasks) {
        if (!isComplete || task.cancelled || !task.accepted)
            continue;
        if (!task.expectedCheckpoint.empty())
            addViolation(trace_violation_kind::NotResumed, name);
        const bool hasFinished = task.isService ? task.running : task.succeeded || task.failed;
        if (!hasFinished)
            addViolation(trace_violation_kind::Lost, name);
    }
    return m_violations;
}

void trace_checker::addViolation(trace_violation_kind kind, const std::string &detail)
{
    m_violations.push_back({kind, m_line, detail});
}

std::vector<trace_violation> checkTrace(std::istream &lines, bool isComplete)
{
    trace_checker checker;
    std::string line;
    while (std::getline(lines, line)) {
        Json::Value event;
        try {
            event = parseJson(line);
        } catch (const error &) {
            event = Json::Value(); // counts as a BadLine
        }
        checker.addEvent(event);
    }
    return checker.finish(isComplete);
}

} // namespace zinniabarrow::work
