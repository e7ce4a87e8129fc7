// Tests of worker_clock: an agent's estimate of its worker's clock.
#include <criterion/criterion.h>

#include "app/worker_clock.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

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
