// Tests job_controller, which controls the jobs that an entry owns: the order of steps, one run of
// a task at a time, and what must hold when a write, an order, a worker or the entry itself is
// lost.
#include <algorithm>
#include <map>
#include <utility>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const owner_id Self{"entry-a", 1};
const owner_id Other{"entry-b", 4};

struct test_fixture
{
    worker_pool workers;
    job_controller controller{Self, workers};
    time_point now{std::chrono::hours(1)};
    std::int64_t version = 100;
    std::vector<write_row> writes;
    std::vector<send_order> orders;
    std::vector<std::int64_t> confirmedTokens;
    std::vector<std::int64_t> lostTokens;
    std::vector<log_event> logEvents;
    std::int64_t wallMs = 1000;

    test_fixture()
    {
        receiveReports("w1");
        receiveReports("w2");
    }

    void receiveReports(const std::string &worker, std::int64_t epoch = 1,
                        std::int64_t agentIncarnation = 0, bool accepting = true)
    {
        worker_report report;
        report.worker = worker;
        report.agentIncarnation = agentIncarnation;
        report.epoch = epoch;
        report.service = "tickets";
        report.isAccepting = accepting;
        report.capacity = {16'000, 64'000, 0};
        workers.update(report, now);
    }

    // Applies a worker's last report again with a change.
    template <typename Change>
    void repeatReport(const std::string &worker, Change change)
    {
        auto report = workers.find(worker)->lastReport;
        change(report);
        workers.update(report, now);
    }
    template <typename Change>
    void repeatAllReports(Change change)
    {
        for (const char *worker : {"w1", "w2"})
            repeatReport(worker, change);
    }

    // Makes a worker refuse new runs, in tests that must know which of two equal workers gets a
    // task.
    void stopAccepting(const std::string &worker) { receiveReports(worker, 1, 0, false); }

    static job_spec twoSteps()
    {
        job_spec spec;
        spec.payload = "hold seat 7";
        step_spec first;
        first.count = 2;
        first.size = {500, 100, 0};
        first.estimateMs = 600;
        step_spec second = first;
        second.count = 1;
        second.after = {0};
        spec.steps = {first, second};
        return spec;
    }

    void submitJob(const job_spec &spec = twoSteps(), std::int64_t token = 1)
    {
        queue_policy policy;
        policy.queue = "holds";
        policy.service = "tickets";
        policy.maxAttempts = 2;
        controller.submit("j", spec, policy, wallMs, now, token);
        tick();
    }

    // Plans, and collects the resulting actions.
    void tick()
    {
        controller.plan(now, wallMs);
        for (auto &action : controller.takeActions()) {
            if (auto *write = std::get_if<write_row>(&action))
                writes.push_back(*write);
            else if (auto *order = std::get_if<send_order>(&action))
                orders.push_back(*order);
            else if (auto *done = std::get_if<change_stored>(&action))
                confirmedTokens.push_back(done->token);
            else if (auto *lost = std::get_if<ownership_lost>(&action))
                lostTokens.push_back(lost->token);
            else if (auto *line = std::get_if<log_event>(&action))
                logEvents.push_back(*line);
        }
    }

    void confirmWrite()
    {
        controller.rowWritten("j", ++version);
        tick();
    }

    void acceptOrder(const send_order &order)
    {
        controller.orderAnswered(
                order.worker, {order.order.task, order.order.run, order_outcome::Accepted}, now, 0);
    }

    void advance(milliseconds duration)
    {
        now += duration;
        wallMs += duration.count();
        tick();
    }

    std::string logDetailOf(const std::string &event) const
    {
        const auto found = std::find_if(logEvents.begin(), logEvents.end(),
                                        [&](const auto &item) { return item.event == event; });
        return found == logEvents.end() ? "" : found->detail;
    }

    std::size_t countStarts(const task_id &task) const
    {
        return static_cast<std::size_t>(
                std::count_if(orders.begin(), orders.end(), [&](const auto &item) {
                    return item.order.kind == order_kind::Start && item.order.task == task;
                }));
    }

    void endRun(const send_order &order, end_kind endKind, std::int64_t token = 50)
    {
        controller.runEnded(order.worker, {1, order.order.task, order.order.run, endKind, ""}, now,
                            token);
        tick();
    }
};

} // namespace

Test(job_controller, a_job_of_two_steps)
{
    test_fixture fixture;
    fixture.submitJob();
    section("acceptance and first placement are one write, before which no order is sent", [&] {
        require(fixture.writes.size() == 1);
        check(fixture.writes[0].expectedVersion == 0);
        check(fixture.writes[0].payload == "hold seat 7");
        check(fixture.orders.empty());
        check(fixture.confirmedTokens.empty());
    });
    section("once it is stored, the caller is answered and the first step starts", [&] {
        fixture.confirmWrite();
        check(fixture.confirmedTokens == std::vector<std::int64_t>{1});
        require(fixture.orders.size() == 2);
        check(fixture.controller.storedState("j") == job_state::Running);
    });
    section("the second step is placed when the last run of the first has ended", [&] {
        for (const auto &order : std::vector(fixture.orders)) {
            fixture.acceptOrder(order);
            fixture.endRun(order, end_kind::Done);
        }
        fixture.confirmWrite();
        fixture.confirmWrite();
        require(fixture.orders.size() == 3);
        check(fixture.orders[2].order.task.step == 1);
    });
    section("the job is shown as completed once its last end is stored, not before", [&] {
        fixture.acceptOrder(fixture.orders[2]);
        fixture.endRun(fixture.orders[2], end_kind::Done);
        check(fixture.controller.storedState("j") == job_state::Running);
        fixture.confirmWrite();
        check(fixture.controller.storedState("j") == job_state::Completed);
    });
}

// Guards against late jobs of which nobody can tell whether they waited or ran too long.
Test(job_controller, the_timeline_of_a_late_job_is_logged)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    section("nothing is logged for a job that is not completed", [&] {
        fixture.advance(milliseconds(700));
        check(fixture.logDetailOf("job_course").empty());
    });
    section("on completion, its lateness, slack and times are logged", [&] {
        for (std::size_t index = 0; index < 3; ++index) {
            require(fixture.orders.size() > index);
            fixture.acceptOrder(fixture.orders[index]);
            fixture.advance(milliseconds(400));
            fixture.endRun(fixture.orders[index], end_kind::Done);
            fixture.confirmWrite();
            fixture.confirmWrite();
        }
        check(fixture.logDetailOf("job_course")
              == "late by 700 ms; first placed after 0 ms with 0 ms of slack, completed 1900 ms "
                 "later; critical path estimated at 1200 ms, 0 ms with unplaced tasks");
    });
}

// A caller submits its job twice, at two entries. The second entry's write conflicts with the row
// of the first: it answers that the job is accepted, and starts nothing.
Test(job_controller, a_job_submitted_at_two_entries)
{
    test_fixture fixture;
    fixture.submitJob();
    auto row = newRecord(test_fixture::twoSteps(), {}, 1000);
    row.owner = Other;
    row.writeId = "entry-b:4:1";
    fixture.controller.rowConflict("j", 7, toText(row));
    fixture.tick();
    check(fixture.lostTokens == std::vector<std::int64_t>{1});
    check(!fixture.controller.owns("j"));
    check(fixture.orders.empty());
}

// The answer to a write is lost. When the write is repeated, the row already has its content.
Test(job_controller, the_answer_to_a_write_is_lost)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.controller.rowConflict("j", 7, fixture.writes[0].content);
    fixture.tick();
    check(fixture.confirmedTokens == std::vector<std::int64_t>{1});
    check(fixture.orders.size() == 2);
}

// Another entry cancels the job in its row while the owner cannot be reached. The owner finds out
// when its next write conflicts; it keeps the job and stops its runs.
Test(job_controller, a_job_cancelled_by_another_entry)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    for (const auto &order : std::vector(fixture.orders))
        fixture.acceptOrder(order);
    fixture.endRun(fixture.orders[0], end_kind::Done);
    auto row = recordFrom(fixture.writes[0].content);
    row.cancelled = true;
    row.writeId = "entry-b:cancel:1";
    fixture.orders.clear();
    fixture.controller.rowConflict("j", 107, toText(row));
    fixture.tick();
    require(fixture.writes.back().expectedVersion == 107);
    fixture.confirmWrite();
    check(fixture.controller.storedState("j") == job_state::Cancelled);
    require(fixture.orders.size() == 1);
    check(fixture.orders[0].order.kind == order_kind::Stop);
}

// A worker's lease has expired. Runs that were placed on it have certainly ended, and their tasks
// start again with a higher run number. Runs that were placed in its new epoch stay.
Test(job_controller, a_worker_whose_lease_expired)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    for (const auto &order : std::vector(fixture.orders))
        fixture.acceptOrder(order);
    const auto lostOrder = fixture.orders[0];
    fixture.orders.clear();
    fixture.now += std::chrono::seconds(20);
    fixture.receiveReports(lostOrder.worker == "w1" ? "w2" : "w1");
    fixture.controller.workerRestarted(lostOrder.worker, 2, fixture.now);
    fixture.tick();
    fixture.confirmWrite();
    require(!fixture.orders.empty());
    for (const auto &order : fixture.orders) {
        check(order.worker != lostOrder.worker || order.order.epoch == 2);
        check(order.order.run == 2);
    }
}

// Guards against running a task again after it is done. Another entry took over the job, which the
// old owner has not learned yet. The new owner placed the task and died, so the agent reports its
// end to all entries. The old owner's record has no such run: if it acknowledged the end, the
// worker would forget it although it is in no row.
Test(job_controller, end_of_a_run_that_another_owner_placed)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto first = fixture.orders[0].order.task;
    const task_id second{first.job, first.occurrence, 1, 0};
    section("the end is not acknowledged while the run is unknown here", [&] {
        check(!fixture.controller.runEnded("w2", {3, second, 1, end_kind::Done, ""}, fixture.now,
                                           50));
        fixture.tick();
        check(fixture.confirmedTokens == std::vector<std::int64_t>{1}); // of the acceptance
    });
    section("the repeated end of a known run is acknowledged again", [&] {
        fixture.endRun(fixture.orders[0], end_kind::Done, 51);
        fixture.confirmWrite();
        fixture.endRun(fixture.orders[0], end_kind::Done, 52);
        check(fixture.confirmedTokens == (std::vector<std::int64_t>{1, 51, 52}));
    });
}

