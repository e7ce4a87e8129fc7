// A worker's clock, as its agent counts it on.
#include <criterion/criterion.h>

#include "app/worker_clock.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

// Guards against deadlines on a clock that was never read, or was that of another life.
Test(worker_clock, is_counted_on_from_its_last_reading)
{
    constexpr time_point ReadAt{seconds(1000)};
    worker_clock clock;
    section("it is not known before it was read", [&] { check(!clock.isKnown()); });
    clock.setReading(5000, ReadAt);
    section("it goes on", [&] {
        check(clock.isKnown());
        check(clock.millisecondsAt(ReadAt) == 5000);
        check(clock.millisecondsAt(ReadAt + milliseconds(250)) == 5250);
    });
    section("a reading replaces the one before", [&] {
        clock.setReading(5240, ReadAt + milliseconds(250));
        check(clock.millisecondsAt(ReadAt + milliseconds(300)) == 5290);
    });
    section("a worker that is gone has none", [&] {
        clock.reset();
        check(!clock.isKnown());
    });
}
