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

struct scene
{
    run_table table;
    time_point now{std::chrono::hours(1)};

    scene()
    {
        table.setWorker({4000, 8000, 0}, start_readiness::Open);
        table.setEpoch(Epoch);
    }

    static run_order order(int index, int run = 1, std::int64_t millicores = 1000)
    {
        run_order made;
        made.task = {"job", 0, 0, index};
        made.run = run;
        made.epoch = Epoch;
        made.traits.size = {millicores, 1000, 0};
        return made;
    }

    order_outcome give(const run_order &made, const std::string &owner = "entry-a")
    {
        return table.take(made, owner, now).outcome;
    }

    static run_order stopOf(run_order made)
    {
        made.kind = order_kind::Stop;
        return made;
    }

    // The worker lists the run's end as its first one, and nothing that runs.
    void listEnd(const run_order &made, end_kind how = end_kind::Done)
    {
        run_listing seen;
        seen.ended.push_back({1, made.task, made.run, how, ""});
        table.look(seen, now);
    }

    static run_listing listing(const std::vector<run_order> &running, std::int64_t clockMs = 1000)
    {
        run_listing seen;
        seen.clockMs = clockMs;
        for (const auto &one : running)
            seen.running.push_back({one.task, one.run, "", 0});
        return seen;
    }
};

} // namespace

Test(run_table, capacity)
{
    section("a worker is given as much as it holds", [] {
        scene on;
        for (int index = 0; index < 4; ++index)
            check(on.give(scene::order(index)) == order_outcome::Accepted);
        check(on.give(scene::order(4)) == order_outcome::NoRoom);
        section("a run that is being stopped still takes its room", [&] {
            on.table.startCalled(scene::order(0).task, 1, 2000); // it may be there
            check(on.give(scene::stopOf(scene::order(0))) == order_outcome::Accepted);
            check(on.give(scene::order(5)) == order_outcome::NoRoom);
        });
        section("its room is free when its end is listed", [&] {
            run_listing seen;
            seen.ended.push_back({1, scene::order(0).task, 1, end_kind::Stopped, ""});
            on.table.look(seen, on.now);
            check(on.give(scene::order(6)) == order_outcome::Accepted);
        });
    });
    section("what fills takes memory and no processors", [] {
        scene on;
        auto filling = scene::order(0, 1, 9000);
        filling.traits.fills = true;
        check(on.give(filling) == order_outcome::Accepted);
        check(on.table.used() == (task_size{0, 1000, 0}));
        check(on.table.fillMillicores() == 9000);
    });
}

// A caller sees nothing, an operator a worker that is given more than it has: the agent is killed,
// its next life reads a run from the worker's list, and the first order for it is a stop, since its
// job was cancelled. A stop tells no size; counted as nothing, the run would share its room.
Test(run_table, stop_of_a_run_of_an_earlier_life)
{
    scene on;
    const auto earlier = scene::order(9);
    on.table.look(scene::listing({earlier}), on.now);
    section("its size is not known, so nothing is started",
            [&] { check(on.give(scene::order(0)) == order_outcome::NotReady); });
    section("a stop does not change that", [&] {
        check(on.give(scene::stopOf(earlier)) == order_outcome::Accepted);
        check(on.give(scene::order(0)) == order_outcome::NotReady);
    });
    section("its end does", [&] {
        on.listEnd(earlier, end_kind::Stopped);
        check(on.give(scene::order(0)) == order_outcome::Accepted);
    });
}

// The caller's job runs once. An entry that was frozen wakes and gives an order that was placed
// before the worker's lease ran out; the task runs elsewhere by now.
// A task runs twice: an earlier life of the agent had told the worker to stop its run, which is in
// neither list until it has ended, and the next life said that it never starts.
Test(run_table, a_stop_again_while_the_earlier_lifes_stops_may_last)
{
    scene on;
    on.table.setWorker({4000, 8000, 0}, start_readiness::Later);
    section("the stop is given again until they are over",
            [&] { check(on.give(scene::stopOf(scene::order(0))) == order_outcome::NotReady); });
    section("nothing starts by an order that it has overtaken", [&] {
        on.table.setWorker({4000, 8000, 0}, start_readiness::Open);
        check(on.give(scene::order(0)) == order_outcome::Superseded);
    });
    section("then the run is gone",
            [&] { check(on.give(scene::stopOf(scene::order(0))) == order_outcome::Superseded); });
}

