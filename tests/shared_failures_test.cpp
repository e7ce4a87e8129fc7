// Tests how entries learn of a worker that fails what it starts.
#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

constexpr const char *Worker = "w1";

// One worker with its agent, and an entry that owns none of the runs there.
struct fixture
{
    run_table table;
    worker_pool pool;
    job_controller controller;
    time_point now{std::chrono::hours(1)};
    std::int64_t ends = 0;

    explicit fixture(bool sharesFailures = true)
        : controller({"entry-b", 1}, pool, settingsWith(sharesFailures))
    {
        table.setEpoch(1);
        table.setWorkerState({16'000, 64'000, 0}, start_readiness::Ready);
    }

    static controller_settings settingsWith(bool sharesFailures)
    {
        controller_settings settings;
        settings.features.sharesFailures = sharesFailures;
        return settings;
    }

    // Starts a run for another entry, which ends after `duration`.
    void run(const std::string &job, end_kind ending, milliseconds duration = milliseconds(10),
             bool isLongRunning = false)
    {
        run_order order;
        order.task = {job, 0, 0, static_cast<int>(ends)};
        order.run = 1;
        order.epoch = 1;
        order.requirements.size = {300, 100, 0};
        order.requirements.isLongRunning = isLongRunning;
        table.handleOrder(order, "entry-a", now);
        table.takeDueActions(now, true);
        table.startCalled(order.task, 1, 1'000'000'000);
        table.startAnswered(order.task, 1, start_answer::Started, now);
        now += duration;
        table.applyListing({clockMs(), {}, {{++ends, order.task, 1, ending, ""}}}, now);
    }
    std::int64_t clockMs() const { return millisecondsIn(now.time_since_epoch()); }

    void report()
    {
        worker_report message;
        message.worker = Worker;
        message.service = "s";
        message.epoch = 1;
        message.isAccepting = true;
        message.capacity = {16'000, 64'000, 0};
        message.failuresInRow = table.failuresInRow(now);
        pool.update(reportFrom(toText(message)), now);
        controller.workerReported(Worker, now);
    }

    bool isChosen()
    {
        report();
        step_spec step;
        step.size = {300, 100, 0};
        return pool.chooseWorker("s", step, {}, now).has_value();
    }
};

} // namespace

// Load: several entries place short tasks, and one worker fails whatever it starts. Without the
// agent's count each of them loses four runs there.
Test(shared_failures, an_entry_avoids_a_worker_that_failed_the_runs_of_others)
{
    fixture system;
    section("three failures may be chance", [&] {
        for (const std::string job : {"j1", "j1", "j2"})
            system.run(job, end_kind::Failed);
        check(system.isChosen());
    });
    section("the fourth in a row is not", [&] {
        system.run("j3", end_kind::Failed);
        check(!system.isChosen());
    });
    section("after the quarantine it is tried again, and one failure more brings it back", [&] {
        system.now += milliseconds(6001);
        check(system.isChosen());
        system.run("j4", end_kind::Failed);
        check(!system.isChosen());
    });
    section("a run that is done ends the row", [&] {
        system.now += milliseconds(6001);
        system.run("j5", end_kind::Done);
        system.run("j6", end_kind::Failed);
        check(system.isChosen());
    });
}

// Load: one job whose tasks fail wherever they run, beside sound jobs.
Test(shared_failures, a_job_that_fails_everywhere_quarantines_no_worker)
{
    section("failures of one job alone don't count", [] {
        fixture system;
        for (int failure = 0; failure < 6; ++failure)
            system.run("j1", end_kind::Failed);
        check(system.isChosen());
    });
    section("nor do long-running runs that were at work before they failed", [] {
        fixture system;
        for (const std::string job : {"j1", "j2", "j3", "j4"})
            system.run(job, end_kind::Failed, milliseconds(5000), true);
        check(system.isChosen());
    });
    section("and with the feature off the agent's count changes nothing", [] {
        fixture system(false);
        for (const std::string job : {"j1", "j2", "j3", "j4"})
            system.run(job, end_kind::Failed);
        check(system.isChosen());
    });
}
