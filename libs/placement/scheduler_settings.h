// Settings and counters of class scheduler.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/interference.h"
#include "placement/latency_signal.h"
#include "placement/quarantine.h"
#include "placement/relief.h"
#include "placement/size_learner.h"

namespace zinniabarrow::placement {

enum class placement_algorithm {
    Scored,   // spread services, pack batch, consider interference
    FirstFit, // first worker with enough capacity; for comparison
};

struct scheduler_settings
{
    placement_algorithm algorithm = placement_algorithm::Scored;
    bool avoidInterference = true; // consider the slowdown of services when placing
    bool relieveServices = true;   // throttle and evict batch tasks that slow services
    policy_weights weights;
    size_learner_settings sizes;
    bool quantileFromWeights = true; // derive sizes.memoryQuantile from the weights
    quarantine_settings quarantine;
    interference_settings interference;
    latency_signal_settings signal;
    relief_settings relief;
    duration urgentStartLimit = milliseconds(2400); // from pending to started
    // Part of urgentStartLimit that remains after preemption, to store the placement and to start.
    duration startMargin = milliseconds(900);
    duration checkpointTime = seconds(30); // checkpoint time in an eviction that is not urgent
    duration healthyAfter = seconds(60);   // a task that ran this long counts as a success
    // How long a task avoids a worker on which it failed or was evicted.
    duration avoidWorkerFor = std::chrono::minutes(2);
    // Waiting time after which starting a batch task is worth twice as much.
    duration batchValueDoublingTime = seconds(60);
    double memoryUseMargin = 1.1; // factor on the measured memory use before it causes evictions
    duration retryInterval = seconds(5);  // retry of a pending job without new capacity
    duration minBacklogTime = seconds(2); // in a backlog, before a task may be withdrawn from it
    // Without a configured size, the known workers define the pool's largest size after this time.
    duration poolLearningTime = seconds(10);
    // Number of standard deviations added to an estimated effect, so that pairs of classes about
    // which little is known are avoided.
    double uncertaintyWeight = 0.5;
};

// Returns the value for size_learner_settings::memoryQuantile. A higher quantile leaves more memory
// unused; a lower one causes evictions when tasks outgrow their reservation. The result is between
// 0.5 and 1, according to the weights of evictions and throughput; 0.75 when both are zero.
inline double memoryQuantileFor(const policy_weights &weights)
{
    const double weightSum = weights.evictions + weights.throughput;
    return weightSum > 0 ? 0.5 + 0.5 * weights.evictions / weightSum : 0.75;
}

// Counters since the scheduler was created.
struct scheduler_stats
{
    std::uint64_t placed = 0;             // tasks placed
    std::uint64_t reservationsRaised = 0; // raises sent to workers
    std::uint64_t backlogAssigned = 0;    // tasks assigned to a backlog
    std::uint64_t backlogWithdrawn = 0;   // tasks withdrawn from a backlog
    std::uint64_t throttled = 0;          // changes of a processor limit
    std::uint64_t preemptedForUrgent = 0;
    std::uint64_t preemptedForMemory = 0;
    std::uint64_t preemptedForInterference = 0;
    std::uint64_t refusedNeverFits = 0;
    std::uint64_t refusedQuota = 0;
    std::uint64_t refusedQuarantined = 0;
    std::uint64_t staleEvents = 0; // events that name a worker on which the task is not placed
    std::uint64_t pendingAfterCancel = 0; // tasks reported as pending after their cancellation
    // Samples that were not used: duplicates, those from before the current attempt or before the
    // neighbour history begins, and latency samples without a target or of a worker of unknown
    // size.
    std::uint64_t droppedSamples = 0;
    std::uint64_t evictionsOverBudget = 0; // evictions for interference that the budget prevented
};

} // namespace zinniabarrow::placement
