// Tests how long a task waits for a better place: near its data or group, or where it makes no
// serving run late.
#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "jobs/wait_policy.h"
#include "section.h"
#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

const time_point Start{std::chrono::hours(1)};

waiting_tasks quickTasks(std::int64_t slackMs)
{
    waiting_tasks tasks;
    tasks.since = Start;
    tasks.slackMs = slackMs;
    tasks.runMs = 8000;
    tasks.hasRun = true;
    return tasks;
}

bool waits(const wait_decision &decision)
{
    return std::holds_alternative<wait_until>(decision);
}

std::string_view reasonOf(const wait_decision &decision)
{
    return std::visit([](const auto &chosen) { return nameOf(chosen.reason); }, decision);
}

// One waiting task looks at the rack each 500 ms, while places come free there at this interval.
// Returns the last decision.
wait_decision watchRack(wait_policy &policy, milliseconds placeInterval, milliseconds span)
{
    wait_decision decision = go_now{wait_reason::WaitOver};
    for (milliseconds at{0}; at <= span; at += milliseconds(500)) {
        policy.beginRound(0);
        if (at.count() > 0 && at % placeInterval == milliseconds(0))
            policy.recordFound("r1");
        auto tasks = quickTasks(60'000);
        tasks.since = Start + at;
        decision = policy.decideDistance(tasks, "r1", Start + at);
    }
    return decision;
}

// A service of racks with workers of 16 cores, and the jobs of one entry there.
struct cluster
{
    worker_pool pool;
    job_controller controller;
    time_point now = Start;
    std::int64_t wallMs = 1'000'000;
    std::vector<send_order> orders;
    std::vector<std::string> events;

    explicit cluster(bool weighsWaits = true)
        : controller({"entry-a", 1}, pool, settingsWith(weighsWaits))
    { }

    static controller_settings settingsWith(bool weighsWaits)
    {
        controller_settings settings;
        settings.features.weighsWaits = weighsWaits;
        return settings;
    }

    void report(const std::string &worker, const std::string &rack, std::int64_t usedMillicores,
                const std::vector<serving_headroom> &serving = {})
    {
        auto report = acceptingReport(worker);
        report.rack = rack;
        report.used.millicores = usedMillicores;
        report.usedByLongRunning.millicores = usedMillicores;
        report.serving = serving;
        pool.update(report, now);
        controller.workerReported(worker, now);
    }

    void submit(const std::string &id, step_spec step, std::int64_t targetLatencyMs = 2000)
    {
        job_spec spec;
        spec.steps = {std::move(step)};
        queue_policy policy{"q", "tickets", 0, 3, 1.0, targetLatencyMs};
        controller.submit(id, spec, policy, wallMs, now, 1);
        plan();
    }

    void plan()
    {
        controller.plan(now, wallMs);
        for (const auto &action : controller.takeActions()) {
            if (const auto *line = std::get_if<log_event>(&action))
                events.push_back(line->event);
        }
    }

    void advance(milliseconds time)
    {
        now += time;
        wallMs += time.count();
    }

    int placed(const std::string &id) const
    {
        int count = 0;
        for (const auto &task : controller.record(id)->tasks[0][0])
            count += task.placements.empty() ? 0 : 1;
        return count;
    }

    std::set<std::string> racksOf(const std::string &id) const
    {
        std::set<std::string> racks;
        for (const auto &task : controller.record(id)->tasks[0][0]) {
            for (const auto &run : task.placements)
                racks.insert(pool.rackOf(run.worker));
        }
        return racks;
    }
};

step_spec stepOf(int count, std::int64_t millicores)
{
    step_spec step;
    step.count = count;
    step.size = {millicores, 100, 0};
    step.estimateMs = 4000;
    return step;
}

step_spec bestEffortStep(int count)
{
    auto step = stepOf(count, 2000);
    step.isBestEffort = true;
    step.image = "batch";
    return step;
}

// All workers have a serving run whose load leaves this headroom.
void reportServing(cluster &all, double headroom, std::int64_t usedMillicores = 4000)
{
    for (int index = 0; index < 4; ++index)
        all.report("w" + std::to_string(index), "r1", usedMillicores,
                   {{"site", headroom, "s" + std::to_string(index)}});
}

} // namespace

