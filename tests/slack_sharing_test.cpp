// Tests that best-effort runs whose jobs have slack yield to serving runs, and no others: what the
// entry tells of their slack, and which runs the agent slows, by load pattern.
#include <algorithm>
#include <cmath>
#include <functional>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr double FloorMs = 25;
constexpr std::int64_t TargetMs = 150; // at a load of 0.83; without headroom from 0.81 on
constexpr milliseconds Poll{250};

// A worker with one serving run. Each core of image "heavy" adds 0.05 to its load, of "light" none.
struct modelled_worker
{
    throttle_controller controller;
    time_point now{std::chrono::hours(1)};
    std::vector<best_effort_run> runs;
    std::map<std::string, int> percents;
    std::map<std::string, milliseconds> stoodStill;
    milliseconds late{0};
    int speedCalls = 0;

    modelled_worker()
    {
        controller.setInterference({{"site", {FloorMs, {{"heavy", 0.05}, {"light", 0}}}}});
    }

    void addRun(const std::string &name, const std::string &image, double cores,
                std::optional<std::int64_t> slackMs)
    {
        runs.push_back({{name, 0, 0, 0}, 1, image, cores, cores, slackMs});
        percents[name] = 100;
    }

    best_effort_run &run(const std::string &name)
    {
        return *std::find_if(runs.begin(), runs.end(),
                             [&](const auto &item) { return item.task.job == name; });
    }

    void advance(milliseconds duration, const std::function<double()> &ownLoad)
    {
        for (const auto end = now + duration; now < end; now += Poll) {
            double load = ownLoad();
            for (auto &active : runs) {
                active.usedCores = active.requestedCores * percents[active.task.job] / 100;
                load += active.image == "heavy" ? 0.05 * active.usedCores : 0;
                stoodStill[active.task.job] += Poll * (100 - percents[active.task.job]) / 100;
            }
            const auto tail = static_cast<std::int64_t>(FloorMs / (1 - std::min(load, 0.98)));
            late += tail > TargetMs ? Poll : milliseconds(0);
            poll({{{"s", 0, 0, 0}, 1, "site", tail, TargetMs}});
        }
    }

    void poll(const std::vector<serving_sample> &serving)
    {
        if ((now.time_since_epoch() / Poll) % 2 == 0) {
            controller.takeSamples(serving, runs);
            controller.spendSlack(serving, runs, now);
        }
        for (const auto &speed : controller.decideSpeeds(serving, runs, now)) {
            percents[speed.task.job] = speed.percent;
            controller.noteConfirmed(speed);
            ++speedCalls;
        }
    }

