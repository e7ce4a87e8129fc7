// What an agent concludes of a worker that answers nothing, and when.
#include <criterion/criterion.h>

#include "jobs/worker_liveness.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds PlacementDelay{300}; // a write, a placement and its order

} // namespace

Test(worker_silence, what_it_was_given_ends)
{
    const time_point start{std::chrono::hours(1)};
    worker_liveness liveness(start);
    liveness.clearHold();
    section("nothing is held", [&] { check(!liveness.hasNothingRunning(start + seconds(100))); });
    section("a call lets runs go on", [&] {
        liveness.noteHold(start + HoldDuration);
        check(!liveness.hasNothingRunning(start + HoldDuration));
        check(!liveness.hasNothingRunning(start + durationOnSlowClock(HoldDuration)));
        check(liveness.hasNothingRunning(start + HoldDuration + seconds(1)));
        section("an earlier end never counts", [&] {
            liveness.noteHold(start + seconds(1));
            check(!liveness.hasNothingRunning(start + HoldDuration));
        });
    });
    section("a new life of the worker may be met by late starts", [&] {
        liveness.noteNewIncarnation(start);
        check(!liveness.hasNothingRunning(start + MaxHoldDuration));
        check(liveness.hasNothingRunning(start + MaxHoldDuration + seconds(1)));
    });
}

// Callers see tasks that last stand still for 11 s. A worker is lost and its agent killed in the
// same moment; the agent is back 2 s later and can't know until when its earlier life let runs go
// on. It assumed a whole lease, though no call ever lets them go on for as long.
Test(worker_silence, worker_lost_and_agent_killed_at_once)
{
    constexpr milliseconds AgentBackAfter{2000};
    const time_point lostAt{std::chrono::hours(1)};
    worker_liveness liveness(lostAt + AgentBackAfter);
    check(!liveness.hasNothingRunning(lostAt + HoldDuration)); // a look in the last moment
    check(liveness.hasNothingRunning(lostAt + TaskLostAfter - PlacementDelay));
}

// Callers see a task that was placed on a lost worker wait for as long as its agent lives. The
// worker fell silent with nothing running, a moment before the order came: there is no run whose
// end would end the placement, and an answer of "not yet" has the order repeated for ever.
Test(worker_silence, order_for_a_worker_that_is_lost)
{
    const time_point lostAt{std::chrono::hours(1)};
    worker_liveness liveness(lostAt - seconds(10));
    liveness.notePoll(true, lostAt);
    const worker_status status{true, false, true};
    check(readinessOf(status, liveness, lostAt) == start_readiness::Ready);
    section("one look that failed says little", [&] {
        liveness.notePoll(false, lostAt + seconds(1));
        check(readinessOf(status, liveness, lostAt + seconds(1)) == start_readiness::Ready);
    });
    section("looks that fail for a while close it", [&] {
        liveness.notePoll(false, lostAt + WorkerSilentAfter);
        check(readinessOf(status, liveness, lostAt + WorkerSilentAfter)
              == start_readiness::Unavailable);
    });
    section("an answer opens it again", [&] {
        liveness.notePoll(true, lostAt + seconds(5));
        check(readinessOf(status, liveness, lostAt + seconds(5)) == start_readiness::Ready);
    });
    section("an agent that was frozen asks first", [&] {
        check(readinessOf(status, liveness, lostAt + seconds(60)) == start_readiness::RetryLater);
    });
    section("without a lease it is for a moment, too", [&] {
        liveness.notePoll(true, lostAt + seconds(60));
        check(readinessOf({true, false, false}, liveness, lostAt + seconds(60))
              == start_readiness::RetryLater);
    });
    section("a worker that leaves takes nothing", [&] {
        check(readinessOf({true, true, true}, liveness, lostAt + seconds(60))
              == start_readiness::Unavailable);
        check(readinessOf({false, false, true}, liveness, lostAt + seconds(60))
              == start_readiness::Unavailable);
    });
}
