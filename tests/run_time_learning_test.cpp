// Tests what a job_controller learns from the ends of runs, and what it does not.
#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "section.h"
#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::acceptingReport;
using zinniabarrow::tests::section;

namespace {

const run_kind Compile{"builds", "compiler"};

// An entry with one worker, whose orders are accepted at once and whose writes are stored at once.
struct entry
{
    explicit entry(bool learns)
        : controller({"entry-a", 1}, workers, settingsFor(learns))
    {
        workers.update(acceptingReport("w1"), now);
    }

    static controller_settings settingsFor(bool learns)
    {
        controller_settings settings;
        settings.features.learnsRunTimes = learns;
        return settings;
    }

    void submit(const std::string &job, int tasks = 1)
    {
        job_spec spec;
        step_spec step;
        step.count = tasks;
        step.size = {100, 10, 0};
        step.estimateMs = 1000;
        step.image = Compile.image;
        spec.steps = {step};
        queue_policy policy;
        policy.queue = Compile.queue;
        policy.service = "tickets";
        policy.maxAttempts = 3;
        controller.submit(job, spec, policy, wallMs, now, 1);
        plan();
    }

    void plan()
    {
        controller.plan(now, wallMs);
        for (auto &action : controller.takeActions()) {
            if (auto *write = std::get_if<write_row>(&action))
                controller.rowWritten(write->job, ++version);
            if (auto *order = std::get_if<send_order>(&action)) {
                controller.orderAnswered(
                        order->worker,
                        {order->order.task, order->order.run, order_outcome::Accepted}, now, 0);
            }
            if (auto *line = std::get_if<log_event>(&action); line && line->event == "job_course")
                course = line->detail;
        }
    }

    void pass(std::int64_t durationMs)
    {
        now += milliseconds(durationMs);
        wallMs += durationMs;
    }

    void end(const std::string &job, int run, end_kind kind, const std::string &checkpoint = "")
    {
        plan();
        plan();
        controller.runEnded("w1", {0, {job, 0, 0, 0}, run, kind, checkpoint}, now, 2);
        plan();
        workers.update(acceptingReport("w1"), now);
    }

    double learnedWeight()
    {
        const auto &profiles = controller.runTimes().profiles();
        return profiles.empty() ? 0 : profiles.at(Compile).calibration.weight();
    }

    worker_pool workers;
    time_point now{std::chrono::hours(1)};
    std::int64_t wallMs = 1'000'000;
    std::int64_t version = 1;
    std::string course; // the latest job_course
    job_controller controller;
};

} // namespace

// Estimates off by half: the entry plans by what it has seen, also in its log.
Test(run_time_learning, estimates_off_by_half)
{
    entry learner(true);
    for (int job = 0; job < 12; ++job) {
        const auto id = "j" + std::to_string(job);
        learner.submit(id);
        learner.plan();
        learner.pass(2000);
        learner.end(id, 1, end_kind::Done);
    }
    check(std::abs(learner.learnedWeight() - 12) < 0.1);
    check(learner.course.find("estimated at 1000 ms, learned 2") != std::string::npos);
    check(learner.workers.find("w1")->slowdown < 1.3);
}

// Runs that fail, and runs that go on from a checkpoint of the one before.
Test(run_time_learning, failed_and_resumed_runs)
{
    entry learner(true);
    learner.submit("j1");
    learner.plan();
    learner.pass(300);
    learner.end("j1", 1, end_kind::Failed, "half");
    learner.plan();
    learner.pass(700);
    learner.end("j1", 2, end_kind::Done);
    section("the job is done, and nothing was learned of its time", [&] {
        check(learner.controller.record("j1")->state() == job_state::Completed);
        check(learner.controller.record("j1")->tasks[0][0][0].runTimeMs == 0);
        check(learner.learnedWeight() == 0);
    });
    section("the failure was", [&] {
        const auto &profile = learner.controller.runTimes().profiles().at(Compile);
        check(std::abs(profile.failures.quantile(0.5) - 0.3) < 0.05);
    });
}

// The feature is off: slowness is judged by the estimate, and nothing is learned.
Test(run_time_learning, switched_off)
{
    entry other(false);
    other.submit("j1");
    other.plan();
    other.pass(3000);
    other.end("j1", 1, end_kind::Done);
    check(other.controller.runTimes().profiles().empty());
    check(std::abs(other.workers.find("w1")->slowdown - 1.4) < 0.01);
    check(other.course.find("learned") == std::string::npos);
}
