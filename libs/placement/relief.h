// Relief of a service that its neighbours slow: which batch task to throttle or evict.
//
//   policy_weights     priorities of a deployment
//   eviction_budget    limits the rate of evictions for interference
//   chooseRelief       throttle, otherwise checkpoint and evict, or nothing
//   chooseThrottleLift which throttled task gets processors back
//
// The functions have no state and consider the tasks of one worker. The scheduler keeps the latency
// signals, the cool-down and the budget.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace zinniabarrow::placement {

// Costs and benefits are multiplied by these weights before they are compared; only the ratios
// matter.
struct policy_weights
{
    double tailLatency = 1; // for each unit of a service's log(p99 / target) above 0
    double throughput = 1;  // for batch work that does not run, as a fraction of a worker
    double evictions = 1;   // for each evicted task
};

struct relief_settings
{
    double evictionCost = 0.3;      // of one eviction, before policy_weights::evictions is applied
    double throttleFactor = 0.5;    // each step multiplies the limit by this factor
    double minThrottleShare = 0.25; // lower bound of the limit, as a fraction of the reservation
    duration coolDown = std::chrono::seconds(20); // minimum time between two actions on one worker
    duration liftThrottleAfter = std::chrono::seconds(120); // quiet time before a limit is raised
    double evictionsPerWorkerHour = 0.25; // refill of the budget, per worker in service
    double evictionBurst = 3;             // maximum number of evictions at once
    double evictionsPerMinute = 6;        // upper bound for any number of workers; 0: no evictions
};

// Token bucket that limits evictions for interference.
class eviction_budget
{
public:
    explicit eviction_budget(double burst)
        : m_tokens(burst)
    { }

    // Adds the tokens for the time since the last call. `workers`: number of workers in service.
    void refill(const relief_settings &settings, std::size_t workers, time_point now);
    bool canTake() const { return m_tokens >= 1; }
    void take() { m_tokens -= 1; }

private:
    double m_tokens;
    std::optional<time_point> m_refilledAt;
};

// A batch task on the same worker as the disturbed service.
struct relief_candidate
{
    std::size_t index = 0;         // identifies the candidate in the result
    double effectPerProcessor = 0; // log slowdown of the service per processor used by this task
    double limitProcessors = 0;    // current limit in processors
    double reservedProcessors = 0; // limit in processors without throttling
    bool canEvict = true;          // false: failover_class::Proof, or already stopping
};

struct throttle_relief
{
    std::size_t index = 0;
    double limitProcessors = 0; // new limit in processors
};

struct evict_relief
{
    std::size_t index = 0;
};

using relief_step = std::variant<throttle_relief, evict_relief>;

// Chooses the action with the largest net benefit, or none. `excess`: log(p99 / target) of the
// service. `workerProcessors`: size of the worker.
std::optional<relief_step> chooseRelief(double excess, double workerProcessors,
                                        std::span<const relief_candidate> candidates,
                                        const policy_weights &weights,
                                        const relief_settings &settings);

// Raises the limit of the throttled task that slows services least, if the slowdown is at most
// `headroom`: how far the service is below its target, in log units.
std::optional<throttle_relief> chooseThrottleLift(double headroom,
                                                  std::span<const relief_candidate> candidates,
                                                  const relief_settings &settings);

} // namespace zinniabarrow::placement