// Load pattern: many tasks with their data on one rack that is full.
Test(wait_policy, data_on_a_full_rack)
{
    wait_policy policy;
    section("a place a second pays: the distant run takes 4 s more",
            [&] { check(waits(watchRack(policy, milliseconds(1000), milliseconds(20'000)))); });
    section("one each 20 s does not", [&] {
        wait_policy slow;
        const auto decision = watchRack(slow, milliseconds(20'000), milliseconds(20'000));
        check(reasonOf(decision) == "not_worth_it");
    });
    section("the fourth task in the queue goes elsewhere", [&] {
        policy.beginRound(0);
        const auto now = Start + milliseconds(20'000);
        auto tasks = quickTasks(60'000);
        tasks.since = now;
        wait_decision decision = go_now{wait_reason::Late};
        for (int task = 0; task < 4; ++task)
            decision = policy.decideDistance(tasks, "r1", now);
        check(reasonOf(decision) == "not_worth_it");
    });
    section("no wait is longer than the near place saves", [&] {
        wait_policy unseen;
        check(waits(unseen.decideDistance(quickTasks(60'000), "r1", Start)));
        const auto later = Start + milliseconds(4000);
        check(reasonOf(unseen.decideDistance(quickTasks(60'000), "r1", later)) == "wait_over");
    });
    section("a task whose distant run would be late waits until the near one would be, too", [&] {
        wait_policy unseen;
        const auto decision = unseen.decideDistance(quickTasks(1500), "r1", Start);
        check(reasonOf(decision) == "only_near_in_time");
        check(std::get<wait_until>(decision).deadline == Start + milliseconds(1500));
    });
    section("a job without a run doesn't wait 3 s", [&] {
        auto tasks = quickTasks(60'000);
        tasks.runMs = 60'000;
        tasks.hasRun = false;
        const auto now = Start + milliseconds(2500);
        check(reasonOf(policy.decideDistance(tasks, "r1", now)) == "first_run");
    });
}

// Load pattern: runs on another rack than their data take three times as long.
Test(wait_policy, far_factor_as_observed)
{
    wait_policy policy;
    check(policy.farFactor() == 1.5);
    for (int run = 0; run < 60; ++run) {
        policy.recordRun(true, 1.1);
        policy.recordRun(false, 3.3);
    }
    check(policy.farFactor() > 2.7 && policy.farFactor() < 3.1);
    for (int run = 0; run < 500; ++run)
        policy.recordRun(false, 0.1);
    check(policy.farFactor() == 1);
}

// Load pattern: a group of 20 on racks that hold 9.
Test(wait_policy, group_larger_than_a_rack)
{
    const auto fill = [](cluster &all) {
        for (int index = 0; index < 6; ++index)
            all.report("w" + std::to_string(index), index < 3 ? "r1" : "r2", 0);
    };
    auto group = stepOf(20, 5000);
    group.prefersSameRack = true;
    section("what fits on one rack starts there, what can't soon goes elsewhere", [&] {
        cluster all;
        fill(all);
        all.submit("j", group);
        check(all.placed("j") == 18);
        check(all.racksOf("j").size() == 2);
    });
    section("a group that fits stays together", [&] {
        cluster all;
        fill(all);
        group.count = 9;
        all.submit("j", group);
        check(all.placed("j") == 9);
        check(all.racksOf("j").size() == 1);
    });
    section("without the decision it is spread", [&] {
        cluster all(false);
        fill(all);
        all.submit("j", group);
        check(all.racksOf("j").size() == 2);
    });
    section("members of a gang, too, and a gang that no rack holds goes by 2.5 s", [&] {
        cluster all;
        fill(all);
        group.isGang = true;
        all.submit("j", group);
        check(all.racksOf("j").size() == 1);
        group.count = 18;
        cluster other;
        fill(other);
        other.submit("j", group);
        other.advance(milliseconds(2000));
        fill(other);
        other.plan();
        check(other.placed("j") == 18);
    });
}

// Load pattern: the serving load swings between crest and trough, and best-effort work can wait.
Test(wait_policy, crest_and_trough_of_serving_load)
{
    cluster all;
    trainInterference(all.pool, "site", "batch", 0.05);
    reportServing(all, -0.1); // crest
    all.submit("j", bestEffortStep(4), 20'000);
    check(all.placed("j") == 0);
    section("by 2.5 s one task runs, so that the job does not count as lost", [&] {
        all.advance(milliseconds(2500));
        reportServing(all, -0.1);
        all.plan();
        check(all.placed("j") == 1);
        check(std::count(all.events.begin(), all.events.end(), "place_taken_first_run") == 1);
    });
    section("the others wait for the trough", [&] {
        all.advance(milliseconds(4000));
        reportServing(all, -0.1);
        all.plan();
        check(all.placed("j") == 1);
        all.advance(milliseconds(1000));
        reportServing(all, 0.6);
        all.plan();
        check(all.placed("j") == 4);
    });
}

// Load pattern: a burst of best-effort jobs, some with much slack and some with none.
Test(wait_policy, burst_of_best_effort_jobs)
{
    cluster all;
    trainInterference(all.pool, "site", "batch", 0.05);
    reportServing(all, -0.1);
    all.submit("patient", bestEffortStep(3), 20'000);
    all.submit("short", bestEffortStep(3), 3000);
    for (int step = 0; step < 6; ++step) {
        all.advance(milliseconds(500));
        reportServing(all, -0.1);
        all.plan();
    }
    check(all.placed("patient") == 1);
    check(all.placed("short") == 3);
    section("none waits until its own wait makes it late", [&] {
        for (int step = 0; step < 32; ++step) {
            all.advance(milliseconds(500));
            reportServing(all, -0.1);
            all.plan();
        }
        check(all.placed("patient") == 3);
        check(all.wallMs < 1'000'000 + 20'000);
    });
    section("while most of the service is in use, they go on waiting", [&] {
        cluster used;
        trainInterference(used.pool, "site", "batch", 0.05);
        reportServing(used, -0.1, 10'000);
        used.submit("j", bestEffortStep(3), 3000);
        used.advance(milliseconds(10'000));
        reportServing(used, -0.1, 10'000);
        used.plan();
        check(used.placed("j") == 0);
    });
}

// Load pattern: a queue of best-effort jobs that grows until they are late.
Test(wait_policy, margin_of_load)
{
    wait_policy policy;
    auto tasks = quickTasks(8000);
    tasks.runMs = 2000;
    const double whole = policy.loadMargin(tasks);
    check(whole == wait_policy::expectedLoadRise(2000) && whole > 0);
    section("longer runs see more of the load's rise, up to a limit", [&] {
        check(wait_policy::expectedLoadRise(4000) > whole);
        check(wait_policy::expectedLoadRise(400'000) == wait_policy::expectedLoadRise(8000));
    });
    section("a job at the end of its slack is asked for none, a late one for all", [&] {
        tasks.slackMs = 1000;
        check(policy.loadMargin(tasks) < whole);
        tasks.slackMs = 0;
        check(policy.loadMargin(tasks) == 0);
        tasks.slackMs = -1;
        check(policy.loadMargin(tasks) == whole);
    });
    section("none is asked once all that wait are late", [&] {
        policy.beginRound(0.5);
        check(policy.loadMargin(tasks) < whole);
        policy.beginRound(1);
        check(policy.loadMargin(tasks) == 0);
    });
}

// Load pattern: the workers of a job are lost at once, all others are beside serving runs.
Test(wait_policy, runs_on_silent_workers_are_no_reason_to_wait)
{
    cluster all;
    trainInterference(all.pool, "site", "batch", 0.05);
    reportServing(all, -0.1);
    all.report("lost", "r2", 0);
    auto step = bestEffortStep(4);
    step.size.memoryMb = 30'000; // two fill a worker
    all.submit("j", step, 60'000);
    check(all.placed("j") == 2);
    const auto advanceBy = [&](milliseconds time) {
        all.advance(time);
        reportServing(all, -0.1);
        all.plan();
    };
    section("while its worker reports, the other tasks wait", [&] {
        advanceBy(milliseconds(2400));
        check(all.placed("j") == 2);
    });
    section("once it is silent, one goes where it can", [&] {
        advanceBy(milliseconds(200));
        check(all.placed("j") == 3);
        advanceBy(milliseconds(200));
        check(all.placed("j") == 3);
    });
}

// Load pattern: a crest without an end; each long-running task counts by itself.
Test(wait_policy, long_running_best_effort_tasks)
{
    cluster all;
    trainInterference(all.pool, "site", "batch", 0.05);
    reportServing(all, -0.1);
    auto step = bestEffortStep(4);
    step.isLongRunning = true;
    all.submit("j", step, 60'000);
    all.advance(milliseconds(2500));
    reportServing(all, -0.1);
    all.plan();
    check(all.placed("j") == 4);
}
