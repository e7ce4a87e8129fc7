// Tracks whether a worker answers its agent's polls, and until when it may still run tasks if it
// doesn't. A poll is usually also a hold call: it lets the worker's runs continue until a deadline,
// after which the worker ends them by itself. A run is one attempt to execute a task. The agent
// passes in the calls and their results.
#pragma once

#include <optional>

#include "base/time.h"
#include "jobs/lease.h"
#include "jobs/run_table.h"

namespace zinniabarrow::jobs {

// How long a hold call lets runs continue. Outlasts a lost poll, and the restart of an agent, which
// is back within 2 s.
constexpr milliseconds HoldDuration{5000};
// When no poll has been answered for this long, nothing new is started.
constexpr milliseconds WorkerSilentAfter{1700};

class worker_liveness
{
public:
    // Runs count as held until HoldDuration from now. An incarnation of a process lasts from its
    // start to its end; a restarted agent knows of the hold calls of its earlier incarnation only
    // that each lasted for a HoldDuration at most. If it assumed LeaseDuration instead, the tasks
    // of a worker that was lost with its agent could not start elsewhere within TaskLostAfter, the
    // time after which callers consider a task lost (both in lease.h).
    explicit worker_liveness(time_point now, milliseconds longestHold = MaxHoldDuration);

    // A hold call was sent that lets runs continue until then, if it reaches the worker.
    void noteHold(time_point until);
    // The worker was restarted, and up to now may have taken calls that were meant for its earlier
    // incarnation. Their deadlines are times on the earlier clock, so that the worker shortens them
    // to its longest hold from the call. That ends only when it has answered a call with the
    // agent's next fence, a number that rises whenever the agent acquires the lease: it refuses
    // calls with an earlier one. A hold never gets shorter, so it applies to later runs as well.
    void noteNewIncarnation(time_point now);
    // The lease says the same, for an incarnation that the agent found when it started.
    void noteEarlierCallsHold(time_point until);
    // The worker was replaced by one with another id, which refuses calls to the earlier one.
    void noteReplaced(time_point now);
    // A new epoch of the worker begins, a number that rises once all its runs have ended. Runs
    // count as held until HoldDuration from now: nothing runs, but a hold call that is not answered
    // yet may extend runs that are started from now on.
    void noteNewEpoch(time_point now);
    // The machine was suspended: holds end that much later, as the worker's clock stood.
    void noteSuspension(duration length);
    void clearHold(); // nothing runs, and nothing can be held
    void notePoll(bool answered, time_point now);

    bool lastPollAnswered() const { return m_lastPollAnswered; }
    time_point answeredAt() const { return m_answeredAt; } // the last poll that was answered
    // A poll was answered less than WorkerSilentAfter ago.
    bool isResponsive(time_point now) const;
    // The last poll was answered, less than WorkerSilentAfter ago. Otherwise the next call may
    // reach another incarnation, under the same id, whose clock and numbering of ends have started
    // anew: a restart breaks the poll that is open.
    bool isIncarnationConfirmed(time_point now) const;
    // The last poll failed, and the worker is not responsive.
    bool isSilent(time_point now) const;
    // The latest time until which the worker lets runs continue; none: nothing is held.
    std::optional<time_point> heldUntil() const;
    // Until when calls that were meant for an earlier incarnation may let runs continue; a time in
    // the past: no such calls.
    time_point earlierCallsHoldUntil() const { return m_earlierCallsHoldUntil; }
    // The same as heldUntil() if at least the last two polls failed; none otherwise, since a single
    // poll is lost now and then. Does not depend on `isSilent`.
    std::optional<time_point> heldUntilIfSilent() const;
    // All runs have certainly ended, although the worker hasn't said so: the last hold has expired,
    // also by the slowest permitted clock. False when nothing is held.
    bool hasNothingRunning(time_point now) const;

private:
    milliseconds m_longestHold;
    time_point m_heldUntil{}; // by calls to this incarnation, at most; 0: nothing is held
    time_point m_earlierCallsHoldUntil{};
    time_point m_answeredAt{}; // last answered poll
    bool m_lastPollAnswered = false;
    int m_consecutiveFailures = 0; // polls
};

// The conditions for starting runs on a worker that worker_liveness doesn't know.
struct worker_status
{
    bool isPresent = false; // has announced itself, and not departed
    bool isLeaving = false; // has announced that it is leaving
    // The agent holds the lease, tasks may start under its epoch, and the worker's clock is known.
    bool hasLease = false;
    bool isEvacuated = false; // operators evacuate its zone
};
// Unavailable: the worker is not present, leaving or silent, or all else is well but its zone is
// evacuated. RetryLater: it has no lease, or is not responsive.
start_readiness readinessOf(const worker_status &status, const worker_liveness &liveness,
                            time_point now);

} // namespace zinniabarrow::jobs
