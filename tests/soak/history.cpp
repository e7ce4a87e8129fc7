#include "soak/history.h"

#include <algorithm>
#include <set>

#include "base/json.h"

namespace zinniabarrow::soak {

namespace {

// By then a process that was told to stop is stopped.
constexpr seconds MaxShutdownTime{6};

bool isOneOf(const std::string &kind, std::initializer_list<const char *> kinds)
{
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

// Whether an item of kind `next` ends a disturbance of the same target.
bool isEndedBy(const std::string &kind, const std::string &next)
{
    if (kind == "SIGSTOP")
        return isOneOf(next, {"SIGCONT", "start"});
    if (isOneOf(kind, {"SIGKILL", "SIGTERM"}))
        return next == "start";
    return isOneOf(kind, {"worker_leaving", "worker_ended", "worker_hung"})
           && next == "worker_started";
}

class history_builder
{
public:
    soak_history build(const std::vector<timeline_item> &items)
    {
        if (!items.empty()) {
            m_history.beginsAt = items.front().at;
            m_history.endsAt = items.back().at;
        }
        for (const auto &item : items) {
            std::visit([&](const auto &event) { add(event, item.at); }, item.event);
        }
        limitShutdowns();
        return std::move(m_history);
    }

private:
    void add(const request_sent &sent, time_point at)
    {
        auto &request = m_history.requests[sent.request];
        request.sent = sent;
        request.sentAt = at;
        if (request.isSubmission())
            addSubmission(request);
        const auto job = m_history.jobs.find(sent.job);
        if (request.isCancel() && job != m_history.jobs.end())
            job->second.cancelSentAt = std::min(job->second.cancelSentAt, at);
    }

    void addSubmission(const request_history &request)
    {
        auto &job = m_history.jobs[request.sent.job];
        if (job.submissions.empty()) {
            job.shape = parseJobShape(request.sent.body);
            job.firstSentAt = request.sentAt;
            job.firstSentUnixMs = request.sent.unixMs;
        }
        job.submissions.push_back(request.sent.request);
    }

    void add(const answer_received &answer, time_point at)
    {
        auto &request = m_history.requests[answer.request];
        request.answer = answer;
        request.endedAt = at;
        const auto job = m_history.jobs.find(request.sent.job);
        if (job == m_history.jobs.end() || !request.isAccepted())
            return;
        if (request.isSubmission())
            job->second.acceptedAt = std::min(job->second.acceptedAt, at);
        if (request.isCancel())
            job->second.cancelAckedAt = std::min(job->second.cancelAckedAt, at);
    }

    void add(const request_unanswered &unanswered, time_point at)
    {
        auto &request = m_history.requests[unanswered.request];
        request.unanswered = unanswered;
        request.endedAt = at;
    }

    void add(const run_started &start, time_point at)
    {
        m_history.runs[{start.job, start.occurrence, start.step, start.index}].push_back(
                {start.worker, start.run, at, Never, ""});
    }

    void add(const run_ended &end, time_point at)
    {
        auto &runs = m_history.runs[{end.job, end.occurrence, end.step, end.index}];
        for (auto &run : runs) {
            const bool isOpen = run.endedAt == Never || run.how.empty();
            if (run.worker != end.worker || run.number != end.run || !isOpen)
                continue;
            run.endedAt = at;
            run.how = end.how;
        }
        if (end.how == "lapsed")
            m_history.lapses[end.worker].push_back(at);
    }

    void add(const fault_noted &fault, time_point at)
    {
        if (fault.kind == "lease_lapsed") {
            m_history.lapses[fault.target].push_back(at);
            return;
        }
        if (fault.kind == "exit")
            return;
        if (fault.kind == "worker_ended" && fault.isBegin)
            endRunsOn(fault.target, at);
        for (auto &open : m_history.disturbances) {
            const bool isEnd = (open.kind == fault.kind && !fault.isBegin)
                               || (fault.isBegin && isEndedBy(open.kind, fault.kind));
            if (open.target == fault.target && open.until == Never && isEnd)
                open.until = at;
        }
        if (!fault.isBegin)
            return;
        const bool isPlanned = isOneOf(fault.kind, {"SIGTERM", "SIGHUP", "start"});
        const bool isMoment =
                isOneOf(fault.kind, {"SIGHUP", "start", "SIGCONT", "worker_started", "link_reset",
                                     "link_reset_at_caller", "link_reset_at_target"});
        m_history.disturbances.push_back(
                {fault.kind, fault.target, at, isMoment ? at : Never, isPlanned});
    }

    void endRunsOn(const std::string &worker, time_point at)
    {
        for (auto &[task, runs] : m_history.runs) {
            for (auto &run : runs) {
                if (run.worker == worker && run.endedAt == Never)
                    run.endedAt = at;
            }
        }
    }

    void limitShutdowns()
    {
        for (auto &each : m_history.disturbances) {
            if (each.kind == "SIGTERM")
                each.until = std::min(each.until, each.from + MaxShutdownTime);
        }
    }

    soak_history m_history;
};

} // namespace

bool job_shape::isLongRunning() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const auto &step) { return step.isLongRunning; });
}

