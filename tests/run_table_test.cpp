// Tests the agent's table of runs: which runs may be started on a worker, and what the table
// reports of them after a crash, a lost answer or a frozen process.
#include <array>

#include <criterion/criterion.h>

#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Epoch = 3;

struct table_fixture
{
    run_table table;
    time_point now{std::chrono::hours(1)};

    table_fixture()
    {
        table.setWorkerState({4000, 8000, 0}, start_readiness::Ready);
        table.setEpoch(Epoch);
    }

    static run_order order(int index, int run = 1, std::int64_t millicores = 1000)
    {
        run_order newOrder;
        newOrder.task = {"job", 0, 0, index};
        newOrder.run = run;
        newOrder.epoch = Epoch;
        newOrder.requirements.size = {millicores, 1000, 0};
        return newOrder;
    }

    order_outcome giveOrder(const run_order &newOrder, const std::string &owner = "entry-a")
    {
        return table.handleOrder(newOrder, owner, now).outcome;
    }

    static run_order stopOrderFor(run_order newOrder)
    {
        newOrder.kind = order_kind::Stop;
        return newOrder;
    }

    // The worker lists the run's end, as the first of its ends, and no active run.
    void listEnd(const run_order &newOrder, end_kind ending = end_kind::Done)
    {
        run_listing workerListing;
        workerListing.ended.push_back({1, newOrder.task, newOrder.run, ending, ""});
        table.applyListing(workerListing, now);
    }

    static run_listing listing(const std::vector<run_order> &running, std::int64_t clockMs = 1000)
    {
        run_listing workerListing;
        workerListing.clockMs = clockMs;
        for (const auto &active : running)
            workerListing.running.push_back({active.task, active.run, "", 0});
        return workerListing;
    }
};

} // namespace

Test(run_table, capacity)
{
    section("a worker gets runs up to its capacity", [] {
        table_fixture fixture;
        for (int index = 0; index < 4; ++index)
            check(fixture.giveOrder(table_fixture::order(index)) == order_outcome::Accepted);
        check(fixture.giveOrder(table_fixture::order(4)) == order_outcome::NoRoom);
        section("a run that is being stopped still uses its capacity", [&] {
            fixture.table.startCalled(table_fixture::order(0).task, 1, 2000); // it may be running
            check(fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(0)))
                  == order_outcome::Accepted);
            check(fixture.giveOrder(table_fixture::order(5)) == order_outcome::NoRoom);
        });
        section("its capacity is free once its end is listed", [&] {
            run_listing workerListing;
            workerListing.ended.push_back(
                    {1, table_fixture::order(0).task, 1, end_kind::Stopped, ""});
            fixture.table.applyListing(workerListing, fixture.now);
            check(fixture.giveOrder(table_fixture::order(6)) == order_outcome::Accepted);
        });
    });
    section("a best-effort run uses memory and no processors", [] {
        table_fixture fixture;
        auto bestEffort = table_fixture::order(0, 1, 9000);
        bestEffort.requirements.isBestEffort = true;
        check(fixture.giveOrder(bestEffort) == order_outcome::Accepted);
        check(fixture.table.used() == (task_size{0, 1000, 0}));
        check(fixture.table.bestEffortMillicores() == 9000);
    });
}

// Guards against more tasks of a step on a worker than their caller allows, whatever owners know of
// the runs there.
Test(run_table, runs_of_a_step_within_its_limit)
{
    const auto limited = [](int index, int run = 1) {
        auto order = table_fixture::order(index, run);
        order.requirements.maxPerWorker = 2;
        return order;
    };
    table_fixture fixture;
    check(fixture.giveOrder(limited(0)) == order_outcome::Accepted);
    check(fixture.giveOrder(limited(3)) == order_outcome::Accepted);
    check(fixture.giveOrder(limited(1)) == order_outcome::NoRoom);
    section("a run that is being stopped counts until its end is listed", [&] {
        fixture.table.startCalled(limited(0).task, 1, 2000);
        check(fixture.giveOrder(table_fixture::stopOrderFor(limited(0)))
              == order_outcome::Accepted);
        check(fixture.giveOrder(limited(2)) == order_outcome::NoRoom);
        fixture.listEnd(limited(0), end_kind::Stopped);
        check(fixture.giveOrder(limited(2, 2)) == order_outcome::Accepted);
    });
    section("other steps, occurrences and jobs count by themselves", [&] {
        auto other = limited(0, 2);
        other.task.step = 1;
        check(fixture.giveOrder(other) == order_outcome::Accepted);
        other.task.occurrence = 1;
        check(fixture.giveOrder(other) == order_outcome::Accepted);
    });
    section("the limit arrives with the order", [&] {
        const auto sent = orderBatchFrom(toText(order_batch{"e", "a", {limited(0)}}));
        check(sent.orders.at(0).requirements.maxPerWorker == 2);
    });
}

// Guards against a worker with more runs than fit. The agent is killed; its next incarnation finds
// a run in the worker's list, and the first order for it is a stop, as its job was cancelled. A
// stop doesn't give the run's size. If it counted as zero, another run would get the same capacity.
Test(run_table, stop_of_a_run_of_an_earlier_incarnation)
{
    table_fixture fixture;
    const auto earlier = table_fixture::order(9);
    fixture.table.applyListing(table_fixture::listing({earlier}), fixture.now);
    section("its size is unknown, so nothing is started",
            [&] { check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::NotReady); });
    section("after a stop its size is still unknown", [&] {
        check(fixture.giveOrder(table_fixture::stopOrderFor(earlier)) == order_outcome::Accepted);
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::NotReady);
    });
    section("once its end is listed, runs are started", [&] {
        fixture.listEnd(earlier, end_kind::Stopped);
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Accepted);
    });
}

