// Prints from the logs of entries, one file a run, which share of their time long-running tasks had
// no worker, and why: a table with one row a file, and below it the sizes that waited.
#include <cstdio>
#include <fstream>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

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

std::optional<waiting_summary> readFile(const std::string &path, std::int64_t fromMs,
                                        std::int64_t untilMs)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    waiting_summary summary(fromMs, untilMs);
    for (std::string line; std::getline(file, line);)
        summary.addLine(line);
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

int printReport(const std::vector<std::string> &paths, std::int64_t fromMs, std::int64_t untilMs)
{
    std::vector<std::pair<std::string, waiting_summary>> summaries;
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
        printRow(path, summary);
    fmt::print("\n");
    for (const auto &[path, summary] : summaries)
        printSizes(path, summary);
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