// Guards against losing the end of a run. A worker that leaves as planned, or whose agent acquires
// its lease again, begins a new epoch although none of its runs has expired. An end that is
// reported after that is reported only once.
Test(job_controller, end_of_a_run_of_an_earlier_epoch)
{
    section("done before its task is placed again: the task is done", [] {
        test_fixture fixture;
        fixture.submitJob();
        fixture.confirmWrite();
        const auto order = fixture.orders[0];
        fixture.acceptOrder(order);
        fixture.receiveReports(order.worker, 2);
        fixture.controller.workerRestarted(order.worker, 2, fixture.now);
        fixture.endRun(order, end_kind::Done, 50);
        fixture.confirmWrite();
        fixture.confirmWrite();
        check(fixture.controller.record("j")->find(order.order.task)->done);
        check(fixture.confirmedTokens == (std::vector<std::int64_t>{1, 50}));
        check(fixture.countStarts(order.order.task) == 1);
    });
    section("done after its task was placed again: the newer run is stopped", [] {
        test_fixture fixture;
        fixture.submitJob();
        fixture.confirmWrite();
        const auto order = fixture.orders[0];
        fixture.acceptOrder(order);
        fixture.receiveReports(order.worker, 2);
        fixture.controller.workerRestarted(order.worker, 2, fixture.now);
        fixture.tick();
        fixture.confirmWrite();
        require(fixture.countStarts(order.order.task) == 2);
        fixture.endRun(order, end_kind::Done, 50);
        check(fixture.confirmedTokens
              == std::vector<std::int64_t>{1}); // not before the end is in the row
        fixture.confirmWrite();
        fixture.confirmWrite();
        check(fixture.controller.record("j")->find(order.order.task)->done);
        check(fixture.confirmedTokens == (std::vector<std::int64_t>{1, 50}));
        check(fixture.countStarts(order.order.task) == 2);
        require(fixture.orders.back().order.kind == order_kind::Stop);
        check(fixture.orders.back().order.task == order.order.task);
        check(fixture.orders.back().order.run == 2);
    });
    section("failed: the attempt counts once, also at later owners", [] {
        test_fixture fixture;
        fixture.submitJob();
        fixture.confirmWrite();
        const auto order = fixture.orders[0];
        const auto task = order.order.task;
        fixture.acceptOrder(order);
        fixture.controller.workerRestarted(order.worker, 2, fixture.now);
        fixture.tick();
        fixture.confirmWrite();
        const auto recordBefore = *fixture.controller.record("j");
        fixture.endRun(order, end_kind::Failed, 50);
        fixture.endRun(order, end_kind::Failed, 51);
        fixture.confirmWrite();
        check(fixture.controller.record("j")->find(task)->failures == 1);
        check(fixture.confirmedTokens == (std::vector<std::int64_t>{1, 50, 51}));
        test_fixture newOwner;
        newOwner.controller.adopt("j", recordFrom(toText(recordBefore)), 7, "hold seat 7");
        newOwner.endRun(order, end_kind::Failed, 60);
        check(newOwner.controller.record("j")->find(task)->failures == 1);
        newOwner.endRun(order, end_kind::Failed, 61);
        check(newOwner.controller.record("j")->find(task)->failures == 1);
        test_fixture thirdOwner;
        thirdOwner.controller.adopt("j", recordFrom(toText(*newOwner.controller.record("j"))), 9,
                                    "hold seat 7");
        thirdOwner.endRun(order, end_kind::Failed, 70);
        check(thirdOwner.controller.record("j")->find(task)->failures == 1);
    });
    section("done, of one member of a gang: the whole gang is done", [] {
        test_fixture fixture;
        auto spec = test_fixture::twoSteps();
        spec.steps[0].isGang = true;
        fixture.submitJob(spec);
        fixture.confirmWrite();
        const auto order = fixture.orders[0];
        for (const auto &item : std::vector(fixture.orders))
            fixture.acceptOrder(item);
        fixture.controller.workerRestarted(order.worker, 2, fixture.now);
        fixture.endRun(order, end_kind::Done, 50);
        check(fixture.controller.record("j")->isStepDone(0, 0));
    });
    section("done, of a long-running task: it has to run again", [] {
        test_fixture fixture;
        auto spec = test_fixture::twoSteps();
        spec.steps.pop_back();
        spec.steps[0].isLongRunning = true;
        fixture.submitJob(spec);
        fixture.confirmWrite();
        const auto order = fixture.orders[0];
        fixture.acceptOrder(order);
        fixture.controller.workerRestarted(order.worker, 2, fixture.now);
        fixture.endRun(order, end_kind::Done, 50);
        check(!fixture.controller.record("j")->find(order.order.task)->done);
        fixture.confirmWrite();
        fixture.confirmWrite();
        check(fixture.countStarts(order.order.task) == 2);
    });
}

// Guards against starting a task seconds after it was done: an agent has accepted a newer run of
// it, and only the memory of the owner, which dies, knows that this run is to be stopped.
Test(job_controller, a_redundant_run)
{
    // Run 1 ends with its epoch and run 2 is accepted; then run 1 is reported as done.
    const auto finishWithNewerRun = [](test_fixture &fixture, const job_spec &spec) {
        fixture.submitJob(spec);
        fixture.confirmWrite();
        const auto first = fixture.orders[0];
        fixture.acceptOrder(first);
        fixture.controller.workerRestarted(first.worker, 2, fixture.now);
        fixture.tick();
        fixture.confirmWrite();
        const auto newerOrder =
                *std::find_if(fixture.orders.rbegin(), fixture.orders.rend(),
                              [&](auto &item) { return item.order.task == first.order.task; });
        require(newerOrder.order.run == 2);
        fixture.acceptOrder(newerOrder);
        fixture.endRun(first, end_kind::Done, 50);
        fixture.confirmWrite();
        return newerOrder;
    };
    auto singleTaskSpec = test_fixture::twoSteps();
    singleTaskSpec.steps.pop_back();
    singleTaskSpec.steps[0].count = 1;
    const auto countStops = [](const test_fixture &fixture, const send_order &run) {
        return std::count_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto &item) {
            return item.order.kind == order_kind::Stop && item.order.task == run.order.task
                   && item.order.run == run.order.run && item.worker == run.worker;
        });
    };
    section("the redundant run stays in the row, and a new owner stops it and starts nothing", [&] {
        test_fixture fixture;
        const auto newerOrder = finishWithNewerRun(fixture, test_fixture::twoSteps());
        const auto row = recordFrom(fixture.writes.back().content);
        check(row.find(newerOrder.order.task)->done);
        test_fixture newOwner;
        newOwner.controller.adopt("j", row, 102, "hold seat 7");
        newOwner.tick();
        newOwner.confirmWrite();
        check(countStops(newOwner, newerOrder) == 1);
        check(newOwner.countStarts(newerOrder.order.task) == 0);
    });
    section("a completed job keeps the redundant run, too, and still needs an owner", [&] {
        test_fixture fixture;
        const auto newerOrder = finishWithNewerRun(fixture, singleTaskSpec);
        check(fixture.controller.storedState("j") == job_state::Completed);
        const auto row = recordFrom(fixture.writes.back().content);
        check(row.state() == job_state::Completed);
        check(row.needsOwner());
        test_fixture newOwner;
        newOwner.controller.adopt("j", row, 102, "hold seat 7");
        newOwner.tick();
        newOwner.confirmWrite();
        check(countStops(newOwner, newerOrder) == 1);
        section("no owner is needed once the run has ended, which changes nothing else", [&] {
            newOwner.endRun(newerOrder, end_kind::Failed, 60);
            newOwner.confirmWrite();
            const auto last = recordFrom(newOwner.writes.back().content);
            check(!last.needsOwner());
            check(last.state() == job_state::Completed);
            check(newOwner.confirmedTokens == std::vector<std::int64_t>{60});
        });
    });
    section("no owner is needed once the run is refused or its worker has a new epoch", [&] {
        test_fixture fixture;
        const auto newerOrder = finishWithNewerRun(fixture, singleTaskSpec);
        fixture.controller.orderAnswered(
                newerOrder.worker,
                {newerOrder.order.task, 2, order_outcome::Superseded, order_kind::Stop},
                fixture.now, 0);
        fixture.tick();
        check(!recordFrom(fixture.writes.back().content).needsOwner());
        test_fixture other;
        const auto otherNewerOrder = finishWithNewerRun(other, singleTaskSpec);
        other.controller.workerRestarted(otherNewerOrder.worker, 3, other.now);
        other.tick();
        check(!recordFrom(other.writes.back().content).needsOwner());
    });
    section("the stop of the run is sent again when the agent has restarted", [&] {
        test_fixture fixture;
        const auto newerOrder = finishWithNewerRun(fixture, singleTaskSpec);
        fixture.orders.clear();
        fixture.controller.workerRestarted(newerOrder.worker, newerOrder.order.epoch, fixture.now);
        fixture.tick();
        check(countStops(fixture, newerOrder) == 1);
        check(fixture.countStarts(newerOrder.order.task) == 0);
    });
    section("to the previous release, the row says only that the task is done", [&] {
        test_fixture fixture;
        finishWithNewerRun(fixture, singleTaskSpec);
        check(fixture.writes.back().content.find(R"("t":[[[1]]])") != std::string::npos);
    });
}

// Guards against running a task twice at the same time, by an order that reaches an agent which has
// been restarted since.
Test(job_controller, a_start_names_the_agent_incarnation_it_was_placed_on)
{
    test_fixture fixture;
    fixture.repeatAllReports([](auto &report) { report.agentIncarnation = 7; });
    fixture.submitJob();
    fixture.confirmWrite();
    check(fixture.orders[0].order.agentIncarnation == 7);
    section("also when the order is sent again to the next incarnation", [&] {
        const auto &worker = fixture.orders[0].worker;
        fixture.repeatReport(worker, [](auto &report) { report.agentIncarnation = 8; });
        fixture.orders.clear();
        fixture.controller.workerRestarted(worker, 1, fixture.now);
        fixture.tick();
        require(!fixture.orders.empty());
        check(fixture.orders[0].order.agentIncarnation == 7);
    });
    section("also when a new owner sends the order", [&] {
        test_fixture newOwner;
        newOwner.controller.adopt("j", recordFrom(fixture.writes.back().content), 102,
                                  "hold seat 7");
        newOwner.tick();
        newOwner.confirmWrite();
        require(newOwner.orders.size() == 2);
        check(newOwner.orders[0].order.agentIncarnation == 7);
    });
    section("the wire format keeps the incarnation", [&] {
        const auto sent = orderBatchFrom(toText(order_batch{"a", "b", {fixture.orders[0].order}}));
        check(sent.orders[0].agentIncarnation == 7);
    });
}

