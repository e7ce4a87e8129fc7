// Which worker a task goes to, when runs that fill press on runs that serve.
#include <criterion/criterion.h>

#include "base/json.h"
#include "base/json_member.h"
#include "section.h"
#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

constexpr std::int64_t AgentIncarnation = 8; // of an agent

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

// Each placement by a report of a life that is over is refused: a task would be placed there again
// and again.
Test(worker_pool, a_report_of_an_agents_earlier_life)
{
    worker_pool workers;
    const time_point now{std::chrono::hours(1)};
    worker_report report;
    report.worker = "w1";
    report.epoch = 3;
    report.agentIncarnation = 8;
    check(workers.update(report, now));
    auto earlier = report;
    earlier.agentIncarnation = 7;
    earlier.isAccepting = true;
    check(!workers.update(earlier, now));
    check(workers.find("w1")->lastReport.agentIncarnation == 8);
    check(!workers.find("w1")->lastReport.isAccepting);
    section("one of an agent that has no fence yet counts", [&] {
        earlier.agentIncarnation = 0;
        check(workers.update(earlier, now));
    });
}

// A task that is done runs again: an order that holds for too long on the agent's clock.
Test(worker_pool, how_long_an_order_holds)
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
    const auto deadlineAfter = [&](milliseconds after, std::int64_t life = AgentIncarnation) {
        return workers.startDeadlineFor("w1", life, Now + after);
    };
    section("an agent that tells no clock is given no deadline", [&] {
        check(deadlineAfter({}) == 0);
        receiveReport(0, {});
        check(deadlineAfter({}) == 0);
    });
    section("counted from the reading, as if the report had come at once", [&] {
        receiveReport(ClockMs, {});
        check(deadlineAfter({}) == ClockMs + OrderValidityMs);
    });
    section("on as the slower of two clocks that are off", [&] {
        check(deadlineAfter(milliseconds(500)) == ClockMs + 500 - 20 + OrderValidityMs);
        check(deadlineAfter(milliseconds(1000)) == ClockMs + 1000 - 40 + OrderValidityMs);
    });
    section("a report that was slow to come takes nothing back", [&] {
        receiveReport(ClockMs + 200, milliseconds(1000));
        check(deadlineAfter(milliseconds(1000)) == ClockMs + 1000 - 40 + OrderValidityMs);
    });
    section("a prompt one tells more", [&] {
        receiveReport(ClockMs + 2000, milliseconds(2000));
        check(deadlineAfter(milliseconds(2000)) == ClockMs + 2000 + OrderValidityMs);
    });
    section("each life has its own clock", [&] {
        report.agentIncarnation = AgentIncarnation + 1;
        receiveReport(900, milliseconds(3000));
        check(deadlineAfter(milliseconds(3000), AgentIncarnation + 1) == 900 + OrderValidityMs);
        check(deadlineAfter(milliseconds(3000), AgentIncarnation) == 900 + OrderValidityMs);
    });
    section("a task of a life not heard of yet is claimed there, not started", [&] {
        const auto deadline = deadlineAfter(milliseconds(3000), AgentIncarnation + 2);
        check(deadline > 0 && deadline < 900);
    });
}

// Users of a service are late wherever one of its tasks has a neighbour that harms it. A service
// whose tasks are spread over all workers is harmed by everything; gathered on one, what fills goes
// elsewhere.
Test(worker_pool, tasks_that_serve_are_gathered)
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
    section("a job that does not fit beside them begins another worker", [&] {
        const auto second = servingStep("shop", 5);
        const auto other = chooseAndReserve(pool, second, 5);
        check(other != firstWorker);
        for (int remaining = 4; remaining > 0; --remaining)
            check(chooseAndReserve(pool, second, remaining) == other);
    });
    section("one that fits beside its twins joins them",
            [&] { check(chooseAndReserve(pool, servingStep("site", 1)) == firstWorker); });
}

