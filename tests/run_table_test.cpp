// The agent's ledger: what may be started on a worker, and what is known after a crash, a lost
// answer or a freeze.
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
        table.setWorker({4000, 8000, 0}, start_readiness::Ready);
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

    // The worker lists the run's end as its first one, and nothing that runs.
    void listEnd(const run_order &newOrder, end_kind how = end_kind::Done)
    {
        run_listing workerListing;
        workerListing.ended.push_back({1, newOrder.task, newOrder.run, how, ""});
        table.applyListing(workerListing, now);
    }

    static run_listing listing(const std::vector<run_order> &running, std::int64_t clockMs = 1000)
    {
        run_listing workerListing;
        workerListing.clockMs = clockMs;
        for (const auto &one : running)
            workerListing.running.push_back({one.task, one.run, "", 0});
        return workerListing;
    }
};

} // namespace

Test(run_table, capacity)
{
    section("a worker is given as much as it holds", [] {
        table_fixture fixture;
        for (int index = 0; index < 4; ++index)
            check(fixture.giveOrder(table_fixture::order(index)) == order_outcome::Accepted);
        check(fixture.giveOrder(table_fixture::order(4)) == order_outcome::NoRoom);
        section("a run that is being stopped still takes its room", [&] {
            fixture.table.startCalled(table_fixture::order(0).task, 1, 2000); // it may be there
            check(fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(0)))
                  == order_outcome::Accepted);
            check(fixture.giveOrder(table_fixture::order(5)) == order_outcome::NoRoom);
        });
        section("its room is free when its end is listed", [&] {
            run_listing workerListing;
            workerListing.ended.push_back(
                    {1, table_fixture::order(0).task, 1, end_kind::Stopped, ""});
            fixture.table.applyListing(workerListing, fixture.now);
            check(fixture.giveOrder(table_fixture::order(6)) == order_outcome::Accepted);
        });
    });
    section("what fills takes memory and no processors", [] {
        table_fixture fixture;
        auto filling = table_fixture::order(0, 1, 9000);
        filling.requirements.isBestEffort = true;
        check(fixture.giveOrder(filling) == order_outcome::Accepted);
        check(fixture.table.used() == (task_size{0, 1000, 0}));
        check(fixture.table.bestEffortMillicores() == 9000);
    });
}

// A caller sees nothing, an operator a worker that is given more than it has: the agent is killed,
// its next life reads a run from the worker's list, and the first order for it is a stop, since its
// job was cancelled. A stop tells no size; counted as nothing, the run would share its room.
Test(run_table, stop_of_a_run_of_an_earlier_life)
{
    table_fixture fixture;
    const auto earlier = table_fixture::order(9);
    fixture.table.applyListing(table_fixture::listing({earlier}), fixture.now);
    section("its size is not known, so nothing is started",
            [&] { check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::NotReady); });
    section("a stop does not change that", [&] {
        check(fixture.giveOrder(table_fixture::stopOrderFor(earlier)) == order_outcome::Accepted);
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::NotReady);
    });
    section("its end does", [&] {
        fixture.listEnd(earlier, end_kind::Stopped);
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Accepted);
    });
}

// The caller's job runs once. An entry that was frozen wakes and gives an order that was placed
// before the worker's lease ran out; the task runs elsewhere by now.
// A task runs twice: an earlier life of the agent had told the worker to stop its run, which is in
// neither list until it has ended, and the next life said that it never starts.
Test(run_table, a_stop_again_while_the_earlier_lifes_stops_may_last)
{
    table_fixture fixture;
    fixture.table.setWorker({4000, 8000, 0}, start_readiness::RetryLater);
    section("the stop is given again until they are over", [&] {
        check(fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(0)))
              == order_outcome::NotReady);
    });
    section("nothing starts by an order that it has overtaken", [&] {
        fixture.table.setWorker({4000, 8000, 0}, start_readiness::Ready);
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Superseded);
    });
    section("then the run is gone", [&] {
        check(fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(0)))
              == order_outcome::Superseded);
    });
}