time_point job_history::dueAt(int occurrence) const
{
    if (!shape.isScheduled || firstSentUnixMs == 0)
        return firstSentAt;
    const auto dueMs = shape.firstOccurrenceMs + occurrence * shape.intervalMs;
    return firstSentAt + milliseconds(dueMs - firstSentUnixMs);
}

bool disturbance::concerns(const std::string &place) const
{
    const auto arrow = target.find('>');
    if (arrow == std::string::npos)
        return target == place;
    return target.substr(0, arrow) == place || target.substr(arrow + 1) == place;
}

bool disturbance::isFelt(time_point spanFrom, time_point spanUntil, milliseconds contact) const
{
    return from <= spanUntil && (until == Never || until + contact >= spanFrom);
}

bool soak_history::isOfKnownTask(const task_key &task) const
{
    const auto job = jobs.find(task.job);
    if (job == jobs.end() || task.occurrence >= job->second.shape.occurrences)
        return false;
    const auto &steps = job->second.shape.steps;
    const auto step = static_cast<std::size_t>(task.step);
    return step < steps.size() && task.index < steps[step].count;
}

const std::vector<run_history> &soak_history::runsOf(const task_key &task) const
{
    static const std::vector<run_history> none;
    const auto found = runs.find(task);
    return found == runs.end() ? none : found->second;
}

time_point soak_history::doneAt(const task_key &task) const
{
    const auto &step = jobs.at(task.job).shape.steps.at(static_cast<std::size_t>(task.step));
    auto first = Never;
    for (int index = 0; index < step.count; ++index) {
        if (index != task.index && !step.isGang)
            continue;
        for (const auto &run : runsOf({task.job, task.occurrence, task.step, index})) {
            if (run.isDone())
                first = std::min(first, run.endedAt);
        }
    }
    return first;
}

time_point soak_history::stepDoneAt(const std::string &job, int occurrence, int step) const
{
    auto last = time_point::min();
    const auto count = jobs.at(job).shape.steps.at(static_cast<std::size_t>(step)).count;
    for (int index = 0; index < count; ++index)
        last = std::max(last, doneAt({job, occurrence, step, index}));
    return last;
}

time_point soak_history::jobDoneAt(const std::string &job) const
{
    auto last = time_point::min();
    const auto &shape = jobs.at(job).shape;
    for (int occurrence = 0; occurrence < shape.occurrences; ++occurrence) {
        for (int step = 0; step < static_cast<int>(shape.steps.size()); ++step)
            last = std::max(last, stepDoneAt(job, occurrence, step));
    }
    return last;
}

int soak_history::failedRuns(const task_key &task, time_point at) const
{
    const auto &step = jobs.at(task.job).shape.steps.at(static_cast<std::size_t>(task.step));
    std::set<int> failed; // numbers of runs
    for (int index = 0; index < step.count; ++index) {
        if (index != task.index && !step.isGang)
            continue;
        for (const auto &run : runsOf({task.job, task.occurrence, task.step, index})) {
            if (run.how == "failed" && run.endedAt <= at)
                failed.insert(run.number);
        }
    }
    return static_cast<int>(failed.size());
}

job_shape parseJobShape(const std::string &body)
{
    const auto value = parseJsonObject(body);
    job_shape shape;
    for (const auto &each : value["steps"]) {
        step_shape step;
        step.count = each["count"].asInt();
        step.millicores = each["cpu"].asInt64();
        for (const auto &earlier : each["after"])
            step.after.push_back(earlier.asInt());
        step.isGang = each["gang"].asBool();
        step.isSpeculative = each["speculative"].asBool();
        step.isLongRunning = each["long-running"].asBool();
        shape.steps.push_back(std::move(step));
    }
    shape.isScheduled = value["run-count"].asInt() > 0;
    shape.occurrences = std::max(1, value["run-count"].asInt());
    shape.firstOccurrenceMs = value["initial-delay-ms"].asInt64();
    shape.intervalMs = value["interval-ms"].asInt64();
    return shape;
}

soak_history makeHistory(const std::vector<timeline_item> &items)
{
    return history_builder().build(items);
}

} // namespace zinniabarrow::soak
