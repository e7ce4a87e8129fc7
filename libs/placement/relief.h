// Relief: what to do for a service that its neighbours slow, in the order of cost.
//
//   policy_weights    what a deployment cares for
//   eviction_budget   how many evictions interference may cost in a time
//   chooseRelief      throttle, then checkpoint and evict, or nothing
//   chooseRecovery    which throttled task gets its processors back
//
// Pure functions over what runs on one worker; the placer keeps signals, cool-down and budget.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace zinniabarrow::placement {

// Relative; only their proportions matter.
struct policy_weights
{
    double tailLatency = 1; // of a service above its target, in log units
    double throughput = 1;  // of batch work, in parts of a worker
    double evictions = 1;   // of one evicted task
};

struct relief_settings
{
    double evictionCost = 0.3;      // of one eviction, in the unit of the weighted parts
    double throttleFactor = 0.5;    // each step leaves this part of the limit
    double minThrottleShare = 0.25; // of the reservation: never throttled below it
    duration coolDown = std::chrono::seconds(20); // after an action on a worker, before the next
    duration liftThrottleAfter =
            std::chrono::seconds(120);    // calm time before a limit is lifted a step
    double evictionsPerWorkerHour = 0.25; // refill of the budget, for each worker of the pool
    double evictionBurst = 3;             // most evictions at once
    double evictionsPerMinute = 6;        // at most, however many workers; 0: none
};

class eviction_budget
{
public:
    explicit eviction_budget(double burst)
        : m_tokens(burst)
    { }

    void refill(const relief_settings &settings, std::size_t workers, time_point now);
    bool canTake() const { return m_tokens >= 1; }
    void take() { m_tokens -= 1; }

private:
    double m_tokens;
    std::optional<time_point> m_refilledAt;
};

// A batch task beside the disturbed service.
struct relief_candidate
{
    std::size_t index = 0;         // the caller's own
    double effectPerProcessor = 0; // log slowdown of the service for each processor of this task
    double limitProcessors = 0;    // processors that it may use now
    double reservedProcessors = 0; // processors without throttling
    bool canEvict = true;          // false: of failover class proof, or already stopping
};

struct throttle_relief
{
    std::size_t index = 0;
    double limitProcessors = 0; // processors
};

struct evict_relief
{
    std::size_t index = 0;
};

using relief_step = std::variant<throttle_relief, evict_relief>;

// `excess`: log(p99 / target) of the service. `workerProcessors`: the worker's size.
std::optional<relief_step> chooseRelief(double excess, double workerProcessors,
                                        std::span<const relief_candidate> candidates,
                                        const policy_weights &weights,
                                        const relief_settings &settings);

// `room`: how far below its target the service is, in log units.
std::optional<throttle_relief> chooseThrottleLift(double headroom,
                                                  std::span<const relief_candidate> candidates,
                                                  const relief_settings &settings);

} // namespace zinniabarrow::placement
