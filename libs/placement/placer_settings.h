// Settings and counters of the placer.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/interference.h"
#include "placement/load_signal.h"
#include "placement/quarantine.h"
#include "placement/relief.h"
#include "placement/size_learner.h"

namespace zinniabarrow::placement {

enum class placement_algorithm {
    Scored,   // spread services, pack batch, weigh interference
    FirstFit, // the first worker with room, for comparison
};

struct placer_settings
{
    placement_algorithm algorithm = placement_algorithm::Scored; //
    bool avoidInterference = true;                  // weigh the expected harm when placing
    bool relieveServices = true;                    // throttle and evict for disturbed services
    policy_weights weights;                         //
    size_learner_settings sizes;                    //
    bool quantileFromWeights = true;                // sizes.memoryQuantile follows from the weights
    quarantine_settings quarantine;                 //
    interference_settings interference;             //
    load_signal_settings signal;                    //
    relief_settings relief;                         //
    duration urgentStartLimit = milliseconds(2400); // from pending to started
    duration startMargin = milliseconds(900);       // of it, to write and start after room was made
    duration checkpointTime = seconds(30); // to checkpoint in an eviction that is not urgent
    duration healthyAfter = seconds(60);   // a task that ran so long proves job and worker
    duration avoidWorkerFor =
            std::chrono::minutes(2);               // a task does not return where it was evicted
    duration batchValueDoublingTime = seconds(60); // wait that doubles the worth of starting batch
    double memoryUseMargin = 1.1; // over the memory that was seen in use, before evictions for it
    duration retryInterval = seconds(5);  // a waiting job is tried again without new room
    duration minBacklogTime = seconds(2); // a task stays in one worker's backlog at least so long
    duration poolLearningTime =
            seconds(10); // until known workers bound a pool without configured size
    double uncertaintyWeight =
            0.5; // deviations added to an effect when placing: unknown pairs look worse
};

// A higher quantile of learned memory costs room that stays empty; a lower one costs evictions when
// tasks outgrow it. Between a half and one, by what the deployment weighs more.
inline double memoryQuantileFor(const policy_weights &weights)
{
    const double weightSum = weights.evictions + weights.throughput;
    return weightSum > 0 ? 0.5 + 0.5 * weights.evictions / weightSum : 0.75;
}

// Counters since start.
struct placer_stats
{
    std::uint64_t placed = 0;                   //
    std::uint64_t reservationsRaised = 0;       //
    std::uint64_t backlogAssigned = 0;          //
    std::uint64_t backlogWithdrawn = 0;         // from a backlog
    std::uint64_t throttled = 0;                //
    std::uint64_t preemptedForUrgent = 0;       //
    std::uint64_t preemptedForMemory = 0;       //
    std::uint64_t preemptedForInterference = 0; //
    std::uint64_t refusedNeverFits = 0;         //
    std::uint64_t refusedQuota = 0;             //
    std::uint64_t refusedQuarantined = 0;       //
    std::uint64_t staleEvents = 0;              // for a worker that the task is not placed on
    std::uint64_t pendingAfterCancel = 0;       // tasks announced after their cancellation
    std::uint64_t droppedSamples = 0;      // doubled, older than the history, of an unsized worker
    std::uint64_t evictionsOverBudget = 0; // evictions for interference that the budget held back
};

} // namespace zinniabarrow::placement