Test(run_table, orders_of_another_epoch)
{
    scene on;
    auto old = scene::order(0);
    old.epoch = Epoch - 1;
    check(on.give(old) == order_outcome::WrongEpoch);
    section("also when the same run comes again with the present epoch",
            [&] { check(on.give(scene::order(0)) == order_outcome::Superseded); });
    section("a newer run of the task is another matter",
            [&] { check(on.give(scene::order(0, 2)) == order_outcome::Accepted); });
}

// A task runs twice at once: a life of the agent tells that its run never starts, and is killed.
// Its task is placed anew while an order of the first run is still on its way to the next life.
Test(run_table, an_order_from_before_the_agents_life)
{
    const auto placedIn = [](std::int64_t life, int run) {
        auto made = scene::order(0, run);
        made.agentLife = life;
        return made;
    };
    scene on;
    on.table.setAgentLife(8);
    section("a run that is not known here never starts", [&] {
        check(on.give(placedIn(7, 1)) == order_outcome::OtherLife);
        check(neverStarts(order_outcome::OtherLife));
        check(on.table.due(on.now, true).empty());
    });
    section("not told before what the earlier life stopped has ended for certain", [&] {
        auto other = scene::order(5);
        other.agentLife = 7;
        on.table.setWorker({4000, 8000, 0}, start_readiness::Later);
        check(on.give(other) == order_outcome::NotReady);
        on.table.setWorker({4000, 8000, 0}, start_readiness::Open);
        check(on.give(other) == order_outcome::OtherLife);
    });
    section("nor does an order that names no life start it after that",
            [&] { check(on.give(scene::order(0, 1)) == order_outcome::Superseded); });
    section("one that was placed in this life does",
            [&] { check(on.give(placedIn(8, 2)) == order_outcome::Accepted); });
    section("one that the worker runs is claimed, whichever life started it", [&] {
        on.table.look(scene::listing({scene::order(1)}), on.now);
        auto claim = scene::order(1);
        claim.agentLife = 7;
        check(on.give(claim) == order_outcome::Accepted);
        check(on.table.complete());
    });
}

