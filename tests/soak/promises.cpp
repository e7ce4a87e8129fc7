#include "soak/promises.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include <fmt/core.h>

#include "base/json.h"
#include "soak/history.h"

namespace zinniabarrow::soak {

namespace {

struct time_span
{
    time_point from;
    time_point until;
};

std::string textOf(const task_key &task)
{
    return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

// The state that an answer shows; empty: none can be read.
std::string stateIn(const std::string &body)
{
    try {
        return parseJsonObject(body)["state"].asString();
    } catch (const std::exception &) {
        return "";
    }
}

// The parts of `span` that none of `covered` covers; these are ordered by their begins.
std::vector<time_span> uncovered(time_span span, const std::vector<time_span> &covered)
{
    std::vector<time_span> parts;
    if (span.from >= span.until)
        return parts;
    auto from = span.from;
    for (const auto &each : covered) {
        if (each.from > from)
            parts.push_back({from, std::min(each.from, span.until)});
        from = std::max(from, each.until);
        if (from >= span.until)
            return parts;
    }
    if (from < span.until)
        parts.push_back({from, span.until});
    return parts;
}

// The longest part of `span` in one of `parts`.
time_span longestCommon(time_span span, const std::vector<time_span> &parts)
{
    time_span longest{span.from, span.from};
    for (const auto &part : parts) {
        const time_span common{std::max(span.from, part.from), std::min(span.until, part.until)};
        if (common.until - common.from > longest.until - longest.from)
            longest = common;
    }
    return longest;
}

class promise_check
{
public:
    promise_check(const std::vector<timeline_item> &items, const promise_limits &limits)
        : m_history(makeHistory(items))
        , m_limits(limits)
        , m_calm(calmParts())
    { }

    const judged_counts &counts() const { return m_counts; }

    std::vector<std::string> run()
    {
        for (const auto &part : m_calm)
            m_counts.calm += std::chrono::duration_cast<milliseconds>(part.until - part.from);
        for (const auto &[id, request] : m_history.requests) {
            checkIsAnswered(request);
            checkStatus(request);
            if (request.isRead())
                checkShownState(request);
        }
        for (const auto &[task, runs] : m_history.runs) {
            if (!m_history.isOfKnownTask(task)) {
                report("UNASKED", runs.front().startedAt,
                       fmt::format("{} was started, which no caller sent", textOf(task)));
                continue;
            }
            m_counts.runs += static_cast<int>(runs.size());
            checkWasAsked(task, runs);
            checkOrder(task, runs);
            checkRunsOnce(task, runs);
            checkGangIsComplete(task, runs);
        }
        for (const auto &[id, job] : m_history.jobs) {
            checkWasNotRefused(id, job);
            checkGoesOn(id, job);
            checkFinishes(id, job);
        }
        checkStalls();
        return std::move(m_broken);
    }

private:
    void report(const char *promise, time_point at, const std::string &what)
    {
        m_broken.push_back(fmt::format("{}: {}; at {} ms", promise, what, msOf(at)));
    }

    std::int64_t msOf(time_point at) const { return millisecondsIn(at - m_history.beginsAt); }

    // Disturbances.

    std::vector<time_span> calmParts() const
    {
        std::vector<time_span> disturbed;
        for (const auto &each : m_history.disturbances) {
            const auto until = each.until == Never ? Never : each.until + m_limits.contact;
            disturbed.push_back({each.from, until});
        }
        return uncovered({m_history.beginsAt, m_history.endsAt}, disturbed);
    }

    bool isCalm(time_point from, time_point until) const
    {
        return std::none_of(
                m_history.disturbances.begin(), m_history.disturbances.end(),
                [&](const auto &each) { return each.isFelt(from, until, m_limits.contact); });
    }

    // Whether an unplanned disturbance of the place can be felt in the span.
    bool isDisturbed(const std::string &place, time_point from, time_point until) const
    {
        return std::any_of(m_history.disturbances.begin(), m_history.disturbances.end(),
                           [&](const auto &each) {
                               return !each.isPlanned && each.concerns(place)
                                      && each.isFelt(from, until, m_limits.contact);
                           });
    }

    // Requests.

    void checkIsAnswered(const request_history &request)
    {
        ++m_counts.requests;
        if (!request.unanswered)
            return;
        const auto &entry = request.sent.entry;
        if (isDisturbed(entry, request.sentAt, request.endedAt)
            || isDisturbed("store", request.sentAt, request.endedAt)) {
            ++m_counts.excusedRequests;
            return;
        }
        const auto &end = *request.unanswered;
        const auto text = fmt::format("{} {} sent to {} at {} ms", request.sent.method,
                                      request.sent.job, entry, msOf(request.sentAt));
        if (end.how == connection_end::TimedOut) {
            report("LOST", request.endedAt, text + " was not answered in its time");
            return;
        }
        const auto openUntil =
                end.lastSeenOpenAt == time_point{} ? request.endedAt : end.lastSeenOpenAt;
        if (openUntil - request.sentAt <= m_limits.lossSlack) {
            ++m_counts.racedRequests;
            return;
        }
        report("LOST", openUntil,
               fmt::format("{}: its connection was {} after {} bytes of an answer", text,
                           end.how == connection_end::Reset ? "reset" : "closed", end.answerBytes));
    }

    void checkStatus(const request_history &request)
    {
        const auto status = request.status();
        const bool isUnknownJob = status == 404 && !request.isSubmission();
        if (isUnknownJob && request.isRead())
            return; // see checkShownState()
        if (status == 400 || status == 404 || status == 405 || status == 413 || status == 500) {
            report("ANSWER", request.endedAt,
                   fmt::format("{} {} got status {}", request.sent.method, request.sent.job,
                               status));
        }
    }

    void checkShownState(const request_history &read)
    {
        const auto found = m_history.jobs.find(read.sent.job);
        if (found == m_history.jobs.end() || !read.answer)
            return;
        const auto &job = found->second;
        const bool isCancelled = job.cancelSentAt <= read.endedAt;
        if (read.status() == 404 || read.status() == 410) {
            if (!isCancelled && job.isAccepted() && read.sentAt > job.acceptedAt + m_limits.visible)
                reportRead(read, "LOST", fmt::format("got {}", read.status()));
            return;
        }
        if (read.status() != 200)
            return;
        const auto state = stateIn(read.answer->body);
        if (state == "failed" && !mayHaveFailed(read.sent.job, read.endedAt))
            reportRead(read, "LOST", "is shown as failed without cause");
        if (state == "cancelled" && !isCancelled)
            reportRead(read, "LOST", "is shown as cancelled, which nobody asked for");
        if (state == "completed" && m_history.jobDoneAt(read.sent.job) > read.endedAt)
            reportRead(read, "MIXED", "is shown as completed before all tasks were done");
        if (state != "queued" && state != "running" && state != "completed" && state != "failed"
            && state != "cancelled")
            reportRead(read, "MIXED", "has no state that can be read");
    }

    // The first of the reads of a job that show the same.
    void reportRead(const request_history &read, const char *promise, const std::string &what)
    {
        if (!m_reportedReads.insert({read.sent.job, what}).second)
            return;
        const auto &job = m_history.jobs.at(read.sent.job);
        const auto accepted = job.isAccepted()
                                      ? fmt::format("accepted at {} ms", msOf(job.acceptedAt))
                                      : std::string("never accepted");
        report(promise, read.endedAt,
               fmt::format("job {}, {}, {} at {}", read.sent.job, accepted, what, read.sent.entry));
    }

    bool mayHaveFailed(const std::string &job, time_point at) const
    {
        return std::any_of(m_history.runs.begin(), m_history.runs.end(), [&](const auto &each) {
            const auto &task = each.first;
            return task.job == job && m_history.isOfKnownTask(task)
                   && m_history.failedRuns(task, at) >= m_limits.maxAttempts;
        });
    }

    // Runs.

    void checkWasAsked(const task_key &task, const std::vector<run_history> &runs)
    {
        const auto &job = m_history.jobs.at(task.job);
        if (runs.front().startedAt < job.firstSentAt)
            report("UNASKED", runs.front().startedAt, textOf(task) + " was started unasked");
        if (job.cancelAckedAt == Never)
            return;
        for (const auto &run : runs) {
            if (run.startedAt > job.cancelAckedAt + m_limits.cancelled
                && isCalm(job.cancelAckedAt, run.startedAt)) {
                report("UNASKED", run.startedAt,
                       fmt::format("run {} of {} was started on {}; the cancellation was "
                                   "acknowledged at {} ms",
                                   run.number, textOf(task), run.worker, msOf(job.cancelAckedAt)));
            }
        }
    }

    void checkOrder(const task_key &task, const std::vector<run_history> &runs)
    {
        const auto &job = m_history.jobs.at(task.job);
        const auto startedAt = runs.front().startedAt;
        const auto &step = job.shape.steps.at(static_cast<std::size_t>(task.step));
        for (const int earlier : step.after) {
            if (m_history.stepDoneAt(task.job, task.occurrence, earlier) > startedAt) {
                report("ORDER", startedAt,
                       fmt::format("{} was started before step {} was done", textOf(task),
                                   earlier));
            }
        }
        const auto dueAt = job.dueAt(task.occurrence);
        if (job.shape.isScheduled && startedAt < dueAt - m_limits.early) {
            report("ORDER", startedAt,
                   fmt::format("{} was started before its time, {} ms", textOf(task), msOf(dueAt)));
        }
    }

    void checkRunsOnce(const task_key &task, const std::vector<run_history> &runs)
    {
        const auto &job = m_history.jobs.at(task.job);
        const auto &step = job.shape.steps.at(static_cast<std::size_t>(task.step));
        if (step.isSpeculative)
            return;
        for (std::size_t later = 1; later < runs.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier)
                checkPair(task, runs[earlier], runs[later], step.isLongRunning);
        }
    }

    void checkPair(const task_key &task, const run_history &earlier, const run_history &later,
                   bool isLongRunning)
    {
        const auto text = fmt::format("run {} of {} was started on {}", later.number, textOf(task),
                                      later.worker);
        if (earlier.endedAt > later.startedAt) {
            report("TWICE", later.startedAt,
                   fmt::format("{} while run {} went on on {}, since {} ms", text, earlier.number,
                               earlier.worker, msOf(earlier.startedAt)));
        }
        const bool wasDone = earlier.isDone() && earlier.endedAt <= later.startedAt;
        if (wasDone && !isLongRunning && !mayBeForgotten(earlier, later.startedAt)) {
            report("TWICE", later.startedAt,
                   fmt::format("{}; run {} had been done on {} at {} ms", text, earlier.number,
                               earlier.worker, msOf(earlier.endedAt)));
        }
    }

    // Whether nobody need have learned of the end before its worker was gone or lost its lease.
    bool mayBeForgotten(const run_history &done, time_point startedAt) const
    {
        const auto isBetween = [&](time_point at) { return at >= done.endedAt && at <= startedAt; };
        const auto lapses = m_history.lapses.find(done.worker);
        const bool hasLapsed =
                lapses != m_history.lapses.end()
                && std::any_of(lapses->second.begin(), lapses->second.end(), isBetween);
        return hasLapsed
               || std::any_of(m_history.disturbances.begin(), m_history.disturbances.end(),
                              [&](const auto &each) {
                                  return each.kind == "worker_ended" && each.concerns(done.worker)
                                         && isBetween(each.from);
                              });
    }

    void checkGangIsComplete(const task_key &task, const std::vector<run_history> &runs)
    {
        const auto &job = m_history.jobs.at(task.job);
        for (const auto &run : runs) {
            if (run.how == "alone" && job.cancelSentAt > run.endedAt
                && isCalm(run.startedAt, run.endedAt)) {
                report("GANG", run.endedAt,
                       fmt::format("run {} of {} waited in vain for the others of its gang, since "
                                   "{} ms",
                                   run.number, textOf(task), msOf(run.startedAt)));
            }
        }
    }

    // Jobs.

    void checkWasNotRefused(const std::string &id, const job_history &job)
    {
        const bool isRefused =
                std::all_of(job.submissions.begin(), job.submissions.end(), [&](auto request) {
                    return m_history.requests.at(request).isRefused();
                });
        const auto firstRun = m_history.runs.lower_bound({id, 0, 0, 0});
        if (isRefused && firstRun != m_history.runs.end() && firstRun->first.job == id) {
            report("REFUSED", firstRun->second.front().startedAt,
                   fmt::format("{} was started; all requests for its job had been refused",
                               textOf(firstRun->first)));
        }
    }

    // Each long-running task runs again soon.
    void checkGoesOn(const std::string &id, const job_history &job)
    {
        if (!job.isAccepted())
            return;
        for (int step = 0; step < static_cast<int>(job.shape.steps.size()); ++step) {
            const auto &shape = job.shape.steps[static_cast<std::size_t>(step)];
            for (int index = 0; shape.isLongRunning && index < shape.count; ++index)
                checkTaskGoesOn({id, 0, step, index}, job);
        }
    }

    void checkTaskGoesOn(const task_key &task, const job_history &job)
    {
        std::vector<time_span> running;
        for (const auto &run : m_history.runsOf(task))
            running.push_back({run.startedAt, run.endedAt});
        const time_span due{job.acceptedAt, std::min(job.cancelSentAt, m_history.endsAt)};
        const auto longestCalm = longestCommon(due, m_calm);
        m_counts.longRunningTasks += longestCalm.until - longestCalm.from >= m_limits.restart;
        for (const auto &gap : uncovered(due, running)) {
            const auto standing = longestCommon(gap, m_calm);
            if (standing.until - standing.from < m_limits.restart)
                continue;
            report("LOST", standing.until,
                   fmt::format("long-running task {} does not run, since {} ms, in calm since {} "
                               "ms",
                               textOf(task), msOf(gap.from), msOf(standing.from)));
        }
    }

    // When the job has to be done at the latest; Never: a disturbance is not over.
    time_point finishBy(const job_history &job) const
    {
        auto from = std::max(job.acceptedAt, job.dueAt(job.shape.occurrences - 1));
        for (const auto &each : m_history.disturbances) {
            if (each.until == Never)
                return Never;
            from = std::max(from, each.until);
        }
        return from + m_limits.finish;
    }

    void checkFinishes(const std::string &id, const job_history &job)
    {
        if (!job.isAccepted() || job.isCancelled() || job.shape.isLongRunning())
            return;
        const auto limit = finishBy(job);
        if (limit > m_history.endsAt || mayHaveFailed(id, limit))
            return;
        ++m_counts.finishedJobs;
        const auto doneAt = m_history.jobDoneAt(id);
        if (doneAt > limit) {
            const auto done =
                    doneAt == Never ? std::string("never") : fmt::format("at {} ms", msOf(doneAt));
            report("LOST", limit,
                   fmt::format("job {}, accepted at {} ms, was not done in calm (but {})", id,
                               msOf(job.acceptedAt), done));
        }
    }

    // Stalls: a job has nothing running, in calm, while less than half of the service is in use.

    void checkStalls()
    {
        if (m_limits.capacity == 0)
            return;
        const auto roomy = roomyParts();
        for (const auto &[id, job] : m_history.jobs) {
            if (!job.isAccepted() || job.shape.isScheduled || job.shape.isLongRunning())
                continue;
            const auto end =
                    std::min({job.cancelSentAt, m_history.jobDoneAt(id), m_history.endsAt});
            for (const auto &gap : uncovered({job.acceptedAt, end}, spansOfRuns(id))) {
                const auto stall = longestCommon(gap, roomy);
                if (stall.until - stall.from < m_limits.stall || mayHaveFailed(id, stall.until))
                    continue;
                report("LOST", stall.until,
                       fmt::format("job {} has nothing running since {} ms, with room in calm "
                                   "since {} ms",
                                   id, msOf(gap.from), msOf(stall.from)));
            }
        }
    }

    std::vector<time_span> spansOfRuns(const std::string &job) const
    {
        std::vector<time_span> spans;
        for (auto each = m_history.runs.lower_bound({job, 0, 0, 0});
             each != m_history.runs.end() && each->first.job == job; ++each) {
            for (const auto &run : each->second)
                spans.push_back({run.startedAt, run.endedAt});
        }
        std::sort(spans.begin(), spans.end(),
                  [](const auto &one, const auto &other) { return one.from < other.from; });
        return spans;
    }

    // The calm parts in which less than half of the capacity is in use.
    std::vector<time_span> roomyParts() const
    {
        std::multimap<time_point, std::int64_t> changes; // of the millicores in use
        for (const auto &[task, runs] : m_history.runs) {
            if (!m_history.isOfKnownTask(task))
                continue;
            const auto &steps = m_history.jobs.at(task.job).shape.steps;
            const auto millicores = steps[static_cast<std::size_t>(task.step)].millicores;
            for (const auto &run : runs) {
                changes.emplace(run.startedAt, millicores);
                changes.emplace(run.endedAt, -millicores);
            }
        }
        std::vector<time_span> busy;
        std::int64_t inUse = 0;
        for (auto each = changes.begin(); each != changes.end(); ++each) {
            inUse += each->second;
            const auto next = std::next(each);
            if (inUse * 2 >= m_limits.capacity)
                busy.push_back({each->first, next == changes.end() ? Never : next->first});
        }
        std::vector<time_span> parts;
        for (const auto &calm : m_calm) {
            for (const auto &part : uncovered(calm, busy))
                parts.push_back(part);
        }
        return parts;
    }

    soak_history m_history;
    promise_limits m_limits;
    std::vector<time_span> m_calm; // without any disturbance, in order
    std::set<std::pair<std::string, std::string>> m_reportedReads; // job, what is wrong
    std::vector<std::string> m_broken;
    judged_counts m_counts;
};

} // namespace

judged_counts countJudged(const std::vector<timeline_item> &items, const promise_limits &limits)
{
    promise_check check(items, limits);
    check.run();
    return check.counts();
}

std::vector<std::string> brokenPromises(const std::vector<timeline_item> &items,
                                        const promise_limits &limits)
{
    return promise_check(items, limits).run();
}

} // namespace zinniabarrow::soak