// Guards against running a task again after it is done: its start order was delayed, and the stop
// order that overtook it was lost.
Test(job_controller, a_start_has_a_deadline)
{
    test_fixture fixture;
    fixture.repeatAllReports([](auto &report) { report.clockMs = 5000; });
    fixture.submitJob();
    fixture.confirmWrite();
    const auto first = fixture.orders[0];
    section("the deadline is by the agent's clock", [&] {
        check(first.order.startDeadlineMs > 5000);
        check(first.order.startDeadlineMs < 6000);
    });
    section("the wire format keeps the deadline and the clock", [&] {
        const auto sent = orderBatchFrom(toText(order_batch{"a", "b", {first.order}}));
        check(sent.orders[0].startDeadlineMs == first.order.startDeadlineMs);
        auto report = fixture.workers.find("w1")->lastReport;
        check(reportFrom(toText(report)).clockMs == 5000);
    });
    section("the wire format keeps the answer that the deadline has passed", [] {
        const order_answer answer{{"j", 0, 0, 0}, 1, order_outcome::DeadlineExceeded};
        check(orderAnswersFrom(toText({answer}))[0].outcome == order_outcome::DeadlineExceeded);
    });
    section("after that answer, the same run is ordered again with a later deadline", [&] {
        fixture.orders.clear();
        fixture.controller.orderAnswered(first.worker,
                                         {first.order.task, 1, order_outcome::DeadlineExceeded},
                                         fixture.now, 0);
        fixture.now += milliseconds(400);
        fixture.tick();
        require(fixture.orders.size() == 1);
        check(fixture.orders[0].worker == first.worker);
        check(fixture.orders[0].order.run == 1);
        check(fixture.orders[0].order.startDeadlineMs > first.order.startDeadlineMs);
    });
}

// Guards against placing a task on the same worker again and again: a worker that refuses starts
// has the most free capacity of all. A run that it did not start goes elsewhere.
Test(job_controller, a_run_that_never_started_goes_elsewhere)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto first = fixture.orders[0];
    fixture.acceptOrder(first);
    fixture.endRun(first, end_kind::NeverStarted);
    fixture.confirmWrite();
    const auto newOrder = fixture.orders.back();
    check(newOrder.order.task == first.order.task);
    check(newOrder.order.run == 2);
    check(newOrder.worker != first.worker);
    check(fixture.controller.record("j")->find(first.order.task)->failures == 0);
}

// Guards against a gang that waits for a missing member, and occupies its workers, until these end
// its runs.
Test(job_controller, a_gang_with_a_member_that_never_starts)
{
    auto gangSpec = test_fixture::twoSteps();
    gangSpec.steps.pop_back();
    gangSpec.steps[0].isGang = true;
    const auto countStops = [](const test_fixture &fixture, const task_id &task) {
        return std::count_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto &item) {
            return item.order.kind == order_kind::Stop && item.order.task == task;
        });
    };
    section("never started by its agent: the others are stopped, and it goes elsewhere", [&] {
        test_fixture fixture;
        fixture.submitJob(gangSpec);
        fixture.confirmWrite();
        require(fixture.orders.size() == 2);
        const auto first = fixture.orders[0];
        const auto second = fixture.orders[1];
        fixture.acceptOrder(first);
        fixture.acceptOrder(second);
        fixture.endRun(first, end_kind::NeverStarted);
        fixture.confirmWrite();
        check(countStops(fixture, second.order.task) == 1);
        check(fixture.countStarts(first.order.task) == 1); // not before the others have ended
        fixture.endRun(second, end_kind::Stopped);
        fixture.confirmWrite();
        fixture.confirmWrite();
        require(fixture.countStarts(first.order.task) == 2);
        const auto newOrder =
                std::find_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto &item) {
                    return item.order.task == first.order.task && item.order.run == 2;
                });
        check(newOrder->worker != first.worker);
    });
    section("the same, after the answers to all starts were planned with", [&] {
        test_fixture fixture;
        fixture.submitJob(gangSpec);
        fixture.confirmWrite();
        require(fixture.orders.size() == 2);
        const auto first = fixture.orders[0];
        const auto second = fixture.orders[1];
        fixture.acceptOrder(first);
        fixture.acceptOrder(second);
        fixture.advance(milliseconds(900));
        fixture.endRun(first, end_kind::NeverStarted);
        fixture.confirmWrite();
        check(countStops(fixture, second.order.task) == 1);
    });
    section("rejected by its agent: all are stopped", [&] {
        test_fixture fixture;
        fixture.submitJob(gangSpec);
        fixture.confirmWrite();
        const auto first = fixture.orders[0];
        const auto second = fixture.orders[1];
        fixture.acceptOrder(second);
        fixture.controller.orderRejected(first.worker, first.order, fixture.now);
        fixture.tick();
        check(countStops(fixture, second.order.task) == 1);
        fixture.advance(milliseconds(1000));
        check(countStops(fixture, first.order.task) == 1);
    });
    section("refused by its agent: the others are stopped, too", [&] {
        test_fixture fixture;
        fixture.submitJob(gangSpec);
        fixture.confirmWrite();
        const auto first = fixture.orders[0];
        const auto second = fixture.orders[1];
        fixture.acceptOrder(second);
        fixture.controller.orderAnswered(first.worker, {first.order.task, 1, order_outcome::NoRoom},
                                         fixture.now, 0);
        fixture.tick();
        fixture.confirmWrite();
        check(countStops(fixture, second.order.task) == 1);
    });
}

// Guards against a gang that waits for a member which has no run, and occupies its workers, until
// these end its runs as alone.
Test(job_controller, a_gang_that_has_lost_a_member)
{
    auto gangSpec = test_fixture::twoSteps();
    gangSpec.steps.pop_back();
    gangSpec.steps[0].isGang = true;
    gangSpec.steps[0].maxPerWorker = 1;
    const auto countOrders = [](const test_fixture &fixture, order_kind kind, const task_id &task) {
        return std::count_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto &item) {
            return item.order.kind == kind && item.order.task == task;
        });
    };
    test_fixture fixture;
    fixture.submitJob(gangSpec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 2);
    const auto first = fixture.orders[0];
    const auto second = fixture.orders[1];
    fixture.orders.clear();
    fixture.acceptOrder(second);
    section("with the epoch of its worker: the others are stopped", [&] {
        fixture.acceptOrder(first);
        fixture.advance(milliseconds(100));
        fixture.controller.epochSeen(first.worker, 2);
        fixture.tick();
        fixture.confirmWrite();
        check(countOrders(fixture, order_kind::Stop, second.order.task) == 1);
    });
    section("the stop was accepted by an agent that restarts: it is sent again", [&] {
        fixture.controller.orderAnswered(
                second.worker, {second.order.task, 1, order_outcome::Accepted, order_kind::Stop},
                fixture.now, 0);
        fixture.tick();
        fixture.orders.clear();
        fixture.controller.workerRestarted(second.worker, 1, fixture.now);
        fixture.tick();
        check(countOrders(fixture, order_kind::Stop, second.order.task) == 1);
        check(countOrders(fixture, order_kind::Start, second.order.task) == 0);
    });
    section("before the job was taken over: the successor stops the others", [&] {
        auto record = *fixture.controller.record("j");
        record.owner = Other;
        test_fixture successor;
        successor.controller.adopt("j", record, 90, "hold seat 7");
        successor.tick();
        successor.confirmWrite();
        check(countOrders(successor, order_kind::Start, second.order.task) == 0);
        check(countOrders(successor, order_kind::Stop, second.order.task) == 1);
        successor.endRun(second, end_kind::Stopped);
        successor.confirmWrite();
        successor.confirmWrite();
        check(countOrders(successor, order_kind::Start, first.order.task) == 1);
        check(countOrders(successor, order_kind::Start, second.order.task) == 1);
    });
}

// Guards against stops that are sent at each planning while another step waits, until the end of
// the run is reported.
Test(job_controller, a_member_of_an_incomplete_gang_is_stopped_once)
{
    auto spec = test_fixture::twoSteps();
    spec.steps[0].isGang = true;
    spec.steps[0].maxPerWorker = 1;
    spec.steps[1].after.clear();
    spec.steps[1].size = {64'000, 100, 0}; // no worker can take it
    test_fixture fixture;
    fixture.submitJob(spec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 2);
    const auto lost = fixture.orders[0];
    const auto stopped = fixture.orders[1];
    fixture.acceptOrder(lost);
    fixture.acceptOrder(stopped);
    fixture.orders.clear();
    fixture.controller.epochSeen(lost.worker, 2);
    fixture.tick();
    fixture.confirmWrite();
    require(fixture.orders.size() == 1);
    check(fixture.orders[0].order.kind == order_kind::Stop);
    for (int round = 0; round < 5; ++round) {
        fixture.controller.orderAnswered(
                stopped.worker, {stopped.order.task, 1, order_outcome::Accepted, order_kind::Stop},
                fixture.now, 0);
        fixture.advance(milliseconds(10));
    }
    check(fixture.orders.size() == 1);
}

// Guards against a member of a gang that starts when the others have given up: its agent was not
// ready until then.
Test(job_controller, a_member_whose_start_is_put_off_until_its_gang_has_ended)
{
    auto gangSpec = test_fixture::twoSteps();
    gangSpec.steps.pop_back();
    gangSpec.steps[0].isGang = true;
    test_fixture fixture;
    fixture.submitJob(gangSpec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 2);
    const auto first = fixture.orders[0];
    const auto second = fixture.orders[1];
    fixture.acceptOrder(second);
    fixture.controller.orderAnswered(first.worker, {first.order.task, 1, order_outcome::NotReady},
                                     fixture.now, 0);
    fixture.endRun(second, end_kind::Alone);
    fixture.confirmWrite();
    fixture.orders.clear();
    fixture.advance(milliseconds(400));
    check(fixture.countStarts(first.order.task) == 0);
    section("once the stop proves that nothing runs, the gang starts again", [&] {
        fixture.controller.orderAnswered(
                first.worker, {first.order.task, 1, order_outcome::Superseded, order_kind::Stop},
                fixture.now, 0);
        fixture.tick();
        fixture.confirmWrite();
        check(fixture.countStarts(first.order.task) == 1);
        check(fixture.countStarts(second.order.task) == 1);
    });
}

// Guards against a job that never starts: its order is rejected and sent again for ever.
Test(job_controller, an_order_that_its_agent_cannot_take)
{
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    test_fixture fixture;
    fixture.submitJob(spec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 1);
    const auto first = fixture.orders[0];
    fixture.orders.clear();
    fixture.controller.orderRejected(first.worker, first.order, fixture.now);
    fixture.tick();
    section("is taken back by a stop after a pause, as an earlier call may have started it", [&] {
        fixture.advance(milliseconds(900));
        check(fixture.orders.empty());
        fixture.advance(milliseconds(200));
        require(fixture.orders.size() == 1);
        check(fixture.orders[0].order.kind == order_kind::Stop);
        check(fixture.countStarts(first.order.task) == 0);
    });
    section("a stop that is rejected is sent again after the same pause", [&] {
        fixture.controller.orderRejected(first.worker, fixture.orders[0].order, fixture.now);
        fixture.advance(milliseconds(900));
        check(fixture.orders.size() == 1);
        fixture.advance(milliseconds(200));
        check(fixture.orders.size() == 2);
    });
    section("once the stop proves that nothing runs, the task goes elsewhere", [&] {
        fixture.controller.orderAnswered(
                first.worker, {first.order.task, 1, order_outcome::Superseded, order_kind::Stop},
                fixture.now, 0);
        fixture.tick();
        fixture.confirmWrite();
        require(fixture.countStarts(first.order.task) == 1);
        check(fixture.orders.back().worker != first.worker);
        check(fixture.orders.back().order.run == 2);
    });
    section("a late rejection of a run that is no longer placed changes nothing", [&] {
        fixture.acceptOrder(fixture.orders.back());
        fixture.orders.clear();
        fixture.controller.orderRejected(first.worker, first.order, fixture.now);
        fixture.advance(milliseconds(2000));
        check(fixture.orders.empty());
    });
}

// Guards against restarting the runs of an incomplete gang: they are being stopped when their agent
// restarts.
Test(job_controller, only_the_stop_is_sent_to_the_next_incarnation)
{
    auto gangSpec = test_fixture::twoSteps();
    gangSpec.steps.pop_back();
    gangSpec.steps[0].isGang = true;
    test_fixture fixture;
    fixture.submitJob(gangSpec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 2);
    const auto first = fixture.orders[0];
    const auto second = fixture.orders[1];
    fixture.acceptOrder(first);
    fixture.acceptOrder(second);
    fixture.endRun(first, end_kind::NeverStarted);
    fixture.confirmWrite();
    fixture.orders.clear();
    fixture.controller.workerRestarted(second.worker, 1, fixture.now);
    fixture.tick();
    check(fixture.countStarts(second.order.task) == 0);
    require(fixture.orders.size() == 1);
    check(fixture.orders[0].order.kind == order_kind::Stop);
}

// Guards against repeating work that was saved: a delayed report names the checkpoint of an earlier
// run.
Test(job_controller, a_checkpoint_of_an_earlier_run)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto first = fixture.orders[0];
    fixture.acceptOrder(first);
    fixture.controller.checkpointReported(first.worker, {first.order.task, 1, "half"});
    fixture.endRun(first, end_kind::Failed);
    fixture.confirmWrite();
    fixture.confirmWrite();
    const auto checkpoint = [&] {
        return fixture.controller.record("j")->find(first.order.task)->checkpoint;
    };
    const auto newOrder =
            std::find_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto &item) {
                return item.order.task == first.order.task && item.order.run == 2;
            });
    require(newOrder != fixture.orders.end());
    section("the checkpoint of the placed run counts", [&] {
        fixture.controller.checkpointReported(newOrder->worker, {first.order.task, 2, "more"});
        check(checkpoint() == "more");
    });
    section("the checkpoint of an earlier run does not", [&] {
        fixture.controller.checkpointReported(first.worker, {first.order.task, 1, "half"});
        check(checkpoint() == "more");
    });
}