// A task that is done runs again: its start was held up, and the stop that overtook it was lost.
Test(run_table, an_order_that_was_held_up_for_longer_than_it_holds)
{
    const auto clockOf = [](time_point at) { return millisecondsIn(at.time_since_epoch()); };
    scene on;
    auto order = scene::order(0);
    order.holdsUntilMs = clockOf(on.now + milliseconds(300));
    const auto deadline = on.now + milliseconds(300);
    section("it starts nothing from its deadline on", [&] {
        on.now = deadline;
        check(on.give(order) == order_outcome::Overdue);
        check(on.table.due(on.now, true).empty());
        check(on.table.endsSeen() == 0);
    });
    section("the run is not refused for good", [&] {
        check(!neverStarts(order_outcome::Overdue));
        check(isGivenAgain(order_outcome::Overdue));
        auto again = order;
        again.holdsUntilMs = clockOf(on.now + milliseconds(300));
        check(on.give(again) == order_outcome::Accepted);
    });
    section("the start is called up to the deadline of the order that came in time", [&] {
        const auto actions = on.table.due(on.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callBy == on.now + milliseconds(300));
    });
    section("the first order, coming again, claims the run and changes no deadline", [&] {
        on.table.startAnswered(order.task, 1, start_answer::Unhealthy, on.now);
        on.now += milliseconds(250);
        check(on.give(order, "entry-b") == order_outcome::Accepted);
        check(on.table.due(on.now, true).size() == 1);
        on.now += milliseconds(50);
        on.table.startAnswered(order.task, 1, start_answer::Unhealthy, on.now);
        on.now += milliseconds(250);
        check(on.table.due(on.now, true).empty());
        check(on.table.endsFor("entry-b").size() == 1);
    });
    section("one that tells no deadline is taken as it comes",
            [&] { check(on.give(scene::order(1)) == order_outcome::Accepted); });
    section("one that holds for long is called no longer for that", [&] {
        scene other;
        auto longer = scene::order(2);
        longer.holdsUntilMs = clockOf(other.now + milliseconds(60'000));
        require(other.give(longer) == order_outcome::Accepted);
        const auto actions = other.table.due(other.now, true);
        require(actions.size() == 1);
        check(std::get<start_run>(actions[0]).callBy == other.now + milliseconds(700));
    });
    section("a run that was stopped stays refused, however late its order", [&] {
        scene other;
        require(other.give(scene::stopOf(order)) == order_outcome::Superseded);
        other.now = deadline;
        check(other.give(order) == order_outcome::Superseded);
    });
}

// A task runs twice at once: an order of its run 1 was held up, and its agent has been given run 2.
Test(run_table, an_order_that_was_overtaken_by_that_of_a_newer_run)
{
    scene on;
    require(on.give(scene::order(0, 2)) == order_outcome::Accepted);
    check(on.give(scene::order(0, 1)) == order_outcome::Superseded);
    check(on.table.due(on.now, true).size() == 1);
    section("also once the newer run is there", [&] {
        on.table.startAnswered(scene::order(0).task, 2, start_answer::Started, on.now);
        check(on.give(scene::order(0, 1)) == order_outcome::Superseded);
    });
    section("another task of the job is another matter",
            [&] { check(on.give(scene::order(1, 1)) == order_outcome::Accepted); });
}

// A task starts seconds after it was done: its worker turned the start away for a while, and
// whoever gave the order and could have stopped it was gone.
Test(run_table, a_start_that_its_worker_turns_away)
{
    const auto turnedAway = [](scene &on) {
        on.table.startCalled(scene::order(0).task, 1, 5000);
        on.table.startAnswered(scene::order(0).task, 1, start_answer::Unhealthy, on.now);
    };
    // Calls until `span` is over; how many.
    const auto callsFor = [&](scene &on, milliseconds span) {
        int calls = 0;
        for (const auto until = on.now + span; on.now < until; on.now += milliseconds(50)) {
            for (const auto &action : on.table.due(on.now, true)) {
                check(std::holds_alternative<start_run>(action));
                turnedAway(on);
                ++calls;
            }
        }
        return calls;
    };
    section("is called again for less than a second, and told as never started", [&] {
        scene on;
        on.give(scene::order(0));
        check(callsFor(on, milliseconds(750)) == 3);
        check(callsFor(on, milliseconds(60'000)) == 0);
        const auto ends = on.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].how == end_kind::NeverStarted);
        check(on.table.used() == task_size());
    });
    section("for longer by the word of its owner", [&] {
        scene on;
        on.give(scene::order(0));
        callsFor(on, milliseconds(500));
        on.give(scene::order(0));
        check(callsFor(on, milliseconds(60'000)) == 3);
    });
    section("one of whose calls has no answer is told once the list was read after it", [&] {
        scene on;
        on.give(scene::order(0));
        check(on.table.due(on.now, true).size() == 1);
        on.table.startCalled(scene::order(0).task, 1, 2500);
        on.now += milliseconds(701);
        check(on.table.due(on.now, true).empty());
        on.table.startAnswered(scene::order(0).task, 1, start_answer::Unanswered, on.now);
        on.now += milliseconds(60'000);
        check(on.table.due(on.now, true).empty());
        check(on.table.endsFor("entry-a").empty());
        on.table.look(scene::listing({}, 2501), on.now);
        check(on.table.endsFor("entry-a").size() == 1);
    });
    section("one that may not be called for want of a lease is given up like it", [&] {
        scene on;
        on.give(scene::order(0));
        check(on.table.due(on.now, false).empty());
        on.now += milliseconds(701);
        check(on.table.due(on.now, true).empty());
        check(on.table.endsFor("entry-a").size() == 1);
    });
}

// The answer to a start is lost. The run may begin up to the call's own deadline on the worker's
// clock; until then it counts as there, and the owner must not place the task elsewhere.
Test(run_table, unanswered_start)
{
    scene on;
    const auto made = scene::order(0);
    on.give(made);
    check(on.table.due(on.now, true).size() == 1);
    on.table.startCalled(made.task, 1, 2500);
    on.table.startAnswered(made.task, 1, start_answer::Unanswered, on.now);
    section("it takes room", [&] { check(on.table.used().millicores == 1000); });
    section("it is asked for again", [&] {
        on.now += milliseconds(300);
        check(on.table.due(on.now, true).size() == 1);
        on.table.startCalled(made.task, 1, 2800);
    });
    section("a refusal of the second call says nothing of the first", [&] {
        on.table.startAnswered(made.task, 1, start_answer::Refused, on.now);
        check(on.table.endsFor("entry-a").empty());
    });
    section("a list read before the deadline proves nothing", [&] {
        on.table.look(scene::listing({}, 2700), on.now);
        check(on.table.endsFor("entry-a").empty());
    });
    section("one read after it proves that it never started", [&] {
        on.table.look(scene::listing({}, 2801), on.now);
        const auto ends = on.table.endsFor("entry-a");
        require(ends.size() == 1);
        check(ends[0].how == end_kind::NeverStarted);
        check(on.give(made) == order_outcome::Accepted); // it is known, and its end is told
    });
    section("once that is stored, the same order is refused for good", [&] {
        on.table.acknowledged({made.task, 1, end_kind::NeverStarted}, on.now);
        check(on.give(made) == order_outcome::Superseded);
    });
}

Test(run_table, ends_are_forgotten_in_order)
{
    scene on;
    run_listing seen;
    for (int number = 1; number <= 3; ++number) {
        on.give(scene::order(number));
        seen.ended.push_back({number, scene::order(number).task, 1, end_kind::Done, ""});
    }
    on.table.look(seen, on.now);
    section("none before it is stored", [&] { check(on.table.lastSeen() == 0); });
    section("a gap keeps those after it", [&] {
        on.table.acknowledged({scene::order(2).task, 1, end_kind::Done}, on.now);
        check(on.table.lastSeen() == 0);
        on.table.acknowledged({scene::order(1).task, 1, end_kind::Done}, on.now);
        check(on.table.lastSeen() == 2);
    });
    section("a list that is older brings none back", [&] {
        on.table.look(seen, on.now);
        check(on.table.endsFor("entry-a").size() == 1);
    });
}

// A worker leaves with its last tasks done and their ends told to an owner that is slow to store
// them. Dropped with the worker, they would be in no row: the tasks would run again elsewhere.
Test(run_table, ends_outlive_their_worker)
{
    scene on;
    on.give(scene::order(1));
    on.give(scene::order(2));
    run_listing seen = scene::listing({scene::order(2)});
    seen.ended.push_back({7, scene::order(1).task, 1, end_kind::Done, ""});
    on.table.look(seen, on.now);
    on.table.clear();
    section("keep their agent, as nobody else will tell them",
            [&] { check(on.table.hasEndsOfTheGone()); });
    section("are still told, and what ran is forgotten", [&] {
        require(on.table.endsFor("entry-a").size() == 1);
        check(on.table.endsFor("entry-a")[0].how == end_kind::Done);
        check(on.table.running() == 0);
        check(on.table.used() == task_size());
    });
    section("take no part in what the worker's next life may forget", [&] {
        check(on.table.lastSeen() == 0);
        on.table.setEpoch(Epoch + 1);
        auto next = scene::order(3);
        next.epoch = Epoch + 1;
        on.give(next);
        run_listing anew;
        anew.ended.push_back({1, next.task, 1, end_kind::Done, ""});
        on.table.look(anew, on.now);
        check(on.table.lastSeen() == 0);
        on.table.acknowledged({next.task, 1, end_kind::Done}, on.now);
        check(on.table.lastSeen() == 1);
    });
    section("until they are acknowledged", [&] {
        on.table.acknowledged({scene::order(1).task, 1, end_kind::Done}, on.now);
        check(on.table.endsFor("entry-a").empty());
        check(!on.table.hasEndsOfTheGone());
    });
}

// A start of an agent's earlier life takes effect late; the next life is told by the worker that
// this run can't start any more, and takes it for never started. That end was told and
// acknowledged while the worker listed the real one: forgotten unheard, the task would run again.
Test(run_table, a_run_that_was_taken_for_never_started)
{
    scene on;
    const auto made = scene::order(1);
    on.give(made);
    on.table.startCalled(made.task, 1, 5000);
    on.table.startAnswered(made.task, 1, start_answer::Refused, on.now);
    require(on.table.endsFor("entry-a").size() == 1);
    const auto told = on.table.endsFor("entry-a")[0].how;
    require(told == end_kind::NeverStarted);
    run_listing seen;
    seen.ended.push_back({4, made.task, 1, end_kind::Done, ""});
    on.table.look(seen, on.now);
    section("the acknowledgement of the one end is not that of the other", [&] {
        check(!on.table.acknowledged({made.task, 1, told}, on.now));
        require(on.table.endsFor("entry-a").size() == 1);
        check(on.table.endsFor("entry-a")[0].how == end_kind::Done);
        check(on.table.lastSeen() == 3);
    });
    section("the worker forgets it once that is acknowledged", [&] {
        check(on.table.acknowledged({made.task, 1, end_kind::Done}, on.now));
        check(on.table.lastSeen() == 4);
    });
    section("also where the worker lists it after the first was acknowledged", [&] {
        const auto other = scene::order(2);
        on.give(other);
        on.table.startCalled(other.task, 1, 5000);
        on.table.startAnswered(other.task, 1, start_answer::Refused, on.now);
        require(on.table.acknowledged({other.task, 1, told}, on.now));
        seen.ended.push_back({5, other.task, 1, end_kind::Done, ""});
        on.table.look(seen, on.now);
        require(on.table.endsFor("entry-a").size() == 1);
        check(on.table.endsFor("entry-a")[0].how == end_kind::Done);
        check(on.table.lastSeen() == 4);
    });
}

// Callers count the jobs that wait. An agent takes an order at once and its worker may begin it
// seconds later: only what the worker was seen to run has started.
Test(run_table, starts_that_an_owner_asks_for)
{
    scene on;
    auto made = scene::order(1);
    made.tellsStart = true;
    on.give(made);
    on.give(scene::order(2));
    check(on.table.due(on.now, true).size() == 2);
    on.table.startCalled(made.task, 1, 5000);
    section("not while its call has no answer", [&] {
        on.table.startAnswered(made.task, 1, start_answer::Unanswered, on.now);
        check(on.table.startedFor("entry-a").empty());
    });
    section("once the worker lists it, until that was told, to its owner alone", [&] {
        on.table.look(scene::listing({made, scene::order(2)}), on.now);
        check(on.table.startedFor("entry-b").empty());
        const auto started = on.table.startedFor("entry-a");
        require(started.size() == 1);
        check(started[0].task == made.task);
        check(on.table.startedFor("entry-a").size() == 1);
        on.table.startsTold(started, "entry-a");
        check(on.table.startedFor("entry-a").empty());
    });
    section("again to an owner that takes the job over and has not heard of it", [&] {
        check(on.give(made, "entry-b") == order_outcome::Accepted);
        check(on.table.startedFor("entry-b").size() == 1);
    });
    section("the late word of the owner before it changes nothing", [&] {
        on.table.startsTold({{made.task, 1}}, "entry-a");
        check(on.table.startedFor("entry-b").size() == 1);
    });
}

// A report is lost once, and from then on its owner hears neither that the task has begun nor how
// far it got: the job counts as waiting, and a run that is lost later begins from nothing.
Test(run_table, a_report_that_its_owner_does_not_answer)
{
    scene on;
    auto made = scene::order(0);
    made.tellsStart = true;
    on.give(made);
    auto seen = scene::listing({made});
    seen.running[0].checkpoint = "half";
    on.table.look(seen, on.now);
    require(on.table.progressFor("entry-a").size() == 1);
    on.table.ownerSilent("entry-a");
    section("start and progress are still the owner's to hear", [&] {
        check(on.table.startedFor("entry-a").size() == 1);
        require(on.table.progressFor("entry-a").size() == 1);
        check(on.table.progressFor("entry-a")[0].checkpoint == "half");
        check(on.table.progressFor("entry-b").empty());
    });
    on.listEnd(made);
    section("its end goes to all", [&] {
        check(on.table.endsFor("entry-a").size() == 1);
        check(on.table.endsFor("entry-b").size() == 1);
    });
    section("at once to an entry that is back under its name, and knows nothing of it", [&] {
        const auto told = on.table.endsSeen();
        on.give(made, "entry-a");
        check(on.table.endsSeen() > told);
        on.table.ownerSilent("entry-a");
    });
    section("until an entry claims the run", [&] {
        on.give(made, "entry-b");
        check(on.table.endsFor("entry-a").empty());
        check(on.table.endsFor("entry-b").size() == 1);
    });
}

// A run that was told as never started runs all the same, in nobody's books, beside the next run.
Test(run_table, a_run_that_was_refused_and_is_listed)
{
    scene on;
    const auto made = scene::order(0);
    on.give(scene::stopOf(made));
    require(on.give(made) == order_outcome::Superseded);
    on.table.look(scene::listing({made}), on.now);
    section("is stopped, each time that it is seen", [&] {
        const auto actions = on.table.due(on.now, true);
        require(actions.size() == 1);
        check(std::holds_alternative<stop_run>(actions[0]));
        check(on.table.due(on.now, true).empty());
        on.table.look(scene::listing({made}), on.now);
        check(on.table.due(on.now, true).size() == 1);
    });
    section("and its end is told", [&] {
        on.listEnd(made);
        check(on.table.endsFor("entry-a").size() == 1);
        check(on.table.due(on.now, true).empty());
    });
}

// A job stands still for good: its owner was overtaken, lives on, and gave an order once more
// before it had heard of that. The run's end was told to it alone, and its heir waited.
Test(run_table, an_end_told_to_an_entry_that_does_not_own_its_job)
{
    scene on;
    const auto made = scene::order(0);
    on.give(made, "heir");
    on.give(made, "overtaken");
    on.listEnd(made);
    require(on.table.endsFor("overtaken").size() == 1);
    require(on.table.endsFor("heir").empty());
    const acknowledged_end end{made.task, 1, end_kind::Done};
    section("goes to all once that entry has said so", [&] {
        check(on.table.notOwned(end, "overtaken"));
        check(on.table.endsFor("heir").size() == 1);
        check(on.table.endsFor("overtaken").size() == 1);
        check(!on.table.notOwned(end, "overtaken"));
    });
    section("the word of an entry that has been followed by another changes nothing", [&] {
        on.give(made, "heir");
        check(!on.table.notOwned(end, "overtaken"));
        check(on.table.endsFor("overtaken").empty());
        check(on.table.endsFor("heir").size() == 1);
    });
    section("the answer says so on the wire, and says no more than before else", [&] {
        const auto heard = reportAnswerFrom(toText(report_answer{{}, {end}, {}}));
        require(heard.notOwned.size() == 1);
        check(heard.notOwned[0].task == made.task);
        check(heard.acknowledged.empty());
        check(toText(report_answer{}).find("not_owned") == std::string::npos);
    });
}

// A worker is given more than it holds, and a task runs twice at once: a run that is being stopped
// is in neither list for a while, and was told as never started where it had just been called.
Test(run_table, a_run_that_is_being_stopped)
{
    scene on;
    const auto made = scene::order(0);
    on.give(made);
    on.table.startCalled(made.task, 1, 2000);
    const auto stopped = [&] {
        on.give(scene::stopOf(made));
        on.table.look(scene::listing({}, 2600), on.now);
        check(on.table.endsFor("entry-a").empty());
        check(on.table.used() == (task_size{1000, 1000, 0}));
    };
    section("takes its room until its end is listed", [&] {
        on.table.startAnswered(made.task, 1, start_answer::Started, on.now);
        stopped();
    });
    section("also where the stop came before the answer to its start", [&] {
        scene other;
        std::swap(on, other);
        on.give(made);
        on.table.startCalled(made.task, 1, 2000);
        on.give(scene::stopOf(made));
        on.table.startAnswered(made.task, 1, start_answer::Started, on.now);
        stopped();
    });
    section("also where the list told that it had started", [&] {
        scene other;
        std::swap(on, other);
        on.give(made);
        on.table.startCalled(made.task, 1, 2000);
        on.table.look(scene::listing({made}, 1500), on.now);
        stopped();
    });
    section("and then it is free", [&] {
        on.listEnd(made, end_kind::Stopped);
        check(on.table.used() == task_size());
    });
}

Test(run_table, runs_that_nobody_claims_are_stopped)
{
    scene on;
    on.table.look(scene::listing({scene::order(0)}), on.now);
    check(on.table.due(on.now, true).empty());
    on.now += milliseconds(8001);
    const auto actions = on.table.due(on.now, true);
    require(actions.size() == 1);
    check(std::holds_alternative<stop_run>(actions[0]));
}

Test(run_table, without_a_lease_nothing_is_started)
{
    scene on;
    on.give(scene::order(0));
    check(on.table.due(on.now, false).empty());
    check(on.table.due(on.now, true).size() == 1);
}

// A task waits for as long as its agent lives: its order was accepted, but the process was
// frozen before it called the worker, and the epoch has ended meanwhile. All that runs is to stop
// first; nothing was ever called, so no end is ever listed, and the run counts as running for good.
Test(run_table, stopped_before_it_was_called)
{
    scene on;
    require(on.give(scene::order(0)) == order_outcome::Accepted);
    require(on.give(scene::order(1)) == order_outcome::Accepted);
    section("by an order", [&] { on.give(scene::stopOf(scene::order(1))); });
    section("as its epoch has ended", [&] { on.table.stopAll(on.now); });
    for (int look = 1; look <= 100; ++look) {
        on.now += seconds(1);
        on.table.due(on.now, false);
        on.table.look(scene::listing({}, 1000 + 1000 * look), on.now);
    }
    check(on.table.running() == 0);
}