Test(run_table, orders_of_another_epoch)
{
    table_fixture fixture;
    auto old = table_fixture::order(0);
    old.epoch = Epoch - 1;
    check(fixture.giveOrder(old) == order_outcome::WrongEpoch);
    section("also when the same run comes again with the present epoch", [&] {
        check(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Superseded);
    });
    section("a newer run of the task is another matter", [&] {
        check(fixture.giveOrder(table_fixture::order(0, 2)) == order_outcome::Accepted);
    });
}

// A task runs twice at once: a life of the agent tells that its run never starts, and is killed.
// Its task is placed anew while an order of the first run is still on its way to the next life.
Test(run_table, an_order_from_before_the_agents_life)
{
    const auto placedIn = [](std::int64_t life, int run) {
        auto newOrder = table_fixture::order(0, run);
        newOrder.agentIncarnation = life;
        return newOrder;
    };
    table_fixture fixture;
    fixture.table.setAgentIncarnation(8);
    section("a run that is not known here never starts", [&] {
        check(fixture.giveOrder(placedIn(7, 1)) == order_outcome::WrongAgentIncarnation);
        check(isPermanentRefusal(order_outcome::WrongAgentIncarnation));
        check(fixture.table.takeDueActions(fixture.now, true).empty());
    });
    section("not told before what the earlier life stopped has ended for certain", [&] {
        auto other = table_fixture::order(5);
        other.agentIncarnation = 7;
        fixture.table.setWorker({4000, 8000, 0}, start_readiness::RetryLater);
        check(fixture.giveOrder(other) == order_outcome::NotReady);
        fixture.table.setWorker({4000, 8000, 0}, start_readiness::Ready);
        check(fixture.giveOrder(other) == order_outcome::WrongAgentIncarnation);
    });
    section("nor does an order that names no life start it after that", [&] {
        check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    });
    section("one that was placed in this life does",
            [&] { check(fixture.giveOrder(placedIn(8, 2)) == order_outcome::Accepted); });
    section("one that the worker runs is claimed, whichever life started it", [&] {
        fixture.table.applyListing(table_fixture::listing({table_fixture::order(1)}), fixture.now);
        auto claim = table_fixture::order(1);
        claim.agentIncarnation = 7;
        check(fixture.giveOrder(claim) == order_outcome::Accepted);
        check(fixture.table.allRunsClaimed());
    });
}