// Guards against a suspended owner that takes runs from the new owner. When it resumes, it checks
// the leases of workers that have not reported, before it learns that another entry owns its jobs.
// It must send no orders then.
Test(job_controller, checking_a_lease_resends_no_orders)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto sentOrders = fixture.orders;
    for (const auto &order : sentOrders)
        fixture.acceptOrder(order);
    fixture.orders.clear();
    fixture.controller.epochSeen("w1", 1);
    fixture.controller.epochSeen("w2", 1);
    fixture.tick();
    check(fixture.orders.empty());
    section("a later epoch ends earlier placements", [&] {
        const auto restartedWorker = sentOrders[0].worker;
        fixture.controller.epochSeen(restartedWorker, 2);
        fixture.tick();
        for (const auto &order : sentOrders) {
            const int newest = order.worker == restartedWorker ? 2 : 1;
            check(fixture.controller.record("j")->find(order.order.task)->lastRun == newest);
        }
    });
}

// An agent reports an end again when the acknowledgement was lost. If the new owner refused it for
// good, this end and all later ones of that worker would never be forgotten.
Test(job_controller, an_end_reported_again_to_the_next_owner)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto task = fixture.orders[0].order.task;
    fixture.controller.orderAnswered(fixture.orders[0].worker, {task, 1, order_outcome::NoRoom},
                                     fixture.now, 0);
    fixture.tick();
    fixture.confirmWrite();
    const auto newOrder = fixture.orders.back();
    require(newOrder.order.run == 2);
    fixture.acceptOrder(newOrder);
    fixture.endRun(newOrder, end_kind::Done, 50);
    test_fixture newOwner;
    newOwner.controller.adopt("j", recordFrom(toText(*fixture.controller.record("j"))), 7,
                              "hold seat 7");
    check(newOwner.controller.runEnded(newOrder.worker, {1, task, 2, end_kind::Done, ""},
                                       newOwner.now, 60));
}

// Guards against jobs that count as waiting although they run: callers count waiting jobs by the
// rows of all owners, but only the owner knows from the agent that a run has started.
Test(job_controller, the_row_says_that_a_job_has_started)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto order = fixture.orders[0];
    const auto hasStartedInRow = [&] {
        return recordFrom(fixture.writes.back().content).hasStarted;
    };
    section("neither an order nor its acceptance marks the row", [&] {
        check(order.order.wantsStartReport);
        fixture.acceptOrder(order);
        fixture.now += milliseconds(5000);
        fixture.tick();
        check(!hasStartedInRow());
    });
    section("a reported start marks the row, with the next write or soon by one of its own", [&] {
        fixture.controller.runStarted({order.order.task, 1}, fixture.now);
        fixture.tick();
        check(fixture.writes.size() == 1);
        fixture.now += milliseconds(801);
        fixture.tick();
        require(fixture.writes.size() == 2);
        check(hasStartedInRow());
        fixture.confirmWrite();
    });
    section("the row is marked only once", [&] {
        fixture.controller.runStarted({order.order.task, 1}, fixture.now);
        fixture.now += milliseconds(801);
        fixture.tick();
        check(fixture.writes.size() == 2);
    });
    section("an end marks the row, except that of a run that never started", [] {
        test_fixture other;
        other.submitJob();
        other.confirmWrite();
        other.endRun(other.orders[0], end_kind::NeverStarted);
        check(!recordFrom(other.writes.back().content).hasStarted);
        other.confirmWrite();
        other.endRun(other.orders[1], end_kind::Stopped);
        check(recordFrom(other.writes.back().content).hasStarted);
    });
    section("a new owner asks for no more reports of starts", [&] {
        test_fixture newOwner;
        newOwner.controller.adopt("j", recordFrom(fixture.writes.back().content), 7, "hold seat 7");
        newOwner.tick();
        newOwner.confirmWrite();
        require(!newOwner.orders.empty());
        check(!newOwner.orders[0].order.wantsStartReport);
    });
}

Test(job_controller, an_unanswered_order_is_sent_again)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto first = fixture.orders[0];
    fixture.controller.orderUnanswered(first.worker, first.order.task, first.order.run,
                                       fixture.now);
    fixture.orders.clear();
    fixture.tick();
    check(fixture.orders.empty());
    fixture.now += milliseconds(301);
    fixture.tick();
    require(fixture.orders.size() == 1);
    check(fixture.orders[0].order.run == first.order.run); // the same run, so it starts only once
    check(fixture.orders[0].worker == first.worker);
}

// Guards against an agent that refuses an order again and again and looks like a silent one.
Test(job_controller, an_order_that_is_not_settled_is_logged_with_its_last_answer)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    const auto order = fixture.orders[0];
    const auto repeatUntilLogged = [&](const auto &answerOrder) {
        fixture.logEvents.clear();
        while (fixture.logDetailOf("order_unanswered").empty()) {
            answerOrder();
            fixture.now += milliseconds(400);
            fixture.tick();
        }
        return fixture.logDetailOf("order_unanswered");
    };
    section("the agent is silent", [&] {
        const auto line = repeatUntilLogged([&] {
            fixture.controller.orderUnanswered(order.worker, order.order.task, order.order.run,
                                               fixture.now);
        });
        check(line.ends_with("last answer none, 0 answers"));
    });
    section("the agent refuses it for now", [&] {
        const auto line = repeatUntilLogged([&] {
            fixture.controller.orderAnswered(
                    order.worker, {order.order.task, order.order.run, order_outcome::NotReady},
                    fixture.now, 0);
        });
        check(line.ends_with("last answer not_ready, 5 answers"));
    });
}

namespace {

job_spec oneStep(int count)
{
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = count;
    return spec;
}

// A job whose first order goes to an agent that has just found a run in its worker's list.
struct found_run_fixture : test_fixture
{
    static constexpr std::int64_t PlacedIn = 8; // incarnation of both agents at the placement
    run_table agent;
    send_order first;

    explicit found_run_fixture(const job_spec &spec)
    {
        for (const char *name : {"w1", "w2"})
            receiveReports(name, 1, PlacedIn);
        submitJob(spec);
        confirmWrite();
        first = orders[0];
        agent.setWorkerState({16'000, 64'000, 0}, start_readiness::Ready);
        agent.setEpoch(1);
        agent.setAgentIncarnation(PlacedIn);
    }

    void findRun(const task_id &task)
    {
        run_listing workerListing;
        workerListing.clockMs = 1000;
        workerListing.running.push_back({task, 1, "", 0});
        agent.applyListing(workerListing, now);
    }

    order_outcome giveOrder(const send_order &sentOrder)
    {
        const auto answer = agent.handleOrder(sentOrder.order, Self.entry, now);
        controller.orderAnswered(sentOrder.worker, answer, now, 0);
        tick();
        return answer.outcome;
    }

    bool isPlacedElsewhere() const
    {
        return countStarts(first.order.task) == 2 && orders.back().order.run == 2
               && orders.back().worker != first.worker;
    }
};

} // namespace

