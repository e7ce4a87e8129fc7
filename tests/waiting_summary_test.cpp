// Tests the summary of why long-running tasks had no worker.
#include <string>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "section.h"
#include "waiting_summary.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

std::string unplaced(const std::string &start, const std::string &workers, int sum, int most,
                     int moves = 0)
{
    return fmt::format("{}: {} with room beside long-running runs; 7900 millicores asked for, free "
                       "beside long-running runs {} in sum, {} at most; {} owned runs could make "
                       "room by a move",
                       start, workers, sum, most, moves);
}

std::string logLine(int timeMs, const std::string &event, const std::string &detail)
{
    return fmt::format(
            R"(  1.2 e1 {{"time_ms":{},"id":"e1","event":"{}","job":"j1","detail":"{}"}})", timeMs,
            event, detail);
}

bool isNear(double value, double expected)
{
    return value > expected - 0.001 && value < expected + 0.001;
}

wait_cause causeOf(const std::string &workers, int sum, int most)
{
    const auto wait = readUnplacedLine(
            unplaced("3 long-running tasks of step 0.0 unplaced for 2005 ms", workers, sum, most));
    require(wait.has_value());
    return wait->cause;
}

} // namespace

// Guards against a cure for the wrong cause: a move of runs helps only where the free processors
// are scattered, and a worker that fits is a fault of the placement.
Test(waiting_summary, the_cause_follows_from_the_line)
{
    section("gaps", [] {
        check(causeOf("11 no_processors, 0", 7850, 7600) == wait_cause::SumTooSmall);
        check(causeOf("11 no_processors, 0", 35'950, 7600) == wait_cause::ScatteredGaps);
    });
    section("neither", [] {
        check(causeOf("11 no_memory, 0", 35'950, 8000) == wait_cause::Other);
        check(causeOf("11 silent, 0", 0, 0) == wait_cause::Other);
    });
    section("what comes before them", [] {
        check(causeOf("1 fit, 10 no_processors, 0", 35'950, 7600) == wait_cause::RoomNotTaken);
        check(causeOf("11 no_processors, 2", 35'950, 9000) == wait_cause::RunsThatEnd);
        check(causeOf("2 avoided, 9 no_processors, 0", 35'950, 7600) == wait_cause::KeptApart);
    });
    section("not of tasks that end",
            [] { check(!readUnplacedLine("3 tasks of step 0.1 unplaced for 6005 ms: 3 full")); });
}

// Guards against shares of the wrong whole: time before and after the counted part, and the pause
// between two waits of a step, in which its tasks ran.
Test(waiting_summary, seconds_are_counted_by_task)
{
    waiting_summary summary(10'000, 16'000);
    const auto wait = [](int tasks, int waitedMs, int moves) {
        const auto start = fmt::format("{} long-running tasks of step 0.0 unplaced for {} ms",
                                       tasks, waitedMs);
        return unplaced(start, "11 no_processors, 0", 35'950, 7600, moves);
    };
    summary.addLine(logLine(1000, "started", ""));
    summary.addLine(logLine(10'000, "long_running_tasks", "5 due, 5 placed, 30 millicores"));
    summary.addLine(logLine(12'000, "long_running_tasks", "5 due, 2 placed, 30 millicores"));
    summary.addLine(logLine(12'000, "tasks_unplaced", wait(3, 5000, 1)));
    summary.addLine(logLine(14'000, "long_running_tasks", "5 due, 4 placed, 30 millicores"));
    summary.addLine(logLine(16'000, "tasks_unplaced", wait(1, 2500, 0)));
    summary.addLine(logLine(18'000, "long_running_tasks", "5 due, 4 placed, 30 millicores"));
    section("one second of five tasks, two, and one that lies within the end", [&] {
        check(isNear(summary.dueSeconds(), 5 * 1 + 5 * 2 + 5 * 1.5));
        check(isNear(summary.unplacedSeconds(), 3 * 1 + 1 * 2 + 1 * 1.5));
    });
    section("by cause, and how long a move would have helped", [&] {
        check(isNear(summary.secondsFor(wait_cause::ScatteredGaps), 3 * 1 + 1 * 2.5));
        check(isNear(summary.movableSecondsFor(wait_cause::ScatteredGaps), 3 * 1));
        check(summary.secondsFor(wait_cause::SumTooSmall) == 0);
    });
    section("by size", [&] {
        const auto &waits = summary.waitsFor(wait_cause::ScatteredGaps);
        require(waits.size() == 1);
        check(waits.begin()->first == 7900);
        check(waits.begin()->second.freeMost == 7600);
    });
}
