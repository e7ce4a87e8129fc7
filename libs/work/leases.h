// Lease lengths that all parts of the scheduler share, and the allowance for unequal clocks.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow::work {

// grantLease must outlast the taking over of a dead owner's shard (ownerLease, margin, a reading
// and one report), so that the tasks of live agents run on.
struct lease_settings
{
    milliseconds ownerLease{6'000};         // a shard may be taken after this long unrenewed
    milliseconds renewInterval{2'000};      // between two renewals of a shard's row
    milliseconds grantPeriod{1'800'000};    // an owner may grant this long after its last renewal
    milliseconds grantLease{15'000};        // an agent's lease, from when it sent its report
    milliseconds taskLease{30'000};         // a worker's lease of a task of class Lease, at most
    milliseconds proofTaskLease{3'600'000}; // of class Proof: outlasts any agent's absence
    milliseconds safetyMargin{1'000};       // added to each wait for another process's lease
    std::int64_t clockDriftPpm = 500;       // largest difference in rate of two clocks
};

// A write that has no answer by then gets none: the lane to the platform was full, or the ring of
// whoever waits for it. It is in doubt from then on, like one whose answer was lost on its way.
constexpr milliseconds AnswerTimeout{10'000};

// Workers that an owner has not heard of for a while, and until when each may hold a lease.
using unresponsive_workers = std::map<std::string, time_point>;

// How long one process waits to be sure that a lease of length `lease` has ended in another one.
constexpr milliseconds safeWait(milliseconds lease, const lease_settings &settings)
{
    constexpr std::int64_t Million = 1'000'000;
    const std::int64_t driftAllowance = lease.count() * settings.clockDriftPpm / Million + 1;
    return lease + settings.safetyMargin + milliseconds(driftAllowance);
}

} // namespace zinniabarrow::work
