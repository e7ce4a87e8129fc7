// For how long a worker that answers nothing may still run what its agent gave it. Decisions only.
#pragma once

#include <optional>

#include "base/time.h"
#include "jobs/lease.h"
#include "jobs/run_table.h"

namespace zinniabarrow::jobs {

constexpr milliseconds HoldDuration{
        5000}; // a look is lost now and then, an agent is back within 2 s
constexpr milliseconds MaxHoldDuration{10'000}; // no worker lets runs go on for longer by one call
constexpr milliseconds WorkerSilentAfter{1700}; // looks fail: nothing new is started

class worker_liveness
{
public:
    // An agent that lives anew knows nothing of the calls of its earlier life, but that each let
    // runs go on for a HoldLength at most. A whole lease would keep the tasks of a worker that was
    // lost with it from starting elsewhere beyond LostAfter.
    explicit worker_liveness(time_point now);

    // A call that may reach the worker lets runs go on until then.
    void noteHold(time_point until);
    // A start of the worker's earlier life that was never answered may still take effect in the
    // new one, until the next fence is known there.
    void noteNewIncarnation(time_point now);
    // Nothing runs; a look that is out may still extend what is started from now on.
    void noteNewEpoch(time_point now);
    void clearHold();
    void notePoll(bool answered, time_point now);

    bool lastPollAnswered() const { return m_lastPollAnswered; } // the last look
    bool isResponsive(time_point now) const;                     // lately
    bool isSilent(time_point now) const;                         // looks have failed for a while
    // Until when the worker lets runs go on at most; none: nothing is held.
    std::optional<time_point> heldUntil() const;
    // The same of a worker that lets looks fail; none of one that answers.
    std::optional<time_point> heldUntilIfSilent() const;
    // All that the worker was given has ended for certain, though it doesn't say so.
    bool hasNothingRunning(time_point now) const;

private:
    time_point m_heldUntil{};        // at most; 0: nothing is held
    time_point m_answeredAt{};       // last look that was answered
    bool m_lastPollAnswered = false; // the last one
    int m_consecutiveFailures = 0;   // looks
};

// What else decides whether a worker may be given runs.
struct worker_status
{
    bool isPresent = false;   // announced, and not departed
    bool isLeaving = false;   // by its own word
    bool hasLease = false;    // the lease is held and settled, the worker's clock is known
    bool isEvacuated = false; // its zone is
};
start_readiness readinessOf(const worker_status &status, const worker_liveness &liveness,
                            time_point now);

} // namespace zinniabarrow::jobs
