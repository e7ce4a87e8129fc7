// Tests worker_pool: the choice of the worker for a task when best-effort runs interfere with
// serving runs, and what the pool takes from reports.
#include <criterion/criterion.h>

#include "base/json.h"
#include "base/json_member.h"
#include "section.h"
#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

constexpr std::int64_t AgentIncarnation = 8;

const time_point Now{std::chrono::hours(1)};

step_spec servingStep(const std::string &image, int count)
{
    step_spec step;
    step.count = count;
    step.size = {3 * MillicoresPerCore, 6000, 0};
    step.isLongRunning = true;
    step.image = image;
    step.latencyTargetMs = 150;
    return step;
}

step_spec bestEffortStep(const std::string &image)
{
    step_spec step;
    step.size = {2 * MillicoresPerCore, 3000, 0};
    step.isBestEffort = true;
    step.image = image;
    step.estimateMs = 2000;
    return step;
}

std::string chooseAndReserve(worker_pool &pool, const step_spec &step, int waitingTasks = 1)
{
    const auto worker = pool.chooseWorker("tickets", step, {}, Now, {waitingTasks, true});
    if (!worker)
        return "none";
    pool.reserve(*worker, step);
    return *worker;
}

} // namespace

// Guards against a long-running task that waits beside free capacity: the worker is quarantined for
// a single failure, as failures of long ago still count.
Test(worker_pool, one_failure_long_after_others_quarantines_no_worker)
{
    worker_pool pool;
    const auto step = servingStep("site", 1);
    const auto fail = [&](time_point now) {
        pool.update(acceptingReport("w1"), now);
        pool.recordRunEnd("w1", end_kind::Failed, 0, now);
    };
    for (int run = 0; run < 4; ++run)
        fail(Now);
    section("failures in a row quarantine it",
            [&] { check(!pool.chooseWorker("tickets", step, {}, Now + seconds(1), {})); });
    const auto later = Now + std::chrono::minutes(10);
    fail(later);
    section("one failure much later does not",
            [&] { check(pool.chooseWorker("tickets", step, {}, later, {}) == "w1"); });
}

// Guards against placing a task again and again by a delayed report of an agent's previous
// incarnation: the agent refuses each of these placements.
Test(worker_pool, a_report_of_an_earlier_agent_incarnation)
{
    worker_pool workers;
    const time_point now{std::chrono::hours(1)};
    worker_report report;
    report.worker = "w1";
    report.epoch = 3;
    report.agentIncarnation = 8;
    check(workers.update(report, now));
    auto earlierReport = report;
    earlierReport.agentIncarnation = 7;
    earlierReport.isAccepting = true;
    check(!workers.update(earlierReport, now));
    check(workers.find("w1")->lastReport.agentIncarnation == 8);
    check(!workers.find("w1")->lastReport.isAccepting);
    section("a report of an agent that has no fence yet counts", [&] {
        earlierReport.agentIncarnation = 0;
        check(workers.update(earlierReport, now));
    });
}

// Guards against running a task again after it is done, by a start order that is valid for too long
// on the agent's clock.
Test(worker_pool, start_order_deadline)
{
    constexpr std::int64_t ClockMs = 50'000;
    constexpr std::int64_t OrderValidityMs = 700;
    worker_pool workers;
    auto report = acceptingReport("w1");
    report.agentIncarnation = AgentIncarnation;
    const auto receiveReport = [&](std::int64_t clockMs, milliseconds after) {
        report.clockMs = clockMs;
        workers.update(report, Now + after);
    };
    const auto deadlineAfter = [&](milliseconds after,
                                   std::int64_t incarnation = AgentIncarnation) {
        return workers.startDeadlineFor("w1", incarnation, Now + after);
    };
    section("no deadline for an agent that does not report its clock", [&] {
        check(deadlineAfter({}) == 0);
        receiveReport(0, {});
        check(deadlineAfter({}) == 0);
    });
    section("counted from the clock reading, as if the report had taken no time", [&] {
        receiveReport(ClockMs, {});
        check(deadlineAfter({}) == ClockMs + OrderValidityMs);
    });
    section("extrapolated at the slowest rate that clock drift allows", [&] {
        check(deadlineAfter(milliseconds(500)) == ClockMs + 500 - 20 + OrderValidityMs);
        check(deadlineAfter(milliseconds(1000)) == ClockMs + 1000 - 40 + OrderValidityMs);
    });
    section("a delayed report does not set the clock back", [&] {
        receiveReport(ClockMs + 200, milliseconds(1000));
        check(deadlineAfter(milliseconds(1000)) == ClockMs + 1000 - 40 + OrderValidityMs);
    });
    section("a prompt report sets the clock forward", [&] {
        receiveReport(ClockMs + 2000, milliseconds(2000));
        check(deadlineAfter(milliseconds(2000)) == ClockMs + 2000 + OrderValidityMs);
    });
    section("each incarnation has its own clock", [&] {
        report.agentIncarnation = AgentIncarnation + 1;
        receiveReport(900, milliseconds(3000));
        check(deadlineAfter(milliseconds(3000), AgentIncarnation + 1) == 900 + OrderValidityMs);
        check(deadlineAfter(milliseconds(3000), AgentIncarnation) == 900 + OrderValidityMs);
    });
    section("a task of an incarnation that has not reported yet is claimed, not started", [&] {
        const auto deadline = deadlineAfter(milliseconds(3000), AgentIncarnation + 2);
        check(deadline > 0 && deadline < 900);
    });
}

