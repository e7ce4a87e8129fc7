// Prints from the logs of entries, one file a run, which share of their time long-running tasks had
// no worker, and why: a table with one row a file, and below it the sizes that waited; then by
// queue what completed jobs waited for, which orders were refused and what followed failed runs.
#include <algorithm>
#include <cstdio>
#include <fstream>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "course_summary.h"
#include "waiting_summary.h"

using namespace zinniabarrow;

namespace {

constexpr int ExitFailed = 1;

std::vector<wait_cause> allCauses()
{
    std::vector<wait_cause> causes;
    for (int number = 0; number < WaitCauseCount; ++number)
        causes.push_back(static_cast<wait_cause>(number));
    return causes;
}

struct file_summary
{
    waiting_summary waiting;
    course_summary courses;
};

std::optional<file_summary> readFile(const std::string &path, std::int64_t fromMs,
                                     std::int64_t untilMs)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    file_summary summary{waiting_summary(fromMs, untilMs), {}};
    for (std::string line; std::getline(file, line);) {
        summary.waiting.addLine(line);
        summary.courses.addLine(line);
    }
    return summary;
}

double percentOf(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

void printHeader()
{
    fmt::print("| file | task-seconds due | without a worker, % |");
    for (const auto cause : allCauses())
        fmt::print(" {} |", nameOf(cause));
    fmt::print(" scattered, own move helps | not told |\n|---|---|---|");
    for (int number = 0; number < WaitCauseCount + 2; ++number)
        fmt::print("---|");
    fmt::print("\n");
}

void printRow(const std::string &path, const waiting_summary &summary)
{
    const auto due = summary.dueSeconds();
    fmt::print("| {} | {:.0f} | {:.2f} |", path, due, percentOf(summary.unplacedSeconds(), due));
    double told = 0;
    for (const auto cause : allCauses()) {
        told += summary.secondsFor(cause);
        fmt::print(" {:.2f} |", percentOf(summary.secondsFor(cause), due));
    }
    fmt::print(" {:.2f} | {:.2f} |\n",
               percentOf(summary.movableSecondsFor(wait_cause::ScatteredGaps), due),
               percentOf(summary.unplacedSeconds() - told, due));
}

void printSizes(const std::string &path, const waiting_summary &summary)
{
    for (const auto cause : allCauses()) {
        for (const auto &[size, total] : summary.waitsFor(cause)) {
            fmt::print("{}: {}: {} millicores, {:.1f} task-seconds ({:.1f} with a move), largest "
                       "gap {}\n",
                       path, nameOf(cause), size, total.taskSeconds, total.movableSeconds,
                       total.freeMost);
        }
    }
    for (const auto &line : summary.suspectLines())
        fmt::print("{}: {}\n", path, line);
    if (summary.droppedLines() > 0)
        fmt::print("{}: lines were dropped {} times\n", path, summary.droppedLines());
}

std::vector<double> toDoubles(const std::vector<std::int64_t> &values)
{
    return {values.begin(), values.end()};
}

void printCourse(const std::string &path, const std::string &name, const queue_course &queue)
{
    fmt::print("{}: {}: {} jobs, {} late: {} first placed without slack, {} others waited over 300 "
               "ms, {} had failed runs ({} of all); {:.0f} s estimated, {:.0f} s waited, {:.0f} s "
               "ran; length median {:.2f}, 90 % {:.2f}\n",
               path, name, queue.jobs, queue.late, queue.lateFirstPlaced, queue.lateWaited,
               queue.lateFailed, queue.failed, static_cast<double>(queue.estimateMs) / 1000,
               static_cast<double>(queue.waitedMs) / 1000, static_cast<double>(queue.ranMs) / 1000,
               quantileOf(queue.lengths, 0.5), quantileOf(queue.lengths, 0.9));
    for (const auto &[cause, ms] : queue.overrunMs)
        fmt::print("{}: {}: over the estimates: {} {:.1f} s\n", path, name, cause,
                   static_cast<double>(ms) / 1000);
    for (const auto &[reason, seconds] : queue.unplacedSeconds)
        fmt::print("{}: {}: unplaced: {} {:.1f} task-seconds\n", path, name, reason, seconds);
    for (const auto &[outcome, orders] : queue.refusedOrders)
        fmt::print("{}: {}: orders refused: {} {}\n", path, name, outcome, orders);
    fmt::print("{}: {}: {} runs of completed jobs; orders refused again {}; {} runs failed, {} of "
               "tasks that had failed before, {} of these on another worker; {} never started\n",
               path, name, queue.runs, queue.refusedAgain, queue.failedRuns, queue.failedAgain,
               queue.failedElsewhere, queue.neverStarted);
    if (queue.placedMs.empty())
        return;
    fmt::print("{}: {}: after a failure was known, ms, median and 90 %: placed {:.0f} {:.0f}, "
               "accepted {:.0f} {:.0f}\n",
               path, name, quantileOf(toDoubles(queue.placedMs), 0.5),
               quantileOf(toDoubles(queue.placedMs), 0.9),
               quantileOf(toDoubles(queue.acceptedMs), 0.5),
               quantileOf(toDoubles(queue.acceptedMs), 0.9));
}

void printCourses(const std::string &path, const course_summary &courses)
{
    for (const auto &[name, queue] : courses.queues())
        printCourse(path, name, queue);
    int failures = 0;
    int most = 0;
    for (const auto &[worker, failed] : courses.failuresByWorker()) {
        failures += failed;
        most = std::max(most, failed);
    }
    fmt::print("{}: {} runs failed on {} workers, {} on one at most; {} quarantines\n", path,
               failures, courses.failuresByWorker().size(), most, courses.quarantines());
}

int printReport(const std::vector<std::string> &paths, std::int64_t fromMs, std::int64_t untilMs)
{
    std::vector<std::pair<std::string, file_summary>> summaries;
    for (const auto &path : paths) {
        auto summary = readFile(path, fromMs, untilMs);
        if (!summary) {
            fmt::print(stderr, "{} cannot be read\n", path);
            return ExitFailed;
        }
        summaries.emplace_back(path, std::move(*summary));
    }
    printHeader();
    for (const auto &[path, summary] : summaries)
        printRow(path, summary.waiting);
    fmt::print("\n");
    for (const auto &[path, summary] : summaries)
        printSizes(path, summary.waiting);
    for (const auto &[path, summary] : summaries)
        printCourses(path, summary.courses);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Why long-running tasks had no worker, by the logs of entries");
    TCLAP::ValueArg<std::int64_t> from("", "from-ms", "counts from then on, after the first line",
                                       false, 0, "ms", command);
    TCLAP::ValueArg<std::int64_t> until("", "until-ms", "counts until then", false,
                                        std::int64_t{1} << 60, "ms", command);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "logs, one file a run", true, "FILE",
                                                command);
    command.parse(argc, argv);
    return printReport(files.getValue(), from.getValue(), until.getValue());
}
