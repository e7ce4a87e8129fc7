// Tests of when actors tick. The last test checks a lower bound of a time; the others wait for
// conditions and measure no time.
#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "runtime/event_actor.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

// An actor sleeps until its earliest deadline. If it kept sleeping until the old deadline after an
// event has set an earlier one, a queued request would be refused late. Here the first deadline is
// an hour away, so the test would not end.
Test(actor, ticks_at_deadlines)
{
    actor_runtime system;
    time_point deadline = Never; // used by the actor only
    std::promise<void> ticked;
    std::atomic<int> ticks{0};
    event_actor<time_point> deadlineActor(
            system, 16, [&](time_point &at) { deadline = at; },
            tick_schedule{[&] { return deadline; },
                          [&] {
                              deadline = Never;
                              if (++ticks == 1)
                                  ticked.set_value();
                          }});
    deadlineActor.start();
    section("an event sets an earlier deadline", [&] {
        deadlineActor.post(monotonic_clock::now() + std::chrono::hours(1));
        deadlineActor.post(monotonic_clock::now() + milliseconds(20));
        ticked.get_future().wait();
    });
    section("the actor ticks once per deadline", [&] {
        deadlineActor.stop();
        check(ticks == 1);
    });
}

Test(actor, no_tick_without_deadline)
{
    actor_runtime system;
    std::atomic<int> ticks{0};
    std::atomic<int> nextTickCalls{0};
    std::promise<void> handled;
    event_actor<int> idleActor(
            system, 16, [&](int &) { handled.set_value(); },
            tick_schedule{[&] {
                              ++nextTickCalls;
                              return Never;
                          },
                          [&] { ++ticks; }});
    idleActor.start();
    idleActor.post(1);
    handled.get_future().wait();
    idleActor.stop();
    check(ticks == 0);
    // Called at the start and after the one event; any other wake-up would call it again.
    check(nextTickCalls <= 2);
}

// An actor whose tick leaves its deadline in the past must not use a whole core.
Test(actor, past_deadline_does_not_spin)
{
    actor_runtime system;
    std::atomic<int> ticks{0};
    std::promise<void> tenthTick;
    const auto startedAt = monotonic_clock::now();
    event_actor<int> overdueActor(
            system, 16, [](int &) {},
            tick_schedule{[] { return time_point(); },
                          [&] {
                              if (++ticks == 10)
                                  tenthTick.set_value();
                          }});
    overdueActor.start();
    tenthTick.get_future().wait();
    check(monotonic_clock::now() - startedAt >= milliseconds(10)); // a delay before each
    overdueActor.stop();
}

// Guards against a daemon that crashes as it starts, because an actor's thread uses a pointer to
// the actor that its owner has not assigned yet.
Test(actor, nothing_runs_before_start)
{
    actor_runtime system;
    std::atomic<int> calls{0};
    std::promise<void> handled;
    std::promise<void> ticked;
    event_actor<int> lateActor(
            system, 16,
            [&](int &) {
                ++calls;
                handled.set_value();
            },
            tick_schedule{[&] { return calls < 2 ? time_point() : Never; },
                          [&] {
                              if (++calls == 2)
                                  ticked.set_value();
                          }});
    section("before start(), an event waits and an overdue tick isn't due", [&] {
        lateActor.post(1);
        std::this_thread::sleep_for(milliseconds(50)); // a thread that had begun would tick
        check(calls == 0);
    });
    section("after start(), both are handled", [&] {
        lateActor.start();
        handled.get_future().wait();
        ticked.get_future().wait();
    });
}

// Guards against an event that an actor posts to itself as it starts and that waits for the next
// one to be handled.
Test(actor, events_posted_while_it_starts_are_handled)
{
    actor_runtime system;
    event_actor<int> *self = nullptr;
    std::promise<void> handled;
    event_actor<int> ownActor(
            system, 16, [&](int &) { handled.set_value(); },
            tick_schedule{[&] {
                              if (auto *poster = std::exchange(self, nullptr))
                                  poster->post(1);
                              return Never;
                          },
                          [] {}});
    self = &ownActor;
    ownActor.start();
    handled.get_future().wait();
}