// Guards against a task that runs twice: a new incarnation of the agent says that a run is over
// that an earlier one told to stop, which the worker has in neither list until it has ended.
Test(run_table, orders_while_runs_of_the_earlier_incarnation_may_be_unlisted)
{
    // Until then a stop takes 900 ms at most on a clock that is 2% slow.
    constexpr milliseconds StopsOver{1068};
    constexpr std::array Readinesses{start_readiness::Ready, start_readiness::RetryLater,
                                     start_readiness::Unavailable};
    const auto newIncarnation = [](start_readiness readiness) {
        table_fixture fixture;
        fixture.table.setAgentIncarnation(8);
        fixture.table.setWorkerState({4000, 8000, 0}, readiness);
        fixture.table.noteNewIncarnation(fixture.now);
        fixture.table.applyListing(table_fixture::listing({}), fixture.now);
        return fixture;
    };
    const auto placedIn = [](std::int64_t incarnation) {
        auto order = table_fixture::order(0);
        order.agentIncarnation = incarnation;
        return order;
    };
    const auto stopOrder = table_fixture::stopOrderFor(table_fixture::order(0));
    // The worker may be absent, leaving, silent or in an evacuated zone: none of these hides it.
    for (const auto readiness : Readinesses) {
        section("a stop has to be retried until the run has certainly ended", [&] {
            auto fixture = newIncarnation(readiness);
            check(fixture.giveOrder(stopOrder) == order_outcome::NotReady);
            fixture.now += StopsOver - milliseconds(1);
            check(fixture.giveOrder(stopOrder) == order_outcome::NotReady);
            fixture.now += milliseconds(1);
            check(fixture.giveOrder(stopOrder) == order_outcome::Superseded);
        });
        section("a start is not refused for good before that", [&] {
            for (const std::int64_t incarnation : {0, 7}) {
                auto fixture = newIncarnation(readiness);
                check(fixture.giveOrder(placedIn(incarnation)) == order_outcome::NotReady);
                fixture.now += StopsOver;
                check(fixture.giveOrder(placedIn(7)) != order_outcome::NotReady
                      || readiness == start_readiness::RetryLater);
            }
        });
        section("nor is one that a stop has overtaken, or whose job is cancelled", [&] {
            auto fixture = newIncarnation(readiness);
            fixture.giveOrder(stopOrder);
            check(fixture.giveOrder(placedIn(7)) == order_outcome::NotReady);
            fixture.table.cancelJob("job", fixture.now);
            check(fixture.giveOrder(placedIn(7)) == order_outcome::NotReady);
            fixture.now += StopsOver;
            check(fixture.giveOrder(placedIn(7)) == order_outcome::Superseded);
        });
        section("nothing is started meanwhile, as the size of such runs is unknown", [&] {
            auto fixture = newIncarnation(readiness);
            check(fixture.giveOrder(placedIn(8)) != order_outcome::Accepted);
            check(fixture.table.takeDueActions(fixture.now, true).empty());
        });
    }
    section("a run placed in this incarnation on a worker that leaves is refused at once", [&] {
        auto fixture = newIncarnation(start_readiness::Unavailable);
        check(fixture.giveOrder(placedIn(8)) == order_outcome::Draining);
    });
    section("a worker that lists runs while they are stopped costs no wait", [&] {
        auto fixture = newIncarnation(start_readiness::Ready);
        fixture.table.applyListing(table_fixture::listing({table_fixture::order(0)}), fixture.now);
        check(fixture.giveOrder(stopOrder) == order_outcome::Accepted);
        fixture.listEnd(table_fixture::order(0), end_kind::Stopped);
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
    section("once the worker is gone or restarted, nothing of it is left to wait for", [&] {
        auto fixture = newIncarnation(start_readiness::Unavailable);
        fixture.table.noteWorkerRestarted();
        check(!fixture.table.mayHaveRuns(fixture.now));
    });
}

// Guards against a task that runs twice: a worker was restarted unnoticed, and its new incarnation
// was told to start and to stop a run. The next epoch began while that run was in neither list.
Test(run_table, a_run_stopped_in_an_incarnation_of_the_worker_that_was_not_known_yet)
{
    table_fixture fixture;
    const auto order = table_fixture::order(0);
    require(fixture.giveOrder(order) == order_outcome::Accepted);
    fixture.table.startCalled(order.task, 1, 2000);
    fixture.table.startAnswered(order.task, 1, start_answer::Started, fixture.now);
    section("a run that nobody stopped is listed by the new incarnation, if it exists", [&] {
        auto other = fixture;
        other.table.noteWorkerRestarted();
        check(!other.table.mayHaveRuns(other.now));
    });
    fixture.giveOrder(table_fixture::stopOrderFor(order));
    fixture.table.noteWorkerRestarted();
    check(fixture.table.mayHaveRuns(fixture.now));
    fixture.now += seconds(5);
    section("the wait counts from the first listing, as calls may arrive until then", [&] {
        check(fixture.table.mayHaveRuns(fixture.now));
        fixture.table.applyListing(table_fixture::listing({}), fixture.now);
        check(fixture.table.mayHaveRuns(fixture.now + milliseconds(1067)));
        check(!fixture.table.mayHaveRuns(fixture.now + milliseconds(1068)));
    });
}

// Guards against a task that runs twice: the next epoch of a restarted worker began while a run
// that a call to its earlier incarnation had started there was still terminating, in neither list.
Test(run_table, runs_started_in_an_incarnation_of_the_worker_that_was_not_known_yet)
{
    table_fixture fixture;
    const auto order = table_fixture::order(0);
    require(fixture.giveOrder(order) == order_outcome::Accepted);
    section("a start that wasn't answered may have started a member of a gang that is broken", [&] {
        auto restarted = fixture;
        restarted.table.startCalled(order.task, 1, 2000);
        restarted.table.noteWorkerRestarted();
        check(restarted.table.mayHaveRuns(restarted.now));
        restarted.table.applyListing(table_fixture::listing({}), restarted.now);
        check(restarted.table.mayHaveRuns(restarted.now + milliseconds(1067)));
        check(!restarted.table.mayHaveRuns(restarted.now + milliseconds(1068)));
    });
    section("one that was never called for started nothing", [&] {
        auto restarted = fixture;
        restarted.table.noteWorkerRestarted();
        check(!restarted.table.mayHaveRuns(restarted.now));
    });
    section("a run that is listed although it was refused counts until it has ended", [&] {
        auto restarted = fixture;
        restarted.listEnd(order);
        restarted.table.acknowledgeEnd({order.task, 1, end_kind::Done}, restarted.now);
        restarted.table.noteWorkerRestarted();
        restarted.table.applyListing(table_fixture::listing({order}), restarted.now);
        check(restarted.table.mayHaveRuns(restarted.now));
        check(restarted.table.takeDueActions(restarted.now, false).size() == 1); // its stop
        restarted.table.applyListing(table_fixture::listing({}), restarted.now);
        check(restarted.table.mayHaveRuns(restarted.now + milliseconds(1067)));
        check(!restarted.table.mayHaveRuns(restarted.now + milliseconds(1068)));
    });
}

// Guards against a task that runs twice. An entry that was frozen resumes and gives an order that
// was placed before the worker's lease expired; the task runs elsewhere by now.
Test(run_table, orders_of_another_epoch)
{
    table_fixture fixture;
    auto earlierOrder = table_fixture::order(0);
    earlierOrder.epoch = Epoch - 1;
    check(fixture.giveOrder(earlierOrder) == order_outcome::WrongEpoch);
    section("the run stays refused if it is ordered again with the current epoch", [&] {
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Superseded);
    });
    section("a newer run of the task is accepted", [&] {
        check(fixture.giveOrder(table_fixture::order(0, 2)) == order_outcome::Accepted);
    });
}

// Guards against a task that runs twice at once. An incarnation of the agent reports that a run
// never starts, and is killed. The task is placed again while an order for the first run is still
// in transit and reaches the next incarnation.
Test(run_table, an_order_from_before_the_agents_incarnation)
{
    const auto orderPlacedIn = [](std::int64_t incarnation, int run) {
        auto newOrder = table_fixture::order(0, run);
        newOrder.agentIncarnation = incarnation;
        return newOrder;
    };
    table_fixture fixture;
    fixture.table.setAgentIncarnation(8);
    section("a run that is unknown to this incarnation never starts", [&] {
        check(fixture.giveOrder(orderPlacedIn(7, 1)) == order_outcome::WrongAgentIncarnation);
        check(isPermanentRefusal(order_outcome::WrongAgentIncarnation));
        check(fixture.table.takeDueActions(fixture.now, true).empty());
    });
    section("a run is not refused while the agent has no lease", [&] {
        auto other = table_fixture::order(5);
        other.agentIncarnation = 7;
        fixture.table.setWorkerState({4000, 8000, 0}, start_readiness::RetryLater);
        check(fixture.giveOrder(other) == order_outcome::NotReady);
        fixture.table.setWorkerState({4000, 8000, 0}, start_readiness::Ready);
        check(fixture.giveOrder(other) == order_outcome::WrongAgentIncarnation);
    });
    section("a run that was refused is not started by an order without an incarnation", [&] {
        check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    });
    section("a run placed in this incarnation starts",
            [&] { check(fixture.giveOrder(orderPlacedIn(8, 2)) == order_outcome::Accepted); });
    section("an active run is claimed, whichever incarnation started it", [&] {
        fixture.table.applyListing(table_fixture::listing({table_fixture::order(1)}), fixture.now);
        auto claim = table_fixture::order(1);
        claim.agentIncarnation = 7;
        check(fixture.giveOrder(claim) == order_outcome::Accepted);
        check(fixture.table.allRunsClaimed());
    });
}

// Guards against a finished task that runs again. Its start order was delayed, and the stop order
// that overtook it was lost.
Test(run_table, an_order_that_arrives_after_its_deadline)
{
    const auto clockOf = [](time_point at) { return millisecondsIn(at.time_since_epoch()); };
    table_fixture fixture;
    auto order = table_fixture::order(0);
    order.startDeadlineMs = clockOf(fixture.now + milliseconds(300));
    const auto deadline = fixture.now + milliseconds(300);
    section("it starts nothing from its deadline on", [&] {
        fixture.now = deadline;
        check(fixture.giveOrder(order) == order_outcome::DeadlineExceeded);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        check(fixture.table.newEndCount() == 0);
    });
    section("the run is not refused for good", [&] {
        check(!isPermanentRefusal(order_outcome::DeadlineExceeded));
        check(shouldRetry(order_outcome::DeadlineExceeded));
        auto again = order;
        again.startDeadlineMs = clockOf(fixture.now + milliseconds(300));
        check(fixture.giveOrder(again) == order_outcome::Accepted);
    });
    section("the start is called until the deadline of the order that arrived in time", [&] {
        const auto actions = fixture.table.takeDueActions(fixture.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callDeadline == fixture.now + milliseconds(300));
    });
    section("the first order, if repeated, claims the run and changes no deadline", [&] {
        fixture.table.startAnswered(order.task, 1, start_answer::NotExecuted, fixture.now);
        fixture.now += milliseconds(250);
        check(fixture.giveOrder(order, "entry-b") == order_outcome::Accepted);
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
        fixture.now += milliseconds(50);
        fixture.table.startAnswered(order.task, 1, start_answer::NotExecuted, fixture.now);
        fixture.now += milliseconds(250);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        check(fixture.table.endsFor("entry-b").size() == 1);
    });
    section("an order without a deadline is accepted",
            [&] { check(fixture.giveOrder(table_fixture::order(1)) == order_outcome::Accepted); });
    section("a later deadline does not extend the limit of the start's delay", [&] {
        table_fixture other;
        auto longer = table_fixture::order(2);
        longer.startDeadlineMs = clockOf(other.now + milliseconds(60'000));
        require(other.giveOrder(longer) == order_outcome::Accepted);
        const auto actions = other.table.takeDueActions(other.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callDeadline == other.now + milliseconds(700));
    });
    section("a run that was stopped stays refused, however late its start order", [&] {
        table_fixture other;
        require(other.giveOrder(table_fixture::stopOrderFor(order)) == order_outcome::Superseded);
        other.now = deadline;
        check(other.giveOrder(order) == order_outcome::Superseded);
    });
}

// Guards against a task that runs twice at once. An order for its run 1 was delayed, and the agent
// received that for run 2 first.
Test(run_table, an_order_that_was_overtaken_by_that_of_a_newer_run)
{
    table_fixture fixture;
    require(fixture.giveOrder(table_fixture::order(0, 2)) == order_outcome::Accepted);
    check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    section("it is refused also once the newer run is active", [&] {
        fixture.table.startAnswered(table_fixture::order(0).task, 2, start_answer::Started,
                                    fixture.now);
        check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    });
    section("another task of the job is accepted", [&] {
        check(fixture.giveOrder(table_fixture::order(1, 1)) == order_outcome::Accepted);
    });
}

// Guards against a task that starts seconds after it was done. Its worker rejected the start for a
// while, and the entry that gave the order and could have stopped the run was gone.
Test(run_table, a_start_that_its_worker_rejects)
{
    const auto rejectStart = [](table_fixture &fixture) {
        fixture.table.startCalled(table_fixture::order(0).task, 1, 5000);
        fixture.table.startAnswered(table_fixture::order(0).task, 1, start_answer::NotExecuted,
                                    fixture.now);
    };
    // The number of start calls within `span`.
    const auto countCalls = [&](table_fixture &fixture, milliseconds span) {
        int calls = 0;
        for (const auto until = fixture.now + span; fixture.now < until;
             fixture.now += milliseconds(50)) {
            for (const auto &action : fixture.table.takeDueActions(fixture.now, true)) {
                check(std::holds_alternative<start_run>(action));
                rejectStart(fixture);
                ++calls;
            }
        }
        return calls;
    };
    section("is repeated for less than a second, and reported as never started", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        check(countCalls(fixture, milliseconds(750)) == 3);
        check(countCalls(fixture, milliseconds(60'000)) == 0);
        const auto ends = fixture.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].endKind == end_kind::NeverStarted);
        check(fixture.table.used() == task_size());
    });
    section("is repeated for longer if its owner repeats the order", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        countCalls(fixture, milliseconds(500));
        fixture.giveOrder(table_fixture::order(0));
        check(countCalls(fixture, milliseconds(60'000)) == 3);
    });
    section("after an unanswered call, is reported once lists read after its deadline prove it",
            [&] {
                table_fixture fixture;
                fixture.giveOrder(table_fixture::order(0));
                check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
                fixture.table.startCalled(table_fixture::order(0).task, 1, 2500);
                fixture.now += milliseconds(701);
                check(fixture.table.takeDueActions(fixture.now, true).empty());
                fixture.table.startAnswered(table_fixture::order(0).task, 1,
                                            start_answer::Unanswered, fixture.now);
                fixture.now += milliseconds(60'000);
                check(fixture.table.takeDueActions(fixture.now, true).empty());
                check(fixture.table.endsFor("entry-a").empty());
                fixture.table.applyListing(table_fixture::listing({}, 2501), fixture.now);
                check(fixture.table.endsFor("entry-a").empty());
                fixture.table.applyListing(table_fixture::listing({}, 2501 + 1050), fixture.now);
                check(fixture.table.endsFor("entry-a").size() == 1);
            });
    section("is given up after the same time if it waits for a lease", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        check(fixture.table.takeDueActions(fixture.now, false).empty());
        fixture.now += milliseconds(701);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
}

// The answer to a start call is lost. The run may start up to the call's deadline on the worker's
// clock. Until then it counts as active, and its owner must not place the task elsewhere.
Test(run_table, unanswered_start)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder);
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    fixture.table.startCalled(newOrder.task, 1, 2500);
    fixture.table.startAnswered(newOrder.task, 1, start_answer::Unanswered, fixture.now);
    section("it uses capacity", [&] { check(fixture.table.used().millicores == 1000); });
    section("the call is repeated", [&] {
        fixture.now += milliseconds(300);
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
        fixture.table.startCalled(newOrder.task, 1, 2800);
    });
    section("a refusal of the second call proves nothing about the first", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Refused, fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
    });
    section("a list read before the deadline proves nothing", [&] {
        fixture.table.applyListing(table_fixture::listing({}, 2700), fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
    });
    section("nor do lists read within a stop's longest time from the first one after it", [&] {
        for (const std::int64_t clockMs : {2801, 3000, 3850}) {
            fixture.table.applyListing(table_fixture::listing({}, clockMs), fixture.now);
            check(fixture.table.endsFor("entry-a").empty());
            check(fixture.table.awaitsListing());
            check(fixture.table.used().millicores == 1000);
        }
    });
    section("a list read after that time proves that the run never started", [&] {
        fixture.table.applyListing(table_fixture::listing({}, 3851), fixture.now);
        check(!fixture.table.awaitsListing());
        const auto ends = fixture.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].endKind == end_kind::NeverStarted);
        check(fixture.giveOrder(newOrder)
              == order_outcome::Accepted); // the run is known, and its end is reported
    });
    section("once the end is acknowledged, the same order is refused for good", [&] {
        fixture.table.acknowledgeEnd({newOrder.task, 1, end_kind::NeverStarted}, fixture.now);
        check(fixture.giveOrder(newOrder) == order_outcome::Superseded);
    });
}

// Guards against a worker that is given more than it holds, and against a task that runs twice: the
// answer to a start is lost, the run is stopped at once, and counts as never started while it ends.
Test(run_table, a_run_that_ends_in_neither_list)
{
    constexpr std::int64_t StartDeadlineMs = 1900;
    constexpr std::int64_t StopTimeMs = 1050; // with its margin
    const auto order = table_fixture::order(0, 1, 3000);
    // Its start was called and not answered.
    const auto unanswered = [&] {
        table_fixture fixture;
        require(fixture.giveOrder(order) == order_outcome::Accepted);
        require(fixture.table.takeDueActions(fixture.now, true).size() == 1);
        fixture.table.startCalled(order.task, 1, StartDeadlineMs);
        return fixture;
    };
    const auto ofOtherJob = [](int index) {
        auto other = table_fixture::order(index, 1, 3000);
        other.task.job = "other";
        return other;
    };
    // From the first listing after the start's deadline on, a list without the run.
    const auto checkHeldUntilProved = [&](table_fixture fixture, std::int64_t firstListingMs) {
        const auto list = [&](std::int64_t clockMs) {
            fixture.table.applyListing(table_fixture::listing({}, clockMs), fixture.now);
        };
        list(StartDeadlineMs);
        list(firstListingMs);
        list(firstListingMs + StopTimeMs - 1);
        check(fixture.table.used().millicores == 3000);
        check(fixture.giveOrder(ofOtherJob(1)) == order_outcome::NoRoom);
        check(fixture.table.endsFor("entry-a").empty());
        list(firstListingMs + StopTimeMs);
        check(fixture.giveOrder(ofOtherJob(2)) == order_outcome::Accepted);
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::NeverStarted);
    };
    for (const std::int64_t firstListingMs : {StartDeadlineMs + 1, StartDeadlineMs + 700}) {
        section("after a stop", [&] {
            auto fixture = unanswered();
            fixture.giveOrder(table_fixture::stopOrderFor(order));
            checkHeldUntilProved(fixture, firstListingMs);
        });
        section("after a cancel", [&] {
            auto fixture = unanswered();
            fixture.table.cancelJob("job", fixture.now);
            checkHeldUntilProved(fixture, firstListingMs);
        });
        section("without a stop: its gang was broken, or it waited too long for the others",
                [&] { checkHeldUntilProved(unanswered(), firstListingMs); });
        section("given up at the order's deadline", [&] {
            auto fixture = unanswered();
            fixture.now += milliseconds(701);
            fixture.table.takeDueActions(fixture.now, true);
            checkHeldUntilProved(fixture, firstListingMs);
        });
    }
    section("the next epoch waits as well", [&] {
        auto fixture = unanswered();
        fixture.table.stopAll(fixture.now);
        for (const std::int64_t clockMs : {StartDeadlineMs + 1, StartDeadlineMs + StopTimeMs})
            fixture.table.applyListing(table_fixture::listing({}, clockMs), fixture.now);
        check(fixture.table.mayHaveRuns(fixture.now));
    });
    section("a start call that is repeated meanwhile begins the wait anew", [&] {
        auto fixture = unanswered();
        fixture.table.applyListing(table_fixture::listing({}, StartDeadlineMs + 1), fixture.now);
        fixture.table.startCalled(order.task, 1, StartDeadlineMs + 500);
        checkHeldUntilProved(fixture, StartDeadlineMs + 501);
    });
    section("an end that is listed meanwhile counts at once, with its kind", [&] {
        auto fixture = unanswered();
        fixture.giveOrder(table_fixture::stopOrderFor(order));
        fixture.table.applyListing(table_fixture::listing({}, StartDeadlineMs + 1), fixture.now);
        fixture.listEnd(order, end_kind::Stopped);
        check(fixture.table.used() == task_size());
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Stopped);
    });
    section("a worker that lists runs while they are stopped costs no wait", [&] {
        auto fixture = unanswered();
        fixture.giveOrder(table_fixture::stopOrderFor(order));
        fixture.table.applyListing(table_fixture::listing({order}, StartDeadlineMs + 1),
                                   fixture.now);
        check(!fixture.table.awaitsListing());
        fixture.listEnd(order, end_kind::Stopped);
        check(fixture.table.used() == task_size());
    });
    section("nor does a start that the worker has rejected", [&] {
        auto fixture = unanswered();
        fixture.giveOrder(table_fixture::stopOrderFor(order));
        fixture.table.startAnswered(order.task, 1, start_answer::Refused, fixture.now);
        check(fixture.table.used() == task_size());
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
    section("unless another call for it is open", [&] {
        auto fixture = unanswered();
        fixture.table.startCalled(order.task, 1, StartDeadlineMs);
        fixture.giveOrder(table_fixture::stopOrderFor(order));
        fixture.table.startAnswered(order.task, 1, start_answer::Refused, fixture.now);
        checkHeldUntilProved(fixture, StartDeadlineMs + 1);
    });
}

Test(run_table, ends_are_forgotten_in_order)
{
    table_fixture fixture;
    run_listing workerListing;
    for (int number = 1; number <= 3; ++number) {
        fixture.giveOrder(table_fixture::order(number));
        workerListing.ended.push_back(
                {number, table_fixture::order(number).task, 1, end_kind::Done, ""});
    }
    fixture.table.applyListing(workerListing, fixture.now);
    section("no end is forgotten before it is acknowledged",
            [&] { check(fixture.table.acknowledgedThrough() == 0); });
    section("an end is kept while an earlier one is not acknowledged", [&] {
        fixture.table.acknowledgeEnd({table_fixture::order(2).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.acknowledgedThrough() == 0);
        fixture.table.acknowledgeEnd({table_fixture::order(1).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.acknowledgedThrough() == 2);
    });
    section("an older list restores no acknowledged end", [&] {
        fixture.table.applyListing(workerListing, fixture.now);
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
}

// Guards against finished tasks that run again. A worker leaves after its last tasks are done, and
// the owner is slow to store their ends. If the ends were dropped with the worker, no row would
// have them.
Test(run_table, ends_outlive_their_worker)
{
    table_fixture fixture;
    fixture.giveOrder(table_fixture::order(1));
    fixture.giveOrder(table_fixture::order(2));
    run_listing workerListing = table_fixture::listing({table_fixture::order(2)});
    workerListing.ended.push_back({7, table_fixture::order(1).task, 1, end_kind::Done, ""});
    fixture.table.applyListing(workerListing, fixture.now);
    fixture.table.clearRuns();
    section("keep the agent running, as no other process can report them",
            [&] { check(fixture.table.hasEndsOfGoneWorker()); });
    section("are still reported, and active runs are dropped", [&] {
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.activeRunCount() == 0);
        check(fixture.table.used() == task_size());
    });
    section("do not affect which ends the worker's next incarnation may forget", [&] {
        check(fixture.table.acknowledgedThrough() == 0);
        fixture.table.setEpoch(Epoch + 1);
        auto next = table_fixture::order(3);
        next.epoch = Epoch + 1;
        fixture.giveOrder(next);
        run_listing nextListing;
        nextListing.ended.push_back({1, next.task, 1, end_kind::Done, ""});
        fixture.table.applyListing(nextListing, fixture.now);
        check(fixture.table.acknowledgedThrough() == 0);
        fixture.table.acknowledgeEnd({next.task, 1, end_kind::Done}, fixture.now);
        check(fixture.table.acknowledgedThrough() == 1);
    });
    section("are dropped once they are acknowledged", [&] {
        fixture.table.acknowledgeEnd({table_fixture::order(1).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
        check(!fixture.table.hasEndsOfGoneWorker());
    });
}

// Guards against a finished task that runs again. A start call of the agent's earlier incarnation
// takes effect late. The next incarnation is told by the worker that this run can't start any more,
// and assumes that it never started. That end is reported and acknowledged while the worker lists
// the real one, which must not be forgotten with it.
Test(run_table, a_run_that_was_assumed_never_to_have_started)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(1);
    fixture.giveOrder(newOrder);
    fixture.table.startCalled(newOrder.task, 1, 5000);
    fixture.table.startAnswered(newOrder.task, 1, start_answer::Refused, fixture.now);
    require(fixture.table.endsFor("entry-a").size() == 1);
    const auto assumedEnd = fixture.table.endsFor("entry-a")[0].endKind;
    require(assumedEnd == end_kind::NeverStarted);
    run_listing workerListing;
    workerListing.ended.push_back({4, newOrder.task, 1, end_kind::Done, ""});
    fixture.table.applyListing(workerListing, fixture.now);
    section("acknowledging the assumed end does not acknowledge the real one", [&] {
        check(!fixture.table.acknowledgeEnd({newOrder.task, 1, assumedEnd}, fixture.now));
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.acknowledgedThrough() == 3);
    });
    section("the worker may forget the real end once it is acknowledged", [&] {
        check(fixture.table.acknowledgeEnd({newOrder.task, 1, end_kind::Done}, fixture.now));
        check(fixture.table.acknowledgedThrough() == 4);
    });
    section("the real end is reported also if listed after the assumed one was acknowledged", [&] {
        const auto other = table_fixture::order(2);
        fixture.giveOrder(other);
        fixture.table.startCalled(other.task, 1, 5000);
        fixture.table.startAnswered(other.task, 1, start_answer::Refused, fixture.now);
        require(fixture.table.acknowledgeEnd({other.task, 1, assumedEnd}, fixture.now));
        workerListing.ended.push_back({5, other.task, 1, end_kind::Done, ""});
        fixture.table.applyListing(workerListing, fixture.now);
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.acknowledgedThrough() == 4);
    });
}

// Guards against jobs that are shown as started too early. An agent accepts an order at once, while
// its worker may start the run seconds later: only a run that the worker has confirmed or listed
// counts as started.
Test(run_table, starts_that_an_owner_wants_reported)
{
    table_fixture fixture;
    auto newOrder = table_fixture::order(1);
    newOrder.wantsStartReport = true;
    fixture.giveOrder(newOrder);
    fixture.giveOrder(table_fixture::order(2));
    check(fixture.table.takeDueActions(fixture.now, true).size() == 2);
    fixture.table.startCalled(newOrder.task, 1, 5000);
    section("a start is not reported while its call is unanswered", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Unanswered, fixture.now);
        check(fixture.table.startsFor("entry-a").empty());
    });
    section("it is reported once listed, to its owner only, until the owner received it", [&] {
        fixture.table.applyListing(table_fixture::listing({newOrder, table_fixture::order(2)}),
                                   fixture.now);
        check(fixture.table.startsFor("entry-b").empty());
        const auto started = fixture.table.startsFor("entry-a");
        require(started.size() == 1);
        check(started[0].task == newOrder.task);
        check(fixture.table.startsFor("entry-a").size() == 1);
        fixture.table.noteStartsReported(started, "entry-a");
        check(fixture.table.startsFor("entry-a").empty());
    });
    section("it is reported again to an owner that takes the job over", [&] {
        check(fixture.giveOrder(newOrder, "entry-b") == order_outcome::Accepted);
        check(fixture.table.startsFor("entry-b").size() == 1);
    });
    section("a late confirmation of the previous owner has no effect", [&] {
        fixture.table.noteStartsReported({{newOrder.task, 1}}, "entry-a");
        check(fixture.table.startsFor("entry-b").size() == 1);
    });
}

// Guards against an owner that, after a single lost report, never learns that a task has started or
// how far it got: the job counts as waiting, and after a later loss the task starts from scratch.
Test(run_table, a_report_that_its_owner_does_not_answer)
{
    table_fixture fixture;
    auto newOrder = table_fixture::order(0);
    newOrder.wantsStartReport = true;
    fixture.giveOrder(newOrder);
    auto workerListing = table_fixture::listing({newOrder});
    workerListing.running[0].checkpoint = "half";
    fixture.table.applyListing(workerListing, fixture.now);
    require(fixture.table.progressFor("entry-a").size() == 1);
    fixture.table.noteOwnerSilent("entry-a");
    section("start and progress are still reported to the owner", [&] {
        check(fixture.table.startsFor("entry-a").size() == 1);
        require(fixture.table.progressFor("entry-a").size() == 1);
        check(fixture.table.progressFor("entry-a")[0].checkpoint == "half");
        check(fixture.table.progressFor("entry-b").empty());
    });
    fixture.listEnd(newOrder);
    section("its end is reported to all entries", [&] {
        check(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-b").size() == 1);
    });
    section("at once to its owner if that was restarted under the same name", [&] {
        const auto previousCount = fixture.table.newEndCount();
        fixture.giveOrder(newOrder, "entry-a");
        check(fixture.table.newEndCount() > previousCount);
        fixture.table.noteOwnerSilent("entry-a");
    });
    section("only to an entry that claims the run", [&] {
        fixture.giveOrder(newOrder, "entry-b");
        check(fixture.table.endsFor("entry-a").empty());
        check(fixture.table.endsFor("entry-b").size() == 1);
    });
}

// Guards against a run that was reported as never started but is active beside the task's next run,
// without any entry knowing of it.
Test(run_table, a_run_that_was_refused_and_is_listed)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
    require(fixture.giveOrder(newOrder) == order_outcome::Superseded);
    fixture.table.applyListing(table_fixture::listing({newOrder}), fixture.now);
    section("is stopped each time it is listed", [&] {
        const auto actions = fixture.table.takeDueActions(fixture.now, true);
        require(actions.size() == 1);
        check(std::holds_alternative<stop_run>(actions[0]));
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        fixture.table.applyListing(table_fixture::listing({newOrder}), fixture.now);
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    });
    section("and its end is reported", [&] {
        fixture.listEnd(newOrder);
        check(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
    });
}

// Guards against a job that stalls for ever. Its owner was superseded but is still running, and
// gave another order before it learned of that. The run's end was reported to it alone, and the new
// owner waited for it.
Test(run_table, an_end_reported_to_an_entry_that_does_not_own_its_job)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder, "present-owner");
    fixture.giveOrder(newOrder, "previous-owner");
    fixture.listEnd(newOrder);
    require(fixture.table.endsFor("previous-owner").size() == 1);
    require(fixture.table.endsFor("present-owner").empty());
    const run_end_id end{newOrder.task, 1, end_kind::Done};
    section("is reported to all once that entry has answered that it does not own the job", [&] {
        check(fixture.table.noteNotOwned(end, "previous-owner"));
        check(fixture.table.endsFor("present-owner").size() == 1);
        check(fixture.table.endsFor("previous-owner").size() == 1);
        check(!fixture.table.noteNotOwned(end, "previous-owner"));
    });
    section("the answer of an entry that has been superseded by then has no effect", [&] {
        fixture.giveOrder(newOrder, "present-owner");
        check(!fixture.table.noteNotOwned(end, "previous-owner"));
        check(fixture.table.endsFor("previous-owner").empty());
        check(fixture.table.endsFor("present-owner").size() == 1);
    });
    section("the answer's text has the member only if there is such an end", [&] {
        const auto parsed = reportAnswerFrom(toText(report_answer{{}, {end}, {}}));
        require(parsed.notOwned.size() == 1);
        check(parsed.notOwned[0].task == newOrder.task);
        check(parsed.acknowledged.empty());
        check(toText(report_answer{}).find("not_owned") == std::string::npos);
    });
}

// Guards against a worker with more runs than fit, and a task that runs twice at once. A run that
// is being stopped is in neither list for a while. If its start had just been called, it was
// reported as never started.
Test(run_table, a_run_that_is_being_stopped)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder);
    fixture.table.startCalled(newOrder.task, 1, 2000);
    const auto stopAndCheckCapacity = [&] {
        fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
        fixture.table.applyListing(table_fixture::listing({}, 2600), fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
        check(fixture.table.used() == (task_size{1000, 1000, 0}));
    };
    section("uses its capacity until its end is listed", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Started, fixture.now);
        stopAndCheckCapacity();
    });
    section("uses its capacity also if the stop came before the answer to its start", [&] {
        table_fixture other;
        std::swap(fixture, other);
        fixture.giveOrder(newOrder);
        fixture.table.startCalled(newOrder.task, 1, 2000);
        fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Started, fixture.now);
        stopAndCheckCapacity();
    });
    section("uses its capacity also if a list showed that it had started", [&] {
        table_fixture other;
        std::swap(fixture, other);
        fixture.giveOrder(newOrder);
        fixture.table.startCalled(newOrder.task, 1, 2000);
        fixture.table.applyListing(table_fixture::listing({newOrder}, 1500), fixture.now);
        stopAndCheckCapacity();
    });
    section("frees its capacity once its end is listed", [&] {
        fixture.listEnd(newOrder, end_kind::Stopped);
        check(fixture.table.used() == task_size());
    });
}

