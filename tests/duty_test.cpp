// Duties: when their ticks come. Waits are on conditions; no time is measured.
#include <atomic>
#include <future>

#include "runtime/event_actor.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

// A duty sleeps until its earliest deadline. Were a deadline that an event brings forward not seen
// before the one that the duty sleeps towards, a queued request would be refused late: here the
// first timer is an hour away, and the test would never end.
Test(duty, ticks_at_deadlines)
{
    actor_runtime system;
    time_point deadline = Never; // touched by the duty alone
    std::promise<void> ticked;
    std::atomic<int> ticks{0};
    event_actor<time_point> sleeper(
            system, 16, [&](time_point &at) { deadline = at; },
            tick_schedule{[&] { return deadline; },
                          [&] {
                              deadline = Never;
                              if (++ticks == 1)
                                  ticked.set_value();
                          }});
    section("brought forward by an event", [&] {
        sleeper.post(monotonic_clock::now() + std::chrono::hours(1));
        sleeper.post(monotonic_clock::now() + milliseconds(20));
        ticked.get_future().wait();
    });
    section("once for each deadline", [&] {
        sleeper.stop();
        check(ticks == 1);
    });
}

Test(duty, without_a_deadline_there_is_no_tick)
{
    actor_runtime system;
    std::atomic<int> ticks{0};
    std::atomic<int> asked{0};
    std::promise<void> handled;
    event_actor<int> resting(
            system, 16, [&](int &) { handled.set_value(); },
            tick_schedule{[&] {
                              ++asked;
                              return Never;
                          },
                          [&] { ++ticks; }});
    resting.post(1);
    handled.get_future().wait();
    resting.stop();
    check(ticks == 0);
    check(asked <= 2); // at its start and after the one event: it was not woken otherwise
}

// A deadline that its tick leaves in the past must not take the whole core.
Test(duty, a_deadline_left_in_the_past_does_not_spin)
{
    actor_runtime system;
    std::atomic<int> ticks{0};
    std::promise<void> tenth;
    const auto startedAt = monotonic_clock::now();
    event_actor<int> stuck(
            system, 16, [](int &) {},
            tick_schedule{[] { return time_point(); },
                          [&] {
                              if (++ticks == 10)
                                  tenth.set_value();
                          }});
    tenth.get_future().wait();
    check(monotonic_clock::now() - startedAt >= milliseconds(10 + 9)); // a pause before each
    stuck.stop();
}
