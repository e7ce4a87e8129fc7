#include "course_summary.h"

#include <algorithm>
#include <regex>

#include "base/json.h"

namespace zinniabarrow {

namespace {

constexpr std::int64_t NotableWaitMs = 300;
// Entries write the lines about unplaced tasks this often.
constexpr std::int64_t MaxUnplacedPauseMs = 2500;

std::optional<std::smatch> match(const std::string &text, const std::regex &pattern)
{
    std::smatch found;
    return std::regex_search(text, found, pattern) ? std::optional(found) : std::nullopt;
}

// "job.0.1.17 run 2 on w4: failed"
struct run_line
{
    std::string task;
    std::string worker;
    std::string outcome;
};

std::optional<run_line> readRunLine(const std::string &detail)
{
    static const std::regex pattern(R"(^(\S+) run \d+ on (\S+): (\w+))");
    const auto found = match(detail, pattern);
    if (!found)
        return std::nullopt;
    return run_line{(*found)[1], (*found)[2], (*found)[3]};
}

// The reason that most workers have, of those that are no matter of the worker's service.
std::string commonestReason(const std::string &detail)
{
    static const std::regex pattern(R"((\d+) ([a-z_]+), )");
    std::string commonest = "unknown";
    int most = 0;
    for (std::sregex_iterator found(detail.begin(), detail.end(), pattern), end; found != end;
         ++found) {
        const int workers = std::stoi((*found)[1]);
        if (workers > most)
            commonest = (*found)[2];
        most = std::max(most, workers);
    }
    return commonest;
}

} // namespace

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

std::optional<course_line> readCourseLine(const std::string &detail)
{
    static const std::regex pattern(
            R"(^(late|on time) by \d+ ms; first placed after (-?\d+) ms with (-?\d+) ms of slack, )"
            R"(completed (-?\d+) ms later; critical path estimated at (\d+) ms, (\d+) ms with)");
    const auto found = match(detail, pattern);
    if (!found)
        return std::nullopt;
    course_line course;
    course.isLate = (*found)[1] == "late";
    course.firstPlacedMs = std::stoll((*found)[2]);
    course.slackMs = std::stoll((*found)[3]);
    course.restMs = std::stoll((*found)[4]);
    course.estimateMs = std::stoll((*found)[5]);
    course.unplacedMs = std::stoll((*found)[6]);
    return course;
}

queue_course &course_summary::queueOf(const std::string &job)
{
    const auto found = m_queueByJob.find(job);
    return m_queues[found == m_queueByJob.end() ? "unknown" : found->second];
}

void course_summary::addLine(const std::string &line)
{
    const auto start = line.find('{');
    if (start == std::string::npos)
        return;
    const auto fields = parseJsonObject(std::string_view(line).substr(start));
    const auto event = fields["event"].asString();
    const auto job = fields["job"].asString();
    const auto detail = fields["detail"].asString();
    if (event == "job_submitted")
        m_queueByJob[job] = fields["queue"].asString();
    else if (event == "job_course")
        addCourse(job, detail);
    else if (event == "job_runs")
        addRuns(job, detail);
    else if (event == "order_refused")
        addRefusal(job, detail);
    else if (event == "run_ended")
        addEnd(job, detail);
    else if (event == "failure_followed")
        addFollowed(job, detail);
    else if (event == "worker_quarantined")
        ++m_quarantines;
    else if (event == "tasks_unplaced")
        addUnplaced(fields["id"].asString(), job, detail, fields["time_ms"].asInt64());
}

void course_summary::addCourse(const std::string &job, const std::string &detail)
{
    const auto course = readCourseLine(detail);
    if (!course)
        return;
    auto &queue = queueOf(job);
    const bool hasFailures = m_jobsWithFailures[job];
    ++queue.jobs;
    queue.failed += hasFailures ? 1 : 0;
    queue.estimateMs += course->estimateMs;
    const auto waitedLater = std::min(course->unplacedMs, course->restMs);
    queue.waitedMs += course->firstPlacedMs + waitedLater;
    queue.ranMs += course->restMs - waitedLater;
    if (course->estimateMs > 0)
        queue.lengths.push_back(static_cast<double>(course->restMs)
                                / static_cast<double>(course->estimateMs));
    if (!course->isLate)
        return;
    ++queue.late;
    queue.lateFailed += hasFailures ? 1 : 0;
    if (course->slackMs < 0)
        ++queue.lateFirstPlaced;
    else if (course->unplacedMs > NotableWaitMs)
        ++queue.lateWaited;
}

void course_summary::addRuns(const std::string &job, const std::string &detail)
{
    static const std::regex runs(R"(^(\d+) runs)");
    static const std::regex causes(R"((\w+) (\d+) ms)");
    const auto found = match(detail, runs);
    if (!found)
        return;
    auto &queue = queueOf(job);
    queue.runs += std::stoll((*found)[1]);
    const auto overrun = detail.substr(std::min(detail.size(), detail.find("over the estimates")));
    for (std::sregex_iterator cause(overrun.begin(), overrun.end(), causes), end; cause != end;
         ++cause)
        queue.overrunMs[(*cause)[1]] += std::stoll((*cause)[2]);
}

void course_summary::addRefusal(const std::string &job, const std::string &detail)
{
    const auto run = readRunLine(detail);
    if (!run)
        return;
    auto &queue = queueOf(job);
    ++queue.refusedOrders[run->outcome];
    queue.refusedAgain += m_refusedTasks.contains(run->task) ? 1 : 0;
    m_refusedTasks[run->task] = run->worker;
}

void course_summary::addEnd(const std::string &job, const std::string &detail)
{
    const auto run = readRunLine(detail);
    if (!run)
        return;
    auto &queue = queueOf(job);
    queue.neverStarted += run->outcome == "never_started" ? 1 : 0;
    if (run->outcome != "failed")
        return;
    ++queue.failedRuns;
    ++m_failuresByWorker[run->worker];
    m_jobsWithFailures[job] = true;
    const auto before = m_failedTasks.find(run->task);
    if (before != m_failedTasks.end()) {
        ++queue.failedAgain;
        queue.failedElsewhere += before->second != run->worker ? 1 : 0;
    }
    m_failedTasks[run->task] = run->worker;
}

void course_summary::addFollowed(const std::string &job, const std::string &detail)
{
    static const std::regex pattern(R"(placed (\d+) ms after it was known, accepted (\d+) ms)");
    const auto found = match(detail, pattern);
    if (!found)
        return;
    auto &queue = queueOf(job);
    queue.placedMs.push_back(std::stoll((*found)[1]));
    queue.acceptedMs.push_back(std::stoll((*found)[2]));
}

void course_summary::addUnplaced(const std::string &entry, const std::string &job,
                                 const std::string &detail, std::int64_t atMs)
{
    static const std::regex pattern(
            R"(^(\d+) (?:long-running )?tasks of step (\S+) unplaced for (\d+))");
    const auto found = match(detail, pattern);
    if (!found)
        return;
    auto &lastAtMs = m_unplacedAtMs[entry + " " + job + " " + (*found)[2].str()];
    const auto waitedMs =
            std::min<std::int64_t>({std::stoll((*found)[3]), MaxUnplacedPauseMs, atMs - lastAtMs});
    lastAtMs = atMs;
    queueOf(job).unplacedSeconds[commonestReason(detail)] +=
            std::stod((*found)[1]) * static_cast<double>(waitedMs) / 1000;
}

} // namespace zinniabarrow