// Guards against a task that is stalled while another worker has free capacity: the agent that it
// was placed on postpones its start for up to 8 s, because it knows of runs that nobody has
// claimed. An agent may postpone a start only while it may have the run itself.
Test(job_controller, a_start_beside_unclaimed_runs_goes_elsewhere)
{
    const task_id unclaimed{"other", 0, 0, 0};
    section("placed in the agent's present incarnation", [&] {
        found_run_fixture fixture(oneStep(1));
        fixture.findRun(unclaimed);
        fixture.giveOrder(fixture.first);
        fixture.confirmWrite();
        check(fixture.isPlacedElsewhere());
        section("a late copy of the order starts nothing once the runs are claimed", [&] {
            auto claim = fixture.first.order;
            claim.task = unclaimed;
            require(fixture.agent.handleOrder(claim, Self.entry, fixture.now).outcome
                    == order_outcome::Accepted);
            check(fixture.giveOrder(fixture.first) == order_outcome::Superseded);
        });
    });
    section("placed in the agent's earlier incarnation", [&] {
        found_run_fixture fixture(oneStep(1));
        fixture.agent.setAgentIncarnation(found_run_fixture::PlacedIn + 1);
        fixture.findRun(unclaimed);
        fixture.receiveReports(fixture.first.worker, 1, found_run_fixture::PlacedIn + 1, false);
        fixture.giveOrder(fixture.first);
        fixture.confirmWrite();
        check(fixture.isPlacedElsewhere());
    });
    section("a gang goes elsewhere with all of its members", [&] {
        auto gangSpec = oneStep(2);
        gangSpec.steps[0].isGang = true;
        found_run_fixture fixture(gangSpec);
        fixture.findRun(unclaimed);
        require(fixture.orders.size() == 2);
        const auto second = fixture.orders[1];
        fixture.acceptOrder(second);
        fixture.giveOrder(fixture.first);
        fixture.confirmWrite();
        check(fixture.orders.back().order.kind == order_kind::Stop);
        check(fixture.orders.back().order.task == second.order.task);
    });
    section("an agent without an epoch may have the run, so the order is repeated there", [&] {
        found_run_fixture fixture(oneStep(1));
        fixture.findRun(fixture.first.order.task);
        fixture.agent.setEpoch(0);
        for (int order = 1; order <= 10; ++order) {
            require(fixture.orders.size() == static_cast<std::size_t>(order));
            require(fixture.orders.back().order.kind == order_kind::Start);
            check(fixture.orders.back().order.run == 1);
            check(fixture.giveOrder(fixture.orders.back()) == order_outcome::NotReady);
            fixture.advance(milliseconds(400));
        }
        fixture.agent.setEpoch(1);
        check(fixture.giveOrder(fixture.orders.back()) == order_outcome::Accepted);
    });
}

Test(job_controller, failures)
{
    section("a task that fails too often fails its job, and the other tasks are stopped", [] {
        test_fixture fixture;
        fixture.submitJob();
        fixture.confirmWrite();
        for (const auto &order : std::vector(fixture.orders))
            fixture.acceptOrder(order);
        const auto task = fixture.orders[0].order.task;
        fixture.endRun(fixture.orders[0], end_kind::Failed);
        fixture.confirmWrite();
        require(fixture.orders.size() == 3);
        check(fixture.orders[2].order.run == 2);
        check(fixture.orders[2].worker != fixture.orders[0].worker);
        fixture.acceptOrder(fixture.orders[2]);
        fixture.endRun(fixture.orders[2], end_kind::Failed);
        fixture.confirmWrite();
        check(fixture.controller.storedState("j") == job_state::Failed);
        require(fixture.orders.size() == 4);
        check(fixture.orders[3].order.kind == order_kind::Stop);
        check(fixture.orders[3].order.task != task);
    });
    section("a long-running task is started again however it ends", [] {
        test_fixture fixture;
        auto spec = test_fixture::twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].isLongRunning = true;
        fixture.submitJob(spec);
        fixture.confirmWrite();
        for (const auto endKind : {end_kind::Failed, end_kind::Failed, end_kind::Done}) {
            const auto last = fixture.orders.back();
            fixture.acceptOrder(last);
            fixture.endRun(last, endKind);
            fixture.confirmWrite();
            check(fixture.orders.back().order.run == last.order.run + 1);
        }
    });
}

Test(job_controller, a_limit_of_tasks_on_one_worker)
{
    test_fixture fixture;
    auto spec = test_fixture::twoSteps();
    spec.steps[0].count = 5;
    spec.steps[0].maxPerWorker = 2;
    fixture.submitJob(spec);
    fixture.confirmWrite();
    std::map<std::string, int> perWorker;
    for (const auto &order : fixture.orders)
        ++perWorker[order.worker];
    check(fixture.orders.size() == 4);
    check(perWorker["w1"] == 2);
    check(perWorker["w2"] == 2);
}

Test(job_controller, a_gang_starts_whole_or_not_at_all)
{
    test_fixture fixture;
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].isGang = true;
    spec.steps[0].count = 3;
    spec.steps[0].size = {12'000, 100, 0};
    fixture.submitJob(spec);
    fixture.confirmWrite();
    check(fixture.orders.empty());
    fixture.receiveReports("w3");
    fixture.tick();
    fixture.confirmWrite();
    check(fixture.orders.size() == 3);
}

// Guards against members of a gang that start on one worker beyond the limit that their caller has
// given: they are chosen before any of them is placed.
Test(job_controller, members_of_a_gang_within_the_limit_per_worker)
{
    const auto gangOf = [](int members, int maxPerWorker, int steps) {
        auto spec = test_fixture::twoSteps();
        spec.steps.resize(static_cast<std::size_t>(steps));
        for (auto &step : spec.steps) {
            step.isGang = true;
            step.count = members;
            step.maxPerWorker = maxPerWorker;
            step.after.clear();
        }
        return spec;
    };
    const auto mostOnOneWorker = [](const test_fixture &fixture, int occurrence, int step) {
        std::map<std::string, int> perWorker;
        for (const auto &order : fixture.orders) {
            const auto &task = order.order.task;
            if (order.order.kind == order_kind::Start && task.occurrence == occurrence
                && task.step == step)
                ++perWorker[order.worker];
        }
        int most = 0;
        for (const auto &[worker, runs] : perWorker)
            most = std::max(most, runs);
        return most;
    };
    section("each worker gets as many as allowed", [&] {
        for (const int limit : {1, 2, 3}) {
            test_fixture fixture;
            fixture.submitJob(gangOf(2 * limit, limit, 1));
            fixture.confirmWrite();
            check(static_cast<int>(fixture.orders.size()) == 2 * limit);
            check(mostOnOneWorker(fixture, 0, 0) == limit);
        }
    });
    section("where too few workers are in order, the gang waits and its line says so", [&] {
        test_fixture fixture;
        fixture.submitJob(gangOf(3, 1, 1));
        fixture.confirmWrite();
        fixture.advance(milliseconds(2500));
        check(fixture.orders.empty());
        const auto line = fixture.logDetailOf("tasks_unplaced");
        check(line.starts_with("3 tasks of step 0.0 unplaced for 2500 ms: 2 fit"));
        check(line.ends_with("; a gang, which starts whole; at most 1 on a worker"));
        fixture.receiveReports("w3");
        fixture.tick();
        fixture.confirmWrite();
        check(fixture.orders.size() == 3);
        check(mostOnOneWorker(fixture, 0, 0) == 1);
    });
    section("steps and occurrences are counted apart", [&] {
        test_fixture fixture;
        auto spec = gangOf(2, 1, 2);
        spec.occurrences = 2;
        spec.firstOccurrenceMs = 1;
        spec.intervalMs = 1;
        fixture.submitJob(spec);
        fixture.confirmWrite();
        check(fixture.orders.size() == 8);
        for (const int occurrence : {0, 1}) {
            for (const int step : {0, 1})
                check(mostOnOneWorker(fixture, occurrence, step) == 1);
        }
    });
    section("after a failure, which worker is avoided does not matter to the limit", [&] {
        test_fixture fixture;
        fixture.submitJob(gangOf(2, 1, 1));
        fixture.confirmWrite();
        const auto first = fixture.orders;
        require(first.size() == 2);
        for (const auto &order : first) {
            fixture.acceptOrder(order);
            fixture.endRun(order, end_kind::Broken);
        }
        fixture.orders.clear();
        fixture.confirmWrite();
        fixture.confirmWrite();
        check(fixture.orders.size() == 2);
        check(mostOnOneWorker(fixture, 0, 0) == 1);
    });
    section("with weighed waits, on one rack or spread", [&] {
        for (const bool prefersSameRack : {false, true}) {
            controller_settings settings;
            settings.features.weighsWaits = true;
            test_fixture fixture;
            job_controller controller(Self, fixture.workers, settings);
            auto spec = gangOf(2, 1, 1);
            spec.steps[0].prefersSameRack = prefersSameRack;
            controller.submit("j", spec, {"holds", "tickets"}, 1000, fixture.now, 1);
            const auto &members = controller.record("j")->tasks[0][0];
            require(!members[0].placements.empty() && !members[1].placements.empty());
            check(members[0].placements[0].worker != members[1].placements[0].worker);
        }
    });
}

Test(job_controller, a_record_is_stored_and_read)
{
    test_fixture fixture;
    fixture.submitJob();
    const auto row = recordFrom(fixture.writes[0].content);
    check(row.owner == Self);
    check(toText(row) == fixture.writes[0].content);
    section("a record of another version, or malformed, is refused", [] {
        cr_expect_throw(recordFrom(R"({"v":2})"), error);
        cr_expect_throw(recordFrom("not JSON"), error);
        cr_expect_throw(recordFrom(R"({"v":1,"o":[]})"), error);
    });
    section("an entry that takes over sends the same orders again", [&] {
        test_fixture newOwner;
        newOwner.controller.adopt("j", row, 101, "hold seat 7");
        newOwner.tick();
        require(newOwner.writes.size() == 1);
        check(newOwner.writes[0].expectedVersion == 101);
        check(newOwner.orders.empty()); // not before the new owner has stored its ownership
        newOwner.confirmWrite();
        check(newOwner.orders.size() == 2);
        check(newOwner.orders[0].order.run == 1);
    });
}

// Guards against runs that continue after a cancel. The owner dies right after it stored the
// cancel, before it told the workers. The job is finished, but still needs an owner; the new one
// stops its runs.
Test(job_controller, an_owner_that_dies_right_after_a_cancel)
{
    test_fixture fixture;
    fixture.submitJob();
    fixture.confirmWrite();
    fixture.controller.cancel("j", 2);
    fixture.tick();
    const auto row = recordFrom(fixture.writes.back().content);
    check(row.state() == job_state::Cancelled);
    check(row.needsOwner());
    test_fixture newOwner;
    newOwner.controller.adopt("j", row, 102, "hold seat 7");
    newOwner.tick();
    newOwner.confirmWrite();
    require(newOwner.orders.size() == 2);
    check(newOwner.orders[0].order.kind == order_kind::Stop);
    section("once its runs have ended, the job needs no owner", [&] {
        for (const auto &order : std::vector(newOwner.orders))
            newOwner.endRun(order, end_kind::Stopped);
        newOwner.confirmWrite();
        check(!recordFrom(newOwner.writes.back().content).needsOwner());
        check(newOwner.controller.unfinishedJobCount() == 0);
    });
}

Test(job_controller, invalid_jobs_are_refused)
{
    auto spec = test_fixture::twoSteps();
    spec.steps[0].after = {1};
    cr_expect_throw(checkSpec(spec), error);
    spec = test_fixture::twoSteps();
    spec.steps[1].count = 0;
    cr_expect_throw(checkSpec(spec), error);
    spec.steps.clear();
    cr_expect_throw(checkSpec(spec), error);
}