// Guards against spreading the serving tasks of a service over all workers, where every best-effort
// run makes one of them late, and with it the users of the service. When they are packed onto one
// worker, best-effort runs go elsewhere.
Test(worker_pool, serving_tasks_are_packed)
{
    worker_pool pool;
    for (const char *name : {"w1", "w2", "w3", "w4"})
        pool.update(acceptingReport(name), Now);
    const auto first = servingStep("site", 4);
    const auto firstWorker = chooseAndReserve(pool, first, 4);
    section("a job's tasks are on one worker", [&] {
        for (int remaining = 3; remaining > 0; --remaining)
            check(chooseAndReserve(pool, first, remaining) == firstWorker);
    });
    section("a job that does not fit beside them goes to another worker", [&] {
        const auto second = servingStep("shop", 5);
        const auto other = chooseAndReserve(pool, second, 5);
        check(other != firstWorker);
        for (int remaining = 4; remaining > 0; --remaining)
            check(chooseAndReserve(pool, second, remaining) == other);
    });
    section("a task that fits beside others of its image joins them",
            [&] { check(chooseAndReserve(pool, servingStep("site", 1)) == firstWorker); });
}

// Guards against late answers for seconds because a batch job was placed beside a service with
// which it is known to interfere, and against a batch job that waits although another worker could
// take it.
Test(worker_pool, best_effort_tasks_avoid_harmful_placements)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    trainInterference(pool, "site", "light", 0.0);
    auto busy = acceptingReport("busy");
    busy.used = {12 * MillicoresPerCore, 24'000, 0};
    busy.serving = {{"site", 0.1}, {"site", 0.1}};
    pool.update(busy, Now);
    section("a harmful task waits while there is no other worker",
            [&] { check(chooseAndReserve(pool, bestEffortStep("heavy")) == "none"); });
    section("a harmless task does not wait",
            [&] { check(chooseAndReserve(pool, bestEffortStep("light")) == "busy"); });
    section("a harmful task goes where the headroom is enough for it", [&] {
        auto calm = busy;
        calm.worker = "calm";
        calm.serving = {{"site", 0.5}, {"site", 0.5}};
        pool.update(calm, Now);
        check(chooseAndReserve(pool, bestEffortStep("heavy")) == "calm");
    });
    section("a run that is late already is not kept late", [&] {
        auto late = busy;
        late.worker = "late";
        late.serving = {{"site", -0.5}};
        late.bestEffortDemand = {{"heavy", 8}};
        worker_pool other;
        trainInterference(other, "site", "heavy", 0.06);
        other.update(late, Now);
        check(chooseAndReserve(other, bestEffortStep("heavy")) == "none");
    });
}

namespace {

worker_report reportWithServing(const std::string &worker, std::vector<serving_headroom> serving)
{
    auto report = acceptingReport(worker);
    report.used = {12 * MillicoresPerCore, 24'000, 0};
    report.serving = std::move(serving);
    return report;
}

} // namespace

// Guards against making all jobs late at once. Users of a job depend on all of its tasks, so one
// late task spoils the whole job. If best-effort runs are spread over many workers, each with a
// task of another job, all jobs are late. On one crowded worker, they would make only one job late.
Test(worker_pool, best_effort_tasks_harm_few_jobs)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    const auto chooseDespiteInterference = [&] {
        return pool.chooseWorker("tickets", bestEffortStep("heavy"), {}, Now, {1, false})
                .value_or("none");
    };
    section("harm to three tasks of one job weighs less than harm to two jobs", [&] {
        pool.update(reportWithServing("one-job",
                                      {{"site", 0, "a"}, {"site", 0, "a"}, {"site", 0, "a"}}),
                    Now);
        pool.update(reportWithServing("two-jobs", {{"site", 0, "b"}, {"site", 0, "c"}}), Now);
        check(chooseDespiteInterference() == "one-job");
    });
    section("harm to a job that is late elsewhere weighs little", [&] {
        auto crowded = reportWithServing("crowded", {{"site", 0, "b"}});
        crowded.bestEffortDemand = {{"heavy", 8}};
        crowded.isAccepting = false;
        pool.update(crowded, Now);
        pool.update(reportWithServing("one-job", {{"site", 0, "a"}}), Now);
        pool.update(reportWithServing("two-jobs", {{"site", 0, "b"}}), Now);
        check(chooseDespiteInterference() == "two-jobs");
    });
}