Test(run_table, unclaimed_runs_are_stopped)
{
    table_fixture fixture;
    fixture.table.applyListing(table_fixture::listing({table_fixture::order(0)}), fixture.now);
    check(fixture.table.takeDueActions(fixture.now, true).empty());
    fixture.now += milliseconds(8001);
    const auto actions = fixture.table.takeDueActions(fixture.now, true);
    require(actions.size() == 1);
    check(std::holds_alternative<stop_run>(actions[0]));
}

// Guards against a task that waits beside free capacity after its agent was restarted. Runs that
// nobody has claimed block all starts there, for up to the claim timeout and the stops. Meanwhile
// the agent reported that it accepts runs, and its worker looked empty, since the sizes of these
// runs are unknown; so owners placed tasks there and repeated the orders in vain.
Test(run_table, unclaimed_runs_keep_new_tasks_away)
{
    constexpr auto Ready = start_readiness::Ready;
    table_fixture fixture;
    fixture.table.setAgentIncarnation(8);
    const auto earlier = table_fixture::order(9);
    fixture.table.applyListing(table_fixture::listing({earlier}), fixture.now);
    section("no starts are accepted", [&] { check(!fixture.table.acceptsStarts(Ready)); });
    section("a run that was placed in an earlier incarnation may start elsewhere at once", [&] {
        auto placedBefore = table_fixture::order(0);
        placedBefore.agentIncarnation = 7;
        check(fixture.giveOrder(placedBefore) == order_outcome::WrongAgentIncarnation);
    });
    section("not while the agent has no lease", [&] {
        auto placedBefore = table_fixture::order(1);
        placedBefore.agentIncarnation = 7;
        fixture.table.setWorkerState({4000, 8000, 0}, start_readiness::RetryLater);
        check(fixture.giveOrder(placedBefore) == order_outcome::NotReady);
        fixture.table.setWorkerState({4000, 8000, 0}, Ready);
    });
    auto placedNow = table_fixture::order(2);
    placedNow.agentIncarnation = 8;
    section("a run placed in this incarnation has not started and may start elsewhere at once",
            [&] { check(fixture.giveOrder(placedNow) == order_outcome::NoRoom); });
    section("a run placed in an unknown incarnation waits",
            [&] { check(fixture.giveOrder(table_fixture::order(3)) == order_outcome::NotReady); });
    section("a claim by an order of the earlier incarnation is accepted", [&] {
        auto claim = earlier;
        claim.agentIncarnation = 7;
        check(fixture.giveOrder(claim) == order_outcome::Accepted);
    });
    section("a run that was refused meanwhile never starts here",
            [&] { check(fixture.giveOrder(placedNow) == order_outcome::Superseded); });
    section("then starts are accepted if the worker is ready", [&] {
        check(fixture.giveOrder(table_fixture::order(3)) == order_outcome::Accepted);
        check(fixture.table.acceptsStarts(Ready));
        check(!fixture.table.acceptsStarts(start_readiness::RetryLater));
        check(!fixture.table.acceptsStarts(start_readiness::Unavailable));
    });
}

Test(run_table, without_a_lease_nothing_is_started)
{
    table_fixture fixture;
    fixture.giveOrder(table_fixture::order(0));
    check(fixture.table.takeDueActions(fixture.now, false).empty());
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
}

// Guards against a task that waits for as long as its agent lives. Its order was accepted, but the
// agent was frozen before it called the worker, and the epoch ended meanwhile. All runs have to end
// before the next epoch. As the worker was never called for this run, it never lists the run's end,
// and the run counted as active for ever.
Test(run_table, stopped_before_the_worker_was_called)
{
    table_fixture fixture;
    require(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Accepted);
    require(fixture.giveOrder(table_fixture::order(1)) == order_outcome::Accepted);
    section("by an order",
            [&] { fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(1))); });
    section("because its epoch has ended", [&] { fixture.table.stopAll(fixture.now); });
    for (int poll = 1; poll <= 100; ++poll) {
        fixture.now += seconds(1);
        fixture.table.takeDueActions(fixture.now, false);
        fixture.table.applyListing(table_fixture::listing({}, 1000 + 1000 * poll), fixture.now);
    }
    check(fixture.table.activeRunCount() == 0);
}