namespace {

// Makes both workers run a serving image close to its target, with which the image `indexer`
// interferes.
void loadWorkers(test_fixture &fixture, std::int64_t usedMillicores)
{
    for (int sampleNumber = 0; sampleNumber < 200; ++sampleNumber) {
        const double cores = sampleNumber % 2 == 0 ? 0.0 : 4.0;
        const auto tail = static_cast<std::int64_t>(25 / (1 - 0.4 - 0.06 * cores));
        fixture.workers.interferenceEstimator().learn({"site", tail, 150, {{"indexer", cores}}});
    }
    for (const char *name : {"w1", "w2"}) {
        worker_report report;
        report.worker = name;
        report.epoch = 1;
        report.service = "tickets";
        report.isAccepting = true;
        report.capacity = {16'000, 64'000, 0};
        report.used = {usedMillicores, 0, 0};
        report.serving = {{"site", 0.0}};
        fixture.workers.update(report, fixture.now);
    }
}

job_spec bestEffortJob()
{
    job_spec spec;
    step_spec step;
    step.size = {2000, 100, 0};
    step.isBestEffort = true;
    step.image = "indexer";
    step.estimateMs = 2000;
    spec.steps = {step};
    return spec;
}

bool isPlacedAfter(test_fixture &fixture, milliseconds wait, std::int64_t usedMillicores)
{
    fixture.now += wait;
    loadWorkers(fixture, usedMillicores);
    fixture.tick();
    return !fixture.controller.workersWithPlacements().empty();
}

} // namespace

