// Tests what an agent concludes, and when, about a worker that doesn't answer.
#include <criterion/criterion.h>

#include "app/suspension_meter.h"
#include "app/worker_clock.h"
#include "jobs/worker_liveness.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds PlacementDelay{300}; // for a write of the row, a placement and its order

} // namespace

Test(worker_liveness, holds_expire)
{
    const time_point start{std::chrono::hours(1)};
    worker_liveness liveness(start);
    liveness.clearHold();
    section("nothing is held", [&] { check(!liveness.hasNothingRunning(start + seconds(100))); });
    section("a hold call lets runs continue", [&] {
        liveness.noteHold(start + HoldDuration);
        check(!liveness.hasNothingRunning(start + HoldDuration));
        check(!liveness.hasNothingRunning(start + durationOnSlowClock(HoldDuration)));
        check(liveness.hasNothingRunning(start + HoldDuration + seconds(1)));
        section("an earlier deadline has no effect", [&] {
            liveness.noteHold(start + seconds(1));
            check(!liveness.hasNothingRunning(start + HoldDuration));
        });
    });
    section("a delayed start may take effect in a new incarnation of the worker", [&] {
        liveness.noteNewIncarnation(start);
        check(!liveness.hasNothingRunning(start + MaxHoldDuration));
        check(liveness.hasNothingRunning(start + MaxHoldDuration + seconds(1)));
    });
}

// Guards against a task that runs twice. A worker restarts under its id, and a poll that was meant
// for its earlier incarnation holds its runs for MaxHoldDuration. A new epoch begins and a run
// starts; the bound was that of a usual hold then, so that the agent of a worker that fell silent
// took its runs as ended while they went on.
Test(worker_liveness, calls_to_the_earlier_incarnation_outlast_the_new_epoch)
{
    const time_point restartedAt{std::chrono::hours(1)};
    worker_liveness liveness(restartedAt - seconds(60));
    liveness.noteNewIncarnation(restartedAt);
    liveness.noteNewEpoch(restartedAt + milliseconds(100));
    check(liveness.heldUntil() == restartedAt + MaxHoldDuration);
    check(!liveness.hasNothingRunning(restartedAt + MaxHoldDuration));
    check(liveness.hasNothingRunning(restartedAt + MaxHoldDuration + seconds(1)));
    section("a worker that holds its runs for a shorter time", [&] {
        worker_liveness shorter(restartedAt, seconds(6));
        shorter.noteNewIncarnation(restartedAt);
        check(shorter.earlierCallsHoldUntil() == restartedAt + seconds(6));
    });
    section("a restarted agent knows it from the lease", [&] {
        worker_liveness restarted(restartedAt + seconds(1));
        restarted.noteEarlierCallsHold(restartedAt + MaxHoldDuration);
        check(!restarted.hasNothingRunning(restartedAt + MaxHoldDuration));
    });
    section("no bound is left once all runs have ended", [&] {
        auto ended = liveness;
        ended.clearHold();
        check(!ended.heldUntil().has_value());
        check(ended.earlierCallsHoldUntil() == time_point{});
    });
    section("a worker with another id refuses such calls", [&] {
        auto replaced = liveness;
        replaced.noteReplaced(restartedAt + seconds(1));
        check(replaced.heldUntil() == restartedAt + seconds(1) + HoldDuration);
    });
}

// Guards against calls that a new incarnation of the worker takes although they were meant for the
// one before: after a poll that failed, the next one tells which incarnation is there.
Test(worker_liveness, incarnation_behind_a_poll_that_failed)
{
    const time_point now{std::chrono::hours(1)};
    worker_liveness liveness(now);
    check(!liveness.isIncarnationConfirmed(now));
    liveness.notePoll(true, now);
    check(liveness.isIncarnationConfirmed(now));
    section("one failed poll is enough", [&] {
        liveness.notePoll(false, now + milliseconds(10));
        check(liveness.isResponsive(now + milliseconds(10)));
        check(!liveness.isIncarnationConfirmed(now + milliseconds(10)));
    });
    section("one answer is enough", [&] {
        liveness.notePoll(true, now + milliseconds(20));
        check(liveness.isIncarnationConfirmed(now + milliseconds(20)));
    });
    section("an agent that was suspended can't know", [&] {
        check(!liveness.isIncarnationConfirmed(now + milliseconds(20) + WorkerSilentAfter));
    });
}

