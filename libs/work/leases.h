// Lease durations shared by all parts of the scheduler, and the allowance for clock drift.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow::work {

// grantLease must be longer than the takeover of a dead owner's shard (ownerLease, safetyMargin,
// one scan of the shard rows and one report), so that the tasks of live agents keep running.
struct lease_settings
{
    milliseconds ownerLease{6'000};      // a shard may be taken over when unrenewed for this long
    milliseconds renewInterval{2'000};   // between two renewals of a shard's lease row
    milliseconds grantPeriod{1'800'000}; // an owner may send grants for this long after a renewal
    milliseconds grantLease{15'000};     // an agent's lease, counted from the sending of its report
    milliseconds taskLease{30'000};      // longest lease of a task of failover class Lease
    milliseconds proofTaskLease{3'600'000}; // of class Proof: longer than an agent may be absent
    milliseconds safetyMargin{1'000};       // added to each wait for another process's lease to end
    std::int64_t clockDriftPpm = 500;       // largest difference in rate between two clocks
};

// How long to wait for the answer to a write. An answer that is still missing then never comes: the
// queue to the platform or the ring buffer of the waiting thread was full, and the write or its
// answer was dropped. Whether the write took effect must be read from its rows.
constexpr milliseconds AnswerTimeout{10'000};

// Workers that have sent an owner no report for a while, each with the time until which it may
// still hold a lease.
using unresponsive_workers = std::map<std::string, time_point>;

// How long a process must wait on its own clock to be sure that a lease of length `lease` has ended
// on another process's clock.
constexpr milliseconds leaseExpiryWait(milliseconds lease, const lease_settings &settings)
{
    constexpr std::int64_t Million = 1'000'000;
    const std::int64_t driftAllowance = lease.count() * settings.clockDriftPpm / Million + 1;
    return lease + settings.safetyMargin + milliseconds(driftAllowance);
}

} // namespace zinniabarrow::work
