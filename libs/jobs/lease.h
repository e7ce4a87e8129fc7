// The lease of a worker: the row that gives its agent the right to let tasks run on, and how
// another process proves that the right has ended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// Callers take a task that lasts for lost when nothing runs it for so long and there is room.
constexpr milliseconds TaskLostAfter{9000};

// How long after it sent a renewal that was written an agent may let tasks run. Longer than the
// platform's outages of 4 to 5 s plus one period of renewal; a worker that is gone together with
// its agent keeps its tasks from starting elsewhere for about as long, which must stay below
// LostAfter with all that comes after: margins, the read that finds the lease over, the placement.
constexpr milliseconds LeaseDuration{7500};
constexpr milliseconds LeaseRenewInterval{1500}; // two renewals may fail within one lease

// A worker's clock may be slow by 2%, and both ends read their clocks a little late.
constexpr milliseconds LeaseMargin{700};

// A worker's clock that is slow takes longer to measure `span`.
constexpr milliseconds durationOnSlowClock(milliseconds interval)
{
    return interval + interval / 50;
}

// How long after `span`, as its holder counts it, it is over for certain.
constexpr milliseconds expirySlack(milliseconds interval)
{
    return durationOnSlowClock(interval) - interval + LeaseMargin;
}

struct lease_row
{
    std::int64_t epoch = 1; // of the worker: rises when all that ran there has ended for certain
    std::int64_t fence = 0; // of the agent: rises with each of its lives
    std::int64_t renewals = 0;
    std::string workerIncarnation; // of the worker that the epoch stands for
    bool endedByWatcher = false;   // by a watcher: all that ran has ended, the agent starts afresh
    std::string writeId;           // names the write
    std::int64_t expiresAtMs = 0;  // store's clock: runs go on no longer; 0: not told
};
std::string toText(const lease_row &row);
lease_row leaseFrom(const std::string &text); // throws error BadRequest

// The store's own steady clock as its answers tell it: the one clock that an agent and a watcher
// share, whatever became of the processes between.
class store_clock
{
public:
    // The answer to a call that was sent at `sentAt` told `storeMs`; 0: nothing.
    void noteReading(std::int64_t storeMs, time_point sentAt, time_point now);
    // What it shows at `at`, at the latest; 0: it was never told.
    std::int64_t upperBoundMs(time_point at) const;

private:
    std::int64_t maxDriftMs(time_point at) const; // ms, since the answer that counts

    std::optional<std::int64_t> m_maxOffsetMs; // of this process's clock, at most
    time_point m_readAt{};
};

struct lease_check
{
    bool isExpired = false; // the row may be taken from its agent, on the condition of its version
    time_point checkAgainAt{}; // else
};

// Proves that a worker's lease has run out. The row says until when by the store's clock, so that a
// watcher that lives anew need not wait again; where it doesn't, the row has to stay unchanged for
// the whole lease plus margin, counted from when the watcher had first read that version.
class lease_expiry_detector
{
public:
    // The row was read when the store's clock showed `storeMs`.
    lease_check observe(const std::string &worker, const lease_row &row, std::int64_t version,
                        std::int64_t storeMs, time_point now);
    void forget(const std::string &worker);

private:
    struct observed_version
    {
        std::int64_t version = 0;
        time_point expiresAt{};
    };
    std::map<std::string, observed_version> m_observed;
};

} // namespace zinniabarrow::jobs