// Guards against sending all best-effort runs to one job. A job with many tasks is nearly always
// late somewhere. If further interference with it counted almost nothing for that reason, its users
// would be served less than half as well as others.
Test(worker_pool, best_effort_tasks_avoid_an_underserved_job)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    auto crowded = reportWithServing("crowded", {{"site", 0, "wide", true}});
    crowded.bestEffortDemand = {{"heavy", 8}};
    crowded.isAccepting = false;
    const auto chooseAt = [&](time_point now) {
        pool.update(crowded, now);
        pool.update(reportWithServing("narrow", {{"site", 0, "narrow"}}), now);
        pool.update(reportWithServing("wide", {{"site", 0, "wide"}, {"site", 0, "wide"}}), now);
        auto step = bestEffortStep("heavy");
        return pool.chooseWorker("tickets", step, {}, now, {1, false}).value_or("none");
    };
    section("at first, the job that is late elsewhere gets the best-effort task",
            [&] { check(chooseAt(Now) == "wide"); });
    section("once it was served worse than others, the other job gets it", [&] {
        std::string last;
        for (int second = 1; second <= 5; ++second)
            last = chooseAt(Now + seconds(second));
        check(last == "narrow");
    });
}

// Guards against jobs that are late all day while others never are. Best-effort tasks only choose
// between the workers that they need not avoid, so a job that was often late must also make them
// wait sooner than others do.
Test(worker_pool, best_effort_tasks_wait_sooner_for_an_underserved_job)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    const auto task = bestEffortStep("heavy");
    const double addedLoad = pool.interferenceEstimator().loadPerCore("site", "heavy")
                             * static_cast<double>(task.size.millicores) / MillicoresPerCore;
    const double headroom = addedLoad + 0.075; // lateness is unlikely, but possible
    const auto updateAt = [&](time_point now, bool isLate) {
        pool.update(reportWithServing("poor", {{"site", headroom, "underserved", isLate}}), now);
        pool.update(reportWithServing("good", {{"site", headroom, "served-well"}}), now);
    };
    const auto mayRunOn = [&](const std::string &worker, time_point now) {
        const std::string other = worker == "poor" ? "good" : "poor";
        return pool.chooseWorker("tickets", task, {other}, now).has_value();
    };
    section("at first, a task may run beside either job", [&] {
        updateAt(Now, false);
        check(mayRunOn("poor", Now) && mayRunOn("good", Now));
    });
    section("not beside the one that was late for long, though it is on time again", [&] {
        for (int second = 1; second <= 20; ++second)
            updateAt(Now + seconds(second), true);
        const auto end = Now + seconds(21);
        updateAt(end, false);
        check(!mayRunOn("poor", end));
        check(mayRunOn("good", end));
    });
}