    // The serving run's load swings by a half within 20 s; the crest is at 5 s.
    std::function<double()> wave()
    {
        return [this, start = now] {
            const auto ms = static_cast<double>(millisecondsIn(now - start));
            return 0.48 * (1 + 0.5 * std::sin(ms / 20'000 * 2 * M_PI));
        };
    }

    std::function<double()> steady(double load)
    {
        return [load] { return load; };
    }
};

step_spec bestEffortStep()
{
    step_spec step;
    step.size = {2000, 100, 0};
    step.isBestEffort = true;
    step.image = "heavy";
    step.estimateMs = 2000;
    return step;
}

struct modelled_entry
{
    worker_pool workers;
    job_controller controller;
    time_point now{std::chrono::hours(1)};
    std::int64_t wallMs = 1'000'000;
    std::optional<run_order> order;

    explicit modelled_entry(bool sharesSlack, const step_spec &step = bestEffortStep())
        : controller({"entry-a", 1}, workers, settingsWith(sharesSlack))
    {
        worker_report report;
        report.worker = "w1";
        report.epoch = 1;
        report.service = "tickets";
        report.isAccepting = true;
        report.capacity = {16'000, 64'000, 0};
        workers.update(report, now);
        job_spec spec;
        spec.steps = {step};
        queue_policy policy;
        policy.service = "tickets";
        policy.stretch = 2;
        policy.targetLatencyMs = 1000;
        controller.submit("j", spec, policy, wallMs, now, 1);
        submitWaitingJob(policy);
        controller.plan(now, wallMs);
        controller.rowWritten("j", 1);
        controller.plan(now, wallMs);
        for (const auto &action : controller.takeActions()) {
            if (const auto *sent = std::get_if<send_order>(&action))
                order = sent->order;
        }
    }

    // Its task fits no worker; it can't be in time after 3 s.
    void submitWaitingJob(const queue_policy &policy)
    {
        job_spec spec;
        spec.steps = {bestEffortStep()};
        spec.steps[0].size.memoryMb = 65'000;
        controller.submit("waiting", spec, policy, wallMs, now, 2);
    }

    static controller_settings settingsWith(bool sharesSlack)
    {
        controller_settings settings;
        settings.features.sharesSlack = sharesSlack;
        return settings;
    }

    std::vector<run_slack> report(milliseconds later)
    {
        now += later;
        wallMs += later.count();
        return controller.changedSlack("w1", now, wallMs);
    }
};

} // namespace

// Load pattern: crest and trough of a serving run's load.
Test(slack_sharing, crest_of_a_wave)
{
    section("a run with slack stands still for a part of the crest, and not in the trough", [] {
        modelled_worker worker;
        worker.addRun("job", "heavy", 4, 30'000);
        const auto load = worker.wave();
        worker.advance(seconds(10), load);
        const auto atCrest = worker.stoodStill["job"];
        check(atCrest > seconds(1) && atCrest < seconds(7));
        check(worker.late < seconds(2));
        worker.advance(seconds(10), load);
        check(worker.stoodStill["job"] - atCrest < seconds(1));
        section("with a bounded number of calls", [&] { check(worker.speedCalls <= 30); });
    });
    section("a run with little slack spends no more than that, and then works on", [] {
        modelled_worker worker;
        worker.addRun("job", "heavy", 4, 1500);
        worker.advance(milliseconds(4000), worker.wave());
        worker.advance(milliseconds(1500), worker.steady(0.75));
        check(worker.controller.slackLeft({"job", 0, 0, 0}, 1) < milliseconds(500));
        check(worker.controller.slackPercent({"job", 0, 0, 0}, 1) == 100);
    });
    for (const auto slack : {std::optional<std::int64_t>(), std::optional<std::int64_t>(0)}) {
        section("without known slack only the pause after 2.2 s is left", [&] {
            modelled_worker worker;
            worker.addRun("job", "heavy", 4, slack);
            worker.advance(milliseconds(2250), worker.steady(0.72));
            check(worker.stoodStill["job"] == milliseconds(0));
            worker.advance(milliseconds(500), worker.steady(0.72));
            check(worker.stoodStill["job"] > milliseconds(0));
        });
    }
}

// Load pattern: a steady load slightly above the headroom, two images.
Test(slack_sharing, harmful_and_harmless_image)
{
    modelled_worker worker;
    worker.addRun("light", "light", 4, 30'000);
    worker.addRun("heavy", "heavy", 4, 30'000);
    worker.advance(seconds(8), worker.steady(0.66));
    section("the harmless run works at full speed",
            [&] { check(worker.percents["light"] == 100); });
    section("the harmful one is slowed just as far as needed, and the target is met", [&] {
        check(worker.percents["heavy"] >= 60 && worker.percents["heavy"] < 100);
        check(worker.late <= milliseconds(500));
    });
}

// Load pattern: a steady load above the headroom, beside runs with and without slack.
Test(slack_sharing, runs_with_slack_yield_first)
{
    modelled_worker worker;
    worker.addRun("urgent", "heavy", 4, 0);
    worker.addRun("unknown", "heavy", 4, std::nullopt);
    worker.addRun("ample", "heavy", 3, 20'000);
    worker.addRun("some", "heavy", 3, 1500);
    worker.advance(seconds(3), worker.steady(0.17));
    check(worker.stoodStill["urgent"] == milliseconds(0));
    check(worker.stoodStill["unknown"] == milliseconds(0));
    check(worker.stoodStill["ample"] > milliseconds(0));
    check(worker.stoodStill["some"] < worker.stoodStill["ample"]);
    section("after its owner has lowered its slack, a run works at full speed", [&] {
        worker.run("ample").slackMs = 0;
        worker.advance(milliseconds(500), worker.steady(0.17));
        check(worker.percents["ample"] == 100);
    });
}

// Load pattern: a burst of runs that none of them alone can make up for.
Test(slack_sharing, burst_beyond_what_the_slack_can_take_away)
{
    modelled_worker worker;
    for (int index = 0; index < 5; ++index)
        worker.addRun("urgent" + std::to_string(index), "heavy", 2, 0);
    worker.addRun("ample", "heavy", 2, 20'000);
    worker.advance(seconds(2), worker.steady(0.6));
    section("the run with slack isn't slowed in vain",
            [&] { check(worker.stoodStill["ample"] == milliseconds(0)); });
    section("the pause after 2.2 s stays in force for all", [&] {
        worker.advance(seconds(1), worker.steady(0.6));
        check(worker.stoodStill["urgent0"] > milliseconds(0));
        check(worker.stoodStill["ample"] > milliseconds(0));
    });
}

// Load pattern: a steady load above the headroom while the owner is silent, so that no slack is
// renewed.
Test(slack_sharing, silent_owner)
{
    modelled_worker worker;
    worker.addRun("job", "heavy", 4, 3000);
    worker.advance(seconds(20), worker.steady(0.66));
    check(worker.controller.slackPercent({"job", 0, 0, 0}, 1) == 100);
    check(worker.controller.slackLeft({"job", 0, 0, 0}, 1) < milliseconds(500));
}

// Guards against runs that stand still for good. The agent is killed while a run is slowed, or its
// worker doesn't answer a call that slows a run, carries it out late, and nobody sets the speed
// again.
Test(slack_sharing, slowed_runs_are_always_resumed)
{
    time_point now{std::chrono::hours(1)};
    best_effort_run run{{"f", 0, 0, 0}, 1, "heavy", 2, 2};
    const auto decide = [&](throttle_controller &controller, std::int64_t tailMs) {
        return controller.decideSpeeds({{{"s", 0, 0, 0}, 1, "site", tailMs, 150}}, {run}, now);
    };
    section("the agent's next incarnation sets the speed of the runs that it finds", [&] {
        throttle_controller next;
        run.isInherited = true;
        const auto speeds = decide(next, 100);
        require(speeds.size() == 1);
        check(speeds[0].percent == 100);
        next.noteConfirmed(speeds[0]);
        check(decide(next, 100).empty());
        run.isInherited = false;
    });
    section("a pause that ends unanswered is ended by a call", [&] {
        throttle_controller controller;
        decide(controller, 400);
        now += milliseconds(2200);
        const auto pause = decide(controller, 400);
        require(pause.size() == 1 && pause[0].percent == 0);
        controller.noteUnanswered(pause[0], now);
        now += milliseconds(500);
        const auto resumed = decide(controller, 100);
        require(resumed.size() == 1 && resumed[0].percent == 100);
        controller.noteConfirmed(resumed[0]);
        check(decide(controller, 100).empty());
        section("and by another, as the unanswered one may take effect after the first", [&] {
            now += seconds(8);
            const auto repeated = decide(controller, 100);
            require(repeated.size() == 1 && repeated[0].percent == 100);
            controller.noteConfirmed(repeated[0]);
            now += seconds(20);
            check(decide(controller, 100).empty());
        });
    });
}

Test(slack_sharing, what_the_owner_tells)
{
    section("a start order has the slack of its run", [] {
        modelled_entry entry(true);
        require(entry.order && entry.order->requirements.slackMs);
        check(*entry.order->requirements.slackMs > 1000); // the job's is 3,000 ms
        check(*entry.order->requirements.slackMs < 2000);
    });
    section("which no report repeats while the run works, and shrinks with the job's", [] {
        modelled_entry entry(true);
        entry.controller.orderAnswered("w1", {entry.order->task, 1, order_outcome::Accepted},
                                       entry.now, 0);
        check(entry.report(seconds(1)).empty());
        entry.wallMs += 2000;
        const auto lower = entry.report(seconds(1));
        require(lower.size() == 1);
        check(lower[0].slackMs < *entry.order->requirements.slackMs - 1000);
        check(entry.report(seconds(1)).size() == 1); // the answer may have been lost
        check(entry.report(seconds(3)).empty());
    });
    section("0, while a late job waits for room: a run that stands still would keep it", [] {
        modelled_entry entry(true);
        entry.controller.orderAnswered("w1", {entry.order->task, 1, order_outcome::Accepted},
                                       entry.now, 0);
        check(entry.report(seconds(4)).empty());
        entry.controller.plan(entry.now, entry.wallMs);
        const auto none = entry.report(milliseconds(100));
        require(none.size() == 1);
        check(none[0].slackMs == 0);
    });
    section("none, if it is not to be shared, or the run is not best-effort", [] {
        auto reserved = bestEffortStep();
        reserved.isBestEffort = false;
        check(!modelled_entry(false).order->requirements.slackMs);
        check(!modelled_entry(true, reserved).order->requirements.slackMs);
    });
}

Test(slack_sharing, malformed_slack)
{
    run_order order;
    order.task = {"job", 0, 0, 0};
    order.requirements.slackMs = 1234;
    const auto text = toText(order_batch{"a", "b", {order}});
    check(orderBatchFrom(text).orders[0].requirements.slackMs == 1234);
    report_answer answer;
    answer.slack = {{order.task, 1, 1234}};
    const auto answerText = toText(answer);
    check(reportAnswerFrom(answerText).slack[0].slackMs == 1234);
    const auto isRefused = [](const auto &parse, std::string message, const std::string &value) {
        message.replace(message.find("1234"), 4, value);
        try {
            parse(message);
        } catch (const error &problem) {
            return problem.kind() == error_kind::BadRequest;
        }
        return false;
    };
    for (const char *value : {"-1", "60001", "1e300", "\"soon\"", "null", "1.5"}) {
        section(value, [&] {
            check(isRefused(orderBatchFrom, text, value));
            check(isRefused(reportAnswerFrom, answerText, value));
        });
    }
}

Test(slack_sharing, slack_from_another_entry)
{
    run_table table;
    const time_point now{std::chrono::hours(1)};
    table.setWorkerState({4000, 8000, 0}, start_readiness::Ready);
    table.setEpoch(1);
    run_order order;
    order.task = {"job", 0, 0, 0};
    order.run = 1;
    order.epoch = 1;
    order.requirements.isBestEffort = true;
    order.requirements.slackMs = 1000;
    table.handleOrder(order, "owner", now);
    table.startAnswered(order.task, 1, start_answer::Started, now);
    check(!table.setSlack({order.task, 1, 9000}, "another"));
    check(table.bestEffortRuns()[0].slackMs == 1000);
    check(table.setSlack({order.task, 1, 500}, "owner"));
    check(table.bestEffortRuns()[0].slackMs == 500);
    check(!table.setSlack({order.task, 2, 500}, "owner"));
}