// Guards against a task that runs twice. Its worker answers no call but works on, and the machine
// is suspended. The worker's clock stood, so that its hold ends later, but by the agent's clock it
// was over at the wake: the agent took the runs as ended, and they were started elsewhere.
Test(worker_liveness, a_silent_worker_whose_machine_is_suspended)
{
    constexpr milliseconds Suspended{4000};
    const time_point heldFrom{std::chrono::hours(1)};
    suspension_meter meter;
    check(meter.observe(seconds(100)) == duration(0)); // before the agent's start
    worker_liveness liveness(heldFrom);
    liveness.clearHold();
    liveness.noteHold(heldFrom + seconds(3));
    section("the agent knows the length from its machine's clocks", [&] {
        const auto length = meter.observe(seconds(100) + Suspended);
        check(length == Suspended);
        liveness.noteSuspension(length);
        check(meter.observe(seconds(100) + Suspended - milliseconds(3)) == duration(0));
        check(meter.observe(seconds(100) + Suspended) == duration(0));
    });
    section("the hold ends that much later", [&] {
        check(!liveness.hasNothingRunning(heldFrom + seconds(3) + Suspended));
        check(liveness.hasNothingRunning(heldFrom + seconds(4) + Suspended));
    });
    section("so does the worker's clock", [&] {
        worker_clock clock;
        clock.setReading(1000, heldFrom);
        clock.noteSuspension(Suspended);
        check(clock.millisecondsAt(heldFrom + Suspended) == 1000);
    });
    section("where nothing is held, nothing is from then on", [&] {
        liveness.clearHold();
        liveness.noteSuspension(Suspended);
        check(!liveness.heldUntil().has_value());
    });
}

// Guards against long-running tasks that stay down for 11 s. A worker is lost and its agent killed
// at the same moment. The agent is back 2 s later and can't know until when its earlier incarnation
// let runs continue. It assumed a whole lease, although no hold call lasts that long.
Test(worker_liveness, worker_lost_and_agent_killed_at_once)
{
    constexpr milliseconds AgentBackAfter{2000};
    const time_point lostAt{std::chrono::hours(1)};
    worker_liveness liveness(lostAt + AgentBackAfter);
    check(!liveness.hasNothingRunning(lostAt + HoldDuration)); // a hold call at the last moment
    check(liveness.hasNothingRunning(lostAt + TaskLostAfter - PlacementDelay));
}

// Guards against a task that is placed on a lost worker and waits for as long as the agent lives.
// The worker became silent with nothing running, just before the order arrived. No run can end
// there and so free the task, and the answer "retry later" makes the entry repeat the order for
// ever.
Test(worker_liveness, order_for_a_lost_worker)
{
    const time_point lostAt{std::chrono::hours(1)};
    worker_liveness liveness(lostAt - seconds(10));
    liveness.notePoll(true, lostAt);
    const worker_status status{true, false, true};
    check(readinessOf(status, liveness, lostAt) == start_readiness::Ready);
    section("a single failed poll has no effect", [&] {
        liveness.notePoll(false, lostAt + seconds(1));
        check(readinessOf(status, liveness, lostAt + seconds(1)) == start_readiness::Ready);
    });
    section("polls that fail for a while make it unavailable", [&] {
        liveness.notePoll(false, lostAt + WorkerSilentAfter);
        check(readinessOf(status, liveness, lostAt + WorkerSilentAfter)
              == start_readiness::Unavailable);
    });
    section("an answer makes it ready again", [&] {
        liveness.notePoll(true, lostAt + seconds(5));
        check(readinessOf(status, liveness, lostAt + seconds(5)) == start_readiness::Ready);
    });
    section("after a freeze of the agent, starts are retried later until it has polled", [&] {
        check(readinessOf(status, liveness, lostAt + seconds(60)) == start_readiness::RetryLater);
    });
    section("without a lease, starts are retried later", [&] {
        liveness.notePoll(true, lostAt + seconds(60));
        check(readinessOf({true, false, false}, liveness, lostAt + seconds(60))
              == start_readiness::RetryLater);
    });
    section("a worker that leaves takes no runs", [&] {
        check(readinessOf({true, true, true}, liveness, lostAt + seconds(60))
              == start_readiness::Unavailable);
        check(readinessOf({false, false, true}, liveness, lostAt + seconds(60))
              == start_readiness::Unavailable);
    });
}
