// Tests the log lines about long-running jobs that are underserved.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "saturated_workers.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

// Guards against operators who see that callers of one service get less than others, but cannot
// tell whether its tasks wait for free capacity, which resource is short and what occupies it, or
// whether they are late where they run.
Test(underserved_jobs, the_log_says_what_a_job_lacks)
{
    const auto linesOf = [](const saturated_workers &workers, const std::string &event,
                            const std::string &job) {
        std::vector<std::string> lines;
        for (const auto &line : workers.simulation.logEvents()) {
            if (line.event == event && line.job == job)
                lines.push_back(line.detail);
        }
        return lines;
    };
    saturated_workers workers;
    section("no line about a job that is served in full", [&] {
        workers.advanceUnderLoad(seconds(3));
        const auto before = linesOf(workers, "job_underserved", "small-services").size();
        workers.advanceUnderLoad(seconds(5));
        check(linesOf(workers, "job_underserved", "small-services").size() == before);
    });
    workers.simulation.submit(0, "too-large", longRunningStep(2, 7 * Cores));
    workers.advanceUnderLoad(seconds(10));
    section("tasks without a worker, every two seconds", [&] {
        const auto lines = linesOf(workers, "job_underserved", "too-large");
        check(lines.size() >= 4 && lines.size() <= 5);
        require(!lines.empty());
        check(lines.back()
              == "2 long-running tasks, 0 placed, 0 of 0 with a latency target running, 0 late; "
                 "7000 millicores each, image ''");
    });
    section("the short resource, and that no worker would have room without its short tasks", [&] {
        const auto lines = linesOf(workers, "tasks_unplaced", "too-large");
        require(!lines.empty());
        check(lines.back().ends_with(
                ": 8 no_processors, 0 with room beside long-running runs; 7000 "
                "millicores asked for, free beside long-running runs 48000 in "
                "sum, 6000 at most; 0 owned runs could make room by a move"));
        check(lines.back().starts_with("2 long-running tasks of step 0.0 unplaced for "));
    });
    section("of how many long-running tasks", [&] {
        const auto lines = linesOf(workers, "long_running_tasks", "");
        require(!lines.empty());
        check(lines.back() == "34 due, 32 placed, 94000 millicores asked for");
    });
}

// Guards against operators who see scattered free processors and add a worker, though one
// long-running run of the same entry could move and make room.
Test(underserved_jobs, the_log_counts_runs_whose_move_would_make_room)
{
    // A worker of 16 cores with runs of 6 and of 4, and one of 9 cores that comes later.
    const auto lastLineWith = [](int smallTasks) {
        placement_simulation simulation(1);
        simulation.addWorker({16 * Cores, 64'000, 0});
        simulation.advance(seconds(1));
        simulation.submit(0, "large", longRunningStep(1, 6 * Cores));
        auto small = longRunningStep(smallTasks, 4 * Cores);
        small.maxPerWorker = 1;
        simulation.submit(0, "small", small);
        simulation.advance(seconds(2));
        simulation.addWorker({9 * Cores, 64'000, 0});
        simulation.advance(seconds(2));
        simulation.submit(0, "too-large", longRunningStep(1, 10 * Cores));
        simulation.advance(seconds(5));
        std::string last;
        for (const auto &line : simulation.logEvents()) {
            if (line.event == "tasks_unplaced" && line.job == "too-large")
                last = line.detail;
        }
        return last;
    };
    section("each run that fits on the other worker", [&] {
        check(lastLineWith(1).ends_with("free beside long-running runs 15000 in sum, 9000 at most; "
                                        "2 owned runs could make room by a move"));
    });
    section("none where another run of its job is on the other worker", [&] {
        check(lastLineWith(2).ends_with("free beside long-running runs 11000 in sum, 6000 at most; "
                                        "0 owned runs could make room by a move"));
    });
}