// Users of a service get late answers for seconds, because a batch job was placed beside it that
// was known to harm it; or the batch job waits although another worker would have done.
Test(worker_pool, what_fills_keeps_off_those_that_it_harms)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    trainInterference(pool, "site", "light", 0.0);
    auto busy = acceptingReport("busy");
    busy.used = {12 * MillicoresPerCore, 24'000, 0};
    busy.serving = {{"site", 0.1}, {"site", 0.1}};
    pool.update(busy, Now);
    section("it waits while there is no other worker",
            [&] { check(chooseAndReserve(pool, bestEffortStep("heavy")) == "none"); });
    section("one that harms nobody does not",
            [&] { check(chooseAndReserve(pool, bestEffortStep("light")) == "busy"); });
    section("it goes where there is room for its press", [&] {
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

// Users of a job meet each of its tasks: one late task spoils the whole job. What fills is spread
// over many workers, each of which has a task of another job, and all jobs are late at once,
// although one crowded worker would have cost a single one.
Test(worker_pool, what_fills_spoils_few_jobs)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    const auto placedImpatiently = [&] {
        return pool.chooseWorker("tickets", bestEffortStep("heavy"), {}, Now, {1, false})
                .value_or("none");
    };
    section("three tasks of one job are less to lose than two jobs", [&] {
        pool.update(reportWithServing("one-job",
                                      {{"site", 0, "a"}, {"site", 0, "a"}, {"site", 0, "a"}}),
                    Now);
        pool.update(reportWithServing("two-jobs", {{"site", 0, "b"}, {"site", 0, "c"}}), Now);
        check(placedImpatiently() == "one-job");
    });
    section("a job that is late elsewhere has little left to lose", [&] {
        auto crowded = reportWithServing("crowded", {{"site", 0, "b"}});
        crowded.bestEffortDemand = {{"heavy", 8}};
        crowded.isAccepting = false;
        pool.update(crowded, Now);
        pool.update(reportWithServing("one-job", {{"site", 0, "a"}}), Now);
        pool.update(reportWithServing("two-jobs", {{"site", 0, "b"}}), Now);
        check(placedImpatiently() == "two-jobs");
    });
}

// A job of many tasks is nearly always late somewhere. Were harm to it as good as free for that,
// all that fills would go to it, and its users would have less than half of what others have.
Test(worker_pool, a_job_that_has_had_less_is_spared)
{
    worker_pool pool;
    trainInterference(pool, "site", "heavy", 0.06);
    auto crowded = reportWithServing("crowded", {{"site", 0, "wide", true}});
    crowded.bestEffortDemand = {{"heavy", 8}};
    crowded.isAccepting = false;
    const auto placedAt = [&](time_point now) {
        pool.update(crowded, now);
        pool.update(reportWithServing("narrow", {{"site", 0, "narrow"}}), now);
        pool.update(reportWithServing("wide", {{"site", 0, "wide"}, {"site", 0, "wide"}}), now);
        auto step = bestEffortStep("heavy");
        return pool.chooseWorker("tickets", step, {}, now, {1, false}).value_or("none");
    };
    section("first the one that is late elsewhere is harmed",
            [&] { check(placedAt(Now) == "wide"); });
    section("and no more once it has had less than others", [&] {
        std::string last;
        for (int second = 1; second <= 5; ++second)
            last = placedAt(Now + seconds(second));
        check(last == "narrow");
    });
}

// A report and what it says of the runs that serve survive the way to an entry, also from an agent
// of the release before, which names no jobs and tells no changes: refused, its worker would count
// as silent all through a rolling release.
Test(worker_pool, reports_are_read)
{
    auto report = reportWithServing("w1", {{"site", 0.25, "a", true}});
    report.usedByLongRunning = {9 * MillicoresPerCore, 18'000, 0};
    report.samples = {{"site",
                       40,
                       150,
                       {{"heavy", 2.0}},
                       interference_change{0.002, {{"heavy", -1.0}}, true}}};
    section("as written", [&] {
        const auto read = reportFrom(toText(report));
        check(read.serving.front().job == "a");
        check(read.serving.front().isLate);
        check(read.usedByLongRunning == report.usedByLongRunning);
        check(read.samples.front().change->inverseTailDrop == 0.002);
        check(read.samples.front().change->bestEffortCores.at("heavy") == -1.0);
        check(read.samples.front().change->isLowerBound);
    });
    section("without jobs and changes", [&] {
        auto text = parseJsonObject(toText(report));
        text["serving"][0].removeMember("job");
        text["serving"][0].removeMember("late");
        text.removeMember("lasting");
        text["samples"][0].removeMember("inverse_fall");
        const auto read = reportFrom(compactJson(text));
        check(read.serving.front().job.empty());
        check(!read.serving.front().isLate);
        check(read.usedByLongRunning == read.used);
        check(!read.samples.front().change);
    });
    section("with a change that was measured", [&] {
        auto text = parseJsonObject(toText(report));
        text["samples"][0].removeMember("change_at_least");
        check(!reportFrom(compactJson(text)).samples.front().change->isLowerBound);
    });
}

// Operators are told of a service that lacks tasks although all are at work, or of none although
// some are late.
Test(worker_pool, runs_that_serve_are_counted_by_job)
{
    worker_pool pool;
    pool.update(reportWithServing("w1", {{"site", 0.25, "a"}, {"site", -0.1, "a", true}}), Now);
    pool.update(reportWithServing("w2", {{"site", 0.25, "b"}, {"site", 0.25, "a"}}), Now);
    section("over all workers, late ones too", [&] {
        const auto jobs = pool.countServingRuns(Now);
        check(jobs.size() == 2);
        check(jobs.at("a").running == 3);
        check(jobs.at("a").late == 1);
        check(jobs.at("b").late == 0);
    });
    section("not those of a worker that nobody hears of",
            [&] { check(pool.countServingRuns(Now + seconds(3)).empty()); });
}

// An operator is told that a task has no room, and not which: a worker is bought where memory
// lacks.
Test(worker_pool, the_log_names_what_is_short)
{
    worker_pool pool;
    auto lasting = acceptingReport("lasting");
    lasting.used = {15 * MillicoresPerCore, 24'000, 0};
    lasting.usedByLongRunning = lasting.used;
    auto ending = acceptingReport("ending");
    ending.used = {15 * MillicoresPerCore, 24'000, 0};
    ending.usedByLongRunning = {8 * MillicoresPerCore, 12'000, 0};
    auto memory = acceptingReport("memory");
    memory.used = {8 * MillicoresPerCore, 63'000, 0};
    memory.usedByLongRunning = memory.used;
    for (const auto &report : {lasting, ending, memory, acceptingReport("avoided")})
        pool.update(report, Now);
    check(pool.describeUnfitWorkers("tickets", servingStep("site", 1), {"avoided"}, Now)
          == "1 avoided, 2 no_processors, 1 no_memory, 1 with room beside what lasts");
}