// A batch job waits while it would make a service late on every worker, since its objective leaves
// it time. But it does not wait forever. While most of the service is idle, the caller of a job
// considers it lost when none of its tasks runs for 3 s. While most of it is in use, the job must
// still be completed in the end.
Test(job_controller, best_effort_tasks_wait_for_a_harmless_placement)
{
    section("most of the service is idle", [] {
        test_fixture fixture;
        loadWorkers(fixture, 4000);
        fixture.submitJob(bestEffortJob());
        check(fixture.controller.workersWithPlacements().empty());
        check(!isPlacedAfter(fixture, milliseconds(2499), 4000));
        check(isPlacedAfter(fixture, milliseconds(1), 4000));
    });
    section("most of the service is in use", [] {
        test_fixture fixture;
        loadWorkers(fixture, 12'000);
        fixture.submitJob(bestEffortJob());
        check(!isPlacedAfter(fixture, milliseconds(59'999), 12'000));
        check(isPlacedAfter(fixture, milliseconds(1), 12'000));
    });
}

// A task that has served for a while and fails goes back to the worker where the other tasks of its
// job are, so that users of the service depend on one worker and not on many. One that fails at
// once goes elsewhere.
Test(job_controller, a_failed_long_running_task_returns_to_its_worker)
{
    const auto returnsAfter = [](milliseconds servingTime) {
        test_fixture fixture;
        job_spec spec;
        step_spec step;
        step.count = 2;
        step.size = {3000, 100, 0};
        step.isLongRunning = true;
        step.image = "site";
        step.latencyTargetMs = 150;
        spec.steps = {step};
        fixture.submitJob(spec);
        fixture.confirmWrite();
        require(fixture.orders.size() == 2);
        check(fixture.orders[0].worker == fixture.orders[1].worker);
        for (const auto &order : std::vector<send_order>(fixture.orders))
            fixture.acceptOrder(order);
        fixture.now += servingTime;
        for (const char *name : {"w1", "w2"})
            fixture.receiveReports(name);
        const auto first = fixture.orders[0];
        fixture.endRun(first, end_kind::Failed);
        fixture.confirmWrite();
        require(fixture.orders.size() == 3);
        return fixture.orders[2].worker == first.worker;
    };
    check(returnsAfter(milliseconds(5000)));
    check(!returnsAfter(milliseconds(1000)));
}

// Guards against a worker that is quarantined because its long-running tasks fail now and then.
// None of them ever ends as done, so the failures of a whole day count as failures in a row. The
// failed task then waits for the end of the quarantine, although its worker has room for it and no
// other worker has.
Test(job_controller, a_worker_whose_long_running_tasks_fail_after_serving)
{
    constexpr milliseconds Served{10'000};
    constexpr milliseconds AtOnce{500};
    const auto submitToOnlyWorker = [](test_fixture &fixture) {
        auto spec = test_fixture::twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].isLongRunning = true;
        fixture.stopAccepting("w2");
        fixture.submitJob(spec);
        fixture.confirmWrite();
    };
    // Returns whether the task starts again.
    const auto failAfter = [](test_fixture &fixture, milliseconds servingTime) {
        const auto last = fixture.orders.back();
        fixture.acceptOrder(last);
        fixture.now += servingTime;
        fixture.receiveReports("w1");
        fixture.endRun(last, end_kind::Failed);
        fixture.confirmWrite();
        return fixture.orders.back().order.run == last.order.run + 1;
    };
    section("it is not quarantined for them", [&] {
        test_fixture fixture;
        submitToOnlyWorker(fixture);
        for (int failure = 0; failure < 6; ++failure)
            check(failAfter(fixture, Served));
    });
    section("a run that has served ends the row of failures", [&] {
        test_fixture fixture;
        submitToOnlyWorker(fixture);
        for (int failure = 0; failure < 3; ++failure)
            check(failAfter(fixture, AtOnce));
        check(failAfter(fixture, Served));
        for (int failure = 0; failure < 3; ++failure)
            check(failAfter(fixture, AtOnce));
    });
    section("a run that its agent's next incarnation takes over has served since its start", [&] {
        test_fixture fixture;
        submitToOnlyWorker(fixture);
        for (int failure = 0; failure < 3; ++failure)
            check(failAfter(fixture, AtOnce));
        fixture.acceptOrder(fixture.orders.back());
        fixture.now += Served;
        fixture.receiveReports("w1", 1, 2);
        fixture.controller.workerRestarted("w1", 1, fixture.now);
        fixture.tick();
        check(failAfter(fixture, AtOnce));
    });
    section("it is quarantined when they fail at once", [&] {
        test_fixture fixture;
        submitToOnlyWorker(fixture);
        for (int failure = 0; failure < 3; ++failure)
            check(failAfter(fixture, AtOnce));
        check(!failAfter(fixture, AtOnce));
    });
}

// Guards against a worker that gets no tasks although no line says so: without it, an operator sees
// waiting tasks beside free capacity and no reason for it.
Test(job_controller, a_quarantine_is_logged)
{
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = 6;
    spec.steps[0].isLongRunning = true;
    test_fixture fixture;
    fixture.stopAccepting("w2");
    fixture.submitJob(spec);
    fixture.confirmWrite();
    const auto orders = fixture.orders;
    require(orders.size() == 6);
    for (std::size_t run = 0; run < 5; ++run)
        fixture.acceptOrder(orders[run]);
    const auto countLines = [&] {
        return std::count_if(fixture.logEvents.begin(), fixture.logEvents.end(),
                             [](const auto &line) { return line.event == "worker_quarantined"; });
    };
    section("not before its runs have failed too often", [&] {
        for (std::size_t run = 0; run < 3; ++run)
            fixture.endRun(orders[run], end_kind::Failed);
        check(countLines() == 0);
    });
    section("once it begins, with its duration and its reason", [&] {
        fixture.endRun(orders[3], end_kind::Failed);
        check(fixture.logDetailOf("worker_quarantined")
              == "w1 for 6000 ms, 4 failures in a row, the last one of j.0.0.3 run 1");
    });
    section("not again for failures while it lasts", [&] {
        fixture.endRun(orders[4], end_kind::Failed);
        check(countLines() == 1);
    });
    section("again when a failure after its end begins another one", [&] {
        fixture.now += milliseconds(6000);
        fixture.acceptOrder(orders[5]);
        fixture.endRun(orders[5], end_kind::Failed);
        check(countLines() == 2);
    });
}

// Guards against a long-running task that waits beside free capacity: the only worker with room for
// it is quarantined because the runs of another job failed there, for 6 s and again for each
// further failure.
Test(job_controller, a_long_running_task_beside_a_quarantined_worker)
{
    const auto oneTask = [](bool isLongRunning) {
        auto spec = test_fixture::twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].isLongRunning = isLongRunning;
        return spec;
    };
    const auto quarantine = [](test_fixture &fixture, const std::string &worker) {
        for (int failure = 0; failure < 4; ++failure)
            fixture.workers.recordRunEnd(worker, end_kind::Failed, 0, fixture.now);
    };
    const auto fill = [](test_fixture &fixture, const std::string &worker) {
        fixture.repeatReport(worker, [](auto &report) { report.used = report.capacity; });
    };
    section("it starts there when no other worker has room", [&] {
        test_fixture fixture;
        quarantine(fixture, "w1");
        fill(fixture, "w2");
        fixture.submitJob(oneTask(true));
        fixture.confirmWrite();
        require(fixture.orders.size() == 1);
        check(fixture.orders[0].worker == "w1");
    });
    section("it starts on another worker that has room", [&] {
        test_fixture fixture;
        quarantine(fixture, "w1");
        fixture.submitJob(oneTask(true));
        fixture.confirmWrite();
        require(fixture.orders.size() == 1);
        check(fixture.orders[0].worker == "w2");
    });
    section("a short task, of which few runs may fail, waits", [&] {
        test_fixture fixture;
        quarantine(fixture, "w1");
        fill(fixture, "w2");
        fixture.submitJob(oneTask(false));
        fixture.confirmWrite();
        check(fixture.orders.empty());
    });
    section("a task whose own run failed there at once pauses", [&] {
        test_fixture fixture;
        quarantine(fixture, "w1");
        fill(fixture, "w2");
        fixture.submitJob(oneTask(true));
        fixture.confirmWrite();
        require(fixture.orders.size() == 1);
        fixture.acceptOrder(fixture.orders[0]);
        fixture.endRun(fixture.orders[0], end_kind::Failed);
        fixture.confirmWrite();
        for (int tick = 0; tick < 29; ++tick) {
            fixture.now += milliseconds(100);
            fixture.receiveReports("w1");
            fixture.tick();
        }
        check(fixture.orders.size() == 1);
        fixture.now += milliseconds(100);
        fixture.tick();
        fixture.confirmWrite();
        check(fixture.orders.size() == 2);
    });
}

// Guards against a long-running task that waits beside free capacity because a sibling waits too:
// the sibling must not go to the quarantined worker, as its own run failed there; the task may.
Test(job_controller, a_sibling_of_a_task_that_failed_on_a_quarantined_worker)
{
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = 2;
    spec.steps[0].isLongRunning = true;
    test_fixture fixture;
    fixture.repeatReport("w2", [](auto &report) { report.used = report.capacity; });
    // There is room for one task only.
    fixture.repeatReport("w1", [](auto &report) { report.used.millicores = 15'500; });
    fixture.submitJob(spec);
    fixture.confirmWrite();
    require(fixture.orders.size() == 1);
    require(fixture.orders[0].order.task.index == 0);
    fixture.acceptOrder(fixture.orders[0]);
    for (int failure = 0; failure < 4; ++failure)
        fixture.workers.recordRunEnd("w1", end_kind::Failed, 0, fixture.now);
    fixture.repeatReport("w1", [](auto &report) { report.used = {}; });
    fixture.endRun(fixture.orders[0], end_kind::Failed);
    fixture.confirmWrite();
    fixture.advance(milliseconds(100));
    fixture.confirmWrite();
    require(fixture.orders.size() == 2);
    check(fixture.orders[1].order.task.index == 1);
    check(fixture.orders[1].worker == "w1");
}

// Guards against a long-running task that fails at once wherever it starts: with several
// quarantined workers it was started ten times a second, and each failure prolonged the quarantine
// for all other tasks.
Test(job_controller, a_task_that_fails_at_once_on_quarantined_workers)
{
    test_fixture fixture;
    const std::vector<std::string> workers{"w1", "w2", "w3"};
    const auto step = test_fixture::twoSteps().steps[0];
    const auto report = [&] {
        for (const auto &worker : workers)
            fixture.receiveReports(worker);
    };
    report();
    for (const auto &worker : workers) {
        for (int failure = 0; failure < 4; ++failure)
            fixture.workers.recordRunEnd(worker, end_kind::Failed, 0, fixture.now);
    }
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    spec.steps[0].isLongRunning = true;
    fixture.submitJob(spec);
    fixture.confirmWrite();
    const auto quarantineEnd = fixture.now + milliseconds(6000);
    std::size_t ended = 0;
    while (fixture.now < quarantineEnd) {
        for (; ended < fixture.orders.size(); ++ended) {
            const auto order = fixture.orders[ended];
            fixture.acceptOrder(order);
            fixture.endRun(order, end_kind::Failed);
            fixture.confirmWrite();
        }
        fixture.now += milliseconds(100);
        report();
        fixture.tick();
        fixture.confirmWrite();
    }
    check(fixture.orders.size() <= 3);
    check(fixture.workers.chooseWorker("tickets", step, {}, fixture.now).has_value());
}

namespace {

// Four workers, and a job whose runs end as the test says. A run that fails does so 300 ms after
// its start.
struct failing_runs_fixture : test_fixture
{
    static constexpr milliseconds Tick{100};
    static constexpr milliseconds UntilFailure{300};

    const std::vector<std::string> names{"w1", "w2", "w3", "w4"};
    std::map<std::string, int> failuresByWorker;
    std::size_t handled = 0; // orders that were accepted
    std::vector<std::pair<time_point, send_order>> running;
    milliseconds idle{0}; // up to now, without a run
    milliseconds longestIdle{0};
    milliseconds longestWithoutWorker{0}; // for a task of another job

    failing_runs_fixture() { receiveAllReports(); }

    void receiveAllReports()
    {
        for (const auto &name : names)
            receiveReports(name);
    }

    static job_spec oneStep(int count, bool isLongRunning)
    {
        auto spec = twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = count;
        spec.steps[0].isLongRunning = isLongRunning;
        return spec;
    }

    void submitAndStart(const job_spec &spec)
    {
        submitJob(spec);
        confirmWrite();
    }

    // `fails` tells of a run whether it fails.
    template <typename Fails>
    void play(milliseconds duration, Fails fails)
    {
        milliseconds withoutWorker{0};
        for (const auto end = now + duration; now < end;) {
            acceptAll();
            endDueRuns(fails);
            const bool hasWorker =
                    workers.chooseWorker("tickets", twoSteps().steps[0], {}, now).has_value();
            withoutWorker = hasWorker ? milliseconds(0) : withoutWorker + Tick;
            longestWithoutWorker = std::max(longestWithoutWorker, withoutWorker);
            idle = running.empty() ? idle + Tick : milliseconds(0);
            longestIdle = std::max(longestIdle, idle);
            receiveAllReports();
            advance(Tick);
            confirmWrite();
        }
    }

    void acceptAll()
    {
        for (; handled < orders.size(); ++handled) {
            const auto order = orders[handled];
            if (order.order.kind != order_kind::Start)
                continue;
            acceptOrder(order);
            running.emplace_back(now, order);
        }
    }

    template <typename Fails>
    void endDueRuns(Fails fails)
    {
        const auto current = std::exchange(running, {});
        for (const auto &[startedAt, order] : current) {
            if (!fails(order) || now - startedAt < UntilFailure) {
                running.emplace_back(startedAt, order);
                continue;
            }
            ++failuresByWorker[order.worker];
            endRun(order, end_kind::Failed);
            confirmWrite();
        }
    }

    // The first member of the gang fails, and so the others end.
    void endDueGang()
    {
        if (running.empty() || now - running.front().first < UntilFailure)
            return;
        for (const auto &[startedAt, order] : std::exchange(running, {})) {
            const bool isFirst = order.order.task.index == 0;
            failuresByWorker[order.worker] += isFirst ? 1 : 0;
            endRun(order, isFirst ? end_kind::Failed : end_kind::Broken);
            confirmWrite();
        }
    }

    int failures() const
    {
        int sum = 0;
        for (const auto &[worker, count] : failuresByWorker)
            sum += count;
        return sum;
    }
};

} // namespace

// Guards against other jobs that wait beside free capacity: the tasks of one job fail wherever they
// run, each failure counts against its worker, and all sound workers are quarantined again and
// again.
Test(job_controller, a_job_that_fails_wherever_it_runs)
{
    const auto always = [](const send_order & /*each*/) { return true; };
    section("its failures keep no other job from the workers", [&] {
        failing_runs_fixture fixture;
        fixture.submitAndStart(failing_runs_fixture::oneStep(6, true));
        fixture.play(seconds(60), always);
        check(fixture.failures() > 100);
        check(fixture.longestWithoutWorker == milliseconds(0));
    });
    section("it backs off, and is never without a run for long", [&] {
        failing_runs_fixture fixture;
        fixture.submitAndStart(failing_runs_fixture::oneStep(1, true));
        fixture.play(seconds(60), always);
        check(fixture.failures() < 40);
        check(fixture.longestIdle < seconds(2));
    });
    section("and so does a gang of which one member fails", [] {
        failing_runs_fixture fixture;
        auto spec = failing_runs_fixture::oneStep(3, true);
        spec.steps[0].isGang = true;
        fixture.submitAndStart(spec);
        for (const auto end = fixture.now + seconds(60); fixture.now < end;) {
            fixture.acceptAll();
            fixture.endDueGang();
            fixture.receiveAllReports();
            fixture.advance(failing_runs_fixture::Tick);
            fixture.confirmWrite();
        }
        check(fixture.failures() > 20 && fixture.failures() < 40);
    });
    section("a task that works again is started at once after its next failure", [&] {
        failing_runs_fixture fixture;
        fixture.submitAndStart(failing_runs_fixture::oneStep(1, true));
        fixture.play(seconds(10), always);
        fixture.play(seconds(10), [](const send_order & /*each*/) { return false; });
        fixture.longestIdle = milliseconds(0);
        const auto lastRun = fixture.running.at(0).second.order.run;
        fixture.play(seconds(1),
                     [&](const send_order &order) { return order.order.run == lastRun; });
        check(fixture.orders.back().order.run == lastRun + 1);
        check(fixture.longestIdle <= failing_runs_fixture::Tick);
    });
}

// Guards against tasks that go on being lost to a worker that fails all that it starts, while the
// failures of a job that fails by itself are passed over.
Test(job_controller, a_worker_that_fails_all_that_it_starts)
{
    const auto onFaulty = [](const send_order &order) { return order.worker == "w1"; };
    section("it is quarantined by the failures of one job's tasks, however many it has", [&] {
        for (const bool isLongRunning : {false, true}) {
            failing_runs_fixture fixture;
            fixture.submitAndStart(failing_runs_fixture::oneStep(24, isLongRunning));
            fixture.play(seconds(4), onFaulty);
            check(fixture.failuresByWorker["w1"] >= 4);
            check(fixture.workers.find("w1")->quarantinedUntil > fixture.now);
            for (const char *name : {"w2", "w3", "w4"})
                check(fixture.workers.find(name)->quarantinedUntil == time_point{});
        }
    });
    section("and so is another one beside it", [&] {
        failing_runs_fixture fixture;
        fixture.submitAndStart(failing_runs_fixture::oneStep(24, true));
        fixture.play(seconds(4), [](const send_order &order) {
            return order.worker == "w1" || order.worker == "w3";
        });
        for (const char *name : {"w1", "w3"})
            check(fixture.workers.find(name)->quarantinedUntil > fixture.now);
        for (const char *name : {"w2", "w4"})
            check(fixture.workers.find(name)->quarantinedUntil == time_point{});
    });
    section("a task that failed there first and then by itself counts there once", [&] {
        failing_runs_fixture fixture;
        fixture.submitAndStart(failing_runs_fixture::oneStep(1, true));
        fixture.play(seconds(20), [](const send_order & /*each*/) { return true; });
        for (const auto &name : fixture.names)
            check(fixture.workers.find(name)->consecutiveFailures <= 1);
    });
}

// A job that is forwarded to the entry that will own it arrives as it was submitted.
Test(job_controller, a_forwarded_job)
{
    const auto spec = test_fixture::twoSteps();
    queue_policy policy;
    policy.queue = "holds";
    policy.service = "tickets";
    policy.stretch = 1.5;
    const auto receivedJob =
            forwardedJobFrom(toText(forwarded_job{newRecord(spec, policy, 1000), spec.payload}));
    const auto receivedSpec = specOf(receivedJob);
    check(receivedSpec.payload == spec.payload);
    check(receivedSpec.steps.size() == 2 && receivedSpec.steps[1].after == spec.steps[1].after);
    check(receivedJob.record.policy.stretch == 1.5);
    check(receivedJob.record.acceptedAtMs == 1000);
    cr_expect_throw(forwardedJobFrom("{}"), error);
    cr_expect_throw(forwardedJobFrom("nothing"), error);
}

// Guards against a long-running task that is stalled forever. Its owner is suspended before it
// reads the answer to its order. Another entry takes over the job and sends the order, too. When
// the old owner resumes, it repeats the order, and only then learns that it lost the job. The agent
// now takes the old owner for the owner, and reports the end of the run to it alone.
Test(job_controller, a_suspended_owner_repeats_its_order)
{
    run_table agent;
    agent.setWorkerState({16'000, 64'000, 0}, start_readiness::Ready);
    agent.setEpoch(1);
    test_fixture oldOwner;
    auto spec = test_fixture::twoSteps();
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    spec.steps[0].isLongRunning = true;
    oldOwner.submitJob(spec);
    oldOwner.confirmWrite();
    require(oldOwner.orders.size() == 1);
    const auto order = oldOwner.orders[0];
    agent.handleOrder(order.order, Self.entry, oldOwner.now);

    test_fixture newOwner;
    job_controller newOwnerController{Other, newOwner.workers};
    newOwnerController.adopt("j", recordFrom(oldOwner.writes[0].content), oldOwner.version,
                             spec.payload);
    newOwnerController.plan(newOwner.now, 1000);
    const auto takeoverWrite = std::get<write_row>(newOwnerController.takeActions().back());
    newOwnerController.rowWritten("j", oldOwner.version + 1);
    newOwnerController.plan(newOwner.now, 1000);
    const auto newOrder = std::get<send_order>(newOwnerController.takeActions().back());
    newOwnerController.orderAnswered(order.worker,
                                     agent.handleOrder(newOrder.order, Other.entry, newOwner.now),
                                     newOwner.now, 0);

    section("the old owner repeats its order, and learns of the new owner only after that", [&] {
        oldOwner.controller.orderUnanswered(order.worker, order.order.task, 1, oldOwner.now);
        oldOwner.now += milliseconds(301);
        oldOwner.tick();
        require(oldOwner.orders.size() == 2);
        check(agent.handleOrder(oldOwner.orders[1].order, Self.entry, oldOwner.now).outcome
              == order_outcome::Accepted);
        oldOwner.controller.rowChanged("j", summaryOf(recordFrom(takeoverWrite.content)),
                                       oldOwner.version + 1);
        check(!oldOwner.controller.owns("j"));
    });
    section("the run fails, and the old owner does not acknowledge its end", [&] {
        run_listing listing;
        listing.clockMs = 1000;
        listing.ended = {{1, order.order.task, 1, end_kind::Failed, ""}};
        agent.applyListing(listing, oldOwner.now);
        const auto reportedEnds = agent.endsFor(Self.entry);
        require(reportedEnds.size() == 1);
        check(!oldOwner.controller.runEnded(order.worker, reportedEnds[0], oldOwner.now, 50));
        check(agent.noteNotOwned({reportedEnds[0].task, 1, reportedEnds[0].endKind}, Self.entry));
    });
    section("the new owner learns of the end by the next report, and the task runs again", [&] {
        const auto reportedEnds = agent.endsFor(Other.entry);
        require(reportedEnds.size() == 1);
        check(newOwnerController.runEnded(order.worker, reportedEnds[0], newOwner.now, 51));
        newOwnerController.plan(newOwner.now, 1000);
        newOwnerController.takeActions();
        newOwnerController.rowWritten("j", oldOwner.version + 2);
        newOwnerController.plan(newOwner.now, 1000);
        const auto actions = newOwnerController.takeActions();
        check(std::any_of(actions.begin(), actions.end(), [](const auto &action) {
            const auto *nextOrder = std::get_if<send_order>(&action);
            return nextOrder != nullptr && nextOrder->order.run == 2;
        }));
    });
}

namespace {

// A job of one long-running task with a latency target, on a worker that reports every second.
struct stall_fixture : test_fixture
{
    bool isReporting = true;
    bool hasRoom = true;
    bool isAnswering = true;
    int runningTasks = 0;
    std::int64_t epoch = 1;

    stall_fixture()
    {
        auto spec = twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].isLongRunning = true;
        spec.steps[0].image = "keeper";
        spec.steps[0].latencyTargetMs = 50;
        stopAccepting("w2");
        sendReport();
        submitJob(spec);
    }

    void sendReport()
    {
        worker_report workerReport;
        workerReport.worker = "w1";
        workerReport.epoch = epoch;
        workerReport.service = "tickets";
        workerReport.isAccepting = true;
        workerReport.capacity = {hasRoom ? 16'000 : 100, 64'000, 0};
        workerReport.serving.assign(static_cast<std::size_t>(runningTasks), {"keeper", 1, "j"});
        workers.update(workerReport, now);
    }

    void advance(seconds waitTime)
    {
        for (seconds elapsed{}; elapsed < waitTime; elapsed += seconds(1)) {
            now += seconds(1);
            if (isReporting)
                sendReport();
            tick();
            answerSentOrders();
        }
    }

    void answerSentOrders()
    {
        const auto unansweredOrders = std::exchange(orders, {});
        for (const auto &order : unansweredOrders) {
            if (isAnswering)
                acceptOrder(order);
            else
                controller.orderUnanswered(order.worker, order.order.task, order.order.run, now);
        }
    }

    void storeAndStart()
    {
        confirmWrite();
        answerSentOrders();
    }

    std::vector<std::string> takeStallLines()
    {
        std::vector<std::string> stallLines;
        for (const auto &line : std::exchange(logEvents, {})) {
            if (line.event == "task_stands_still")
                stallLines.push_back(line.detail);
        }
        return stallLines;
    }
};

} // namespace

// Guards against a stalled task that its owner does not log: one that is placed but does not run.
Test(job_controller, stalled_tasks_are_logged)
{
    section("not logged: a task that its worker reports as running", [] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.runningTasks = 1;
        fixture.advance(seconds(20));
        check(fixture.takeStallLines().empty());
    });
    section("accepted, but its worker reports no run of the job", [] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.advance(seconds(5));
        check(fixture.takeStallLines().empty());
        fixture.advance(seconds(1));
        const auto lines = fixture.takeStallLines();
        require(lines.size() == 1);
        check(lines[0].ends_with(
                "ms: not_at_work, run 1 on w1, epoch 1, 0 of 1 runs of its job running there"));
        section("logged again until the task runs", [&] {
            fixture.advance(seconds(8));
            check(fixture.takeStallLines().size() == 2);
            fixture.runningTasks = 1;
            fixture.advance(seconds(20));
            check(fixture.takeStallLines().empty());
        });
        section("logged again after it stops, counted from when it last ran", [&] {
            fixture.runningTasks = 0;
            fixture.advance(seconds(5));
            check(fixture.takeStallLines().empty());
            fixture.advance(seconds(1));
            check(fixture.takeStallLines().size() == 1);
        });
    });
    const auto singleStallLine = [](stall_fixture &fixture) {
        const auto lines = fixture.takeStallLines();
        return lines.size() == 1 ? lines[0] : std::string();
    };
    section("the start order has no answer", [&] {
        stall_fixture fixture;
        fixture.isAnswering = false;
        fixture.storeAndStart();
        fixture.advance(seconds(8));
        check(singleStallLine(fixture).ends_with("ms: start_unanswered, run 1 on w1, epoch 1"));
    });
    section("the placement is not stored", [&] {
        stall_fixture fixture;
        fixture.advance(seconds(8));
        check(singleStallLine(fixture).ends_with("ms: not_stored, run 1 on w1, epoch 1"));
    });
    section("the agent of its worker is silent", [&] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.runningTasks = 1;
        fixture.advance(seconds(2));
        fixture.isReporting = false;
        fixture.advance(seconds(10));
        check(singleStallLine(fixture).ends_with("ms: worker_unheard, run 1 on w1, epoch 1"));
    });
    section("it was placed before its worker's present epoch", [&] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.epoch = 2;
        fixture.advance(seconds(8));
        check(singleStallLine(fixture).ends_with("ms: earlier_epoch, run 1 on w1, epoch 1"));
    });
    section("no worker is found, with the reason", [&] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.hasRoom = false;
        fixture.now += seconds(3); // the other worker counts as silent by then
        fixture.sendReport();
        fixture.controller.runEnded("w1", {1, {"j", 0, 0, 0}, 1, end_kind::Failed, ""}, fixture.now,
                                    50);
        fixture.advance(seconds(5));
        const auto line = singleStallLine(fixture);
        check(line.find("ms: no_worker, after run 1; ") != std::string::npos);
        check(line.find("1 no_processors") != std::string::npos);
    });
    section("not logged: a task of a cancelled job", [] {
        stall_fixture fixture;
        fixture.storeAndStart();
        fixture.controller.cancel("j", 60);
        fixture.advance(seconds(10));
        check(fixture.takeStallLines().empty());
    });
}

