// Tracks whether a worker answers its agent's polls, and until when it may still run tasks if it
// doesn't. A poll is usually also a hold call: it lets the worker's runs continue until a deadline,
// after which the worker ends them by itself.
#pragma once

#include <optional>

#include "base/time.h"
#include "jobs/lease.h"
#include "jobs/run_table.h"

namespace zinniabarrow::jobs {

// By one hold call. Outlasts a lost poll, and the restart of an agent, which is back within 2 s.
constexpr milliseconds HoldDuration{5000};
// No worker lets its runs continue for longer by one call.
constexpr milliseconds MaxHoldDuration{10'000};
// Without an answered poll for this long nothing new is started.
constexpr milliseconds WorkerSilentAfter{1700};

class worker_liveness
{
public:
    // A restarted agent knows of the hold calls of its earlier incarnation only that each lasted
    // for a HoldDuration at most. Assuming a whole lease instead would keep the tasks of a worker
    // that was lost with its agent from starting elsewhere for longer than TaskLostAfter.
    explicit worker_liveness(time_point now);

    // A hold call was sent that lets runs continue until then, if it reaches the worker.
    void noteHold(time_point until);
    // An unanswered start from the worker's earlier incarnation may still take effect in the new
    // one, until the worker knows the next fence.
    void noteNewIncarnation(time_point now);
    // Nothing runs, but an open hold call may still extend runs that are started from now on.
    void noteNewEpoch(time_point now);
    void clearHold(); // nothing runs, and nothing can be held
    void notePoll(bool answered, time_point now);

    bool lastPollAnswered() const { return m_lastPollAnswered; }
    bool isResponsive(time_point now) const; // within WorkerSilentAfter
    bool isSilent(time_point now) const;     // the last poll failed, and isn't responsive
    // The latest time until which the worker lets runs continue; none: nothing is held.
    std::optional<time_point> heldUntil() const;
    // The same for a worker whose last polls failed; none for one that answers.
    std::optional<time_point> heldUntilIfSilent() const;
    // All runs have certainly ended, although the worker hasn't said so: the last hold has expired.
    bool hasNothingRunning(time_point now) const;

private:
    time_point m_heldUntil{};  // at most; 0: nothing is held
    time_point m_answeredAt{}; // last answered poll
    bool m_lastPollAnswered = false;
    int m_consecutiveFailures = 0; // polls
};

// The other conditions for starting runs on a worker.
struct worker_status
{
    bool isPresent = false;   // has announced itself, and not departed
    bool isLeaving = false;   // has announced that it is leaving
    bool hasLease = false;    // the lease is held and settled, and the worker's clock is known
    bool isEvacuated = false; // its zone is
};
start_readiness readinessOf(const worker_status &status, const worker_liveness &liveness,
                            time_point now);

} // namespace zinniabarrow::jobs
