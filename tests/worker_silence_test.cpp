// What an agent concludes of a worker that answers nothing, and when.
#include <criterion/criterion.h>

#include "jobs/worker_liveness.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds StartsWithin{300}; // a write, a placement and its order

} // namespace

Test(worker_silence, what_it_was_given_ends)
{
    const time_point start{std::chrono::hours(1)};
    worker_silence silence(start);
    silence.allEnded();
    section("nothing is held", [&] { check(!silence.nothingRuns(start + seconds(100))); });
    section("a call lets runs go on", [&] {
        silence.held(start + HoldLength);
        check(!silence.nothingRuns(start + HoldLength));
        check(!silence.nothingRuns(start + onSlowClock(HoldLength)));
        check(silence.nothingRuns(start + HoldLength + seconds(1)));
        section("an earlier end never counts", [&] {
            silence.held(start + seconds(1));
            check(!silence.nothingRuns(start + HoldLength));
        });
    });
    section("a new life of the worker may be met by late starts", [&] {
        silence.lifeBegun(start);
        check(!silence.nothingRuns(start + LongestHold));
        check(silence.nothingRuns(start + LongestHold + seconds(1)));
    });
}

// Callers see tasks that last stand still for 11 s. A worker is lost and its agent killed in the
// same moment; the agent is back 2 s later and can't know until when its earlier life let runs go
// on. It assumed a whole lease, though no call ever lets them go on for as long.
Test(worker_silence, worker_lost_and_agent_killed_at_once)
{
    constexpr milliseconds AgentBackAfter{2000};
    const time_point lost{std::chrono::hours(1)};
    worker_silence silence(lost + AgentBackAfter);
    check(!silence.nothingRuns(lost + HoldLength)); // a look in the last moment
    check(silence.nothingRuns(lost + LostAfter - StartsWithin));
}

// Callers see a task that was placed on a lost worker wait for as long as its agent lives. The
// worker fell silent with nothing running, a moment before the order came: there is no run whose
// end would end the placement, and an answer of "not yet" has the order repeated for ever.
Test(worker_silence, order_for_a_worker_that_is_lost)
{
    const time_point lost{std::chrono::hours(1)};
    worker_silence silence(lost - seconds(10));
    silence.looked(true, lost);
    const worker_standing standing{true, false, true};
    check(readinessOf(standing, silence, lost) == start_readiness::Open);
    section("one look that failed says little", [&] {
        silence.looked(false, lost + seconds(1));
        check(readinessOf(standing, silence, lost + seconds(1)) == start_readiness::Open);
    });
    section("looks that fail for a while close it", [&] {
        silence.looked(false, lost + WorkerSilent);
        check(readinessOf(standing, silence, lost + WorkerSilent) == start_readiness::Closed);
    });
    section("an answer opens it again", [&] {
        silence.looked(true, lost + seconds(5));
        check(readinessOf(standing, silence, lost + seconds(5)) == start_readiness::Open);
    });
    section("an agent that was frozen asks first", [&] {
        check(readinessOf(standing, silence, lost + seconds(60)) == start_readiness::Later);
    });
    section("without a lease it is for a moment, too", [&] {
        silence.looked(true, lost + seconds(60));
        check(readinessOf({true, false, false}, silence, lost + seconds(60))
              == start_readiness::Later);
    });
    section("a worker that leaves takes nothing", [&] {
        check(readinessOf({true, true, true}, silence, lost + seconds(60))
              == start_readiness::Closed);
        check(readinessOf({false, false, true}, silence, lost + seconds(60))
              == start_readiness::Closed);
    });
}
