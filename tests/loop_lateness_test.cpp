// Tests of how the lateness of an event loop is measured.
#include <criterion/criterion.h>

#include "net/loop_lateness.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::net::loop_lateness;
using zinniabarrow::tests::section;

namespace {

void fire(loop_lateness &lateness, time_point due, time_point now)
{
    lateness.addTimer(due);
    lateness.recordFired(due, now);
}

} // namespace

Test(loop_lateness, maximum_of_two_windows)
{
    const time_point start{seconds(1000)};
    loop_lateness lateness;
    section("no timer has fired yet", [&] { check(lateness.maxLateness(start) == duration{}); });
    section("the result is the maximum, not the last value", [&] {
        fire(lateness, start, start + milliseconds(300));
        fire(lateness, start + milliseconds(350), start + milliseconds(360));
        check(lateness.maxLateness(start + milliseconds(400)) == milliseconds(300));
    });
    section("a maximum is forgotten after at most two windows", [&] {
        check(lateness.maxLateness(start + milliseconds(1400)) == milliseconds(300));
        fire(lateness, start + milliseconds(1500), start + milliseconds(1520));
        check(lateness.maxLateness(start + milliseconds(2600)) == milliseconds(20));
    });
    section("a loop without timers for a long time is not late",
            [&] { check(lateness.maxLateness(start + seconds(60)) == duration{}); });
}

// After the loop was blocked, a signal is handled before the timers that came due meanwhile. At
// that point the lateness of fired timers does not show the delay yet; the overdue time does.
Test(loop_lateness, overdue_timers)
{
    const time_point start{seconds(1000)};
    loop_lateness lateness;
    lateness.addTimer(start + milliseconds(100));
    lateness.addTimer(start + milliseconds(400));
    check(lateness.overdueTime(start) == duration{});
    check(lateness.overdueTime(start + milliseconds(1600)) == milliseconds(1500));
    lateness.recordFired(start + milliseconds(100), start + milliseconds(1600));
    lateness.recordFired(start + milliseconds(400), start + milliseconds(1600));
    check(lateness.overdueTime(start + seconds(60)) == duration{});
    check(lateness.maxLateness(start + milliseconds(1600)) == milliseconds(1500));
}
