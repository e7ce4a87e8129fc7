// Tests what is logged of the runs of completed jobs, and the summary of these lines.
#include "jobs/run_course.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "course_summary.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds(ms);
}

task_id task(int step, int index)
{
    return {"j", 0, step, index};
}

std::string logLine(int timeMs, const std::string &event, const std::string &detail)
{
    return fmt::format(
            R"(  1.2 e1 {{"time_ms":{},"id":"e1","event":"{}","job":"j1","detail":"{}"}})", timeMs,
            event, detail);
}

} // namespace

// Guards against late jobs of which nobody can tell whether failed runs, refused orders, waits or
// the runs themselves made them late.
Test(run_course, the_last_task_of_a_step_names_the_cause_of_its_overrun)
{
    section("a failed run, and how soon the next one followed", [] {
        run_course course;
        course.stepReady(0, 0, at(0));
        course.placed(task(0, 0), at(0));
        check(!course.accepted(task(0, 0), at(20)));
        course.failed(task(0, 0), "w1", at(100));
        course.placed(task(0, 0), at(110));
        const auto followed = course.accepted(task(0, 0), at(150));
        require(followed.has_value());
        check(followed->failedOn == "w1");
        check(followed->placed == milliseconds(10));
        check(followed->accepted == milliseconds(50));
        course.stepDone(task(0, 0), 500, at(800));
        check(course.summary()
              == "2 runs, 0 refused, 1 failed; accepted 30 ms after placement, 40 ms at most; over "
                 "the estimates failed_run 300 ms refused_order 0 ms waited 0 ms long_run 0 ms");
    });
    section("a refused order, a wait and a long run", [] {
        run_course course;
        for (int step = 0; step < 3; ++step)
            course.stepReady(0, step, at(0));
        course.placed(task(0, 0), at(0));
        course.refused(task(0, 0));
        course.placed(task(0, 0), at(10));
        course.placed(task(1, 0), at(301));
        course.placed(task(2, 0), at(299));
        for (int step = 0; step < 3; ++step)
            course.stepDone(task(step, 0), 100, at(400 + step));
        check(course.summary().ends_with(
                "failed_run 0 ms refused_order 300 ms waited 301 ms long_run 302 ms"));
    });
}

// Guards against figures that mix the kinds of jobs: one queue's jobs wait, another's fail.
Test(course_summary, lines_are_summed_up_by_queue)
{
    course_summary summary;
    summary.addLine(R"(1.2 e1 {"time_ms":1,"event":"job_submitted","job":"j1","queue":"q"})");
    for (const std::string worker : {"w1", "w2", "w2"})
        summary.addLine(logLine(5, "run_ended", "j1.0.0.1 run 1 on " + worker + ": failed"));
    summary.addLine(logLine(6, "order_refused", "j1.0.0.1 run 2 on w3: no_room"));
    summary.addLine(logLine(7, "order_refused", "j1.0.0.1 run 3 on w4: no_room"));
    summary.addLine(logLine(8, "failure_followed",
                            "j1.0.0.1 run 4 on w5 after a failed run on w2: placed 7 ms after it "
                            "was known, accepted 30 ms after it"));
    summary.addLine(logLine(2000, "tasks_unplaced",
                            "3 tasks of step 0.0 unplaced for 2000 ms: 4 full, 9 makes_late, 0 "
                            "with room beside long-running runs"));
    summary.addLine(logLine(9, "job_course",
                            "late by 700 ms; first placed after 50 ms with 10 ms of slack, "
                            "completed 1900 ms later; critical path estimated at 950 ms, 400 ms "
                            "with unplaced tasks"));
    summary.addLine(logLine(9, "job_runs",
                            "35 runs, 2 refused, 1 failed; accepted 30 ms after placement, 40 ms "
                            "at most; over the estimates failed_run 300 ms waited 5 ms"));
    const auto &queue = summary.queues().at("q");
    section("lateness and its circumstances", [&] {
        check(queue.jobs == 1 && queue.late == 1 && queue.lateWaited == 1);
        check(queue.lateFailed == 1 && queue.lateFirstPlaced == 0);
        check(queue.waitedMs == 450 && queue.ranMs == 1500);
        check(quantileOf(queue.lengths, 0.5) == 2);
        check(queue.runs == 35 && queue.overrunMs.at("failed_run") == 300);
    });
    section("refused orders, failed runs and waits", [&] {
        check(queue.refusedOrders.at("no_room") == 2 && queue.refusedAgain == 1);
        check(queue.failedRuns == 3 && queue.failedAgain == 2 && queue.failedElsewhere == 1);
        check(queue.placedMs == std::vector<std::int64_t>{7});
        check(queue.unplacedSeconds.at("makes_late") == 6);
        check(summary.failuresByWorker().at("w2") == 2);
    });
}
