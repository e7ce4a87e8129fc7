// The steps of a planned stop on a virtual clock.
#include <string>

#include <criterion/criterion.h>

#include "app/shutdown_plan.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Begun{seconds(1000)};
constexpr stop_needs Nothing{};
constexpr stop_needs Owns{true, false, true};
constexpr stop_needs Answers{false, true, true};
constexpr stop_needs Connected{false, false, true};

// The step at which a stop with these needs is at this time, looked at each 50 ms, each look late
// by that much.
stop_step stepAt(milliseconds at, const stop_needs &needs, milliseconds lateness = {})
{
    planned_stop stop(Begun, {});
    stop_step step = stop_step::HandOver;
    for (milliseconds now{0}; now <= at; now += milliseconds(50) + lateness)
        step = stop.look(needs, lateness, Begun + now);
    return step;
}

} // namespace

Test(planned_stop, steps)
{
    section("what is owned is handed over first, for 4 s at most", [] {
        check(stepAt(milliseconds(3900), Owns) == stop_step::HandOver);
        check(stepAt(milliseconds(4000), Owns) == stop_step::Finish);
    });
    section("so are open requests answered, while new callers are still taken", [] {
        check(stepAt(milliseconds(3900), Answers) == stop_step::HandOver);
        check(stepAt(milliseconds(0), Connected) == stop_step::Finish);
    });
    section("with nothing to do it is over at the second look", [] {
        check(stepAt(milliseconds(0), Nothing) == stop_step::Finish);
        check(stepAt(milliseconds(50), Nothing) == stop_step::End);
    });
    section("what was read is answered, however long that takes, while there is time", [] {
        check(stepAt(milliseconds(100), Connected) == stop_step::Finish);
        check(stepAt(milliseconds(5150), Answers) == stop_step::Finish);
    });
    section("then it is given up, with time for the answers to go out", [] {
        check(stepAt(milliseconds(5200), Answers) == stop_step::GiveUp);
        check(stepAt(milliseconds(5650), Answers) == stop_step::GiveUp);
        check(stepAt(milliseconds(5700), Answers) == stop_step::End);
    });
    section("the time to finish may be shorter, counted from the end of handing over", [] {
        const stop_times times{milliseconds(5000), milliseconds(300), milliseconds(5300),
                               milliseconds(5700)};
        const auto handedOver = Begun + seconds(1);
        planned_stop stop(Begun, {}, times);
        check(stop.look(Owns, {}, handedOver - milliseconds(10)) == stop_step::HandOver);
        check(stop.look(Connected, {}, handedOver) == stop_step::Finish);
        check(stop.look(Connected, {}, handedOver + milliseconds(290)) == stop_step::Finish);
        check(stop.look(Connected, {}, handedOver + milliseconds(300)) == stop_step::GiveUp);
    });
    section("names, for the log", [] { check(nameOf(stop_step::GiveUp) == "give_up"); });
}

// Callers of a process that is behind are cut off by the kill, 6 s after the signal: its last looks
// come too late.
Test(planned_stop, a_process_that_is_behind)
{
    constexpr milliseconds Late{400};
    section("it goes on before the look that would be too late", [&] {
        check(stepAt(milliseconds(3500), Owns, Late) == stop_step::HandOver);
        check(stepAt(milliseconds(3700), Owns, Late) == stop_step::Finish);
        check(stepAt(milliseconds(4950), Owns, Late) == stop_step::GiveUp);
        check(stepAt(milliseconds(5500), Owns, Late) == stop_step::GiveUp);
        check(stepAt(milliseconds(5900), Owns, Late) == stop_step::End);
    });
    section("one that heard of the signal late counts from when it may have come", [] {
        planned_stop stop(Begun, milliseconds(1500));
        check(stop.look(Owns, {}, Begun + milliseconds(2450)) == stop_step::HandOver);
        check(stop.look(Owns, {}, Begun + milliseconds(2500)) == stop_step::Finish);
        check(stop.look(Answers, {}, Begun + milliseconds(3700)) == stop_step::GiveUp);
        check(stop.look(Answers, {}, Begun + milliseconds(4200)) == stop_step::End);
    });
    section("one that stood still for very long still has time for some steps", [] {
        planned_stop stop(Begun, seconds(60));
        check(stop.look(Owns, {}, Begun + milliseconds(1950)) == stop_step::HandOver);
    });
    section("one that stood still once still answers what it finds", [] {
        planned_stop stop(Begun, {});
        const auto woken = Begun + milliseconds(4650);
        check(stop.look(Owns, seconds(2), woken) == stop_step::Finish);
        check(stop.look(Answers, seconds(2), woken + milliseconds(50)) == stop_step::GiveUp);
        check(stop.look(Answers, seconds(2), woken + milliseconds(100)) == stop_step::GiveUp);
        check(stop.look(Nothing, seconds(2), woken + milliseconds(150)) == stop_step::End);
    });
}
