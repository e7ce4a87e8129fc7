// The lease of a worker: a row in the platform's store that gives the worker's agent the right to
// let tasks run. Entries watch the leases of workers whose agents are silent. Once such a watcher
// has proved that a lease has expired, it ends the worker's epoch, and the tasks that were placed
// there may be placed elsewhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// Callers consider a long-running task lost when nothing has run it for this long although there is
// free capacity for it.
constexpr milliseconds TaskLostAfter{9000};

// For how long tasks may run after the agent sent a renewal that was written. When a worker is lost
// together with its agent, its tasks can't start elsewhere for about this long. That time plus all
// that follows (the margins, the read that finds the lease expired, the placement) must stay below
// TaskLostAfter.
constexpr milliseconds LeaseDuration{7500};
// The store may go away just before a renewal: what is left of the lease then is LeaseDuration less
// this interval. Agents that started together renew at the same moments, so an outage of more than
// that ends the runs of all workers at once.
constexpr milliseconds LeaseRenewInterval{500};
// For how long one call lets a worker's runs continue at most, whatever it asks for, unless the
// settings say otherwise.
constexpr milliseconds MaxHoldDuration{10'000};
constexpr milliseconds LeaseCheckInterval{1500}; // a watcher's reads of a silent worker's lease
// For how long a machine is suspended at most, unless the settings say otherwise. Its worker's
// clock, by which holds end, stands meanwhile. The store's clock, by which leases expire, doesn't.
constexpr milliseconds MaxSuspension{4000};

// Covers the small delays with which both sides read their clocks.
constexpr milliseconds LeaseMargin{700};

// The real time in which the slowest permitted clock (2% slow) measures `interval`.
constexpr milliseconds durationOnSlowClock(milliseconds interval)
{
    return interval + interval / 50;
}

// How long to wait beyond `interval` until it is certainly over on the clock of its holder.
constexpr milliseconds expirySlack(milliseconds interval)
{
    return durationOnSlowClock(interval) - interval + LeaseMargin;
}

// By how much a hold ends before the lease, so that it has certainly ended when a watcher takes the
// lease for expired, even if the machine was suspended for `longestSuspension` in between. The
// agent can't make up for it: when the machine wakes, the task may already run elsewhere.
milliseconds suspensionReserve(milliseconds longestSuspension);

// Until when calls may let runs continue on a worker whose lease is valid until `validUntil`.
// `isStoreAwayForEntries`: entries say that they can't reach the store either, so that no watcher
// can end the lease now. Without that exception each outage of the store would end all runs.
time_point holdLimit(time_point validUntil, milliseconds longestSuspension,
                     bool isStoreAwayForEntries);

// For how long an entry ends no lease once it reaches the store again. An agent whose holds went on
// during the outage may have been suspended just before its end, and renews its lease at its wake.
milliseconds outageGrace(milliseconds longestSuspension);

// Whether calls that stop the runs on a worker are due. The worker continues its runs until
// `heldUntil`; they must have ended when a watcher takes the lease, valid until `validUntil`, for
// expired.
// `stopTimeout`: from the call that stops a run to its end, on the worker's clock.
bool needsStopBeforeExpiry(time_point heldUntil, time_point validUntil, milliseconds stopTimeout,
                           time_point now);

struct lease_row
{
    std::int64_t epoch = 1; // of the worker; rises once all its runs have certainly ended
    std::int64_t fence = 0; // fencing token; rises with each incarnation of the agent
    std::int64_t renewals = 0;
    std::string workerIncarnation; // the incarnation that the epoch belongs to; empty: none
    bool endedByWatcher = false;   // a watcher ended the epoch: the agent has to begin a new one
    std::string writeId;           // identifies the write
    std::int64_t expiresAtMs = 0;  // store's clock, ms: no run continues after it; 0: unknown
    // Store's clock, ms: until then calls that were meant for an earlier incarnation of the worker
    // may let runs of this one continue, whatever the agent does; 0: no such calls. Copied from
    // write to write, as a restarted agent can't know it otherwise.
    std::int64_t earlierCallsHoldUntilMs = 0;
    std::string workerId = {}; // that this incarnation announced; empty: unknown
};
std::string toText(const lease_row &row);
lease_row leaseFrom(const std::string &text); // throws error BadRequest
// A lease whose epoch has ended, for a row that can't be read. Its epoch and fence are above those
// of all rows before: each of these took a write, and the store's versions count all writes.
lease_row endedLeaseAfter(std::int64_t version);

// Estimates the store's steady clock from the readings in the store's answers. The expiry in a row
// is given on that clock: an agent and a watcher both read it, and it continues when either of them
// is restarted.
class store_clock
{
public:
    // The answer to a call sent at `sentAt` carried the clock reading `storeMs`, ms; 0: none.
    void noteReading(std::int64_t storeMs, time_point sentAt, time_point now);
    // The latest time, in ms, that the store's clock can show at `at`; 0: no reading so far.
    std::int64_t upperBoundMs(time_point at) const;
    // The earliest time, in ms, that the store's clock can show at `at`; 0: no reading so far.
    std::int64_t lowerBoundMs(time_point at) const;

private:
    std::optional<std::int64_t> m_maxOffsetMs; // store's clock minus local clock, at most
    time_point m_readAt{};                     // when the reading in use arrived
    std::int64_t m_lastReadingMs = 0;          // in the last answer; 0: none so far
    time_point m_lastReadAt{};                 // when that answer arrived
};

struct lease_check
{
    bool isExpired = false;    // the watcher may end the epoch, by a write conditional on the
                               // row's version
    time_point checkAgainAt{}; // when to check next, if it has not expired
};

// Used by a watcher to prove that a worker's lease has expired. The row gives the expiry on the
// store's clock, so that a restarted watcher need not wait again. If the expiry or the clock is
// unknown, the row has to stay unchanged for LeaseDuration plus slack, counted from when this
// watcher first read its present version; for MaxHoldDuration if calls to an earlier incarnation of
// the worker may hold its runs.
class lease_expiry_detector
{
public:
    // The row was read when the store's clock showed `storeMs`; 0: unknown. No lease counts as
    // expired before `graceUntil` (see outageGrace()).
    lease_check observe(const std::string &worker, const lease_row &row, std::int64_t version,
                        std::int64_t storeMs, time_point now,
                        time_point graceUntil = time_point::min());
    void forget(const std::string &worker); // it is no longer watched

private:
    struct observed_version
    {
        std::int64_t version = 0;
        time_point expiresAt{};
    };
    std::map<std::string, observed_version> m_observed;
};

} // namespace zinniabarrow::jobs