// Guards against refusing the reports of agents of the previous release, which name no jobs and
// include no changes. Their workers would count as silent throughout a rolling release.
Test(worker_pool, reports_are_parsed)
{
    auto report = reportWithServing("w1", {{"site", 0.25, "a", true}});
    report.usedByLongRunning = {9 * MillicoresPerCore, 18'000, 0};
    report.samples = {{"site",
                       40,
                       150,
                       {{"heavy", 2.0}},
                       interference_change{0.002, {{"heavy", -1.0}}, true}}};
    section("with all fields", [&] {
        const auto parsedReport = reportFrom(toText(report));
        check(parsedReport.serving.front().job == "a");
        check(parsedReport.serving.front().isLate);
        check(parsedReport.usedByLongRunning == report.usedByLongRunning);
        check(parsedReport.samples.front().change->inverseTailDrop == 0.002);
        check(parsedReport.samples.front().change->bestEffortCores.at("heavy") == -1.0);
        check(parsedReport.samples.front().change->isLowerBound);
    });
    section("from the previous release, without jobs and changes", [&] {
        auto text = parseJsonObject(toText(report));
        text["serving"][0].removeMember("job");
        text["serving"][0].removeMember("late");
        text.removeMember("lasting");
        text["samples"][0].removeMember("inverse_fall");
        const auto parsedReport = reportFrom(compactJson(text));
        check(parsedReport.serving.front().job.empty());
        check(!parsedReport.serving.front().isLate);
        check(parsedReport.usedByLongRunning == parsedReport.used);
        check(!parsedReport.samples.front().change);
    });
    section("with a change that is exact, not a lower bound", [&] {
        auto text = parseJsonObject(toText(report));
        text["samples"][0].removeMember("change_at_least");
        check(!reportFrom(compactJson(text)).samples.front().change->isLowerBound);
    });
}

// Guards against telling operators that a service lacks tasks although all run, or that it lacks
// nothing although some are late.
Test(worker_pool, serving_runs_are_counted_by_job)
{
    worker_pool pool;
    pool.update(reportWithServing("w1", {{"site", 0.25, "a"}, {"site", -0.1, "a", true}}), Now);
    pool.update(reportWithServing("w2", {{"site", 0.25, "b"}, {"site", 0.25, "a"}}), Now);
    section("over all workers, with the late ones", [&] {
        const auto jobs = pool.countServingRuns(Now);
        check(jobs.size() == 2);
        check(jobs.at("a").running == 3);
        check(jobs.at("a").late == 1);
        check(jobs.at("b").late == 0);
    });
    section("without those of a worker whose agent is silent",
            [&] { check(pool.countServingRuns(Now + seconds(3)).empty()); });
}

// Guards against telling operators that no worker has free capacity for a task without naming the
// resource that is short: they would add a worker where only memory is lacking.
Test(worker_pool, the_log_names_the_short_resource)
{
    worker_pool pool;
    auto longRunning = acceptingReport("lasting");
    longRunning.used = {15 * MillicoresPerCore, 24'000, 0};
    longRunning.usedByLongRunning = longRunning.used;
    auto shortRunning = acceptingReport("ending");
    shortRunning.used = {15 * MillicoresPerCore, 24'000, 0};
    shortRunning.usedByLongRunning = {8 * MillicoresPerCore, 12'000, 0};
    auto fullMemory = acceptingReport("memory");
    fullMemory.used = {8 * MillicoresPerCore, 63'000, 0};
    fullMemory.usedByLongRunning = fullMemory.used;
    for (const auto &report : {longRunning, shortRunning, fullMemory, acceptingReport("avoided")})
        pool.update(report, Now);
    check(pool.describeUnfitWorkers("tickets", servingStep("site", 1), {"avoided"}, Now)
          == "1 avoided, 2 no_processors, 1 no_memory, 1 with room beside long-running runs; 3000 "
             "millicores asked for, free beside long-running runs 17000 in sum, 8000 at most");
}

// Guards against telling operators that no processors are free for best-effort tasks which wait
// because they would slow each other down or make serving runs late: those workers do have room.
Test(worker_pool, the_log_counts_free_processors_for_best_effort_tasks)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    auto full = acceptingReport("full");
    full.used = {8 * MillicoresPerCore, 16'000, 0};
    full.usedByLongRunning = full.used;
    full.bestEffortMillicores = 12 * MillicoresPerCore;
    auto sensitive = reportWithServing("sensitive", {{"site", 0.1, "a"}, {"site", 0.1, "b"}});
    sensitive.usedByLongRunning = sensitive.used;
    auto fullMemory = acceptingReport("memory");
    fullMemory.used = {10 * MillicoresPerCore, 63'000, 0};
    fullMemory.usedByLongRunning = fullMemory.used;
    for (const auto &report : {full, sensitive, fullMemory, acceptingReport("avoided")})
        pool.update(report, Now);
    check(pool.describeUnfitWorkers("tickets", bestEffortStep("heavy"), {"avoided"}, Now)
          == "1 full, 1 makes_late, 1 avoided, 1 no_memory, 0 with room beside long-running runs; "
             "2000 millicores asked for, free beside long-running runs 18000 in sum, 8000 at most");
}

// Guards against late services of which operators cannot tell whether their neighbours were placed
// there knowingly or by a wrong estimate of the interference.
Test(worker_pool, the_log_says_what_was_estimated_beside_late_runs)
{
    worker_pool pool;
    auto report = acceptingReport("w1");
    report.serving = {{"site", -0.05, "slow-job", true}, {"site", 0.4, "slow-job", false}};
    report.bestEffortDemand["batch"] = 4;
    pool.update(report, Now);
    check(pool.describeLateRuns("slow-job", Now) == "w1 (headroom -0.05, interference 0.12)");
    check(pool.describeLateRuns("other-job", Now).empty());
}
