// The steps of a planned stop on a virtual clock.
#include <string>

#include <criterion/criterion.h>

#include "app/shutdown_plan.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Begun{seconds(1000)};
constexpr remaining_work Nothing{};
constexpr remaining_work Owns{true, false, true};
constexpr remaining_work Answers{false, true, true};
constexpr remaining_work Connected{false, false, true};

// The step at which a stop with these needs is at this time, looked at each 50 ms, each look late
// by that much.
shutdown_step stepAt(milliseconds at, const remaining_work &remaining, milliseconds lateness = {})
{
    shutdown_plan plan(Begun, {});
    shutdown_step step = shutdown_step::HandOver;
    for (milliseconds now{0}; now <= at; now += milliseconds(50) + lateness)
        step = plan.advance(remaining, lateness, Begun + now);
    return step;
}

} // namespace

Test(planned_stop, steps)
{
    section("what is owned is handed over first, for 4 s at most", [] {
        check(stepAt(milliseconds(3900), Owns) == shutdown_step::HandOver);
        check(stepAt(milliseconds(4000), Owns) == shutdown_step::Finish);
    });
    section("so are open requests answered, while new callers are still taken", [] {
        check(stepAt(milliseconds(3900), Answers) == shutdown_step::HandOver);
        check(stepAt(milliseconds(0), Connected) == shutdown_step::Finish);
    });
    section("with nothing to do it is over at the second look", [] {
        check(stepAt(milliseconds(0), Nothing) == shutdown_step::Finish);
        check(stepAt(milliseconds(50), Nothing) == shutdown_step::End);
    });
    section("what was read is answered, however long that takes, while there is time", [] {
        check(stepAt(milliseconds(100), Connected) == shutdown_step::Finish);
        check(stepAt(milliseconds(5150), Answers) == shutdown_step::Finish);
    });
    section("then it is given up, with time for the answers to go out", [] {
        check(stepAt(milliseconds(5200), Answers) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5650), Answers) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5700), Answers) == shutdown_step::End);
    });
    section("the time to finish may be shorter, counted from the end of handing over", [] {
        const shutdown_limits limits{milliseconds(5000), milliseconds(300), milliseconds(5300),
                                     milliseconds(5700)};
        const auto handedOver = Begun + seconds(1);
        shutdown_plan plan(Begun, {}, limits);
        check(plan.advance(Owns, {}, handedOver - milliseconds(10)) == shutdown_step::HandOver);
        check(plan.advance(Connected, {}, handedOver) == shutdown_step::Finish);
        check(plan.advance(Connected, {}, handedOver + milliseconds(290)) == shutdown_step::Finish);
        check(plan.advance(Connected, {}, handedOver + milliseconds(300)) == shutdown_step::GiveUp);
    });
    section("names, for the log", [] { check(nameOf(shutdown_step::GiveUp) == "give_up"); });
}

// Callers of a process that is behind are cut off by the kill, 6 s after the signal: its last looks
// come too late.
Test(planned_stop, a_process_that_is_behind)
{
    constexpr milliseconds Late{400};
    section("it goes on before the look that would be too late", [&] {
        check(stepAt(milliseconds(3500), Owns, Late) == shutdown_step::HandOver);
        check(stepAt(milliseconds(3700), Owns, Late) == shutdown_step::Finish);
        check(stepAt(milliseconds(4950), Owns, Late) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5500), Owns, Late) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5900), Owns, Late) == shutdown_step::End);
    });
    section("one that heard of the signal late counts from when it may have come", [] {
        shutdown_plan plan(Begun, milliseconds(1500));
        check(plan.advance(Owns, {}, Begun + milliseconds(2450)) == shutdown_step::HandOver);
        check(plan.advance(Owns, {}, Begun + milliseconds(2500)) == shutdown_step::Finish);
        check(plan.advance(Answers, {}, Begun + milliseconds(3700)) == shutdown_step::GiveUp);
        check(plan.advance(Answers, {}, Begun + milliseconds(4200)) == shutdown_step::End);
    });
    section("one that stood still for very long still has time for some steps", [] {
        shutdown_plan plan(Begun, seconds(60));
        check(plan.advance(Owns, {}, Begun + milliseconds(1950)) == shutdown_step::HandOver);
    });
    section("one that stood still once still answers what it finds", [] {
        shutdown_plan plan(Begun, {});
        const auto resumedAt = Begun + milliseconds(4650);
        check(plan.advance(Owns, seconds(2), resumedAt) == shutdown_step::Finish);
        check(plan.advance(Answers, seconds(2), resumedAt + milliseconds(50))
              == shutdown_step::GiveUp);
        check(plan.advance(Answers, seconds(2), resumedAt + milliseconds(100))
              == shutdown_step::GiveUp);
        check(plan.advance(Nothing, seconds(2), resumedAt + milliseconds(150))
              == shutdown_step::End);
    });
}