// Guards against an answer of an agent's previous incarnation that a suspended owner processes
// after the report of the new one.
Test(job_controller, answer_of_an_earlier_agent_incarnation)
{
    const auto submitAndOrder = [](test_fixture &fixture) {
        fixture.stopAccepting("w2");
        fixture.receiveReports("w1", 1, 1);
        auto spec = test_fixture::twoSteps();
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].isLongRunning = true;
        fixture.submitJob(spec);
        fixture.confirmWrite();
        require(fixture.orders.size() == 1);
    };
    const auto startNewIncarnation = [](test_fixture &fixture) {
        fixture.receiveReports("w1", 1, 2);
        fixture.controller.workerRestarted("w1", 1, fixture.now);
        fixture.tick();
        require(fixture.orders.size() == 2);
    };
    const auto answerAsOldIncarnation = [](test_fixture &fixture, order_outcome outcome) {
        const auto &order = fixture.orders[0].order;
        fixture.controller.orderAnswered("w1", {order.task, order.run, outcome, order.kind},
                                         fixture.now, 1);
    };
    const auto isResent = [](test_fixture &fixture) {
        fixture.controller.orderUnanswered("w1", fixture.orders[1].order.task, 1, fixture.now);
        fixture.now += milliseconds(301);
        fixture.tick();
        return fixture.orders.size() == 3;
    };
    section("accepted: the start is sent until the present incarnation has answered", [&] {
        test_fixture fixture;
        submitAndOrder(fixture);
        startNewIncarnation(fixture);
        answerAsOldIncarnation(fixture, order_outcome::Accepted);
        require(isResent(fixture));
        fixture.controller.orderAnswered(
                "w1", {fixture.orders[2].order.task, 1, order_outcome::Accepted}, fixture.now, 2);
        fixture.now += seconds(2);
        fixture.tick();
        check(fixture.orders.size() == 3);
    });
    section("refused: the order is sent to the present incarnation", [&] {
        test_fixture fixture;
        submitAndOrder(fixture);
        startNewIncarnation(fixture);
        answerAsOldIncarnation(fixture, order_outcome::NoRoom);
        require(isResent(fixture));
        check(fixture.orders[2].order.run == 1);
    });
    section("an accepted stop: the order is sent again, too", [&] {
        test_fixture fixture;
        submitAndOrder(fixture);
        fixture.acceptOrder(fixture.orders[0]);
        fixture.controller.cancel("j", 60);
        fixture.orders.clear();
        fixture.tick();
        fixture.confirmWrite();
        require(fixture.orders.size() == 1);
        startNewIncarnation(fixture);
        answerAsOldIncarnation(fixture, order_outcome::Accepted);
        require(isResent(fixture));
        check(fixture.orders[2].order.kind == order_kind::Stop);
    });
}
