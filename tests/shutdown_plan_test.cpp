// Tests of shutdown_plan: the steps of a graceful shutdown on a virtual clock.
#include <string>

#include <criterion/criterion.h>

#include "app/shutdown_plan.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point SignaledAt{seconds(1000)};
constexpr remaining_work NoWork{};
constexpr remaining_work OwnedWork{true, false, true};
constexpr remaining_work OpenRequests{false, true, true};
constexpr remaining_work OpenConnections{false, false, true};

// The step that a shutdown has reached at `at` with this remaining work. It is polled every 50 ms,
// and each poll comes late by `lateness`.
shutdown_step stepAt(milliseconds at, const remaining_work &remaining, milliseconds lateness = {})
{
    shutdown_plan plan(SignaledAt, {});
    shutdown_step step = shutdown_step::HandOver;
    for (milliseconds now{0}; now <= at; now += milliseconds(50) + lateness)
        step = plan.advance(remaining, lateness, SignaledAt + now);
    return step;
}

} // namespace

Test(shutdown_plan, steps)
{
    section("owned work is handed over first, for 4 s at most", [] {
        check(stepAt(milliseconds(3900), OwnedWork) == shutdown_step::HandOver);
        check(stepAt(milliseconds(4000), OwnedWork) == shutdown_step::Finish);
    });
    section("while requests are open, new ones are still accepted, for 4 s at most", [] {
        check(stepAt(milliseconds(3900), OpenRequests) == shutdown_step::HandOver);
        check(stepAt(milliseconds(0), OpenConnections) == shutdown_step::Finish);
    });
    section("with nothing to do it ends at the second poll", [] {
        check(stepAt(milliseconds(0), NoWork) == shutdown_step::Finish);
        check(stepAt(milliseconds(50), NoWork) == shutdown_step::End);
    });
    section("requests on open connections are answered until the time limit", [] {
        check(stepAt(milliseconds(100), OpenConnections) == shutdown_step::Finish);
        check(stepAt(milliseconds(5150), OpenRequests) == shutdown_step::Finish);
    });
    section("then open requests are given up, with time left to send the answers", [] {
        check(stepAt(milliseconds(5200), OpenRequests) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5650), OpenRequests) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5700), OpenRequests) == shutdown_step::End);
    });
    section("the limit of Finish may be shorter, and counts from the end of HandOver", [] {
        const shutdown_limits limits{milliseconds(5000), milliseconds(300), milliseconds(5300),
                                     milliseconds(5700)};
        const auto handedOver = SignaledAt + seconds(1);
        shutdown_plan plan(SignaledAt, {}, limits);
        check(plan.advance(OwnedWork, {}, handedOver - milliseconds(10))
              == shutdown_step::HandOver);
        check(plan.advance(OpenConnections, {}, handedOver) == shutdown_step::Finish);
        check(plan.advance(OpenConnections, {}, handedOver + milliseconds(290))
              == shutdown_step::Finish);
        check(plan.advance(OpenConnections, {}, handedOver + milliseconds(300))
              == shutdown_step::GiveUp);
    });
    section("a step has a name for the log",
            [] { check(nameOf(shutdown_step::GiveUp) == "give_up"); });
}

// Guards against connections that are cut off when the platform kills the process 6 s after the
// signal: on a late event loop, the last polls come after the deadlines of their steps.
Test(shutdown_plan, late_event_loop)
{
    constexpr milliseconds Lateness{400};
    section("a step is taken early if the next poll would come too late", [&] {
        check(stepAt(milliseconds(3500), OwnedWork, Lateness) == shutdown_step::HandOver);
        check(stepAt(milliseconds(3700), OwnedWork, Lateness) == shutdown_step::Finish);
        check(stepAt(milliseconds(4950), OwnedWork, Lateness) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5500), OwnedWork, Lateness) == shutdown_step::GiveUp);
        check(stepAt(milliseconds(5900), OwnedWork, Lateness) == shutdown_step::End);
    });
    section("a signal that was handled late counts from when it may have come", [] {
        shutdown_plan plan(SignaledAt, milliseconds(1500));
        check(plan.advance(OwnedWork, {}, SignaledAt + milliseconds(2450))
              == shutdown_step::HandOver);
        check(plan.advance(OwnedWork, {}, SignaledAt + milliseconds(2500))
              == shutdown_step::Finish);
        check(plan.advance(OpenRequests, {}, SignaledAt + milliseconds(3700))
              == shutdown_step::GiveUp);
        check(plan.advance(OpenRequests, {}, SignaledAt + milliseconds(4200))
              == shutdown_step::End);
    });
    section("after a very long block of the event loop there is still time for some steps", [] {
        shutdown_plan plan(SignaledAt, seconds(60));
        check(plan.advance(OwnedWork, {}, SignaledAt + milliseconds(1950))
              == shutdown_step::HandOver);
    });
    section("after a single block of the event loop open requests are still answered", [] {
        shutdown_plan plan(SignaledAt, {});
        const auto resumedAt = SignaledAt + milliseconds(4650);
        check(plan.advance(OwnedWork, seconds(2), resumedAt) == shutdown_step::Finish);
        check(plan.advance(OpenRequests, seconds(2), resumedAt + milliseconds(50))
              == shutdown_step::GiveUp);
        check(plan.advance(OpenRequests, seconds(2), resumedAt + milliseconds(100))
              == shutdown_step::GiveUp);
        check(plan.advance(NoWork, seconds(2), resumedAt + milliseconds(150))
              == shutdown_step::End);
    });
}
