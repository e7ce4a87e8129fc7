#include "work/trace_checker.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<trace_violation_kind, 10> KindNames = {{
        {trace_violation_kind::BadLine, "bad_line"},
        {trace_violation_kind::OverCapacity, "over_capacity"},
        {trace_violation_kind::TwoPlaces, "two_places"},
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
    trace_size read;
    read.millicores = static_cast<std::int64_t>(countMember(size, "millicores"));
    read.memoryBytes = static_cast<std::int64_t>(countMember(size, "memoryBytes"));
    read.accelerators = static_cast<std::int64_t>(countMember(size, "accelerators"));
    return read;
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
    return nameOf(KindNames, kind);
}

void trace_checker::add(const Json::Value &event)
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
            task.service = boolMember(event, "service");
            task.proof = stringMember(event, "failover") == nameOf(failover_class::Proof);
        } else if (kind == "placed") {
            task.placements[smallCountMember(event, "attempt")] = stringMember(event, "worker");
        } else if (kind == "started" || kind == "resumed") {
            addStart(event, task, name);
        } else if (kind == "evicted" || kind == "stopped" || kind == "ended") {
            addStop(event, task);
        } else if (kind == "cancelled") {
            task.cancelled = true;
            task.owedCheckpoint.clear();
            if (task.running)
                violate(trace_violation_kind::StartedAfterCancel, name + " still runs");
        } else if (kind == "done") {
            task.done = true;
            task.succeeded = true;
        } else if (kind == "failed") {
            task.failed = true;
            task.owedCheckpoint.clear();
        } else if (kind != "checkpointed") {
            violate(trace_violation_kind::BadLine, "unknown event " + kind);
        }
    } catch (const error &problem) {
        violate(trace_violation_kind::BadLine, problem.what());
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
        // An outcome that had not been reported went with the instance.
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
        violate(trace_violation_kind::TwoPlaces, text + ", still on " + task.worker);
    if (attempt <= task.attempt)
        violate(trace_violation_kind::AttemptRepeated, text);
    if (task.cancelled)
        violate(trace_violation_kind::StartedAfterCancel, text);
    if (!task.service && (task.done || (task.proof && task.succeeded)))
        violate(trace_violation_kind::StartedAfterEnd, text);
    const auto placement = task.placements.find(attempt);
    if (placement == task.placements.end() || placement->second != worker)
        violate(trace_violation_kind::NotPlaced, text);
    if (!task.owedCheckpoint.empty() && checkpoint != task.owedCheckpoint)
        violate(trace_violation_kind::WrongCheckpoint, text + " from \"" + checkpoint + "\"");
    if (task.running)
        use(task.worker, task.size, -1);
    task.owedCheckpoint.clear();
    task.running = true;
    task.worker = worker;
    task.attempt = attempt;
    task.size = sizeOf(event);
    use(worker, task.size, 1);
    checkCapacity(worker);
    if (!task.accepted)
        violate(trace_violation_kind::NotPlaced, name + " was never accepted");
}

void trace_checker::addStop(const Json::Value &event, task_trace &task)
{
    const std::string kind = stringMember(event, "event");
    const bool current = task.running && task.worker == stringMember(event, "worker")
                         && task.attempt == smallCountMember(event, "attempt");
    if (!current) {
        violate(trace_violation_kind::BadLine, attemptText(event) + " did not run");
        return;
    }
    task.running = false;
    use(task.worker, task.size, -1);
    if (kind == "evicted")
        task.owedCheckpoint = stringMember(event, "checkpoint");
    if (kind != "ended")
        return;
    if (stringMember(event, "outcome") == "succeeded")
        task.succeeded = true;
}

void trace_checker::use(const std::string &worker, const trace_size &size, int sign)
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
        violate(trace_violation_kind::OverCapacity, name);
}

std::vector<trace_violation> trace_checker::finish(bool complete)
{
    for (const auto &[name, task] : m_tasks) {
        if (!complete || task.cancelled || !task.accepted)
            continue;
        if (!task.owedCheckpoint.empty())
            violate(trace_violation_kind::NotResumed, name);
        const bool whole = task.service ? task.running : task.succeeded || task.failed;
        if (!whole)
            violate(trace_violation_kind::Lost, name);
    }
    return m_violations;
}

void trace_checker::violate(trace_violation_kind kind, const std::string &detail)
{
    m_violations.push_back({kind, m_line, detail});
}

std::vector<trace_violation> checkTrace(std::istream &lines, bool complete)
{
    trace_checker checker;
    std::string line;
    while (std::getline(lines, line)) {
        Json::Value event;
        try {
            event = parseJson(line);
        } catch (const error &) {
            event = Json::Value(); // reported as a bad line
        }
        checker.add(event);
    }
    return checker.finish(complete);
}

} // namespace zinniabarrow::work
