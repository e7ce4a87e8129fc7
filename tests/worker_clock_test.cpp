// Tests an agent's estimate of its worker's clock, and of when the worker's hold ends.
#include <criterion/criterion.h>

#include "app/worker_clock.h"
#include "jobs/lease.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds StopTimeout{900};

} // namespace

// Guards against deadlines based on a clock that was never read, or that belonged to another
// incarnation of the worker.
Test(worker_clock, is_extrapolated_from_its_last_reading)
{
    constexpr time_point ReadAt{seconds(1000)};
    worker_clock clock;
    section("it is unknown before the first reading", [&] { check(!clock.isKnown()); });
    clock.setReading(5000, ReadAt);
    section("it advances with the agent's clock", [&] {
        check(clock.isKnown());
        check(clock.millisecondsAt(ReadAt) == 5000);
        check(clock.millisecondsAt(ReadAt + milliseconds(250)) == 5250);
    });
    section("a reading replaces the previous one", [&] {
        clock.setReading(5240, ReadAt + milliseconds(250));
        check(clock.millisecondsAt(ReadAt + milliseconds(300)) == 5290);
    });
    section("it is unknown after the worker is gone", [&] {
        clock.reset();
        check(!clock.isKnown());
    });
}

Test(worker_clock, latest_deadline)
{
    const time_point start{std::chrono::hours(1)};
    worker_clock clock;
    check(!clock.latestDeadline().has_value());
    clock.setReading(1000, start);
    check(!clock.latestDeadline().has_value()); // no call had one
    clock.noteDeadline(clock.millisecondsAt(start + seconds(5)));
    clock.noteDeadline(clock.millisecondsAt(start + seconds(2)));
    check(clock.latestDeadline() == start + seconds(5));
    section("a new incarnation has none", [&] {
        auto restarted = clock;
        restarted.reset();
        restarted.setReading(10, start);
        check(!restarted.latestDeadline().has_value());
    });
}

// Guards against a task that runs twice. A machine is cut off for 12 s and suspended for 4 s of
// them. The worker's clock stands while it is suspended, so that its hold ends 4 s later than the
// lease says; watchers have started the task elsewhere by then. The agent wakes up in time to stop
// it.
Test(worker_clock, a_hold_that_outlasts_the_lease_after_a_suspension)
{
    const time_point cutAt{std::chrono::hours(1)};
    const auto validUntil = cutAt + LeaseDuration;
    worker_clock clock;
    clock.setReading(1000, cutAt + seconds(2));
    clock.noteDeadline(clock.millisecondsAt(cutAt + seconds(7)));
    const auto needsStop = [&](milliseconds after) {
        return needsStopBeforeExpiry(*clock.latestDeadline(), validUntil, StopTimeout,
                                     cutAt + after);
    };
    section("a hold within the lease ends by itself", [&] {
        for (const auto after : {seconds(3), seconds(7), seconds(8)})
            check(!needsStop(after));
    });
    section("the first reading after the suspension shows it", [&] {
        clock.setReading(1000, cutAt + seconds(6));
        check(clock.latestDeadline() == cutAt + seconds(11));
    });
    section("its runs go on while the lease may still be renewed",
            [&] { check(!needsStop(milliseconds(6200))); });
    section("and are stopped early enough to have ended with the lease", [&] {
        check(needsStop(LeaseDuration - durationOnSlowClock(StopTimeout) - milliseconds(100)));
        check(needsStop(LeaseDuration + seconds(1)));
    });
    section("a slow clock and an old reading don't look like a suspension", [&] {
        clock.reset();
        clock.setReading(1000, cutAt);
        clock.noteDeadline(clock.millisecondsAt(validUntil));
        clock.setReading(1000 + 4900, cutAt + milliseconds(5100));
        check(!needsStop(LeaseDuration - milliseconds(1)));
    });
}