// A task that is done runs again: its start was held up, and the stop that overtook it was lost.
Test(run_table, an_order_that_was_held_up_for_longer_than_it_holds)
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
    section("the start is called up to the deadline of the order that came in time", [&] {
        const auto actions = fixture.table.takeDueActions(fixture.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callDeadline == fixture.now + milliseconds(300));
    });
    section("the first order, coming again, claims the run and changes no deadline", [&] {
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
    section("one that tells no deadline is taken as it comes",
            [&] { check(fixture.giveOrder(table_fixture::order(1)) == order_outcome::Accepted); });
    section("one that holds for long is called no longer for that", [&] {
        table_fixture other;
        auto longer = table_fixture::order(2);
        longer.startDeadlineMs = clockOf(other.now + milliseconds(60'000));
        require(other.giveOrder(longer) == order_outcome::Accepted);
        const auto actions = other.table.takeDueActions(other.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callDeadline == other.now + milliseconds(700));
    });
    section("a run that was stopped stays refused, however late its order", [&] {
        table_fixture other;
        require(other.giveOrder(table_fixture::stopOrderFor(order)) == order_outcome::Superseded);
        other.now = deadline;
        check(other.giveOrder(order) == order_outcome::Superseded);
    });
}

// A task runs twice at once: an order of its run 1 was held up, and its agent has been given run 2.
Test(run_table, an_order_that_was_overtaken_by_that_of_a_newer_run)
{
    table_fixture fixture;
    require(fixture.giveOrder(table_fixture::order(0, 2)) == order_outcome::Accepted);
    check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    section("also once the newer run is there", [&] {
        fixture.table.startAnswered(table_fixture::order(0).task, 2, start_answer::Started,
                                    fixture.now);
        check(fixture.giveOrder(table_fixture::order(0, 1)) == order_outcome::Superseded);
    });
    section("another task of the job is another matter", [&] {
        check(fixture.giveOrder(table_fixture::order(1, 1)) == order_outcome::Accepted);
    });
}

// A task starts seconds after it was done: its worker turned the start away for a while, and
// whoever gave the order and could have stopped it was gone.
Test(run_table, a_start_that_its_worker_turns_away)
{
    const auto rejectStart = [](table_fixture &fixture) {
        fixture.table.startCalled(table_fixture::order(0).task, 1, 5000);
        fixture.table.startAnswered(table_fixture::order(0).task, 1, start_answer::NotExecuted,
                                    fixture.now);
    };
    // Calls until `span` is over; how many.
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
    section("is called again for less than a second, and told as never started", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        check(countCalls(fixture, milliseconds(750)) == 3);
        check(countCalls(fixture, milliseconds(60'000)) == 0);
        const auto ends = fixture.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].endKind == end_kind::NeverStarted);
        check(fixture.table.used() == task_size());
    });
    section("for longer by the word of its owner", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        countCalls(fixture, milliseconds(500));
        fixture.giveOrder(table_fixture::order(0));
        check(countCalls(fixture, milliseconds(60'000)) == 3);
    });
    section("one of whose calls has no answer is told once the list was read after it", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
        fixture.table.startCalled(table_fixture::order(0).task, 1, 2500);
        fixture.now += milliseconds(701);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        fixture.table.startAnswered(table_fixture::order(0).task, 1, start_answer::Unanswered,
                                    fixture.now);
        fixture.now += milliseconds(60'000);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        check(fixture.table.endsFor("entry-a").empty());
        fixture.table.applyListing(table_fixture::listing({}, 2501), fixture.now);
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
    section("one that may not be called for want of a lease is given up like it", [&] {
        table_fixture fixture;
        fixture.giveOrder(table_fixture::order(0));
        check(fixture.table.takeDueActions(fixture.now, false).empty());
        fixture.now += milliseconds(701);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
}

// The answer to a start is lost. The run may begin up to the call's own deadline on the worker's
// clock; until then it counts as there, and the owner must not place the task elsewhere.
Test(run_table, unanswered_start)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder);
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    fixture.table.startCalled(newOrder.task, 1, 2500);
    fixture.table.startAnswered(newOrder.task, 1, start_answer::Unanswered, fixture.now);
    section("it takes room", [&] { check(fixture.table.used().millicores == 1000); });
    section("it is asked for again", [&] {
        fixture.now += milliseconds(300);
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
        fixture.table.startCalled(newOrder.task, 1, 2800);
    });
    section("a refusal of the second call says nothing of the first", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Refused, fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
    });
    section("a list read before the deadline proves nothing", [&] {
        fixture.table.applyListing(table_fixture::listing({}, 2700), fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
    });
    section("one read after it proves that it never started", [&] {
        fixture.table.applyListing(table_fixture::listing({}, 2801), fixture.now);
        const auto ends = fixture.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].endKind == end_kind::NeverStarted);
        check(fixture.giveOrder(newOrder)
              == order_outcome::Accepted); // it is known, and its end is told
    });
    section("once that is stored, the same order is refused for good", [&] {
        fixture.table.acknowledgeEnd({newOrder.task, 1, end_kind::NeverStarted}, fixture.now);
        check(fixture.giveOrder(newOrder) == order_outcome::Superseded);
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
    section("none before it is stored", [&] { check(fixture.table.acknowledgedThrough() == 0); });
    section("a gap keeps those after it", [&] {
        fixture.table.acknowledgeEnd({table_fixture::order(2).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.acknowledgedThrough() == 0);
        fixture.table.acknowledgeEnd({table_fixture::order(1).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.acknowledgedThrough() == 2);
    });
    section("a list that is older brings none back", [&] {
        fixture.table.applyListing(workerListing, fixture.now);
        check(fixture.table.endsFor("entry-a").size() == 1);
    });
}

// A worker leaves with its last tasks done and their ends told to an owner that is slow to store
// them. Dropped with the worker, they would be in no row: the tasks would run again elsewhere.
Test(run_table, ends_outlive_their_worker)
{
    table_fixture fixture;
    fixture.giveOrder(table_fixture::order(1));
    fixture.giveOrder(table_fixture::order(2));
    run_listing workerListing = table_fixture::listing({table_fixture::order(2)});
    workerListing.ended.push_back({7, table_fixture::order(1).task, 1, end_kind::Done, ""});
    fixture.table.applyListing(workerListing, fixture.now);
    fixture.table.clearRuns();
    section("keep their agent, as nobody else will tell them",
            [&] { check(fixture.table.hasEndsOfGoneWorker()); });
    section("are still told, and what ran is forgotten", [&] {
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.activeRunCount() == 0);
        check(fixture.table.used() == task_size());
    });
    section("take no part in what the worker's next life may forget", [&] {
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
    section("until they are acknowledged", [&] {
        fixture.table.acknowledgeEnd({table_fixture::order(1).task, 1, end_kind::Done},
                                     fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
        check(!fixture.table.hasEndsOfGoneWorker());
    });
}

// A start of an agent's earlier life takes effect late; the next life is told by the worker that
// this run can't start any more, and takes it for never started. That end was told and
// acknowledged while the worker listed the real one: forgotten unheard, the task would run again.
Test(run_table, a_run_that_was_taken_for_never_started)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(1);
    fixture.giveOrder(newOrder);
    fixture.table.startCalled(newOrder.task, 1, 5000);
    fixture.table.startAnswered(newOrder.task, 1, start_answer::Refused, fixture.now);
    require(fixture.table.endsFor("entry-a").size() == 1);
    const auto told = fixture.table.endsFor("entry-a")[0].endKind;
    require(told == end_kind::NeverStarted);
    run_listing workerListing;
    workerListing.ended.push_back({4, newOrder.task, 1, end_kind::Done, ""});
    fixture.table.applyListing(workerListing, fixture.now);
    section("the acknowledgement of the one end is not that of the other", [&] {
        check(!fixture.table.acknowledgeEnd({newOrder.task, 1, told}, fixture.now));
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.acknowledgedThrough() == 3);
    });
    section("the worker forgets it once that is acknowledged", [&] {
        check(fixture.table.acknowledgeEnd({newOrder.task, 1, end_kind::Done}, fixture.now));
        check(fixture.table.acknowledgedThrough() == 4);
    });
    section("also where the worker lists it after the first was acknowledged", [&] {
        const auto other = table_fixture::order(2);
        fixture.giveOrder(other);
        fixture.table.startCalled(other.task, 1, 5000);
        fixture.table.startAnswered(other.task, 1, start_answer::Refused, fixture.now);
        require(fixture.table.acknowledgeEnd({other.task, 1, told}, fixture.now));
        workerListing.ended.push_back({5, other.task, 1, end_kind::Done, ""});
        fixture.table.applyListing(workerListing, fixture.now);
        require(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-a")[0].endKind == end_kind::Done);
        check(fixture.table.acknowledgedThrough() == 4);
    });
}

// Callers count the jobs that wait. An agent takes an order at once and its worker may begin it
// seconds later: only what the worker was seen to run has started.
Test(run_table, starts_that_an_owner_asks_for)
{
    table_fixture fixture;
    auto newOrder = table_fixture::order(1);
    newOrder.wantsStartReport = true;
    fixture.giveOrder(newOrder);
    fixture.giveOrder(table_fixture::order(2));
    check(fixture.table.takeDueActions(fixture.now, true).size() == 2);
    fixture.table.startCalled(newOrder.task, 1, 5000);
    section("not while its call has no answer", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Unanswered, fixture.now);
        check(fixture.table.startsFor("entry-a").empty());
    });
    section("once the worker lists it, until that was told, to its owner alone", [&] {
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
    section("again to an owner that takes the job over and has not heard of it", [&] {
        check(fixture.giveOrder(newOrder, "entry-b") == order_outcome::Accepted);
        check(fixture.table.startsFor("entry-b").size() == 1);
    });
    section("the late word of the owner before it changes nothing", [&] {
        fixture.table.noteStartsReported({{newOrder.task, 1}}, "entry-a");
        check(fixture.table.startsFor("entry-b").size() == 1);
    });
}

// A report is lost once, and from then on its owner hears neither that the task has begun nor how
// far it got: the job counts as waiting, and a run that is lost later begins from nothing.
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
    section("start and progress are still the owner's to hear", [&] {
        check(fixture.table.startsFor("entry-a").size() == 1);
        require(fixture.table.progressFor("entry-a").size() == 1);
        check(fixture.table.progressFor("entry-a")[0].checkpoint == "half");
        check(fixture.table.progressFor("entry-b").empty());
    });
    fixture.listEnd(newOrder);
    section("its end goes to all", [&] {
        check(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.endsFor("entry-b").size() == 1);
    });
    section("at once to an entry that is back under its name, and knows nothing of it", [&] {
        const auto told = fixture.table.newEndCount();
        fixture.giveOrder(newOrder, "entry-a");
        check(fixture.table.newEndCount() > told);
        fixture.table.noteOwnerSilent("entry-a");
    });
    section("until an entry claims the run", [&] {
        fixture.giveOrder(newOrder, "entry-b");
        check(fixture.table.endsFor("entry-a").empty());
        check(fixture.table.endsFor("entry-b").size() == 1);
    });
}

// A run that was told as never started runs all the same, in nobody's books, beside the next run.
Test(run_table, a_run_that_was_refused_and_is_listed)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
    require(fixture.giveOrder(newOrder) == order_outcome::Superseded);
    fixture.table.applyListing(table_fixture::listing({newOrder}), fixture.now);
    section("is stopped, each time that it is seen", [&] {
        const auto actions = fixture.table.takeDueActions(fixture.now, true);
        require(actions.size() == 1);
        check(std::holds_alternative<stop_run>(actions[0]));
        check(fixture.table.takeDueActions(fixture.now, true).empty());
        fixture.table.applyListing(table_fixture::listing({newOrder}), fixture.now);
        check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
    });
    section("and its end is told", [&] {
        fixture.listEnd(newOrder);
        check(fixture.table.endsFor("entry-a").size() == 1);
        check(fixture.table.takeDueActions(fixture.now, true).empty());
    });
}

// A job stands still for good: its owner was overtaken, lives on, and gave an order once more
// before it had heard of that. The run's end was told to it alone, and its heir waited.
Test(run_table, an_end_told_to_an_entry_that_does_not_own_its_job)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder, "heir");
    fixture.giveOrder(newOrder, "overtaken");
    fixture.listEnd(newOrder);
    require(fixture.table.endsFor("overtaken").size() == 1);
    require(fixture.table.endsFor("heir").empty());
    const run_end_id end{newOrder.task, 1, end_kind::Done};
    section("goes to all once that entry has said so", [&] {
        check(fixture.table.noteNotOwned(end, "overtaken"));
        check(fixture.table.endsFor("heir").size() == 1);
        check(fixture.table.endsFor("overtaken").size() == 1);
        check(!fixture.table.noteNotOwned(end, "overtaken"));
    });
    section("the word of an entry that has been followed by another changes nothing", [&] {
        fixture.giveOrder(newOrder, "heir");
        check(!fixture.table.noteNotOwned(end, "overtaken"));
        check(fixture.table.endsFor("overtaken").empty());
        check(fixture.table.endsFor("heir").size() == 1);
    });
    section("the answer says so on the wire, and says no more than before else", [&] {
        const auto heard = reportAnswerFrom(toText(report_answer{{}, {end}, {}}));
        require(heard.notOwned.size() == 1);
        check(heard.notOwned[0].task == newOrder.task);
        check(heard.acknowledged.empty());
        check(toText(report_answer{}).find("not_owned") == std::string::npos);
    });
}

// A worker is given more than it holds, and a task runs twice at once: a run that is being stopped
// is in neither list for a while, and was told as never started where it had just been called.
Test(run_table, a_run_that_is_being_stopped)
{
    table_fixture fixture;
    const auto newOrder = table_fixture::order(0);
    fixture.giveOrder(newOrder);
    fixture.table.startCalled(newOrder.task, 1, 2000);
    const auto stopped = [&] {
        fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
        fixture.table.applyListing(table_fixture::listing({}, 2600), fixture.now);
        check(fixture.table.endsFor("entry-a").empty());
        check(fixture.table.used() == (task_size{1000, 1000, 0}));
    };
    section("takes its room until its end is listed", [&] {
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Started, fixture.now);
        stopped();
    });
    section("also where the stop came before the answer to its start", [&] {
        table_fixture other;
        std::swap(fixture, other);
        fixture.giveOrder(newOrder);
        fixture.table.startCalled(newOrder.task, 1, 2000);
        fixture.giveOrder(table_fixture::stopOrderFor(newOrder));
        fixture.table.startAnswered(newOrder.task, 1, start_answer::Started, fixture.now);
        stopped();
    });
    section("also where the list told that it had started", [&] {
        table_fixture other;
        std::swap(fixture, other);
        fixture.giveOrder(newOrder);
        fixture.table.startCalled(newOrder.task, 1, 2000);
        fixture.table.applyListing(table_fixture::listing({newOrder}, 1500), fixture.now);
        stopped();
    });
    section("and then it is free", [&] {
        fixture.listEnd(newOrder, end_kind::Stopped);
        check(fixture.table.used() == task_size());
    });
}

Test(run_table, runs_that_nobody_claims_are_stopped)
{
    table_fixture fixture;
    fixture.table.applyListing(table_fixture::listing({table_fixture::order(0)}), fixture.now);
    check(fixture.table.takeDueActions(fixture.now, true).empty());
    fixture.now += milliseconds(8001);
    const auto actions = fixture.table.takeDueActions(fixture.now, true);
    require(actions.size() == 1);
    check(std::holds_alternative<stop_run>(actions[0]));
}

Test(run_table, without_a_lease_nothing_is_started)
{
    table_fixture fixture;
    fixture.giveOrder(table_fixture::order(0));
    check(fixture.table.takeDueActions(fixture.now, false).empty());
    check(fixture.table.takeDueActions(fixture.now, true).size() == 1);
}

// A task waits for as long as its agent lives: its order was accepted, but the process was
// frozen before it called the worker, and the epoch has ended meanwhile. All that runs is to stop
// first; nothing was ever called, so no end is ever listed, and the run counts as running for good.
Test(run_table, stopped_before_it_was_called)
{
    table_fixture fixture;
    require(fixture.giveOrder(table_fixture::order(0)) == order_outcome::Accepted);
    require(fixture.giveOrder(table_fixture::order(1)) == order_outcome::Accepted);
    section("by an order",
            [&] { fixture.giveOrder(table_fixture::stopOrderFor(table_fixture::order(1))); });
    section("as its epoch has ended", [&] { fixture.table.stopAll(fixture.now); });
    for (int look = 1; look <= 100; ++look) {
        fixture.now += seconds(1);
        fixture.table.takeDueActions(fixture.now, false);
        fixture.table.applyListing(table_fixture::listing({}, 1000 + 1000 * look), fixture.now);
    }
    check(fixture.table.activeRunCount() == 0);
}
